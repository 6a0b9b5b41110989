"""Endpoints whose leases outlast the stored limit, and the jobs that they are open to.

The endpoints' clocks show 1000 ms per second of the tests' time since their restart.
"""

import pytest

from clementinebay.workflow import incarnations, leases, openjobs
from clementinebay.workflow.fleet import longest_lease
from clementinebay.workflow.job import TaskState
from clementinebay.workflow.model import Step
from clementinebay.workflow.orders import MAX_ORDER_DELAY_SECONDS
from tests.workflow import factory
from tests.workflow.test_inheritance import add_job, make_successor
from tests.workflow.test_leases import (
    HORIZON,
    JOB,
    OTHER,
    STEPS,
    clocks,
    connect,
    make_engine,
    report,
    silence,
    store_leases,
)

REPLICAS = (Step(count=1, processors_milli=1000, replica=True),)
#: Lease deadline on the clock of the incarnation before.
EARLIER_MS = 500_000
#: Time of the first report of the next incarnation, and by when the longest lease that
#: it may hold has ended.
BACK_AT = 2.0
LONG_END = BACK_AT + longest_lease(factory.MAX_LEASE)
#: Time from which on a record covers such a lease.
COVERED_AT = LONG_END - longest_lease(HORIZON)


def restart(engine, endpoint, now=BACK_AT):
    """Restart an endpoint; process the first report of its next incarnation.

    The earlier clock was ahead of the next one.
    """
    endpoint.granted_ms = EARLIER_MS
    born_ms = endpoint.info.born_ms + 1
    info = factory.make_info(endpoint.id, born_ms=born_ms)
    engine.register_endpoint(info, now - 0.1)
    report(engine, endpoint, now, clock_ms=100)


def make_restarted():
    """Return an engine with a sound endpoint that is full and one that restarted."""
    engine = make_engine()
    connect(engine, "full", processors_milli=0)
    endpoint = connect(engine)
    store_leases(engine, BACK_AT - 0.5)
    restart(engine, endpoint)
    return engine, endpoint


def submit(engine, job_id=JOB, steps=STEPS, now=BACK_AT):
    """Add a job of one task."""
    return engine.add_job(factory.make_spec(job_id, steps), factory.QUEUE, now)


def start_job(engine):
    """Add a job of one task, open endpoints to it, and start the task."""
    submit(engine)
    store_leases(engine, BACK_AT)
    (_order,) = factory.start_all(engine, BACK_AT)


def make_open_to_one_job(monkeypatch):
    """Return as `make_restarted`; a record opens the endpoint to one job, ``OTHER``."""
    monkeypatch.setattr(factory, "MAX_LEASE", 10.0)
    monkeypatch.setattr(openjobs, "MAX_JOBS_IN_RECORD", 1)
    monkeypatch.setattr(openjobs, "MIN_JOBS_PER_ENDPOINT", 1)
    engine, endpoint = make_restarted()
    submit(engine, OTHER)
    store_leases(engine, BACK_AT)
    return engine, endpoint


def assert_starts_after(engine, end):
    """Assert that a task waits until ``end``, and is started then."""
    engine.expire(end - 0.01)
    assert not engine.plan(end - 0.01)
    engine.expire(end + 0.01)
    assert engine.plan(end + 0.01)


def test_record_states_the_longest_lease_of_an_endpoint_that_restarted():
    """A successor that waited for the common deadline started its tasks again."""
    engine, endpoint = make_restarted()
    record = store_leases(engine, BACK_AT)
    own = record.of("e1")
    assert clocks(own.deadline)["full"] == pytest.approx(LONG_END, abs=0.01)
    assert (own.jobs, own.longest, own.born_ms) == ([], True, endpoint.info.born_ms)
    assert clocks(record.of("full").deadline)["full"] < LONG_END


def test_task_is_not_started_there_before_its_job_is_stored():
    engine, _endpoint = make_restarted()
    submit(engine)
    assert not engine.plan(BACK_AT)
    record = engine.leases.prepare(BACK_AT + 0.1)
    assert record.of("e1").jobs == [JOB]
    assert not engine.plan(BACK_AT + 0.1)
    assert engine.leases.mark_stored()
    assert [order.task.job.id for order in engine.plan(BACK_AT + 0.2)] == [JOB]


def test_jobs_that_come_later_are_opened_soon_and_the_others_stay():
    engine, _endpoint = make_restarted()
    start_job(engine)
    submit(engine, OTHER)
    assert not engine.plan(BACK_AT + 0.1)
    soon = BACK_AT + leases.MIN_RENEW_SECONDS
    assert engine.leases.is_due(soon)
    assert store_leases(engine, soon).of("e1").jobs == [JOB, OTHER]
    assert engine.plan(soon)
    assert not engine.leases.is_due(soon + leases.MIN_RENEW_SECONDS)


def test_endpoint_is_open_to_all_jobs_once_a_record_covers_its_leases():
    engine, endpoint = make_restarted()
    store_leases(engine, COVERED_AT - 0.01)
    assert endpoint.open_jobs == frozenset()
    record = engine.leases.prepare(COVERED_AT + 0.2)
    assert "e1" not in record.final
    assert endpoint.open_jobs == frozenset()
    assert engine.leases.mark_stored()
    assert endpoint.open_jobs is None
    submit(engine)
    assert engine.plan(COVERED_AT + 0.2)


def test_write_of_an_earlier_record_does_not_open_an_endpoint_that_restarted_since():
    engine, endpoint = make_restarted()
    submit(engine)
    engine.leases.prepare(BACK_AT + 0.1)
    restart(engine, endpoint, BACK_AT + 0.3)
    engine.leases.mark_stored()
    assert not engine.plan(BACK_AT + 0.4)


@pytest.mark.parametrize("case", ["silent", "leaving"])
def test_longest_lease_stays_stored_while_an_endpoint_is_not_final_yet(case):
    """Shortly silent, or leaving with a run: the limit for all did not cover it."""
    engine, endpoint = make_restarted()
    start_job(engine)
    submit(engine, OTHER)
    if case == "silent":
        endpoint.mark_silent(BACK_AT + 0.2)
    else:
        info = factory.make_info("e1", born_ms=2, leaving=True)
        engine.register_endpoint(info, BACK_AT + 0.2)
    own = store_leases(engine, BACK_AT + 0.3).of("e1")
    assert (own.jobs, own.longest) == ([JOB], True)
    assert clocks(own.deadline)["full"] == pytest.approx(LONG_END, abs=0.01)


def test_endpoint_is_closed_again_once_longer_leases_are_reckoned_with():
    """The record under way states the end of the leases that were found."""
    engine, endpoint = make_restarted()
    submit(engine)
    engine.leases.prepare(BACK_AT + 0.1)
    incarnations.assume_longest_lease(engine, endpoint, BACK_AT + 0.2)
    engine.leases.mark_stored()
    assert not engine.plan(BACK_AT + 0.3)
    own = store_leases(engine, BACK_AT + 0.4).of("e1")
    assert own.jobs is None
    end = LONG_END + 0.2 + MAX_ORDER_DELAY_SECONDS
    assert clocks(own.deadline)["full"] == pytest.approx(end, abs=0.01)
    assert engine.plan(BACK_AT + 0.4)


def test_replicas_that_are_to_move_away_are_named():
    """They run, so nothing asked for a write, and stayed until their endpoint left."""
    engine, endpoint = make_restarted()
    leaving = connect(engine, "leaving")
    job = submit(engine, steps=REPLICAS)
    job.task(0, 0).place(leaving, 1, TaskState.RUNNING, BACK_AT)
    store_leases(engine, BACK_AT)
    assert not endpoint.admits(job)
    info = factory.make_info("leaving", leaving=True)
    engine.register_endpoint(info, BACK_AT + 0.1)
    store_leases(engine, BACK_AT + 0.2)
    assert endpoint.open_jobs == {JOB}


def test_jobs_found_at_the_first_report_are_named():
    engine = make_engine()
    connect(engine, "full", processors_milli=0)
    endpoint = connect(engine)
    job = submit(engine)
    endpoint.granted_ms = EARLIER_MS
    info = factory.make_info("e1", born_ms=2)
    engine.register_endpoint(info, BACK_AT - 0.1)
    rows = [(f"{job.id}.0.0.0", 1)]
    ends = [(1, f"{OTHER}.0.0.0", 1, "done")]
    report(engine, endpoint, BACK_AT, clock_ms=100, running=rows, ended=ends)
    report(engine, endpoint, BACK_AT + 0.1, clock_ms=200, running=rows)
    assert store_leases(engine, BACK_AT + 0.1).of("e1").jobs == [JOB, OTHER]
    assert endpoint.open_jobs == frozenset()


def test_runs_of_unknown_jobs_leave_the_jobs_unknown():
    engine, endpoint = make_restarted()
    rows = [(f"{OTHER}.0.0.0", 1)]
    report(engine, endpoint, BACK_AT + 0.1, clock_ms=200, running=rows)
    assert store_leases(engine, BACK_AT + 0.1).of("e1").jobs is None


def test_endpoint_is_opened_to_a_limited_number_of_jobs(monkeypatch):
    monkeypatch.setattr(openjobs, "MAX_JOBS_IN_RECORD", 1)
    engine, _endpoint = make_restarted()
    for number in range(openjobs.MIN_JOBS_PER_ENDPOINT + 5):
        submit(engine, f"{number:016x}")
    jobs = store_leases(engine, BACK_AT).of("e1").jobs
    assert len(jobs) == openjobs.MIN_JOBS_PER_ENDPOINT


def test_jobs_placed_elsewhere_do_not_bar_others_from_endpoints(monkeypatch):
    """All endpoints were opened to the same jobs, and the others waited for seconds."""
    monkeypatch.setattr(factory, "MAX_LEASE", 10.0)
    engine = make_engine()
    connect(engine, "full", processors_milli=0)
    restarted = [connect(engine, f"e{number}") for number in range(10)]
    for endpoint in restarted:
        restart(engine, endpoint)
    monkeypatch.setattr(openjobs, "MAX_JOBS_IN_RECORD", 1)
    job_count = 2 * openjobs.MIN_JOBS_PER_ENDPOINT
    for number in range(job_count):
        submit(engine, f"{number:016x}")
    started = 0
    for now in (BACK_AT, BACK_AT + 0.2, BACK_AT + 0.4, BACK_AT + 0.6):
        store_leases(engine, now)
        started += len(factory.start_all(engine, now))
    assert started == job_count


def test_ended_jobs_do_not_bar_others_from_an_endpoint(monkeypatch):
    engine, endpoint = make_open_to_one_job(monkeypatch)
    (order,) = factory.start_all(engine, BACK_AT)
    ends = [(1, order.task.name, order.run, "done")]
    report(engine, endpoint, BACK_AT + 0.1, clock_ms=200, ended=ends)
    factory.store(engine)
    submit(engine, JOB)
    store_leases(engine, BACK_AT + 0.4)
    assert engine.plan(BACK_AT + 0.4)


def test_job_that_no_endpoint_admits_holds_up_no_others_of_its_shape(monkeypatch):
    engine, _endpoint = make_open_to_one_job(monkeypatch)
    submit(engine, JOB, now=BACK_AT - 1.0)
    assert [order.task.job.id for order in engine.plan(BACK_AT)] == [OTHER]


def test_endpoint_is_not_opened_to_jobs_of_other_services():
    engine = make_engine()
    endpoint = connect(engine, service="other")
    restart(engine, endpoint)
    engine.register_endpoint(
        factory.make_info("e1", born_ms=2, service="other"), BACK_AT
    )
    submit(engine)
    assert store_leases(engine, BACK_AT).of("e1").jobs == []


def test_replica_is_started_elsewhere_if_there_is_room():
    """If the endpoint is lost again, the replica waits for the longest lease."""
    engine = make_engine()
    connect(engine, "sound")
    endpoint = connect(engine)
    restart(engine, endpoint)
    submit(engine, steps=REPLICAS)
    store_leases(engine, BACK_AT)
    assert endpoint.admits(engine.jobs[JOB])
    (order,) = engine.plan(BACK_AT)
    assert order.endpoint.id == "sound"


def test_limit_for_all_endpoints_covers_those_beyond_the_greatest_number(monkeypatch):
    monkeypatch.setattr(leases, "MAX_FINAL_ENDPOINTS", 1)
    engine, _endpoint = make_restarted()
    silence(connect(engine, "lost", BACK_AT), BACK_AT)
    record = store_leases(engine, BACK_AT)
    assert set(record.final) == {"lost"}
    assert record.longest
    assert clocks(record.deadline)["full"] == pytest.approx(LONG_END, abs=0.01)


def test_endpoint_that_has_not_reported_since_its_restart_is_stored():
    """Its scheduler was killed in between, and an order may have reached it."""
    engine = make_engine()
    connect(engine, "full", processors_milli=0)
    connect(engine)
    engine.add_job(factory.make_spec(JOB, STEPS), factory.QUEUE, 0.0)
    engine.leases.limit = engine.leases.until = float("inf")
    (order,) = engine.plan(0.0)
    engine.start_unanswered(order, 0.5)
    engine.register_endpoint(factory.make_info("e1", born_ms=2), 1.0)
    own = store_leases(engine, 1.0).of("e1")
    end = 1.0 + longest_lease(factory.MAX_LEASE)
    assert clocks(own.deadline)["full"] == pytest.approx(end, abs=0.01)
    assert (own.jobs, own.late_jobs, own.longest) == ([JOB], [JOB], True)


# Successors


def test_only_jobs_that_were_opened_wait_for_the_longest_lease():
    first, _endpoint = make_restarted()
    submit(first)
    record = store_leases(first, BACK_AT)
    second = make_successor(record, BACK_AT + 1.0, ("e1",))
    connect(second, "w", BACK_AT + 1.0)
    add_job(second, JOB, BACK_AT + 1.0)
    add_job(second, OTHER, BACK_AT + 1.0)
    (order,) = second.plan(BACK_AT + 1.0)
    assert order.task.job.id == OTHER


@pytest.mark.parametrize("terms", [1, 2, 5])
def test_job_waits_for_the_longest_lease_however_many_terms_follow(terms):
    """Each ends before the endpoint answers it."""
    first, _endpoint = make_restarted()
    submit(first)
    record = store_leases(first, BACK_AT)
    now = BACK_AT
    for term in range(1, terms + 1):
        now = BACK_AT + 0.4 * term
        engine = make_successor(record, now, ("e1",), term)
        connect(engine, "full", now, processors_milli=0)
        engine.await_endpoint(factory.make_info("e1", born_ms=2), now)
        silence(engine.endpoints["e1"], now)
        engine.expire(now)
        record = store_leases(engine, now)
        assert record.of("e1").jobs == [JOB]
    last = make_successor(record, now + 0.4, ("e1",), terms + 1)
    connect(last, "full", now + 0.4, processors_milli=0)
    connect(last, "w", now + 0.4)
    add_job(last, JOB, now + 0.4)
    last.expire(LONG_END - 0.01)
    assert not last.plan(LONG_END - 0.01)
    late = LONG_END + 0.5
    last.expire(late)
    assert last.plan(late)


def test_wait_without_a_witness_is_for_the_longest_lease():
    stored = leases.EndpointLeases([("gone", 1, 0)], [JOB], longest=True)
    engine = make_successor(leases.LeaseRecord(0, [], {"e1": stored}))
    connect(engine, "w")
    add_job(engine, JOB)
    assert_starts_after(engine, longest_lease(factory.MAX_LEASE))


def test_leases_stored_for_the_listed_incarnation_need_no_longer_wait():
    """The address may be that of an incarnation before."""
    stored = leases.EndpointLeases([("w", 1, 3000)], [JOB], longest=True, born_ms=2)
    engine = make_successor(leases.LeaseRecord(0, [], {"e1": stored}), endpoints=())
    engine.inherited_endpoints.expect("e1", "a", stored, born_ms=1)
    engine.register_endpoint(factory.make_info("e1", born_ms=2), 0.0).mark_silent(0.0)
    connect(engine, "w")
    add_job(engine, JOB)
    engine.expire(3.2)
    assert engine.plan(3.2)


def test_leases_without_a_readable_record_may_be_the_longest():
    engine = make_successor(None, endpoints=())
    engine.inherited_endpoints.expect("e1", "a", leases.UNKNOWN)
    connect(engine, "w")
    add_job(engine, JOB)
    assert_starts_after(engine, longest_lease(factory.MAX_LEASE))
