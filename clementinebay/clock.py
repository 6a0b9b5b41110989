"""Clocks.  Times exchanged between VMs are seconds since the Unix epoch."""

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of the current time, in seconds since the Unix epoch."""

    @abstractmethod
    def now(self):
        """Return the current time in seconds."""

    async def sleep(self, seconds):
        """Wait for ``seconds``."""
        await asyncio.sleep(seconds)


class SystemClock(Clock):
    """The clock of the VM."""

    def now(self):
        """Return the VM's time in seconds."""
        return time.time()


class BootClock(Clock):
    """Monotonic seconds since the VM booted, including time spent suspended."""

    def now(self):
        """Return the seconds since the VM booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock for tests that advances only by `advance`."""

    def __init__(self, start=1_000_000.0):
        self.time = start

    def now(self):
        """Return the time that was set last."""
        return self.time

    async def sleep(self, seconds):
        """Yield to other coroutines without advancing the time."""
        await asyncio.sleep(0)

    def advance(self, seconds):
        """Advance the clock by ``seconds``."""
        self.time += seconds
