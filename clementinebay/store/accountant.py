"""Counts every call to the platform and keeps a daemon within its share."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.store.base import KeyValueStore

#: Longest wait for a free call before it is refused, in seconds.
LONGEST_WAIT_SECONDS = 1.0
#: Calls that may follow each other at once, in seconds of the rate.
BURST_SECONDS = 0.05
#: Share of the platform's rates that all daemons together use, bursts apart.
USED_SHARE = 0.7
#: Share of a daemon's rate that is kept for control.
CONTROL_SHARE = 0.2
#: Share of all writes that goes to the daemons that schedule.
SCHEDULERS_SHARE = 0.25
#: Most writes that are reserved and not used yet.
MOST_RESERVED = 4


class CallRate:
    """A token bucket; a pure state machine.  ``rate`` is in calls a second."""

    __slots__ = ("rate", "free_at")

    def __init__(self, rate):
        self.rate = rate
        self.free_at = 0.0

    def wait(self, now):
        """Return the seconds until the next call is free."""
        return max(0.0, self.free_at - now)

    def take(self, now):
        """Reserve a call and return the seconds to wait for it.

        Raises `CallBudgetSpentError` and reserves nothing if the wait is too long.
        """
        wait = self.wait(now)
        if wait > LONGEST_WAIT_SECONDS:
            raise errors.CallBudgetSpentError(f"over {self.rate:.1f} calls a second")
        self.free_at = max(self.free_at, now - BURST_SECONDS) + 1.0 / self.rate
        return wait


class Share:
    """A daemon's share of one rate: a part for control alone, and the rest."""

    __slots__ = ("control", "rest")

    def __init__(self, rate):
        self.control = CallRate(rate)
        self.rest = CallRate(rate)
        self.resize(rate)

    def resize(self, rate):
        """Change the calls a second."""
        self.control.rate = rate * CONTROL_SHARE
        self.rest.rate = rate * (1 - CONTROL_SHARE)

    def take(self, now, control):
        """Reserve a call, for control where it is free sooner; see `CallRate.take`."""
        if control and self.control.wait(now) < self.rest.wait(now):
            return self.control.take(now)
        return self.rest.take(now)


def rate_shares(reads, writes, daemons, schedulers, schedules):
    """Return a daemon's reads and writes a second.

    ``reads`` and ``writes`` are the platform's rates; ``daemons`` share them.  Part of
    the writes goes to the ``schedulers``, one a domain, of which this is one if it
    ``schedules``.
    """
    reads *= USED_SHARE
    writes *= USED_SHARE
    equal = writes * (1 - SCHEDULERS_SHARE) / daemons
    extra = writes * SCHEDULERS_SHARE / schedulers if schedules else 0.0
    return reads / daemons, equal + extra


class CallBudget:
    """What this daemon may call the platform in one second, by kind of call."""

    def __init__(self, clock, reads, writes):
        self.clock = clock
        self.rate_shares = {"read": Share(reads), "write": Share(writes)}
        self.resize(reads, writes)

    def resize(self, reads, writes):
        """Change the calls a second."""
        for kind, rate in (("read", reads), ("write", writes)):
            self.rate_shares[kind].resize(rate)
            metrics.PLATFORM_SHARE.labels(kind).set(rate)

    def take(self, kind, control):
        """Count a call and return the seconds to wait for its turn."""
        try:
            wait = self.rate_shares[kind].take(self.clock.now(), control)
        except errors.CallBudgetSpentError:
            metrics.PLATFORM_REFUSED.labels(kind).inc()
            raise
        metrics.PLATFORM_CALLS.labels(kind).inc()
        return wait


class RateLimitedStore(KeyValueStore):
    """Wraps ``store`` and keeps to a `CallBudget`; ``control`` may use all of it."""

    def __init__(self, store, budget, control=False):
        self.store = store
        self.budget = budget
        self.control = control
        self.reserved = 0

    async def reserve(self):
        """See `KeyValueStore`; what is reserved and not used serves a later write."""
        if self.reserved < MOST_RESERVED:
            await self.count("write")
            self.reserved += 1

    async def count_commit(self):
        """Use a write that was reserved, or count one and wait for its turn."""
        if self.reserved:
            self.reserved -= 1
        else:
            await self.count("write")

    async def count(self, kind):
        """Count a call of ``kind`` and wait for its turn."""
        wait = self.budget.take(kind, self.control)
        if wait:
            await asyncio.sleep(wait)

    async def get(self, key):
        """See `KeyValueStore`."""
        await self.count("read")
        return await self.store.get(key)

    async def scan(self, start, end, limit=0):
        """See `KeyValueStore`."""
        await self.count("read")
        return await self.store.scan(start, end, limit)

    async def commit(self, compares, puts=(), deletes=()):
        """See `KeyValueStore`."""
        await self.count_commit()
        return await self.store.commit(compares, puts, deletes)

    async def grant(self, ttl):
        """See `KeyValueStore`."""
        await self.count("write")
        return await self.store.grant(ttl)

    async def keep_alive(self, lease):
        """See `KeyValueStore`."""
        await self.count("write")
        return await self.store.keep_alive(lease)

    async def revoke(self, lease):
        """See `KeyValueStore`."""
        await self.count("write")
        await self.store.revoke(lease)

    async def watch(self, start, end, revision):
        """See `KeyValueStore`."""
        await self.count("read")
        with metrics.PLATFORM_WATCHES.track_inprogress():
            async for change in self.store.watch(start, end, revision):
                yield change

    async def close(self):
        """See `KeyValueStore`."""
        await self.store.close()
