import pytest

from clementinebay import errors
from clementinebay.shard.leader import LeaderLease
from clementinebay.store.keyspace import MemoryStore


class RacingStore(MemoryStore):
    """Calls ``before_commit`` once before a commit, and may lose the response."""

    before_commit = None
    lose = False

    async def commit(self, compares, puts=(), deletes=()):
        hook, self.before_commit = self.before_commit, None
        if hook is not None:
            await hook()
        revision = await super().commit(compares, puts, deletes)
        if self.lose:
            self.lose = False
            raise errors.PlatformOutcomeUnknownError("lost")
        return revision


@pytest.fixture
def racing(space):
    return RacingStore(space)


async def test_only_one_of_two_holds_the_lease(store, clock):
    one, two = (LeaderLease(store, "a", name, 4.0, clock) for name in ("1", "2"))
    assert await one.hold()
    assert not await two.hold()
    clock.advance(5.0)
    assert await two.hold()
    assert not await one.hold()


async def test_loser_of_a_race_does_not_hold_the_key(racing, store, clock):
    slow = LeaderLease(racing, "a", "slow", 4.0, clock)
    fast = LeaderLease(store, "a", "fast", 4.0, clock)
    racing.before_commit = fast.hold
    assert not await slow.hold()
    assert not await slow.hold()
    assert fast.held


async def test_lease_is_held_at_the_next_attempt_after_a_lost_response(racing, clock):
    racing.lose = True
    leader = LeaderLease(racing, "a", "1", 4.0, clock)
    assert not await leader.hold()
    assert await leader.hold()
    await leader.resign()
    assert await LeaderLease(racing, "a", "2", 4.0, clock).hold()


async def test_lease_of_another_holder_is_read_rarely(racing, store, clock):
    holder = LeaderLease(store, "a", "1", 4.0, clock)
    waiting = LeaderLease(racing, "a", "2", 4.0, clock)
    reads = []
    racing.get = lambda key: reads.append(key) or store.get(key)
    for holder_known, most in ((False, 7), (True, 2)):
        del reads[:]
        for _tick in range(30):
            assert await holder.hold()
            assert not await waiting.hold(holder_known)
            clock.advance(0.1)
        assert len(reads) <= most


async def test_lease_is_acquired_after_a_known_holder_resigned(store, clock):
    one, two = (LeaderLease(store, "a", name, 4.0, clock) for name in ("1", "2"))
    assert await one.hold()
    assert not await two.hold(holder_known=True)
    await one.resign()
    clock.advance(0.6)
    assert await two.hold(holder_known=False)
