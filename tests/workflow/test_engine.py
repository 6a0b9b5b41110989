"""The engine: one run per task, order of steps, capacity, adoption by successors."""

import msgspec
import pytest

from clementinebay.policy import dispatch, progress
from clementinebay.workflow import planning
from clementinebay.workflow.engine import UNKNOWN_JOB_GRACE_SECONDS
from clementinebay.workflow.job import JobState, Progress, TaskState
from clementinebay.workflow.model import Step
from clementinebay.workflow.orders import MAX_ORDER_DELAY_SECONDS
from tests.workflow import factory

SMALL = Step(count=1, processors_milli=1000, memory_mb=100)


def test_step_starts_after_its_predecessor():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    steps = (SMALL, Step(count=1, processors_milli=1000, after=(0,)))
    job = engine.add_job(factory.make_spec(steps=steps), factory.QUEUE, 0.0)
    first = factory.start_all(engine)
    assert [order.task.name for order in first] == [f"{job.id}.0.0.0"]
    factory.report_end(engine, endpoint, first[0], "done", 1, 1.0)
    second = factory.start_all(engine, 1.0)
    assert [order.task.name for order in second] == [f"{job.id}.0.1.0"]
    factory.report_end(engine, endpoint, second[0], "done", 2, 2.0)
    assert job.state is JobState.COMPLETED


def test_ends_are_acknowledged_only_once_stored():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    orders = factory.start_all(engine)
    factory.report_end(engine, endpoint, orders[0], "done", 1, 1.0)
    assert endpoint.last_acknowledged_end == 0
    jobs, _ends = engine.drain_changes()
    engine.requeue_changes(jobs)
    assert endpoint.last_acknowledged_end == 0
    factory.store(engine)
    assert endpoint.last_acknowledged_end == 1


def test_capacity_counts_runs_that_are_being_stopped():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info(processors_milli=1000))
    job = engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    assert len(factory.start_all(engine)) == 1
    engine.cancel(job.id)
    other = factory.make_spec(id="f" * 16, steps=(SMALL,))
    engine.add_job(other, factory.QUEUE, 1.0)
    assert engine.plan(1.0) == []


def test_capacity_counts_runs_of_ended_jobs_found_by_a_successor():
    engine = factory.make_engine(term=1, inherited_until=10.0)
    spec = factory.make_spec(steps=(SMALL,))
    engine.add_job(spec, factory.QUEUE, 0.0, inherited=True)
    engine.cancel(spec.id)
    info = factory.make_info(processors_milli=1000)
    factory.connect_endpoint(engine, info, running=[(f"{spec.id}.0.0.0", 1)])
    engine.add_job(factory.make_spec(id="f" * 16, steps=(SMALL,)), factory.QUEUE, 0.0)
    assert engine.plan(0.0) == []
    assert [order.run for order in engine.stops.due(0.0, engine.endpoints)] == [1]


def test_run_of_unknown_job_blocks_its_endpoint_and_is_stopped_after_a_grace_time():
    engine = factory.make_engine(term=1)
    row = ("e" * 16 + ".0.0.0", 1)
    endpoint = factory.connect_endpoint(engine, factory.make_info(), running=[row])
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    assert engine.plan(0.0) == []
    assert engine.stops.due(0.0, engine.endpoints) == []
    later = UNKNOWN_JOB_GRACE_SECONDS + 0.1
    engine.process_report(endpoint, factory.report(running=[row]), later, later)
    assert [order.task for order in engine.stops.due(later, engine.endpoints)] == [
        row[0]
    ]


def test_unanswered_start_keeps_its_task_and_resources_until_its_stop_is_answered():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    order = engine.plan(0.0)[0]
    engine.start_unanswered(order, 1.0)
    assert engine.plan(1.0) == []
    stop = engine.stops.due(1.0, engine.endpoints)[0]
    assert (stop.task, stop.run) == (order.task.name, order.run)
    engine.stop_answered(stop, 1.1)
    assert engine.plan(1.1) == []
    engine.process_report(endpoint, factory.report(), 1.2, 1.3)
    again = engine.plan(1.3)[0]
    assert again.run > order.run


def test_repeated_stop_does_not_postpone_the_release_of_its_task():
    """Stops are repeated about as often as an idle endpoint reports."""
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    engine.start_unanswered(order, 1.0)
    for sent_at in (1.1, 2.2):
        [stop] = engine.stops.due(sent_at - 0.1, engine.endpoints)
        engine.stop_answered(stop, sent_at - 0.05)
    [stop] = engine.stops.due(3.1, engine.endpoints)
    engine.stop_answered(stop, 3.15)
    engine.process_report(endpoint, factory.report(), 2.2, 3.2)
    assert order.task.state is TaskState.WAITING


def test_stopped_unanswered_start_pins_its_task_to_the_endpoint():
    """A restarted endpoint has lost the stop and would execute the late start order."""
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1"))
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    order = engine.plan(0.0)[0]
    engine.start_unanswered(order, 0.1)
    [stop] = engine.stops.due(0.1, engine.endpoints)
    engine.stop_answered(stop, 0.2)
    engine.process_report(first, factory.report(), 0.3, 0.3)
    assert order.task.state is TaskState.WAITING
    second = factory.connect_endpoint(
        engine, factory.make_info("e2", processors_milli=64000)
    )
    assert not dispatch.usable(second, order.task, 1.0)
    assert dispatch.usable(first, order.task, 1.0)
    assert dispatch.usable(second, order.task, 0.1 + MAX_ORDER_DELAY_SECONDS)


@pytest.mark.parametrize("ended", [False, True])
def test_task_of_an_unanswered_start_that_was_executed_may_run_elsewhere(ended):
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1"))
    second = factory.connect_endpoint(engine, factory.make_info("e2"))
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    first, second = (first, second) if order.endpoint is first else (second, first)
    engine.start_unanswered(order, 0.1)
    row = (order.task.name, order.run)
    if not ended:
        engine.process_report(first, factory.report(running=[row]), 0.2, 0.2)
    factory.report_end(engine, first, order, "failed", 1, 0.3)
    assert dispatch.usable(second, order.task, 0.3)


def test_executed_start_does_not_free_a_task_with_an_older_unanswered_start():
    """The older order may still be executed if the endpoint restarts."""
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1"))
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    engine.start_unanswered(order, 0.1)
    [stop] = engine.stops.due(0.1, engine.endpoints)
    engine.stop_answered(stop, 0.2)
    engine.process_report(first, factory.report(), 0.3, 0.3)
    [again] = engine.plan(0.3)
    engine.start_unanswered(again, 0.4)
    factory.report_end(engine, first, again, "failed", 1, 0.5)
    second = factory.connect_endpoint(engine, factory.make_info("e2"))
    assert not dispatch.usable(second, order.task, 1.0)


def test_refused_start_at_a_restarted_endpoint_does_not_pin_its_task():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info("e1"))
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    engine.register_endpoint(factory.make_info("e1", born_ms=2), 0.1)
    engine.start_refused(order, 0.2)
    second = factory.connect_endpoint(engine, factory.make_info("e2"))
    assert dispatch.usable(second, order.task, 0.2)


def test_pinned_task_does_not_block_other_tasks():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    job = engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    first = job.task(0, 0)
    first.pinned_endpoint, first.pinned_until = object(), 10.0
    assert [order.task for order in engine.plan(0.0)] == [job.task(0, 1)]


def test_unanswered_start_counts_as_started_once_reported():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    order = engine.plan(0.0)[0]
    engine.start_unanswered(order, 1.0)
    row = (order.task.name, order.run)
    engine.process_report(endpoint, factory.report(running=[row]), 1.2, 1.3)
    assert order.task.state is TaskState.RUNNING


def order_first_start(engine):
    """Add a job of one task; return its endpoint and its start order."""
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    return endpoint, engine.plan(0.0)[0]


@pytest.mark.parametrize(
    "outcome",
    ["in-transit", "refused", "unanswered", "stopped", "restarted", "ended", "lapsed"],
)
def test_job_whose_start_was_not_executed_counts_as_pending(outcome):
    """A job whose first start order was lost was shown as running and not counted."""
    engine = factory.make_engine()
    endpoint, order = order_first_start(engine)
    if outcome == "refused":
        engine.start_refused(order, 1.0)
    elif outcome != "in-transit":
        engine.start_unanswered(order, 1.0)
    if outcome == "stopped":
        [stop] = engine.stops.due(1.0, engine.endpoints)
        engine.stop_answered(stop, 1.1)
        engine.process_report(endpoint, factory.report(), 1.2, 1.3)
        assert order.task.state is TaskState.WAITING
    elif outcome == "restarted":
        engine.register_endpoint(factory.make_info(born_ms=2), 2.0)
    elif outcome == "ended":
        engine.end_incarnation(endpoint, 2.0)
    elif outcome == "lapsed":
        endpoint.mark_silent(2.0)
        engine.expire(30.0)
        assert order.task.state is TaskState.WAITING
    assert engine.pending_job_counts() == {"q": 1}
    assert order.task.job.progress().state is JobState.QUEUED


@pytest.mark.parametrize(
    "evidence", ["answer", "late-answer", "row", "duplicate", "end"]
)
def test_job_no_longer_counts_as_pending_once_a_start_is_known(evidence):
    """Jobs that have begun stay so, also if their runs are lost afterwards."""
    engine = factory.make_engine()
    endpoint, order = order_first_start(engine)
    counts = [engine.pending_job_counts()]
    row = (order.task.name, order.run)
    if evidence == "answer":
        engine.start_answered(order, 1.0)
    else:
        engine.start_unanswered(order, 1.0)
    if evidence == "late-answer":
        engine.end_incarnation(endpoint, 1.1)
        engine.start_answered(order, 1.2)
    elif evidence == "row":
        engine.process_report(endpoint, factory.report(running=[row]), 1.2, 1.3)
    elif evidence == "duplicate":
        other = factory.connect_endpoint(engine, factory.make_info("e2"), 1.2)
        engine.process_report(other, factory.report(running=[row]), 1.2, 1.3)
    elif evidence == "end":
        ended = factory.report(ended=[(1, *row, "lapsed")])
        engine.process_report(endpoint, ended, 1.2, 1.3)
    counts.append(engine.pending_job_counts())
    assert counts == [{"q": 1}, {}]
    assert factory.store(engine)[order.task.job.id].state is JobState.RUNNING
    engine.end_incarnation(endpoint, 3.0)
    assert engine.pending_job_counts() == {}


def test_successor_counts_a_job_whose_start_was_lost_as_pending():
    """The predecessor stored such a job as running, so the successor left it out."""
    first = factory.make_engine()
    _endpoint, order = order_first_start(first)
    first.start_unanswered(order, 1.0)
    stored = factory.store(first).get(order.task.job.id, Progress())
    second = factory.make_engine(term=1)
    spec = order.task.job.spec
    second.add_job(spec, factory.QUEUE, 2.0, factory.reload(stored), inherited=True)
    assert second.pending_job_counts() == {"q": 1}


def test_job_stored_as_running_by_an_earlier_build_is_pending_until_a_run_is_known():
    """Earlier builds stored jobs as running before their start was answered."""
    engine = factory.make_engine(term=1)
    spec = factory.make_spec(steps=(SMALL,))
    progress = Progress(state=JobState.RUNNING, done=["0"])
    job = engine.add_job(spec, factory.QUEUE, 0.0, progress, inherited=True)
    assert engine.pending_job_counts() == {"q": 1}
    assert job.progress().state is JobState.QUEUED
    row = (f"{job.id}.0.0.0", 1)
    factory.connect_endpoint(engine, factory.make_info(), running=[row])
    assert engine.pending_job_counts() == {}
    assert factory.store(engine)[job.id].state is JobState.RUNNING


@pytest.mark.parametrize(
    "stored",
    [
        b'{"state": "running", "done": ["2"]}',
        b'{"state": "running", "done": ["0"], "failures": {"t": [1]}}',
        b'{"state": "running", "done": ["0"], "has_started": true}',
    ],
)
def test_job_that_has_begun_in_an_earlier_term_is_not_pending(stored):
    engine = factory.make_engine(term=1)
    progress = msgspec.json.decode(stored, type=Progress)
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0, progress, inherited=True)
    assert engine.pending_job_counts() == {}


def test_unanswered_start_at_restarted_endpoint_blocks_its_task_until_stopped():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    order = engine.plan(0.0)[0]
    engine.start_unanswered(order, 1.0)
    restarted_info = factory.make_info(born_ms=2)
    factory.connect_endpoint(engine, restarted_info, now=2.0, born_ms=2)
    assert engine.plan(2.0) == []
    for stop in engine.stops.due(2.0, engine.endpoints):
        engine.stop_answered(stop, 2.1)
    endpoint = engine.endpoints["e1"]
    engine.process_report(endpoint, factory.report(born_ms=2), 2.2, 2.3)
    factory.store(engine)
    assert len(engine.plan(2.3)) == 1


def test_unanswered_start_at_lost_endpoint_blocks_its_task_for_the_longest_delay():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    factory.connect_endpoint(engine, factory.make_info("e2", processors_milli=500))
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    order = engine.plan(0.0)[0]
    engine.start_unanswered(order, 1.0)
    order.endpoint.mark_silent(1.0)
    engine.unlist_endpoint("e1")
    for now in (5.0, factory.MAX_LEASE + 2.0):
        engine.expire(now)
    assert order.task.state is TaskState.UNCONFIRMED
    engine.expire(1.0 + MAX_ORDER_DELAY_SECONDS)
    assert order.task.state is TaskState.WAITING


def test_unanswered_start_at_restarted_endpoint_out_of_reach_is_released():
    """A late order can grant the new incarnation the longest lease."""
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    engine.start_unanswered(order, 1.0)
    engine.register_endpoint(factory.make_info(born_ms=2), 2.0)
    engine.expire(1.0 + MAX_ORDER_DELAY_SECONDS + factory.MAX_LEASE)
    assert order.task.state is TaskState.UNCONFIRMED
    engine.expire(2.5 + MAX_ORDER_DELAY_SECONDS + factory.MAX_LEASE * 1.03)
    assert order.task.state is TaskState.WAITING


def test_unanswered_start_at_restarted_endpoint_that_left_is_not_released_too_early():
    """It may run on, cut off from the store; its lease counts from the late order."""
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    engine.start_unanswered(order, 1.0)
    engine.register_endpoint(factory.make_info(born_ms=2), 2.0)
    engine.unlist_endpoint("e1")
    engine.expire(2.0 + MAX_ORDER_DELAY_SECONDS + 1.0)
    assert order.task.state is TaskState.UNCONFIRMED


def test_stopped_start_at_restarted_endpoint_out_of_reach_is_released():
    """The stop may be answered beside the restart, and the endpoint then be cut off."""
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    engine.start_unanswered(order, 1.0)
    [stop] = engine.stops.due(1.0, engine.endpoints)
    engine.register_endpoint(factory.make_info(born_ms=2), 1.5)
    engine.stop_answered(stop, 1.6)
    engine.expire(2.0 + 2 * MAX_ORDER_DELAY_SECONDS + 2 * factory.MAX_LEASE)
    assert order.task.state is TaskState.WAITING


def test_stopped_unanswered_start_pins_its_task_until_a_late_run_has_lapsed():
    """The restarted endpoint, out of reach, may execute the order at the last moment.

    Its clock has begun anew, so the order grants it the longest lease.
    """
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1"))
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    engine.start_unanswered(order, 1.0)
    [stop] = engine.stops.due(1.0, engine.endpoints)
    engine.stop_answered(stop, 1.1)
    engine.process_report(first, factory.report(), 1.2, 1.3)
    engine.register_endpoint(factory.make_info("e1", born_ms=2), 2.0)
    factory.connect_endpoint(engine, factory.make_info("e2"))
    late = 1.0 + MAX_ORDER_DELAY_SECONDS
    engine.expire(late + 1.0)
    assert engine.plan(late + 1.0) == []
    assert engine.plan(late + factory.MAX_LEASE * 1.03 + 2.0)


def test_stuck_run_is_stopped_and_its_endpoint_is_barred():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    for id in ("e2", "e3"):
        factory.connect_endpoint(engine, factory.make_info(id, service="x"))
    engine.add_job(factory.make_spec(steps=[SMALL]), factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    row = (order.task.name, order.run, "", 20, 1000)
    engine.process_report(endpoint, factory.report(running=[row]), 0.5, 0.5)
    engine.process_report(endpoint, factory.report(running=[row]), 1.9, 1.9)
    assert order.task.state is TaskState.RUNNING
    later = 0.6 + progress.STUCK_SECONDS
    engine.process_report(endpoint, factory.report(running=[row]), later, later)
    [stop] = engine.stops.due(later, engine.endpoints)
    assert (stop.task, stop.reason) == (order.task.name, "stuck")
    assert endpoint not in planning.available_endpoints(engine, later)


def test_endpoint_running_only_replicas_gets_a_task_once_its_bar_ends():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    for id in ("e2", "e3"):
        factory.connect_endpoint(engine, factory.make_info(id, service="x"))
    replica = Step(count=1, processors_milli=1000, replica=True)
    engine.add_job(factory.make_spec("a" * 16, steps=[replica]), factory.QUEUE, 0.0)
    factory.start_all(engine)
    endpoint.health.bar(0.0)
    engine.add_job(factory.make_spec("b" * 16), factory.QUEUE, 0.0)
    assert engine.plan(0.1) == []
    orders = factory.start_all(engine, endpoint.health.barred_until)
    assert [order.endpoint for order in orders] == [endpoint]


def test_tasks_are_spread_if_most_endpoints_are_on_probation():
    """The fault is not theirs then, and a probe may run for long."""
    engine = factory.make_engine()
    endpoints = [
        factory.connect_endpoint(engine, factory.make_info(f"e{number}"))
        for number in range(3)
    ]
    for endpoint in endpoints:
        endpoint.health.bar(0.0)
    steps = [Step(count=6, processors_milli=1000)]
    engine.add_job(factory.make_spec(steps=steps), factory.QUEUE, 0.0)
    assert len(factory.start_all(engine, 5.0)) == 6


def test_tasks_run_if_all_endpoints_of_their_service_are_barred():
    engine = factory.make_engine()
    for number in range(4):
        factory.connect_endpoint(engine, factory.make_info(f"x{number}", service="x"))
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    for _failure in range(3):
        endpoint.health.bar(0.0)
    assert engine.plan(1.9) == []
    assert factory.start_all(engine, 3.0)


def test_replica_pinned_to_an_endpoint_gets_its_room_before_other_replicas():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    step = Step(processors_milli=8000, replica=True)
    engine.add_job(factory.make_spec("a" * 16, steps=[step]), factory.QUEUE, 1.0)
    [pinned] = engine.plan(1.0)
    engine.start_unanswered(pinned, 1.8)
    [stop] = engine.stops.due(1.9, engine.endpoints)
    engine.stop_answered(stop, 1.9)
    engine.process_report(endpoint, factory.report(), 2.0, 2.0)
    assert pinned.task.endpoint is None
    factory.connect_endpoint(engine, factory.make_info("e2"))
    engine.add_job(factory.make_spec("b" * 16, steps=[step]), factory.QUEUE, 0.5)
    orders = factory.start_all(engine, 2.1)
    assert [(order.task.job.id[0], order.endpoint.id) for order in orders] == [
        ("a", "e1"),
        ("b", "e2"),
    ]


def test_replica_waits_no_longer_than_2_seconds_for_a_bar_before_a_success():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    for number in range(3):
        info = factory.make_info(f"full{number}", processors_milli=0)
        factory.connect_endpoint(engine, info)
    for _failure in range(4):
        endpoint.health.bar(0.0)
    endpoint.health.succeeded()
    step = Step(processors_milli=1000, replica=True)
    job = engine.add_job(factory.make_spec(steps=[step]), factory.QUEUE, 0.0)
    job.task(0, 0).not_before = 3.0
    assert engine.plan(4.9) == []
    [order] = engine.plan(5.0)
    assert order.endpoint is endpoint


def test_replica_waits_no_longer_than_2_seconds_for_the_probe_of_an_endpoint():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    for number in range(3):
        info = factory.make_info(f"full{number}", processors_milli=0)
        factory.connect_endpoint(engine, info)
    endpoint.health.bar(0.0)
    engine.add_job(factory.make_spec("a" * 16, steps=[SMALL]), factory.QUEUE, 2.0)
    [probe] = factory.start_all(engine, 2.0)
    step = Step(count=1, processors_milli=1000, replica=True)
    spec = factory.make_spec("b" * 16, steps=[step])
    job = engine.add_job(spec, factory.QUEUE, 3.0)
    job.task(0, 0).not_before = 3.0
    assert engine.plan(4.9) == []
    [order] = factory.start_all(engine, 5.0)
    assert order.endpoint is probe.endpoint is endpoint


def test_lost_endpoint_keeps_its_tasks_until_their_leases_expire():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    job = engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    factory.start_all(engine)
    endpoint.grant(0.0, 5.0)
    endpoint.mark_silent(1.0)
    engine.unlist_endpoint("e1")
    engine.expire(5.0)
    assert len(job.assigned_tasks()) == 1
    engine.expire(factory.MAX_LEASE * 1.03 + 0.5)
    assert job.assigned_tasks() == []


def test_late_scheduler_gives_up_runs_whose_ends_it_has_not_read():
    """Their tasks, done already, would run again."""
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    endpoint.grant(0.0, 5.0)
    engine.expire(20.0)
    assert order.task.endpoint is endpoint
    factory.report_end(engine, endpoint, order, "done", 1, 20.1)
    assert order.task.state is TaskState.DONE


def test_late_report_of_a_forgotten_endpoint_places_no_task():
    """The leases of a forgotten endpoint are no longer watched."""
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    endpoint.mark_silent(1.0)
    engine.unlist_endpoint("e1")
    engine.expire(20.0)
    assert "e1" not in engine.endpoints
    row = (order.task.name, order.run)
    late = factory.report(running=[row], clock_ms=100)
    engine.process_report(endpoint, late, 19.0, 20.1)
    assert order.task.state is TaskState.WAITING


def test_end_reported_twice_counts_once():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    job = engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    order = factory.start_all(engine)[0]
    factory.report_end(engine, endpoint, order, "done", 1, 1.0)
    factory.report_end(engine, endpoint, order, "done", 1, 2.0)
    assert job.remaining == [0]


def lose_first_run():
    """Lose the first run of a task while a second endpoint is available.

    Returns the engine, both endpoints, the job's `JobSpec`, and the row that reports
    the first run as done.
    """
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1"))
    spec = factory.make_spec(steps=[Step(count=1, processors_milli=6000)])
    engine.add_job(spec, factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    row = (order.task.name, order.run, "done")
    engine.lose_run(order.task, "lapsed", 1.0)
    first.unreachable_since = 1.0
    second = factory.connect_endpoint(engine, factory.make_info("e2"))
    return engine, first, second, spec, row


def test_redundant_run_keeps_its_resources_until_it_has_ended():
    """A report sent before the stop was executed may still list the run."""
    engine, first, second, spec, row = lose_first_run()
    [again] = factory.start_all(engine, 1.0)
    assert again.endpoint is second
    engine.process_report(first, factory.report(ended=[(1, *row)]), 2.0, 2.0)
    assert not second.fits(spec.steps[0])
    running = [(again.task.name, again.run, "", 50, 6000)]
    engine.process_report(second, factory.report(running=running), 2.1, 2.1)
    assert not second.fits(spec.steps[0])
    [stop] = engine.stops.due(2.2, engine.endpoints)
    engine.stop_answered(stop, 2.3)
    engine.process_report(second, factory.report(), 2.5, 2.5)
    assert second.fits(spec.steps[0])


def test_redundant_start_in_transit_keeps_its_resources_until_stopped():
    """A report may overtake the start order: only an answered stop excludes the run."""
    engine, first, second, spec, row = lose_first_run()
    [again] = engine.plan(1.0)
    assert again.endpoint is second
    engine.process_report(first, factory.report(ended=[(1, *row)]), 1.1, 1.1)
    engine.process_report(second, factory.report(), 1.2, 1.2)
    assert not second.fits(spec.steps[0])
    [stop] = engine.stops.due(1.2, engine.endpoints)
    engine.stop_answered(stop, 1.3)
    assert not second.fits(spec.steps[0])
    engine.process_report(second, factory.report(), 1.4, 1.4)
    assert second.fits(spec.steps[0])


def test_job_fails_after_its_attempts_and_each_failed_run_counts_once():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    spec = factory.make_spec(steps=(SMALL,), attempts=2)
    job = engine.add_job(spec, factory.QUEUE, 0.0)
    order = factory.start_all(engine)[0]
    factory.report_end(engine, endpoint, order, "failed", 1, 1.0)
    assert not job.record_failure(order.task, order.run)
    assert job.state is JobState.QUEUED
    second = factory.start_all(engine, 10.0)[0]
    factory.report_end(engine, endpoint, second, "failed", 2, 11.0)
    assert job.state is JobState.FAILED


def test_replica_is_restarted_without_limit():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    steps = (Step(count=1, processors_milli=1000, replica=True),)
    job = engine.add_job(factory.make_spec(steps=steps, attempts=1), factory.QUEUE, 0.0)
    for number in range(1, 6):
        now = 10.0 * number
        endpoint.health.barred_until = 0.0
        order = factory.start_all(engine, now)[0]
        factory.report_end(engine, endpoint, order, "failed", number, now + 1)
    assert not job.ended


def test_cancelled_job_starts_no_tasks_and_stays_cancelled():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    job = engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    orders = factory.start_all(engine)
    engine.cancel(job.id)
    assert {order.task for order in engine.stops.due(0.5, engine.endpoints)} == {
        order.task.name for order in orders
    }
    for number, order in enumerate(orders, 1):
        factory.report_end(engine, endpoint, order, "done", number, 1.0)
    assert job.state is JobState.CANCELLED
    assert engine.plan(2.0) == []


# Adoption of runs by a successor


def test_successor_adopts_runs_and_keeps_done_tasks():
    first = factory.make_engine()
    endpoint = factory.connect_endpoint(first, factory.make_info())
    spec = factory.make_spec()
    first.add_job(spec, factory.QUEUE, 0.0)
    orders = factory.start_all(first)
    factory.report_end(first, endpoint, orders[0], "done", 1, 1.0)
    progress = factory.reload(factory.store(first)[spec.id])

    second = factory.make_engine(term=1, inherited_until=20.0)
    second.inherited_endpoints.expect("e1", "a")
    job = second.add_job(spec, factory.QUEUE, 2.0, progress, inherited=True)
    factory.connect_endpoint(second, factory.make_info("e2"), 2.0)
    assert second.plan(2.0) == []
    row = (orders[1].task.name, orders[1].run)
    factory.connect_endpoint(second, factory.make_info(), 2.0, running=[row])
    second.expire(2.0)
    assert second.plan(2.0) == []
    assert [task.name for task in job.assigned_tasks()] == [orders[1].task.name]


def test_successor_waits_for_endpoint_that_it_cannot_reach():
    engine = factory.make_engine(term=1, inherited_until=8.0)
    engine.inherited_endpoints.expect("gone", "a")
    engine.inherited_endpoints.expect("e1", "a")
    job = engine.add_job(factory.make_spec(), factory.QUEUE, 0.0, inherited=True)
    other = factory.make_spec(id="f" * 16, domain="b")
    engine.add_job(other, factory.QUEUE, 0.0, inherited=True)
    factory.connect_endpoint(engine, factory.make_info())
    factory.connect_endpoint(engine, factory.make_info("e2", failure_domain="b"))
    assert {order.task.job.id for order in engine.plan(0.0)} == {other.id}
    engine.expire(8.0)
    assert job.id in {order.task.job.id for order in engine.plan(8.0)}


def test_unlisted_endpoint_that_never_reported_still_blocks_inherited_jobs():
    engine = factory.make_engine(term=1, inherited_until=8.0)
    engine.inherited_endpoints.expect("e2", "a")
    engine.register_endpoint(factory.make_info("e2"), 0.0)
    engine.unlist_endpoint("e2")
    engine.expire(1.0)
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0, inherited=True)
    assert engine.plan(1.0) == []


def test_end_reported_before_its_step_is_open_is_kept():
    engine = factory.make_engine(term=1)
    steps = (SMALL, Step(count=1, processors_milli=1000, after=(0,)))
    spec = factory.make_spec(steps=steps)
    job = engine.add_job(spec, factory.QUEUE, 0.0, inherited=True)
    factory.connect_endpoint(
        engine, factory.make_info(), ended=[(1, f"{spec.id}.0.1.0", 1, "done")]
    )
    factory.connect_endpoint(
        engine, factory.make_info("e2"), ended=[(1, f"{spec.id}.0.0.0", 1, "done")]
    )
    assert job.state is JobState.COMPLETED


def test_run_reported_before_its_step_is_open_is_adopted():
    engine = factory.make_engine(term=1)
    steps = (SMALL, Step(count=1, processors_milli=1000, after=(0,)))
    spec = factory.make_spec(steps=steps)
    job = engine.add_job(spec, factory.QUEUE, 0.0, inherited=True)
    running = [(f"{spec.id}.0.1.0", 1)]
    endpoint = factory.connect_endpoint(engine, factory.make_info(), running=running)
    ended = [(1, f"{spec.id}.0.0.0", 1, "done")]
    listed = factory.report(running=running, ended=ended)
    engine.process_report(endpoint, listed, 1.0, 1.0)
    assert engine.plan(1.0) == []
    assert len(job.assigned_tasks()) == 1


def test_lease_granted_by_earlier_scheduler_protects_adopted_run():
    engine = factory.make_engine(term=1)
    spec = factory.make_spec(steps=(SMALL,))
    job = engine.add_job(spec, factory.QUEUE, 0.0, inherited=True)
    factory.connect_endpoint(
        engine, factory.make_info(), running=[(f"{spec.id}.0.0.0", 1)]
    )
    engine.expire(1.0)
    assert len(job.assigned_tasks()) == 1


def test_jobs_discovered_after_lease_expiry_wait_for_its_renewal():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.exclusive_until = 1.5
    engine.add_job(factory.make_spec(), factory.QUEUE, 3.0)
    assert engine.plan(3.0) == []
    engine.exclusive_until = 4.5
    assert len(engine.plan(3.1)) == 2


@pytest.mark.parametrize("term", [0, 3])
def test_runs_of_later_terms_have_higher_numbers(term):
    engine = factory.make_engine(term=term)
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    assert engine.plan(0.0)[0].run == term * 1000 + 1


def test_adopted_run_does_not_lower_the_numbers_of_later_runs():
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1"))
    second = factory.connect_endpoint(engine, factory.make_info("e2"))
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    first, second = (first, second) if order.endpoint is first else (second, first)
    engine.lose_run(order.task, "lapsed", 1.0)
    first.unreachable_since = 1.0
    [again] = factory.start_all(engine, 1.0)
    engine.lose_run(again.task, "lapsed", 1.0)
    row = (order.task.name, order.run)
    engine.process_report(first, factory.report(running=[row]), 2.0, 2.0)
    assert order.task.endpoint is first
    factory.report_end(engine, first, order, "failed", 1, 3.0)
    [last] = engine.plan(10.0)
    assert last.run > again.run


# Placement


def test_leaving_endpoints_and_disabled_domains_get_no_tasks():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info(leaving=True))
    factory.connect_endpoint(engine, factory.make_info("e2", failure_domain="b"))
    engine.disabled_domains = frozenset({"b"})
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    assert engine.plan(0.0) == []


def test_tasks_per_endpoint_are_limited():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    step = Step(count=3, processors_milli=100, max_per_endpoint=2)
    engine.add_job(factory.make_spec(steps=(step,)), factory.QUEUE, 0.0)
    assert len(engine.plan(0.0)) == 2


def test_other_domain_is_used_only_once_it_is_stored():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info(failure_domain="b"))
    job = engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    assert engine.plan(0.0) == []
    progress = factory.store(engine)[job.id]
    assert progress.domains == ["a", "b"]
    assert len(engine.plan(0.1)) == 2


def test_endpoint_without_required_label_gets_no_tasks():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    step = Step(count=1, required_label="gpu-kind")
    engine.add_job(factory.make_spec(steps=(step,)), factory.QUEUE, 0.0)
    assert engine.plan(0.0) == []


def test_deposed_scheduler_starts_no_task_whose_run_a_successor_keeps():
    engine = factory.make_engine(term=1, inherited_until=8.0)
    factory.connect_endpoint(engine, factory.make_info("e1"))
    engine.inherited_endpoints.expect("e2", "a")
    spec = factory.make_spec(steps=(SMALL,))
    engine.add_job(spec, factory.QUEUE, 0.0, inherited=True)
    engine.exclusive_until = 5.0
    engine.expire(9.0)
    assert engine.plan(9.0) == []
    engine.exclusive_until = 10.0
    engine.expire(9.0)
    assert len(engine.plan(9.0)) == 1


def test_deposed_scheduler_keeps_tasks_whose_leases_a_successor_may_have_extended():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    endpoint.grant(0.0, 5.0)
    endpoint.mark_silent(1.0)
    engine.exclusive_until = 2.0
    engine.expire(20.0)
    assert order.task.endpoint is endpoint
    engine.exclusive_until = 21.0
    engine.expire(20.0)
    assert order.task.state is TaskState.WAITING


@pytest.mark.parametrize(
    "name",
    ["{}.0.-1.0", "{}.0.00.0", "{}.0. 0.0", "{}.0.+0.0", "{}.0.0_0.0", "{}.1.0.0"],
)
@pytest.mark.parametrize("kind", ["running", "ended"])
def test_report_on_a_task_under_another_name_changes_no_task(kind, name):
    """Every task has one name; a step counted from the end is none."""
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    job = engine.add_job(factory.make_spec(steps=[SMALL]), factory.QUEUE, 0.0)
    odd = name.format(job.id)
    rows = {"running": [(odd, 1)], "ended": [(1, odd, 1, "done")]}
    report = factory.report(**{kind: rows[kind]})
    engine.process_report(endpoint, report, 1.0, 1.0)
    assert job.state is JobState.QUEUED
    assert job.task(0, 0).state is TaskState.WAITING
    assert set(job.tasks) == {(0, 0)}
