"""Background loops of a service, which are restarted when they fail."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.log import Log

#: Delay before a failed loop is restarted, in seconds.
RESTART_SECONDS = 0.5
#: Maximum wait for cancelled loops to end, in seconds.
STOP_SECONDS = 5.0


class Background:
    """Runs the loops of one service; an asynchronous context manager.

    Loops that fail are restarted; leaving the context cancels all of them.
    """

    def __init__(self, owner):
        self.owner = owner
        self.log = Log(owner)
        self.tasks = set()

    def spawn(self, loop, *args):
        """Run coroutine function ``loop`` until it returns or the context ends."""
        task = asyncio.create_task(self.supervise(loop, *args))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def supervise(self, loop, *args):
        """Run ``loop`` and restart it after each failure."""
        while True:
            try:
                return await loop(*args)
            except errors.PlatformError as error:
                self.log.warning("Platform call failed: %s.", error)
                self.count_failure(loop, error)
            except Exception as error:
                self.log.error(
                    "%s failed: %s: %r.", loop.__name__, error_code(error), error
                )
                self.count_failure(loop, error)
            await asyncio.sleep(RESTART_SECONDS)

    def count_failure(self, loop, error):
        """Count a failure of ``loop`` by the type of its error."""
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
            _done, pending = await asyncio.wait(tasks, timeout=STOP_SECONDS)
            for task in pending:
                self.log.error(
                    "%s has not ended after cancellation.",
                    task.get_coro().__qualname__,
                )


def error_code(error):
    """Return the code of an error of this package, or the type name of any other."""
    if isinstance(error, errors.ClementineError):
        return error.code
    return type(error).__name__
