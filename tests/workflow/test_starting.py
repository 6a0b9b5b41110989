"""Jobs are started once the store names them, and wait at a successor if it does."""

import pytest

from clementinebay.workflow import leases, starting
from clementinebay.workflow.fleet import longest_lease
from clementinebay.workflow.inheritance import LATE_ORDER_MARGIN_SECONDS
from clementinebay.workflow.model import Step
from clementinebay.workflow.starting import StartingJobs
from tests.workflow import factory
from tests.workflow.test_inheritance import add_job, make_record, make_successor
from tests.workflow.test_leases import (
    JOB,
    LONGEST,
    OTHER,
    STEPS,
    connect,
    silence,
    store_leases,
)
from tests.workflow.test_openjobs import BACK_AT, make_restarted

REPLICAS = (Step(count=2, processors_milli=1000, replica=True),)
#: Fills an endpoint.
LARGE = (Step(count=1, processors_milli=8000),)
#: Time by which the longest lease of a start has ended that an earlier scheduler may
#: have sent until its last leases ended, in seconds.
LONGEST_WAIT = LONGEST + longest_lease(factory.MAX_LEASE) + LATE_ORDER_MARGIN_SECONDS


def make_engine(endpoints=("e1",)):
    """Return an engine that starts only jobs that are named in the store."""
    engine = factory.make_engine()
    engine.starting = StartingJobs(engine)
    for endpoint_id in endpoints:
        connect(engine, endpoint_id)
    return engine


def submit(engine, job_id=JOB, steps=STEPS):
    """Add a new job; return it."""
    return engine.add_job(factory.make_spec(job_id, steps), factory.QUEUE, 0.0)


def leases_of(final=()):
    """Return the leases of a write, with those at ``final`` endpoints as final."""
    prepared = leases.PreparedRecord(0.0, 0.0)
    prepared.final.update(final)
    return prepared


def store(engine, now, final=()):
    """Store the jobs to be named; return them, or ``None`` without a write.

    The write states leases, those at ``final`` endpoints as final, unless ``final`` is
    ``None``.
    """
    prepared = None if final is None else leases_of(final)
    record = engine.starting.prepare(now, prepared)
    if record is None:
        return None
    engine.starting.mark_stored()
    return record.jobs


def start(engine, steps=STEPS):
    """Submit a job, name it, and return its start orders of 0.1 s."""
    submit(engine, steps=steps)
    engine.plan(0.0)
    store(engine, 0.0)
    return engine.plan(0.1)


def test_job_is_started_once_a_record_names_it():
    engine = make_engine()
    assert store(engine, 0.0) == {}
    submit(engine)
    assert not engine.plan(0.0)
    assert engine.starting.is_due(0.0)
    assert engine.starting.prepare(0.1, leases_of()).jobs == {JOB: []}
    assert not engine.plan(0.1)
    assert engine.starting.mark_stored()
    assert not engine.starting.is_due(0.1)
    assert [order.task.job.id for order in engine.plan(0.1)] == [JOB]


def test_job_without_an_endpoint_is_not_named():
    engine = make_engine(endpoints=())
    store(engine, 0.0)
    submit(engine)
    assert not engine.plan(0.0)
    assert store(engine, 0.1) is None


@pytest.mark.parametrize("case", ["unanswered", "answered", "located"])
def test_job_is_named_until_its_starts_are_over(case):
    engine = make_engine()
    submit(engine, steps=REPLICAS)
    engine.plan(0.0)
    assert store(engine, 0.0) == {JOB: ["e1"]}
    for order in engine.plan(0.1):
        if case != "unanswered":
            engine.start_answered(order, 0.2, is_located=case == "located")
    assert store(engine, 0.3) == ({} if case == "located" else None)


def test_stopped_start_is_named_until_it_can_no_longer_be_executed():
    engine = make_engine()
    (order,) = start(engine)
    engine.start_unanswered(order, 1.0)
    engine.request_stop(order.task, "stopped")
    assert store(engine, 2.0) == {JOB: ["e1"]}


def test_job_with_waiting_tasks_stays_named_between_its_starts():
    engine = make_engine()
    orders = start(engine, (Step(count=12, processors_milli=1000),))
    assert len(orders) == 8
    for order in orders:
        engine.start_answered(order, 0.2, is_located=True)
    assert store(engine, 0.3) is None
    assert store(engine, 0.1 + starting.NAMED_SECONDS) == {}


def test_job_that_a_write_may_have_left_out_is_not_started():
    """The write may have succeeded without an answer."""
    engine = make_engine()
    job = submit(engine, steps=REPLICAS)
    engine.plan(0.0)
    store(engine, 0.0)
    for order in engine.plan(0.1):
        engine.start_answered(order, 0.1, is_located=True)
    engine.starting.prepare(0.2, leases_of())
    engine.lose_run(job.task(0, 0), "missing", 0.3)
    assert not engine.plan(0.3)
    # The next write names it again, also if the one before had no effect.
    assert store(engine, 0.4) == {JOB: ["e1"]}
    assert engine.plan(0.4)


def test_task_that_waits_for_a_record_holds_its_room():
    engine = make_engine()
    submit(engine, JOB, LARGE)
    submit(engine, OTHER, LARGE)
    assert not engine.plan(0.0)
    assert len(store(engine, 0.0)) == 1
    assert not engine.endpoints["e1"].tasks
    (order,) = engine.plan(0.1)
    assert order.endpoint.id == "e1"


def test_number_of_named_jobs_is_bounded(monkeypatch):
    monkeypatch.setattr(starting, "MAX_WANTED_JOBS", 1)
    engine = make_engine()
    for job_id in (JOB, OTHER):
        submit(engine, job_id)
    engine.plan(0.0)
    (named,) = store(engine, 0.0)
    (order,) = engine.plan(0.1)
    assert order.task.job.id == named
    engine.start_answered(order, 0.2, is_located=True)
    later = starting.NAMED_SECONDS + 0.2
    engine.plan(later)
    assert set(store(engine, later)) == {JOB, OTHER} - {named}


def wait_at_successor(engine, until):
    """Return the jobs that are started shortly before ``until``, and then."""
    engine.expire(until - 0.01)
    before = [order.task.job.id for order in engine.plan(until - 0.01)]
    engine.expire(until + 0.01)
    return before, [order.task.job.id for order in engine.plan(until + 0.01)]


def test_only_named_jobs_wait_for_the_longest_lease():
    engine = make_successor(make_record([]), starting=[JOB])
    connect(engine, "e2")
    for job_id in (JOB, OTHER):
        add_job(engine, job_id)
    assert wait_at_successor(engine, LONGEST) == ([], [OTHER])
    assert wait_at_successor(engine, LONGEST_WAIT) == ([], [JOB])


def test_only_named_jobs_wait_for_an_endpoint_that_restarted_unseen():
    """The runs of all others have ended with the incarnation before."""
    engine = make_successor(make_record([]), endpoints=(), starting=[JOB])
    stored = make_record([]).of("e1")
    engine.inherited_endpoints.expect("e1", "a", stored, born_ms=1)
    connect(engine, "e2")
    restarted = engine.register_endpoint(factory.make_info("e1", born_ms=2), 0.0)
    restarted.mark_silent(0.0)
    for job_id in (JOB, OTHER):
        add_job(engine, job_id)
    assert [order.task.job.id for order in engine.plan(0.0)] == [OTHER]
    assert wait_at_successor(engine, LONGEST_WAIT) == ([], [JOB])


def test_named_jobs_do_not_wait_once_the_endpoint_has_reported():
    engine = make_successor(make_record([]), starting=[JOB])
    connect(engine, "e2")
    add_job(engine)
    assert not engine.plan(0.0)
    connect(engine, "e1")
    assert engine.plan(0.0)


def test_named_jobs_do_not_wait_for_an_endpoint_whose_leases_are_stored_as_final():
    """What may be started there late is stored with these leases."""
    record = make_record([], {"e1": ([], [OTHER])})
    engine = make_successor(record, starting=[JOB])
    connect(engine, "e2")
    for job_id in (JOB, OTHER):
        add_job(engine, job_id)
    assert [order.task.job.id for order in engine.plan(0.0)] == [JOB]


def test_any_job_waits_for_the_longest_lease_without_a_record():
    engine = make_successor(make_record([]))
    engine.inherited_endpoints.load_starting_jobs(None)
    connect(engine, "e2")
    add_job(engine)
    assert wait_at_successor(engine, LONGEST) == ([], [])
    assert wait_at_successor(engine, LONGEST_WAIT) == ([], [JOB])


@pytest.mark.parametrize("named", [{OTHER: []}, None])
def test_jobs_named_by_an_earlier_term_stay_named_while_its_endpoints_are_awaited(
    named,
):
    engine = make_successor(make_record([("w", 1, 9000)]), starting=named or ())
    if named is None:
        engine.inherited_endpoints.load_starting_jobs(None)
    engine.starting = StartingJobs(engine)
    connect(engine, "w")
    engine.await_endpoint(factory.make_info("e1"), 0.0)
    assert store(engine, 0.0) == named
    assert engine.leases.prepare(0.0).of("e1").any_late
    connect(engine, "e1", 1.0)
    assert store(engine, 1.0) == {}


RECORDS = [
    (None, {JOB: []}, {JOB: []}, None),
    ({JOB: []}, {JOB: ["e1"], OTHER: []}, {JOB: ["e1"]}, {JOB: [], OTHER: []}),
    ({JOB: ["e1", "e2"]}, {JOB: ["e2"]}, {JOB: ["e2"]}, {JOB: ["e1", "e2"]}),
    ({JOB: ["e1"]}, {JOB: ["e2"]}, {}, {JOB: ["e1", "e2"]}),
    ({JOB: []}, {JOB: []}, {JOB: []}, {JOB: []}),
    ({JOB: []}, {}, {}, {JOB: []}),
]


@pytest.mark.parametrize(("first", "second", "both", "either"), RECORDS)
def test_jobs_of_two_records(first, second, both, either):
    assert starting.intersection(first, second) == both
    assert starting.intersection(second, first) == both
    assert starting.union(first, second) == either
    assert starting.union(second, first) == either


def test_jobs_without_a_readable_record_may_be_started_late():
    assert leases.UNKNOWN.any_late


def test_job_is_named_only_for_endpoints_of_starts_in_progress():
    engine = make_engine()
    submit(engine)
    engine.plan(0.0)
    assert store(engine, 0.0) == {JOB: []}
    engine.plan(0.1)
    assert store(engine, 0.1 + starting.NAMED_SECONDS) == {JOB: ["e1"]}


def test_job_without_waiting_tasks_is_named_only_for_the_endpoint_of_its_start():
    """It would have to wait for any other endpoint that is lost with the scheduler."""
    engine = make_engine()
    (_order,) = start(engine)
    assert store(engine, 0.15) == {JOB: ["e1"]}


def test_replicas_are_named_for_the_endpoints_that_they_have_found():
    engine = make_engine(("e1", "e2"))
    submit(engine, steps=(Step(count=2, processors_milli=5000, replica=True),))
    engine.plan(0.0)
    assert store(engine, 0.0) == {JOB: ["e1", "e2"]}
    orders = engine.plan(0.1)
    assert {order.endpoint.id for order in orders} == {"e1", "e2"}


def test_start_elsewhere_does_not_make_a_job_wait():
    engine = make_successor(make_record([]), endpoints=("e1", "e2"))
    stored = starting.StartingRecord(1, {JOB: ["e2"]})
    engine.inherited_endpoints.load_starting_jobs(stored)
    connect(engine, "e2")
    connect(engine, "e3")
    add_job(engine)
    assert wait_at_successor(engine, LONGEST) == ([], [JOB])


def test_start_at_an_endpoint_with_final_leases_is_not_named():
    """These are stored with the jobs that may be started there late."""
    engine = make_engine()
    (order,) = start(engine)
    engine.start_unanswered(order, 1.0)
    later = 1.0 + starting.NAMED_SECONDS
    assert store(engine, later, final={"e1"}) == {}
    assert store(engine, later + 0.1) == {JOB: ["e1"]}


def test_names_stay_in_a_write_that_states_no_leases():
    """The leases found at an endpoint may have to be stored in place of a name."""
    engine = make_engine()
    for order in start(engine, REPLICAS):
        engine.start_answered(order, 0.1, is_located=True)
    assert engine.starting.is_due(0.2)
    assert store(engine, 0.2, final=None) is None
    assert engine.starting.is_due(0.2)
    assert store(engine, 0.3) == {}
    assert not engine.starting.is_due(0.3)


def test_late_starts_at_an_endpoint_whose_leases_outlast_the_limit_are_reckoned_with(
    monkeypatch,
):
    """A start that was sent after the record may reach its next incarnation."""
    monkeypatch.setattr(factory, "MAX_LEASE", 10.0)
    engine, endpoint = make_restarted()
    engine.starting = StartingJobs(engine)
    submit(engine)
    entry = store_leases(engine, BACK_AT).of("e1")
    engine.plan(BACK_AT)
    assert store(engine, BACK_AT) == {JOB: []}
    (order,) = engine.plan(BACK_AT + 0.1)
    assert order.endpoint is endpoint
    assert entry.any_late


def test_jobs_of_little_worth_are_named_together():
    """Each is to start one task before any starts more."""
    engine = make_engine()
    step = Step(count=8, processors_milli=1000, estimate_ms=10)
    for number in range(8):
        submit(engine, f"{number:016x}", (step,))
    now = 1000.0
    assert not engine.plan(now)
    assert len(store(engine, now)) == 8
    assert len({order.task.job for order in engine.plan(now)}) == 8


def test_tasks_that_wait_for_a_record_count_against_the_limit_of_a_plan():
    engine = make_engine()
    for number in range(8):
        submit(engine, f"{number:016x}", (Step(count=1, processors_milli=1000),))
    assert not engine.plan(0.0, limit=3)
    assert len(store(engine, 0.0)) == 3


def test_unanswered_start_stays_named_while_the_next_run_is_at_the_same_endpoint():
    engine = make_engine(("e1", "w"))
    connect(engine, "w", 1.0, processors_milli=0)
    (order,) = start(engine, (Step(count=1, processors_milli=5000),))
    endpoint = order.endpoint
    engine.start_unanswered(order, 1.0)
    for stop in engine.stops.due(1.0, engine.endpoints):
        engine.stop_answered(stop, 1.1)
    engine.process_report(endpoint, factory.report(clock_ms=1500), 1.5, 1.6)
    (again,) = engine.plan(1.8)
    engine.start_answered(again, 1.9, is_located=True)
    assert store(engine, 3.0) == {JOB: [endpoint.id]}
    silence(endpoint, 3.0)
    assert store_leases(engine, 3.0).of(endpoint.id).late_jobs == [JOB]


def test_late_jobs_of_an_endpoint_without_room_in_the_record_are_named(monkeypatch):
    monkeypatch.setattr(leases, "MAX_FINAL_ENDPOINTS", 0)
    record = make_record([("w", 1, 9000)], {"e1": ([("w", 1, 9000)], [JOB], [JOB])})
    engine = make_successor(record)
    engine.starting = StartingJobs(engine)
    connect(engine, "w")
    engine.await_endpoint(factory.make_info("e1"), 0.0)
    assert store_leases(engine, 0.0).of("e1").late_jobs == []
    assert engine.starting.prepare(0.0, engine.leases.prepared).jobs == {JOB: ["e1"]}


def test_start_in_progress_outlasts_the_lease_that_it_grants():
    """The lease is short shortly before the stored limit."""
    engine = make_engine()
    submit(engine)
    engine.plan(0.0)
    store(engine, 0.0)
    (order,) = engine.plan(1.0)
    order.endpoint.grant(1.0, 0.01)
    order.endpoint.mark_silent(1.1)
    engine.expire(1.5)
    engine.start_unanswered(order, 1.8)
    assert order.task.endpoint is order.endpoint
    assert order.task.pinned_until > 1.8
