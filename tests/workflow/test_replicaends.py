"""Replicas run until their job is cancelled, however their runs end."""

import asyncio

import pytest

from clementinebay.workflow.job import JobState, Progress, TaskState
from clementinebay.workflow.model import Step
from tests.workflow import factory, virtualtime
from tests.workflow.testbed import TestBed

REPLICAS = Step(count=3, processors_milli=1000, replica=True)
ORDINARY = Step(processors_milli=1000)
OUTCOMES = ["done", "failed", "stopped", "lapsed", "broken", "alone"]


def start_job(steps=(REPLICAS,)):
    """Return an engine, a job, and the start orders of its tasks."""
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    job = engine.add_job(factory.make_spec(steps=steps), factory.QUEUE, 0.0)
    return engine, job, factory.start_all(engine)


def end_run(engine, order, outcome, number, now):
    """Report the end of a run, and the others at its endpoint as at work."""
    others = [t for t in order.endpoint.tasks.values() if t is not order.task]
    report = factory.report(
        [(task.name, task.run, "", 100) for task in others],
        [(number, order.task.name, order.run, outcome)],
    )
    engine.process_report(order.endpoint, report, now, now)


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_replica_is_started_again_however_its_run_ends(outcome):
    """Guards against review/7: one that had ended done was never started again."""
    engine, _job, [order, *_others] = start_job()
    end_run(engine, order, outcome, 1, 1.0)
    [again] = engine.plan(2.0)
    assert again.task is order.task
    assert again.run > order.run


def test_job_whose_replicas_have_all_ended_done_is_not_completed():
    engine, job, orders = start_job()
    for number, order in enumerate(orders, 1):
        end_run(engine, order, "done", number, 1.0)
    assert job.progress().state is JobState.RUNNING
    assert len(engine.plan(2.0)) == 3


def test_replica_that_has_ended_done_waits_before_its_next_run():
    """One that ends at once must not take all starts."""
    engine, _job, [order, *_others] = start_job()
    end_run(engine, order, "done", 1, 1.0)
    assert engine.plan(1.0) == []


def test_end_of_an_earlier_run_of_a_replica_leaves_its_next_run_at_work():
    engine, _job, [order, *_others] = start_job()
    end_run(engine, order, "failed", 1, 1.0)
    [again] = factory.start_all(engine, 2.0)
    late = factory.report(ended=[(2, order.task.name, order.run, "done")])
    engine.process_report(order.endpoint, late, 1.5, 2.1)
    assert again.task.state is TaskState.RUNNING
    assert engine.stops.due(2.1, engine.endpoints) == []


def test_ordinary_tasks_beside_replicas_are_completed():
    engine, job, orders = start_job((ORDINARY, REPLICAS))
    for number, order in enumerate(orders, 1):
        end_run(engine, order, "done", number, 1.0)
    assert job.progress().done == ["1", "0"]
    assert {order.task.step_number for order in engine.plan(2.0)} == {1}


@pytest.mark.parametrize("state", [JobState.RUNNING, JobState.COMPLETED])
def test_replicas_that_an_earlier_build_stored_as_done_are_started(state):
    """It stored the end of a replica as final, and so the end of its job."""
    engine = factory.make_engine(term=1)
    factory.connect_endpoint(engine, factory.make_info())
    done = "7" if state is JobState.COMPLETED else "2"
    stored = Progress(state=state, done=[done], ended_at=5.0)
    spec = factory.make_spec(steps=(REPLICAS,))
    job = engine.add_job(spec, factory.QUEUE, 0.0, stored)
    assert len(engine.plan(0.0)) == 3
    assert not job.ended
    assert (job.id in factory.store(engine)) is (state is JobState.COMPLETED)


@pytest.mark.parametrize("state", [JobState.FAILED, JobState.CANCELLED])
def test_job_of_replicas_that_was_stored_as_failed_or_cancelled_stays_so(state):
    engine = factory.make_engine(term=1)
    factory.connect_endpoint(engine, factory.make_info())
    stored = Progress(state=state, done=["0"], ended_at=5.0)
    spec = factory.make_spec(steps=(REPLICAS,))
    job = engine.add_job(spec, factory.QUEUE, 0.0, stored)
    assert (job.state, job.ended_at) == (state, 5.0)
    assert engine.plan(0.0) == []


def test_replicas_that_end_done_run_again_in_time_also_at_a_successor():
    async def end_replicas(bed):
        while True:
            await asyncio.sleep(0.3)
            bed.fail_replica(list(bed.occupants), "done")

    async def main():
        async with TestBed(endpoints=3, daemons=2) as bed:
            await bed.run(1.0)
            tasks = [bed.submit(steps=[REPLICAS]) for _number in range(2)]
            await bed.run(1.0)
            ending = asyncio.create_task(end_replicas(bed))
            await bed.run(5.0)
            await bed.kill_scheduler()
            await bed.run(5.0)
            ending.cancel()
            await bed.run(20.0)
            assert all(bed.running_at(task) for task in tasks)

    virtualtime.run(main())


def test_failed_runs_of_a_task_beside_replicas_count_at_a_successor():
    """Guards against more failed runs of a task than it has attempts."""
    engine, job, [order, *_others] = start_job((ORDINARY, REPLICAS))
    end_run(engine, order, "failed", 1, 1.0)
    stored = factory.store(engine)[job.id]
    assert stored.failures == {order.task.name: [order.run]}
    successor = factory.make_engine(term=1)
    inherited = successor.add_job(job.spec, factory.QUEUE, 2.0, factory.reload(stored))
    assert not inherited.record_failure(inherited.task(0, 0), 1001)
    assert inherited.record_failure(inherited.task(0, 0), 1002)


def test_failed_runs_of_replicas_are_not_stored():
    engine, job, [order, *_others] = start_job()
    end_run(engine, order, "failed", 1, 1.0)
    assert job.progress().failures == {}
