"""What a successor expects at endpoints that it has not heard of."""

import pytest

from clementinebay.workflow import leases
from clementinebay.workflow.fleet import MAX_CLOCK_DRIFT, longest_lease
from clementinebay.workflow.inheritance import LATE_ORDER_MARGIN_SECONDS
from clementinebay.workflow.model import Step
from clementinebay.workflow.starting import StartingRecord
from tests.workflow import factory
from tests.workflow.test_leases import (
    JOB,
    LONGEST,
    OTHER,
    STEPS,
    connect,
    make_engine,
    report,
    silence,
    start,
    store_leases,
)


def make_successor(record, now=0.0, endpoints=("e1",), term=1, starting=()):
    """Return the engine of a term that begins at ``now`` and expects ``endpoints``.

    ``starting`` has the ids of the jobs that are stored as being started.
    """
    engine = make_engine(term, leases.inherited_until(factory.MAX_LEASE, now))
    stored = StartingRecord(term, {job_id: [] for job_id in starting})
    engine.inherited_endpoints.load_starting_jobs(stored)
    for endpoint_id in endpoints:
        stored = None if record is None else record.of(endpoint_id)
        engine.inherited_endpoints.expect(endpoint_id, "a", stored)
    return engine


def make_record(deadline, final=None, term=0):
    """Return a stored record; ``final`` has (deadline, jobs) by endpoint id."""
    final = {name: leases.EndpointLeases(*row) for name, row in (final or {}).items()}
    return leases.LeaseRecord(term, deadline, final)


def add_job(engine, job_id=JOB, now=0.0):
    """Add a job of an earlier term; return it."""
    spec = factory.make_spec(job_id, STEPS)
    return engine.add_job(spec, factory.QUEUE, now, inherited=True)


def test_only_listed_jobs_wait_for_an_endpoint():
    record = make_record([], {"e1": ([], [JOB])})
    engine = make_successor(record)
    connect(engine, "e2")
    add_job(engine, JOB)
    add_job(engine, OTHER)
    assert [order.task.job.id for order in engine.plan(0.0)] == [OTHER]
    report(engine, connect(engine, "e1"), 0.0)
    assert [order.task.job.id for order in engine.plan(0.0)] == [JOB]


@pytest.mark.parametrize(
    "record", [None, make_record([]), make_record([], {"e1": ([], None)})]
)
def test_all_jobs_wait_if_those_at_an_endpoint_are_unknown(record):
    engine = make_successor(record)
    connect(engine, "e2")
    add_job(engine)
    assert not engine.plan(0.0)
    engine.expire(LONGEST - 0.1)
    assert not engine.plan(LONGEST - 0.1)
    engine.expire(LONGEST)
    assert engine.plan(LONGEST)


def test_wait_ends_once_a_witness_shows_the_deadline():
    record = make_record([("w", 1, 5000)], {"e1": ([("w", 1, 2000)], [JOB])})
    engine = make_successor(record, endpoints=("e1", "e2"))
    witness = connect(engine, "w")
    add_job(engine)
    end = 2.0 / (1 - MAX_CLOCK_DRIFT)
    engine.expire(end - 0.01)
    assert engine.inherited_endpoints.awaited() == ["e1", "e2"]
    engine.expire(end)
    assert engine.inherited_endpoints.awaited() == ["e2"]
    report(engine, witness, 5.0)
    engine.expire(5.0)
    assert not engine.inherited_endpoints.awaited()


@pytest.mark.parametrize("case", ["unknown", "silent", "restarted"])
def test_term_waits_by_its_own_bound_without_the_witness_s_clock(case):
    record = make_record([("w", 1, 100)])
    engine = make_successor(record)
    if case == "restarted":
        connect(engine, "w", born_ms=2)
    elif case == "silent":
        engine.register_endpoint(factory.make_info("w"), 0.0)
    engine.expire(LONGEST - 0.1)
    assert engine.inherited_endpoints.awaited() == ["e1"]
    engine.expire(LONGEST)
    assert not engine.inherited_endpoints.awaited()


def test_own_bound_holds_if_a_witness_s_clock_shows_later():
    engine = make_successor(make_record([("w", 1, 900_000)]))
    connect(engine, "w")
    engine.expire(LONGEST)
    assert not engine.inherited_endpoints.awaited()


def test_witness_that_falls_silent_still_tells_the_time():
    engine = make_successor(make_record([("w", 1, 2000)]))
    silence(connect(engine, "w"), 1.0)
    engine.expire(1.9)
    assert engine.inherited_endpoints.awaited() == ["e1"]
    engine.expire(2.0 / (1 - MAX_CLOCK_DRIFT))
    assert not engine.inherited_endpoints.awaited()


def test_final_leases_are_carried_from_one_record_to_the_next():
    record = make_record([("w", 1, 9000)], {"e1": ([("w", 1, 3000)], [JOB])})
    engine = make_successor(record, 1.0)
    witness = connect(engine, "w", 1.0)
    engine.await_endpoint(factory.make_info("e1"), 1.0)
    engine.expire(1.0)
    final = store_leases(engine, 1.0).final["e1"]
    assert final.jobs == [JOB]
    ((_id, _born, clock_ms),) = final.deadline
    assert 3000 <= clock_ms <= 3000 + 2000 * MAX_CLOCK_DRIFT / (1 - MAX_CLOCK_DRIFT) + 1
    # Later records of the term state it unchanged.
    report(engine, witness, 2.0)
    engine.expire(2.0)
    ((_id, _born, later_ms),) = store_leases(engine, 2.0).final["e1"].deadline
    assert later_ms <= clock_ms


def test_endpoint_that_was_not_final_becomes_final_with_the_common_deadline():
    engine = make_successor(make_record([("w", 1, 4000)]), 1.0)
    connect(engine, "w", 1.0)
    engine.await_endpoint(factory.make_info("e1"), 1.0)
    engine.expire(1.0)
    final = store_leases(engine, 1.0).final["e1"]
    assert final.jobs is None
    assert 4000 <= final.deadline[0][2] <= 4070


@pytest.mark.parametrize("drift", [0.0, MAX_CLOCK_DRIFT / 2, MAX_CLOCK_DRIFT])
def test_terms_in_series_do_not_begin_a_deadline_anew(drift):
    """Each adds no more than the drift that a clock may have in the time left."""
    end, ahead, put_off = 6.0, 50_000, 0.0
    rate = 1000 * (1 - drift)
    record = make_record([("w", 1, int(ahead + end * rate) + 1)])
    for term in range(1, 6):
        now = float(term)
        engine = make_successor(record, now, term=term)
        witness = connect(engine, "w", now)
        witness.reset(witness.info)
        report(engine, witness, now, clock_ms=int(ahead + now * rate))
        engine.await_endpoint(factory.make_info("e1"), now)
        engine.expire(now)
        left = engine.inherited_endpoints.end_of_leases("e1") - now
        put_off += MAX_CLOCK_DRIFT / (1 - MAX_CLOCK_DRIFT) * left + 0.002
        assert end <= now + left <= end + put_off
        record = store_leases(engine, now)
        assert record.final["e1"].deadline[0][2] >= ahead + end * rate


def test_leases_found_at_an_endpoint_last_no_longer_than_was_stored():
    engine = make_successor(make_record([("w", 1, 3000)]), 1.0)
    connect(engine, "w", 1.0)
    engine.expire(1.0)
    endpoint = connect(engine, "e1", 2.0)
    end = 1.0 + 2.0 / (1 - MAX_CLOCK_DRIFT)
    assert end <= endpoint.leases_expire_at() <= longest_lease(end)
    assert endpoint.leases_expire_at() < 2.0 + LONGEST


def test_replica_of_a_lost_endpoint_waits_for_the_leases_that_were_granted():
    """From the last report of a killed scheduler to the start by its successor."""
    first = make_engine()
    lost = connect(first)
    store_leases(first, 0.0)
    first.add_job(
        factory.make_spec(JOB, (Step(count=1, processors_milli=100, replica=True),)),
        factory.QUEUE,
        0.0,
    )
    (order,) = first.plan(0.0)
    first.start_answered(order, 0.0)
    connect(first, "w")
    report(first, lost, 0.5, running=[(order.task.name, order.run)])
    # The first report allowed for leases of an earlier term, longer than these.
    lost.granted_ms = 0
    lost.grant(0.5, 5.0)
    silence(lost, 2.0)
    record = store_leases(first, 2.0)

    second = make_successor(record, 3.0)
    connect(second, "w", 3.0)
    add_job(second, JOB, 3.0)
    end = 0.5 + longest_lease(5.0)
    second.expire(end - 0.1)
    assert not second.plan(end - 0.1)
    second.expire(end + 0.1)
    assert second.plan(end + 0.1)


def test_task_of_an_unanswered_start_waits_at_a_successor():
    first = make_engine()
    lost = connect(first)
    store_leases(first, 0.0)
    order = start(first, answered=False)
    connect(first, "w")
    first.start_unanswered(order, 0.1)
    silence(lost, 4.0)
    record = store_leases(first, 4.0)

    second = make_successor(record, 4.5)
    connect(second, "w", 4.5)
    add_job(second, JOB, 4.5)
    second.expire(4.0 + LONGEST - 0.05)
    assert not second.plan(4.0 + LONGEST - 0.05)


def test_job_with_an_unanswered_start_waits_for_the_longest_lease():
    """The endpoint may have restarted and execute the order late."""
    stored = leases.EndpointLeases([("w", 1, 0)], [JOB, OTHER], [JOB])
    engine = make_successor(leases.LeaseRecord(0, [], {"e1": stored}))
    connect(engine, "w")
    add_job(engine, JOB)
    add_job(engine, OTHER)
    engine.expire(0.1)
    assert [order.task.job.id for order in engine.plan(0.1)] == [OTHER]
    bound = longest_lease(factory.MAX_LEASE) + LATE_ORDER_MARGIN_SECONDS
    engine.cancel(OTHER)
    engine.expire(bound - 0.1)
    assert not engine.plan(bound - 0.1)
    engine.expire(bound)
    assert [order.task.job.id for order in engine.plan(bound)] == [JOB]


def test_late_successor_starts_tasks_whose_ends_it_has_not_read():
    """An earlier scheduler left them; the bound of their leases is over."""
    engine = make_successor(None)
    endpoint = engine.register_endpoint(factory.make_info("e1"), 0.0)
    connect(engine, "e2")
    job = add_job(engine, JOB)
    late = LONGEST + LATE_ORDER_MARGIN_SECONDS + 1.0
    engine.expire(late)
    assert not engine.plan(late)
    ends = [(1, task.name, 1, "done") for task in job.tasks.values()]
    engine.process_report(endpoint, factory.report(ended=ends), late, late)
    assert job.ended


def test_restarted_endpoint_that_does_not_report_is_awaited_for_the_longest_lease():
    """Orders to its earlier incarnation may be executed late."""
    bound = longest_lease(factory.MAX_LEASE) + LATE_ORDER_MARGIN_SECONDS
    engine = make_successor(None)
    stored = leases.EndpointLeases([("w", 1, 0)], [JOB])
    engine.inherited_endpoints.expect("e2", "a", stored, born_ms=1)
    connect(engine, "w")
    engine.register_endpoint(factory.make_info("e2", born_ms=2), 0.0).mark_silent(1.0)
    engine.inherited_endpoints.mark_reported("e1")
    add_job(engine, JOB)
    engine.expire(bound - 0.1)
    assert not engine.plan(bound - 0.1)
    engine.expire(bound + 0.001)
    assert engine.plan(bound + 0.001)


def test_short_terms_do_not_begin_the_wait_anew():
    """Each stores its first record before it has read the clocks that tell the end."""
    deadline = [("w1", 1, 3000), ("w2", 1, 3000)]
    record = make_record(deadline, {"e1": (deadline, [JOB])})
    for term in range(1, 6):
        engine = make_successor(record, 2.0 * term, ("e1", "w1"), term)
        e1 = engine.register_endpoint(factory.make_info("e1"), 2.0 * term)
        connect(engine, "w2", 2.0 * term)
        silence(e1, 2.0 * term)
        record = store_leases(engine, 2.0 * term)
    engine = make_successor(record, 12.0, ("e1",), 6)
    connect(engine, "w1", 12.0)
    add_job(engine, JOB, 12.0)
    engine.expire(12.0)
    assert engine.plan(12.0)


def test_witness_that_this_term_has_not_heard_of_still_tells_a_later_one():
    record = make_record([("gone", 1, 0)], {"e1": ([("gone", 1, 3000)], [JOB])})
    engine = make_successor(record, 0.0)
    e1 = engine.register_endpoint(factory.make_info("e1"), 0.0)
    connect(engine, "w", 0.0)
    silence(e1, 0.0)
    stored = store_leases(engine, 0.0).final["e1"]
    assert ("gone", 1, 3000) in stored.deadline


@pytest.mark.parametrize(
    ("running", "lease"), [((), 0.0), ([(f"{JOB}.0.0.0", 1)], 6.0)]
)
def test_endpoint_that_no_earlier_scheduler_used_holds_no_lease(running, lease):
    """If it is lost soon after its first report, its tasks need not wait."""
    engine = make_successor(None, 0.0)
    add_job(engine)
    endpoint = engine.register_endpoint(factory.make_info("new"), 20.0)
    report(engine, endpoint, 20.0, running=running)
    assert endpoint.granted_ms == 20000 + lease * 1000


def test_endpoint_that_restarted_since_it_was_stored_may_hold_the_longest_lease():
    engine = make_successor(None, 0.0, ())
    engine.inherited_endpoints.expect("e1", "a", None, born_ms=1)
    endpoint = engine.register_endpoint(factory.make_info("e1", born_ms=2), 1.0)
    report(engine, endpoint, 1.0)
    assert endpoint.granted_ms == 1000 + factory.MAX_LEASE * 1000


def test_deadlines_for_the_incarnation_before_an_inherited_one_are_not_known():
    """It restarted between two terms, and again in the second."""
    engine = make_successor(None, 0.0, ())
    engine.inherited_endpoints.expect("e1", "a", None, born_ms=1)
    endpoint = engine.register_endpoint(factory.make_info("e1", born_ms=2), 1.0)
    report(engine, endpoint, 1.0)
    engine.register_endpoint(factory.make_info("e1", born_ms=3), 2.0)
    report(engine, endpoint, 2.0, clock_ms=900_000)
    assert endpoint.granted_ms == 900_000 + factory.MAX_LEASE * 1000


def test_stale_entry_of_the_incarnation_before_the_stored_one_is_no_restart():
    """The wait was for the longest lease, as if a later incarnation were listed."""
    engine = make_successor(None, endpoints=())
    stored = leases.EndpointLeases([("w", 1, 3000)], [JOB])
    engine.inherited_endpoints.expect("e1", "a", stored, born_ms=2)
    engine.register_endpoint(factory.make_info("e1", born_ms=1), 0.0).mark_silent(0.0)
    assert not engine.inherited_endpoints.has_restarted("e1")
    connect(engine, "w")
    add_job(engine)
    engine.expire(3.2)
    assert engine.plan(3.2)
