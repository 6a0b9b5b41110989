"""Rate limiting of a daemon's calls to the platform."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.store.base import KeyValueStore

#: A call that would have to wait longer is refused, in seconds.
MAX_WAIT_SECONDS = 1.0
#: Size of a burst of calls, in seconds at the full rate.
BURST_SECONDS = 0.05
#: Fraction of the platform's rates that all daemons together may use, without bursts.
USABLE_FRACTION = 0.7
#: Fraction of a daemon's rate that is reserved for control calls.
CONTROL_FRACTION = 0.2
#: Fraction of all writes that is divided among the scheduling daemons only.
SCHEDULER_WRITE_FRACTION = 0.25
#: Maximum number of writes that are reserved and not used yet.
MAX_RESERVED_WRITES = 4


class TokenBucket:
    """A token bucket that refills at ``rate`` calls per second.

    A pure state machine: callers pass in the time.
    """

    __slots__ = ("rate", "free_at")

    def __init__(self, rate):
        self.rate = rate
        self.free_at = 0.0

    def wait(self, now):
        """Return the seconds until the next call may be made."""
        return max(0.0, self.free_at - now)

    def acquire(self, now):
        """Reserve a call and return the seconds to wait before making it.

        Raises `CallBudgetSpentError` and reserves nothing if the wait is too long.
        """
        wait = self.wait(now)
        if wait > MAX_WAIT_SECONDS:
            raise errors.CallBudgetSpentError(
                f"rate limit of {self.rate:.1f} calls per second exceeded"
            )
        self.free_at = max(self.free_at, now - BURST_SECONDS) + 1.0 / self.rate
        return wait


class DaemonRate:
    """A daemon's share of one rate, part of which is reserved for control calls."""

    __slots__ = ("control", "general")

    def __init__(self, rate):
        self.control = TokenBucket(rate)
        self.general = TokenBucket(rate)
        self.resize(rate)

    def resize(self, rate):
        """Change the rate, in calls per second."""
        self.control.rate = rate * CONTROL_FRACTION
        self.general.rate = rate * (1 - CONTROL_FRACTION)

    def acquire(self, now, control):
        """Reserve a call; see `TokenBucket.acquire`.

        A control call uses whichever part is available sooner.
        """
        if control and self.control.wait(now) < self.general.wait(now):
            return self.control.acquire(now)
        return self.general.acquire(now)


def rate_shares(reads, writes, daemons, schedulers, is_scheduler):
    """Return the (reads, writes) per second that one daemon may use.

    ``reads`` and ``writes`` are the platform's rates, shared by ``daemons`` daemons.
    ``schedulers`` is the number of scheduling daemons, one per domain, which divide a
    fraction of the writes among them; ``is_scheduler`` tells whether this is one.
    """
    reads *= USABLE_FRACTION
    writes *= USABLE_FRACTION
    base_writes = writes * (1 - SCHEDULER_WRITE_FRACTION) / daemons
    scheduler_writes = (
        writes * SCHEDULER_WRITE_FRACTION / schedulers if is_scheduler else 0.0
    )
    return reads / daemons, base_writes + scheduler_writes


class CallBudget:
    """This daemon's rate limits for calls to the platform, by kind of call."""

    def __init__(self, clock, reads, writes):
        self.clock = clock
        self.rates = {"read": DaemonRate(reads), "write": DaemonRate(writes)}
        self.resize(reads, writes)

    def resize(self, reads, writes):
        """Change the rate, in calls per second."""
        for kind, rate in (("read", reads), ("write", writes)):
            self.rates[kind].resize(rate)
            metrics.PLATFORM_SHARE.labels(kind).set(rate)

    def acquire(self, kind, control):
        """Count a call and return the seconds to wait before making it."""
        try:
            wait = self.rates[kind].acquire(self.clock.now(), control)
        except errors.CallBudgetSpentError:
            metrics.PLATFORM_REFUSED.labels(kind).inc()
            raise
        metrics.PLATFORM_CALLS.labels(kind).inc()
        return wait


class RateLimitedStore(KeyValueStore):
    """Limits calls to ``store`` by a `CallBudget`.

    With ``control``, calls may also use the part reserved for control.
    """

    def __init__(self, store, budget, control=False):
        self.store = store
        self.budget = budget
        self.control = control
        self.reserved_writes = 0

    async def reserve(self):
        """See `KeyValueStore`; an unused reservation serves a later write."""
        if self.reserved_writes < MAX_RESERVED_WRITES:
            await self.wait_for_call("write")
            self.reserved_writes += 1

    async def wait_for_commit(self):
        """Use a reserved write, or wait until one may be made."""
        if self.reserved_writes:
            self.reserved_writes -= 1
        else:
            await self.wait_for_call("write")

    async def wait_for_call(self, kind):
        """Count a call of ``kind`` and wait until it may be made."""
        wait = self.budget.acquire(kind, self.control)
        if wait:
            await asyncio.sleep(wait)

    async def get(self, key):
        """See `KeyValueStore`."""
        await self.wait_for_call("read")
        return await self.store.get(key)

    async def scan(self, start, end, limit=0):
        """See `KeyValueStore`."""
        await self.wait_for_call("read")
        return await self.store.scan(start, end, limit)

    async def commit(self, compares, puts=(), deletes=()):
        """See `KeyValueStore`."""
        await self.wait_for_commit()
        return await self.store.commit(compares, puts, deletes)

    async def grant(self, ttl):
        """See `KeyValueStore`."""
        await self.wait_for_call("write")
        return await self.store.grant(ttl)

    async def keep_alive(self, lease):
        """See `KeyValueStore`."""
        await self.wait_for_call("write")
        return await self.store.keep_alive(lease)

    async def revoke(self, lease):
        """See `KeyValueStore`."""
        await self.wait_for_call("write")
        await self.store.revoke(lease)

    async def watch(self, start, end, revision):
        """See `KeyValueStore`."""
        await self.wait_for_call("read")
        with metrics.PLATFORM_WATCHES.track_inprogress():
            async for change in self.store.watch(start, end, revision):
                yield change

    async def close(self):
        """See `KeyValueStore`."""
        await self.store.close()
