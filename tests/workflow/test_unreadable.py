"""Terms go on though items in the store cannot be read or cannot be true."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from clementinebay import errors
from clementinebay.services.jobgate import JobGate
from clementinebay.services.term import Term
from clementinebay.store.base import Entry, Put, prefix_end
from clementinebay.store.keyspace import KeySpace, MemoryStore
from clementinebay.workflow import jobstore
from clementinebay.workflow.leases import EndpointLeases, LeaseRecord
from clementinebay.workflow.model import Step
from tests.workflow import factory, virtualtime
from tests.workflow.testbed import TestBed

ODD_ID = "f" * 16
DEEP = b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}"
HUGE = 10**400


def encode_spec(id=ODD_ID, **fields):
    """Return a job with fields that no client may have stored."""
    spec = msgspec.to_builtins(factory.make_spec(id))
    return msgspec.json.encode(spec | fields)


ODD_SPECS = {
    "no JSON": b"?",
    "deep": DEEP,
    "no fields": b"{}",
    "id of another job": encode_spec("0123456789abcdef"),
    "no steps": encode_spec(steps=[]),
    "huge count": encode_spec(steps=[{"count": HUGE}]),
    "no tasks": encode_spec(steps=[{"count": 0}]),
    "huge estimate": encode_spec(steps=[{"estimate_ms": HUGE}]),
    "negative size": encode_spec(steps=[{"processors_milli": -1}]),
    "after itself": encode_spec(steps=[{"after": [0]}]),
    "after no step": encode_spec(steps=[{}, {"after": [7]}]),
    "after a step from the end": encode_spec(steps=[{}, {"after": [-1]}]),
    "huge attempts": encode_spec(attempts=HUGE),
}
ODD_PROGRESS = {
    "no JSON": b"?",
    "deep": DEEP,
    "another type": b"[]",
    "unknown state": b'{"state":"odd"}',
    "no number": b'{"done":["x"]}',
    "no digits": b'{"done":[""]}',
    "negative number": b'{"done":["-1"]}',
    "number with spaces": b'{"done":[" 1 "]}',
    "failures of another type": b'{"failures":{"x":1}}',
    "huge time": b'{"ended_at":1e999}',
}
MORE_STEPS = {"more steps than the job": b'{"done":["0","0","0","0"]}'}


def put(bed, key, value):
    """Write an item, as no daemon of this build does."""
    bed.space.commit((), [Put(key, value)])


async def run_jobs(bed, seconds=6.0):
    """Run some jobs in the bed; check that its first term goes on."""
    tasks = {bed.submit() for _job in range(3)}
    await bed.run(seconds)
    assert tasks <= bed.done
    assert bed.scheduler.writer.number == 0


@pytest.mark.parametrize("value", ODD_SPECS.values(), ids=ODD_SPECS)
@pytest.mark.parametrize("early", [True, False])
def test_job_that_cannot_be_read_is_skipped(value, early):
    async def main():
        async with TestBed() as bed:
            if early:
                put(bed, jobstore.JOBS + ODD_ID, value)
            await bed.run(2.0)
            if not early:
                put(bed, jobstore.JOBS + ODD_ID, value)
            await run_jobs(bed)
            assert ODD_ID not in bed.scheduler.engine.jobs

    virtualtime.run(main())


@pytest.mark.parametrize(
    "value", (ODD_PROGRESS | MORE_STEPS).values(), ids=ODD_PROGRESS | MORE_STEPS
)
def test_job_whose_progress_cannot_be_read_is_not_run_again(value):
    """Any of its tasks may have been done; its progress is not overwritten."""

    async def main():
        async with TestBed() as bed:
            job_id = bed.submit().split(".")[0]
            put(bed, jobstore.PROGRESS + job_id, value)
            del bed.specs[job_id]
            await bed.run(2.0)
            await run_jobs(bed)
            # As a mirror does once the history of the store is gone.
            jobs = bed.space.range(jobstore.JOBS, prefix_end(jobstore.JOBS))
            bed.scheduler.replace_jobs(jobs)
            await run_jobs(bed)
            assert job_id not in bed.scheduler.engine.jobs
            assert not any(task.startswith(job_id) for task in bed.done)
            assert bed.space.get(jobstore.PROGRESS + job_id).value == value

    virtualtime.run(main())


@pytest.mark.parametrize(
    "key",
    [
        jobstore.ADDRESSES,
        jobstore.LEASES,
        jobstore.STARTING,
        jobstore.LEARNED,
        jobstore.PENDING,
    ],
)
@pytest.mark.parametrize("value", [b"?", DEEP, b'[["x"]]'], ids=["?", "deep", "rows"])
def test_successor_goes_on_without_a_record_that_cannot_be_read(key, value):
    async def main():
        async with TestBed() as bed:
            await bed.run(4.0)
            # Addresses count only if they were written with the endpoints.
            endpoints = Put(jobstore.ENDPOINTS, bed.space.get(jobstore.ENDPOINTS).value)
            bed.space.commit((), [endpoints, Put(key, value)])
            await bed.kill_scheduler()
            await bed.run(10.0)
            tasks = {bed.submit() for _job in range(3)}
            await bed.run(6.0)
            assert tasks <= bed.done
            assert bed.scheduler.writer.number == 1

    virtualtime.run(main())


def test_successor_that_knows_no_endpoints_in_use_waits_for_their_runs():
    """A run at an endpoint that cannot be reached may go on until its lease ends."""

    async def main():
        async with TestBed(endpoints=2) as bed:
            await bed.run(4.0)
            steps = [Step(count=1, processors_milli=1000, replica=True)]
            task = bed.submit(steps=steps)
            await bed.run(2.0)
            model = bed.running_at(task)
            put(bed, jobstore.ENDPOINTS, DEEP)
            cut = asyncio.create_task(bed.cut([model], "silent", 60.0))
            await bed.kill_scheduler()
            bed.unlist(model)
            await bed.run(40.0)
            assert bed.running_at(task) not in (None, model)
            cut.cancel()

    virtualtime.run(main())


@pytest.mark.parametrize("value", [b"?", DEEP, b"{}"], ids=["?", "deep", "none"])
async def test_unreadable_holder_is_no_vacancy(value):
    term = Term(SimpleNamespace(settings=None, clock=None))
    term.log = factory.quiet_log()
    term.vacant = asyncio.Event()
    term.vacant.set()
    term.scheduler = term.last_holder = None
    term.replace([Entry(jobstore.HOLDER, value, 1)])
    assert not term.vacant.is_set()
    term.update(Entry(jobstore.HOLDER, None, 2))
    assert term.vacant.is_set()
    assert term.last_holder is None


@pytest.mark.parametrize("key", [jobstore.HOLDER, jobstore.NUMBER])
async def test_no_term_begins_beside_a_record_that_cannot_be_read(key):
    store = MemoryStore(KeySpace(virtualtime.LoopClock()))
    await store.create(key, DEEP)
    with pytest.raises(errors.EntryInvalidError):
        await jobstore.acquire_term(store, "d1", "", "token", 1)


@pytest.mark.parametrize("value", ODD_PROGRESS.values(), ids=ODD_PROGRESS)
async def test_progress_that_cannot_be_read_is_one_error(value):
    """The gateway asks the client to come again."""
    store = MemoryStore(KeySpace(virtualtime.LoopClock()))
    await store.create(jobstore.PROGRESS + ODD_ID, value)
    gate = SimpleNamespace(jobs=jobstore.JobStore(store), ended_jobs={})
    with pytest.raises(errors.EntryInvalidError):
        await JobGate.progress(gate, ODD_ID)


async def test_lease_record_with_a_deadline_before_the_start_of_a_clock_is_read():
    """Leases that ended before this scheduler's clock began have such deadlines."""
    store = MemoryStore(KeySpace(virtualtime.LoopClock()))
    deadline = [("e1", 1_796_000_000_000, -1_796_000_000_000)]
    record = LeaseRecord(0, deadline, {"e2": EndpointLeases(deadline, ["a"])})
    await store.create(jobstore.LEASES, msgspec.json.encode(record))
    assert await jobstore.read_leases(store, 0) == record


def test_task_done_while_its_progress_cannot_be_read_is_not_run_again():
    """A scheduler of an earlier build may not read what a later one has stored."""

    async def main():
        async with TestBed(endpoints=2, daemons=2) as bed:
            await bed.run(2.0)
            task = bed.submit(steps=[Step(processors_milli=1000)])
            await bed.run(0.6)
            assert bed.running_at(task)
            key = jobstore.PROGRESS + task.split(".")[0]
            value = bed.space.get(key).value
            put(bed, key, b'{"state":"later"}')
            await bed.kill_scheduler()
            await bed.run(4.0)
            assert task in bed.done
            put(bed, key, value)
            await bed.kill_scheduler()
            await bed.run(8.0)

    virtualtime.run(main())
