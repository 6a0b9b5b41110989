"""Background loops of a service, restarted when they fail."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.log import Log

#: Wait before a loop that failed is started again, in seconds.
RESTART_SECONDS = 0.5
#: Longest wait for cancelled loops to end, in seconds.
STOP_SECONDS = 5.0


class Background:
    """Runs loops of one service and restarts those that fail; a context manager."""

    def __init__(self, owner):
        self.owner = owner
        self.log = Log(owner)
        self.tasks = set()

    def spawn(self, loop, *args):
        """Run coroutine function ``loop`` until the context ends."""
        task = asyncio.create_task(self.supervise(loop, *args))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def supervise(self, loop, *args):
        """Run ``loop`` again after each failure."""
        while True:
            try:
                return await loop(*args)
            except errors.PlatformError as error:
                self.log.warning("Platform call failed: %s.", error)
                self.count(loop, error)
            except Exception as error:
                self.log.error(
                    "%s failed: %s: %r.", loop.__name__, error_code(error), error
                )
                self.count(loop, error)
            await asyncio.sleep(RESTART_SECONDS)

    def count(self, loop, error):
        """Count a failure by its type."""
        metrics.BACKGROUND_FAILURES.labels(
            self.owner, loop.__name__, error_code(error)
        ).inc()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        tasks = set(self.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            _done, left = await asyncio.wait(tasks, timeout=STOP_SECONDS)
            for task in left:
                self.log.error("%s does not end.", task.get_coro().__qualname__)


def error_code(error):
    """Return the stable code of an error of this package, else its type's name."""
    if isinstance(error, errors.ClementineError):
        return error.code
    return type(error).__name__
