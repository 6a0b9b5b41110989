"""An event loop in virtual time: it skips every wait, so tests need no real time."""

import asyncio
import selectors

from clementinebay.clock import Clock


class VirtualSelector(selectors.SelectSelector):
    """A selector that advances ``time`` instead of waiting."""

    def __init__(self):
        super().__init__()
        self.time = 1000.0

    def select(self, timeout=None):
        """Advance the time by ``timeout`` and return what is ready."""
        if timeout is None:
            raise RuntimeError("every coroutine waits, and no timer is set")
        self.time += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only when all coroutines wait."""

    def __init__(self):
        self.selector = VirtualSelector()
        super().__init__(self.selector)

    def time(self):
        """Return the virtual time."""
        return self.selector.time


class LoopClock(Clock):
    """The clock of the running event loop."""

    def now(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()


def run(main):
    """Run the coroutine ``main`` in virtual time; return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
