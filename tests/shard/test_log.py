import pytest

from clementinebay import errors
from clementinebay.platform.keyspace import MemoryStore
from clementinebay.shard.log import ShardLog
from tests.shard import factory


class LosingStore(MemoryStore):
    """Loses the answers of the next ``lost`` commits after they took effect."""

    lost = 0

    async def commit(self, compares, puts=(), deletes=()):
        revision = await super().commit(compares, puts, deletes)
        if self.lost:
            self.lost -= 1
            raise errors.PlatformOutcomeUnknownError("lost")
        return revision


def open_log(store, clock, writer="w"):
    return ShardLog(store, "a", writer, clock)


async def test_two_writers_share_one_order(store, clock):
    one, two = open_log(store, clock, "one"), open_log(store, clock, "two")
    await one.append([factory.endpoint()])
    with pytest.raises(errors.LogConflictError):
        await two.append([factory.submit()])
    assert await two.append([factory.submit()]) == [None]
    await one.catch_up()
    assert one.state.index == two.state.index == 2


async def test_lost_answer_is_settled_by_the_same_bytes(space, clock):
    store = LosingStore(space)
    store.lost = 1
    log = open_log(store, clock)
    assert await log.append([factory.submit()]) == [None]
    assert log.state.index == 1


async def test_refused_record_changes_nothing_for_any_reader(store, clock):
    log = open_log(store, clock)
    refusals = await log.append([factory.bind(), factory.endpoint()])
    assert isinstance(refusals[0], errors.UnknownJobError)
    assert refusals[1] is None
    reader = open_log(store, clock)
    await reader.load()
    assert "e-0" in reader.state.endpoints


async def test_sleeping_writer_cannot_recreate_a_truncated_index(store, clock):
    sleeper, busy = open_log(store, clock, "s"), open_log(store, clock, "b")
    for number in range(3):
        await busy.append([factory.submit(f"job-{number}")])
    await busy.write_snapshot()
    await busy.truncate(clock.now() + 1)
    assert await store.get(busy.key(1)) is None
    with pytest.raises(errors.LogConflictError):
        await sleeper.append([factory.submit("late")])
    assert sleeper.state.index == 3


async def test_reader_behind_the_truncation_loads_the_snapshot(store, clock):
    reader, writer = open_log(store, clock, "r"), open_log(store, clock)
    for number in range(5):
        await writer.append([factory.submit(f"job-{number}")])
    await writer.write_snapshot()
    await writer.truncate(clock.now() + 1)
    await reader.catch_up()
    assert set(reader.state.jobs) == set(writer.state.jobs)
