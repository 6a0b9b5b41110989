"""Background loops of a service, restarted when they fail."""

import asyncio

from clementinebay import errors
from clementinebay.log import Log

#: Wait before a loop that failed is started again, in seconds.
RESTART_SECONDS = 0.5


class Background:
    """Runs loops of one service and restarts those that fail; a context manager."""

    def __init__(self, owner):
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
            except Exception as error:
                self.log.error("%s failed: %r.", loop.__name__, error)
            await asyncio.sleep(RESTART_SECONDS)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
