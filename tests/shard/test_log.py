import asyncio

import pytest

from clementinebay import errors
from clementinebay.shard.log import ShardLog, split
from clementinebay.store.keyspace import MemoryStore
from tests.shard import factory


class LosingStore(MemoryStore):
    """Loses the responses of the next ``lost`` commits after they took effect."""

    lost = 0

    async def commit(self, compares, puts=(), deletes=()):
        revision = await super().commit(compares, puts, deletes)
        if self.lost:
            self.lost -= 1
            raise errors.PlatformOutcomeUnknownError("lost")
        return revision


def open_log(store, clock, writer="w"):
    return ShardLog(store, "a", writer, clock)


async def test_two_writers_agree_on_one_order(store, clock):
    one, two = open_log(store, clock, "one"), open_log(store, clock, "two")
    await one.append([factory.endpoint()])
    with pytest.raises(errors.LogConflictError):
        await two.append([factory.submit()])
    assert await two.append([factory.submit()]) == [None]
    await one.catch_up()
    assert one.state.index == two.state.index == 2


async def test_lost_response_is_resolved_by_comparing_the_bytes(space, clock):
    store = LosingStore(space)
    store.lost = 1
    log = open_log(store, clock)
    assert await log.append([factory.submit()]) == [None]
    assert log.state.index == 1


async def test_refused_record_does_not_affect_other_records(store, clock):
    log = open_log(store, clock)
    refusals = await log.append([factory.bind(), factory.endpoint()])
    assert isinstance(refusals[0], errors.UnknownJobError)
    assert refusals[1] is None
    reader = open_log(store, clock)
    await reader.load()
    assert "e-0" in reader.state.endpoints


async def test_suspended_writer_cannot_recreate_a_truncated_index(store, clock):
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


async def test_batch_is_written_only_directly_after_the_given_index(store, clock):
    log = open_log(store, clock)
    await log.append([factory.submit()])
    with pytest.raises(errors.LogConflictError):
        await log.append([factory.endpoint()], after=0)
    await log.append([factory.endpoint()], after=1)


async def test_batch_larger_than_a_platform_value_is_refused(store, clock):
    log = open_log(store, clock)
    records = [factory.submit(f"job-{number:0999}") for number in range(1_000)]
    with pytest.raises(errors.ValueTooLargeError):
        await log.append(records)
    for batch in split(records):
        await log.append(batch)
    assert len(log.state.jobs) == 1_000


async def test_load_handles_a_snapshot_replaced_between_its_reads(space, store, clock):
    writer = open_log(store, clock)
    await writer.append([factory.submit("job-0")])
    await writer.write_snapshot()

    class SnapshotReplacingStore(MemoryStore):
        async def get(self, key):
            entry = await super().get(key)
            if writer.state.index < 4:
                for number in range(1, 4):
                    await writer.append([factory.submit(f"job-{number}")])
                await writer.write_snapshot()
                await writer.truncate(clock.now() + 1)
            return entry

    reader = open_log(SnapshotReplacingStore(space), clock, "r")
    await reader.load()
    assert set(reader.state.jobs) == set(writer.state.jobs)
    await reader.append([factory.submit("last")])


async def test_append_cancelled_during_the_write_is_seen_by_the_next(space, clock):
    class PausingStore(MemoryStore):
        async def commit(self, compares, puts=(), deletes=()):
            revision = await super().commit(compares, puts, deletes)
            written.set()
            await answered.wait()
            return revision

    written, answered = asyncio.Event(), asyncio.Event()
    log = open_log(PausingStore(space), clock)
    append = asyncio.create_task(log.append([factory.submit("first")]))
    await written.wait()
    append.cancel()
    await asyncio.gather(append, return_exceptions=True)
    answered.set()
    assert log.state.index == 0
    with pytest.raises(errors.LogConflictError):
        await log.append([factory.submit("second")])
    assert (log.state.index, set(log.state.jobs)) == (1, {"first"})
    assert await log.append([factory.submit("second")]) == [None]
    assert set(log.state.jobs) == {"first", "second"}


async def test_reader_catches_up_with_repeated_truncation(space, clock):
    writer = open_log(MemoryStore(space), clock)

    class TruncatingStore(MemoryStore):
        async def get(self, key):
            entry = await super().get(key)
            if writer.state.index < 9:
                await write_and_truncate()
            return entry

    async def write_and_truncate():
        for _batch in range(2):
            number = writer.state.index
            await writer.append([factory.submit(f"job-{number}")])
        await writer.write_snapshot()
        await writer.truncate(clock.now() + 1)

    reader = open_log(TruncatingStore(space), clock, "r")
    await writer.append([factory.submit("first")])
    await write_and_truncate()
    reader.confirmed_at = clock.now()
    await reader.catch_up()
    assert reader.state.index == writer.state.index == 9
    assert set(reader.state.jobs) == set(writer.state.jobs)
