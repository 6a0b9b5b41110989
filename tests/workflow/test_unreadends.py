"""Ends of runs that a report has no room for.

An endpoint lists a limited number of ends, and further ones once these are
acknowledged.  A run that a report does not list may be done.
"""

import asyncio

import pytest

from clementinebay.workflow import leases
from clementinebay.workflow.job import TaskState
from clementinebay.workflow.model import Step
from tests.workflow import factory, virtualtime
from tests.workflow.testbed import TestBed

#: A job of which an endpoint of the bed runs 16 tasks at a time.
SMALL_TASKS = [Step(count=64, processors_milli=250)]
OTHER_END = (1, "f" * 16 + ".0.0.0", 1, "done")


def report_page(engine, endpoint, now, **rest):
    """Process a report with more ends than there was room for."""
    report = factory.report(has_all_ends=False, **rest)
    assert engine.process_report(endpoint, report, now, now)


def test_run_whose_end_may_be_unread_is_not_started_again():
    """Guards against review/6: the run counted as lost, though it was done."""
    engine, order = factory.plan_start(0.0)
    engine.start_answered(order, 0.0)
    report_page(engine, order.endpoint, 1.0, ended=[OTHER_END])
    assert order.task.endpoint is order.endpoint
    assert engine.plan(1.0) == []
    factory.report_end(engine, order.endpoint, order, "done", 2, 1.5)
    assert order.task.state is TaskState.DONE


def test_stopped_run_whose_end_may_be_unread_is_not_started_again():
    """It may have been done before the stop."""
    engine, order = factory.plan_start(0.0)
    engine.start_answered(order, 0.0)
    engine.request_stop(order.task, "moved")
    [stop] = engine.stops.due(0.1, engine.endpoints)
    engine.stop_answered(stop, 0.2)
    report_page(engine, order.endpoint, 1.0, ended=[OTHER_END])
    assert engine.plan(1.0) == []
    engine.process_report(order.endpoint, factory.report(), 1.4, 1.5)
    assert order.task.endpoint is None


def test_run_whose_end_may_be_unread_does_not_count_as_stuck():
    """Its percent is that of the last report that listed it."""
    engine, order = factory.plan_start(0.0)
    engine.start_answered(order, 0.0)
    row = (order.task.name, order.run, "", 40)
    engine.process_report(order.endpoint, factory.report([row]), 0.5, 0.5)
    report_page(engine, order.endpoint, 4.0, ended=[OTHER_END])
    assert order.task.state is TaskState.RUNNING
    assert not order.endpoint.health.barred(4.0)


def inherit_job():
    """Return a new term's engine, an endpoint of the term before, and a job."""
    engine = factory.make_engine(term=1, inherited_until=8.0)
    engine.inherited_endpoints.expect("e1", "a")
    spec = factory.make_spec(steps=(factory.SMALL,))
    job = engine.add_job(spec, factory.QUEUE, 0.0, inherited=True)
    factory.connect_endpoint(engine, factory.make_info("e2"))
    endpoint = engine.register_endpoint(factory.make_info("e1"), 0.0)
    endpoint.recorded = True
    return engine, endpoint, job


def test_successor_starts_no_task_whose_end_it_may_not_have_read():
    """It took the first report of an endpoint as all that has run there."""
    engine, endpoint, job = inherit_job()
    report_page(engine, endpoint, 1.0, ended=[OTHER_END])
    assert engine.plan(1.0) == []
    ended = [(2, job.task(0, 0).name, 1, "done")]
    engine.process_report(endpoint, factory.report(ended=ended), 1.5, 1.5)
    assert job.ended


def test_endpoint_gets_no_lease_before_a_successor_has_read_all_ends():
    """What may run there is stored by the term before until then."""
    engine, endpoint, _job = inherit_job()
    report_page(engine, endpoint, 1.0, ended=[OTHER_END])
    assert endpoint.extend(1.1, 5.0) is None
    engine.process_report(endpoint, factory.report(), 1.5, 1.5)
    assert endpoint.extend(1.6, 5.0) is not None


def test_jobs_of_an_endpoint_with_unread_ends_are_stored_as_unknown():
    """A successor that cannot reach it must hold back any job."""
    engine, order = factory.plan_start(0.0)
    endpoint = order.endpoint
    factory.connect_endpoint(engine, factory.make_info("e2"))
    engine.start_answered(order, 0.0)
    report_page(engine, endpoint, 1.0, ended=[OTHER_END])
    factory.store(engine)
    assert not endpoint.has_unstored_ends
    endpoint.mark_silent(2.0 - leases.SILENT_SECONDS)
    assert engine.leases.prepare(2.0).final["e1"].jobs is None


async def interrupt(bed, how):
    """Let ends pile up at the endpoints beyond one report."""
    if how == "store away":
        await bed.disturb_stores("away", 2.0)
    elif how == "scheduler frozen":
        await bed.freeze_scheduler(1.2)
    else:
        await bed.kill_scheduler()


@pytest.mark.parametrize("delay", [1.0, 1.4, 1.8, 2.2])
@pytest.mark.parametrize("how", ["store away", "scheduler frozen", "scheduler killed"])
def test_no_task_is_started_again_while_ends_are_unread(how, delay):
    async def main():
        async with TestBed(endpoints=2, daemons=2) as bed:
            check_start = bed.check_start

            def check_not_done(task, endpoint, now):
                assert task not in bed.done, (task, endpoint.id, now)
                check_start(task, endpoint, now)

            bed.check_start = check_not_done
            for model in bed.endpoints:
                model.ends_per_report = 4
            await bed.run(1.0)
            for _number in range(3):
                bed.submit(steps=SMALL_TASKS)
            await bed.run(delay)
            interrupting = asyncio.create_task(interrupt(bed, how))
            await bed.run(60.0)
            await interrupting
            assert len(bed.done) == 3 * 64

    virtualtime.run(main())
