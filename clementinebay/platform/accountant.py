"""Counts every call to the platform and keeps a daemon within its share."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.platform.base import KeyValueStore

#: Longest wait for a free call before it is refused, in seconds.
LONGEST_WAIT_SECONDS = 1.0


class CallRate:
    """A token bucket of one second's calls; a pure state machine."""

    __slots__ = ("rate", "free_at")

    def __init__(self, rate):
        self.rate = rate
        self.free_at = 0.0

    def take(self, now):
        """Reserve a call and return the seconds to wait for it.

        Raises `CallBudgetSpentError` and reserves nothing if the wait is too long.
        """
        start = max(self.free_at, now - 1.0)
        wait = max(0.0, start + 1.0 / self.rate - now)
        if wait > LONGEST_WAIT_SECONDS:
            raise errors.CallBudgetSpentError(f"more than {self.rate} calls a second")
        self.free_at = start + 1.0 / self.rate
        return wait


class AccountedStore(KeyValueStore):
    """Wraps ``store``; at most ``reads`` and ``writes`` calls a second."""

    def __init__(self, store, clock, reads, writes):
        self.store = store
        self.clock = clock
        self.rates = {"read": CallRate(reads), "write": CallRate(writes)}

    async def count(self, kind):
        """Count a call of ``kind`` and wait for its turn."""
        wait = self.rates[kind].take(self.clock.now())
        metrics.PLATFORM_CALLS.labels(kind).inc()
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
        await self.count("write")
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
