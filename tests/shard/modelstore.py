"""The model's clocks, and its store, whose calls end as the state machine decides."""

import types

from clementinebay import errors
from clementinebay.clock import Clock
from clementinebay.store.base import KeyValueStore


class SkewedClock(Clock):
    """The model's time plus a constant offset."""

    def __init__(self, world, offset):
        self.world = world
        self.offset = offset

    def now(self):
        return self.world.time + self.offset

    async def sleep(self, seconds):
        await next_outcome("sleep")


@types.coroutine
def next_outcome(kind):
    """Suspend the operation until the state machine sends the outcome of its call."""
    return (yield kind)


class FaultyStore(KeyValueStore):
    """A store whose calls end with the outcome that the state machine sends.

    ``succeed``: the call takes effect and returns.  ``refuse``: it fails and has no
    effect.  ``lose``: it takes effect, but its response is lost.  ``late``: its
    response is lost and it may take effect at any later time.  ``hold``: it takes
    effect, and its response waits for another outcome.
    """

    def __init__(self, world):
        self.world = world
        self.space = world.space

    async def call(self, kind, action):
        outcome = await next_outcome(kind)
        if outcome == "refuse":
            raise errors.PlatformUnavailableError("refused")
        if outcome == "late":
            self.world.late_writes.append(action)
            raise errors.PlatformOutcomeUnknownError("late")
        answer = action()
        if outcome == "hold":
            await next_outcome("answer")
        if outcome == "lose":
            raise errors.PlatformOutcomeUnknownError("lost")
        return answer

    async def get(self, key):
        return await self.call("read", lambda: self.space.get(key))

    async def scan(self, start, end, limit=0):
        space = self.space
        return await self.call(
            "read", lambda: (space.range(start, end, limit), space.revision)
        )

    async def commit(self, compares, puts=(), deletes=()):
        write = (compares, puts, deletes)
        return await self.call("write", lambda: self.space.commit(*write))

    async def grant(self, ttl):
        return await self.call("write", lambda: self.space.grant(ttl))

    async def keep_alive(self, lease):
        return await self.call("write", lambda: self.space.keep_alive(lease))

    async def revoke(self, lease):
        return await self.call("write", lambda: self.space.revoke(lease))

    def watch(self, start, end, revision):
        raise NotImplementedError
