import asyncio
import contextlib

import pytest

from clementinebay import errors
from clementinebay.shard.groupcommit import GroupWriter
from clementinebay.shard.log import MAX_BATCH_RECORDS, ShardLog
from clementinebay.shard.wire import ttypes as wire
from tests.shard import factory


@pytest.fixture
def log(store, clock):
    return ShardLog(store, "a", "w", clock)


async def test_concurrent_cancellations_share_few_batches(log):
    names = [f"job-{number}" for number in range(5_000)]
    async with GroupWriter(log) as writer:
        await asyncio.gather(*(writer.write([factory.submit(n)]) for n in names))
        submitted = log.state.index
        cancels = [wire.Record(cancel=wire.Cancel("", 1.0, [name])) for name in names]
        await asyncio.gather(*(writer.write([record]) for record in cancels))
    assert log.state.index - submitted <= len(names) // MAX_BATCH_RECORDS + 2
    assert all(job.ended for job in log.state.jobs.values())


async def test_records_no_longer_due_are_not_written(log, store, clock):
    other = ShardLog(store, "a", "other", clock)
    answers = [True, False]

    async def still_due():
        if len(answers) == 2:
            # The other writer appends between this check and the write.
            await other.append([factory.submit("first")])
        return answers.pop(0)

    await log.load()
    async with GroupWriter(log) as writer:
        assert await writer.write([factory.submit("part")], still_due) == []
    assert set(log.state.jobs) == {"first"}


async def test_failure_reaches_every_caller_and_later_writes_succeed(log):
    async def broken(*_arguments):
        raise errors.PlatformUnavailableError("down")

    async with GroupWriter(log) as writer:
        log.store.commit = broken
        results = await asyncio.gather(
            writer.write([factory.submit("x")]),
            writer.write([factory.submit("y")]),
            return_exceptions=True,
        )
        assert {type(result) for result in results} == {errors.PlatformUnavailableError}
        del log.store.commit
        assert await writer.write([factory.submit("x")]) == [None]


async def yield_repeatedly(seconds):
    """Yield to other tasks a number of times proportional to ``seconds``."""
    for _turn in range(round(seconds * 1000)):
        await asyncio.sleep(0)


async def test_contending_writers_cause_few_conflicts(store, clock):
    commit_calls = []
    commit = store.commit

    async def counting_commit(*arguments):
        commit_calls.append(arguments)
        # Lets others read and write during this write.
        await asyncio.sleep(0)
        return await commit(*arguments)

    store.commit = counting_commit
    clock.sleep = yield_repeatedly
    logs = [ShardLog(store, "a", f"w-{number}", clock) for number in range(6)]
    async with contextlib.AsyncExitStack() as stack:
        writers = [await stack.enter_async_context(GroupWriter(log)) for log in logs]

        async def submit_one_after_another(first):
            for number in range(first, first + 10):
                writer = writers[first // 10 % len(writers)]
                assert await writer.write([factory.submit(f"job-{number}")]) == [None]

        firsts = range(0, 600, 10)
        await asyncio.gather(*map(submit_one_after_another, firsts))
    await logs[0].catch_up()
    assert len(logs[0].state.jobs) == 600
    assert len(commit_calls) <= 150


@pytest.mark.parametrize("stopped", [True, False])
async def test_stopped_or_failed_writer_leaves_no_caller_waiting(log, stopped):
    commit_started = asyncio.Event()

    async def commit(*_arguments):
        commit_started.set()
        await asyncio.sleep(0)
        if not stopped:
            raise RuntimeError("unexpected")
        await asyncio.sleep(60.0)

    log.store.commit = commit
    async with GroupWriter(log) as writer:
        calls = [
            asyncio.create_task(writer.write([factory.submit(name)])) for name in "xy"
        ]
        await commit_started.wait()
        if not stopped:
            await asyncio.wait([writer.write_task])
    async with asyncio.timeout(5.0):
        results = await asyncio.gather(*calls, return_exceptions=True)
    assert {type(result) for result in results} == {errors.LogConflictError}
