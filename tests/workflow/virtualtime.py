"""An event loop in virtual time: it skips every wait, so tests need no real time.

Callbacks belong to the process that `PROCESS` names in their context.  While a process
is frozen, its callbacks wait, also those of its timers; then they run in their order.
"""

import asyncio
import contextvars
import selectors

from clementinebay.clock import Clock

#: The simulated process that runs, or ``None``.
PROCESS = contextvars.ContextVar("PROCESS", default=None)


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


class ProcessCallback:
    """A callback of a process, which waits while that is frozen."""

    __slots__ = ("loop", "process", "callback", "args", "context", "handle")

    def __init__(self, loop, process, callback, args, context):
        self.loop = loop
        self.process = process
        self.callback = callback
        self.args = args
        self.context = context
        self.handle = None

    def __call__(self):
        """Run the callback, or keep it until its process goes on."""
        waiting = self.loop.frozen.get(self.process)
        if waiting is not None:
            waiting.append(self)
        elif not self.handle.cancelled():
            self.callback(*self.args)
            self.loop.selector.time += self.loop.costs.get(self.process, 0.0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only when all coroutines wait.

    ``frozen`` has the callbacks that wait, by frozen process, ``costs`` the seconds
    that each callback of a process takes.
    """

    def __init__(self):
        self.selector = VirtualSelector()
        self.frozen = {}
        self.costs = {}
        super().__init__(self.selector)

    def call_soon(self, callback, *args, context=None):
        """See `asyncio.loop.call_soon`."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        held = ProcessCallback(self, process, callback, args, context)
        held.handle = super().call_soon(held, context=context)
        return held.handle

    def call_at(self, when, callback, *args, context=None):
        """See `asyncio.loop.call_at`."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        held = ProcessCallback(self, process, callback, args, context)
        held.handle = super().call_at(when, held, context=context)
        return held.handle

    def freeze(self, process):
        """Let the callbacks of a process wait."""
        self.frozen.setdefault(process, [])

    def thaw(self, process):
        """Let a frozen process go on, first with the callbacks that have waited."""
        for held in self.frozen.pop(process, ()):
            super().call_soon(held, context=held.context)

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
