"""Clocks.  Times that cross VMs are seconds since the Unix epoch."""

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Tells the time in seconds since the Unix epoch."""

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
    """Seconds since the VM started, with the time in which it was suspended."""

    def now(self):
        """Return the seconds since the VM started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock for tests that moves only when told to."""

    def __init__(self, start=1_000_000.0):
        self.time = start

    def now(self):
        """Return the time that was last set."""
        return self.time

    async def sleep(self, seconds):
        """Let others run; the time does not move."""
        await asyncio.sleep(0)

    def advance(self, seconds):
        """Move the clock forward by ``seconds``."""
        self.time += seconds
