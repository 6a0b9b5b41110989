"""What a scheduler may conclude about the incarnations of an endpoint."""

import asyncio

import pytest

from clementinebay.workflow.fleet import longest_lease
from clementinebay.workflow.model import Step, unlisted_endpoint
from clementinebay.workflow.orders import MAX_ORDER_DELAY_SECONDS
from tests.workflow import absence, factory, virtualtime
from tests.workflow.testbed import TestBed

REPLICA = Step(
    count=1, processors_milli=1000, replica=True, image="r", latency_ms=100.0
)
FILLER = Step(count=1, processors_milli=1000, filler=True, image="f")


# Incarnations that have ended


def test_ended_incarnation_releases_its_tasks_and_their_pins():
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1"))
    job = engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    running, unanswered = engine.plan(0.0)
    engine.start_answered(running, 0.0)
    engine.start_unanswered(unanswered, 0.1)
    second = factory.connect_endpoint(engine, factory.make_info("e2"))
    engine.end_incarnation(first, 1.0)
    assert engine.stops.due(1.0, engine.endpoints) == []
    factory.store(engine)
    orders = engine.plan(1.0)
    assert {order.task for order in orders} == set(job.tasks.values())
    assert {order.endpoint for order in orders} == {second}


def test_report_of_an_ended_incarnation_places_no_task():
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1"))
    engine.add_job(factory.make_spec(steps=(factory.SMALL,)), factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    engine.end_incarnation(first, 1.0)
    late = factory.report(running=[(order.task.name, order.run)])
    assert not engine.process_report(first, late, 0.5, 1.1)
    assert order.task.endpoint is None


def test_ended_endpoint_is_used_again_once_it_restarts_and_forgotten_if_it_leaves():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(factory.SMALL,)), factory.QUEUE, 0.0)
    engine.end_incarnation(endpoint, 1.0)
    engine.register_endpoint(factory.make_info(), 1.5)
    assert engine.plan(1.5) == []
    engine.register_endpoint(factory.make_info(born_ms=2), 2.0)
    engine.process_report(endpoint, factory.report(born_ms=2), 2.1, 2.1)
    assert len(engine.plan(2.2)) == 1
    other = factory.connect_endpoint(engine, factory.make_info("e2"))
    engine.end_incarnation(other, 3.0)
    engine.unlist_endpoint("e2")
    engine.expire(3.1)
    assert "e2" in engine.endpoints
    engine.expire(3.1 + MAX_ORDER_DELAY_SECONDS)
    assert "e2" not in engine.endpoints


def test_entry_of_a_later_incarnation_at_the_address_ends_the_earlier_one():
    """The later one may crash again before it is asked."""
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1", address="h:1"))
    engine.add_job(factory.make_spec(steps=(factory.SMALL,)), factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    later = factory.make_info("e2", address="h:1", born_ms=2)
    engine.register_endpoint(later, 3.0)
    assert first.has_ended
    assert order.task.endpoint is None


@pytest.mark.parametrize("odd_first", [False, True])
def test_entry_of_another_service_at_the_address_ends_no_endpoint(odd_first):
    """It may be another writer's; the tasks of the endpoint would run twice."""
    engine = factory.make_engine()
    odd = factory.make_info("odd", address="h:1", born_ms=2, service="other")
    if odd_first:
        engine.register_endpoint(odd, 0.0)
    first = factory.connect_endpoint(engine, factory.make_info("e1", address="h:1"))
    engine.add_job(factory.make_spec(steps=(factory.SMALL,)), factory.QUEUE, 0.0)
    [order] = factory.start_all(engine)
    engine.register_endpoint(odd, 3.0)
    assert not first.has_ended
    assert order.task.endpoint is first


@pytest.mark.parametrize("service", ["other", ""], ids=["stored", "unknown"])
@pytest.mark.parametrize("awaited_first", [False, True])
def test_stored_endpoint_of_another_service_ends_no_listed_one(service, awaited_first):
    """Guards against review/9: another writer's entry was stored, without its service.

    Records of earlier builds have no services.
    """
    engine = factory.make_engine(term=1)
    odd = unlisted_endpoint("odd", "a", "h:1", 2, service)
    if awaited_first:
        engine.await_endpoint(odd, 0.0)
    first = factory.connect_endpoint(engine, factory.make_info("e1", address="h:1"))
    engine.await_endpoint(odd, 1.0)
    assert not first.has_ended


@pytest.mark.parametrize("service", ["s", ""], ids=["stored", "unknown"])
def test_listed_entry_of_another_service_ends_no_stored_endpoint(service):
    """The entry of the endpoint may be missing for a time."""
    engine = factory.make_engine(term=1)
    stored = unlisted_endpoint("e1", "a", "h:1", 1, service)
    first = engine.await_endpoint(stored, 0.0)
    odd = factory.make_info("odd", address="h:1", born_ms=2, service="other")
    engine.register_endpoint(odd, 1.0)
    assert not first.has_ended
    later = factory.make_info("e2", address="h:1", born_ms=2)
    engine.register_endpoint(later, 2.0)
    assert first.has_ended is (service == "s")


def test_entry_of_another_service_does_not_hide_a_later_incarnation():
    engine = factory.make_engine()
    odd = factory.make_info("odd", address="h:1", born_ms=2, service="other")
    first = factory.connect_endpoint(engine, factory.make_info("e1", address="h:1"))
    engine.register_endpoint(odd, 1.0)
    engine.register_endpoint(factory.make_info("e2", address="h:1", born_ms=3), 2.0)
    assert first.has_ended


def test_restart_known_by_a_report_alone_keeps_the_service_of_the_endpoint():
    """Its entry may be late, and another incarnation at its address listed first."""
    engine = factory.make_engine()
    first = factory.connect_endpoint(engine, factory.make_info("e1", address="h:1"))
    engine.process_report(first, factory.report(born_ms=2), 1.0, 1.0)
    engine.register_endpoint(factory.make_info("e2", address="h:1", born_ms=3), 2.0)
    assert first.has_ended


def test_late_entry_of_an_earlier_incarnation_does_not_end_the_later_one():
    engine = factory.make_engine()
    later = factory.make_info("e2", address="h:1", born_ms=2)
    second = factory.connect_endpoint(engine, later, born_ms=2)
    first = engine.register_endpoint(factory.make_info("e1", address="h:1"), 1.0)
    assert (first.has_ended, second.has_ended) == (True, False)


# Endpoints of an earlier term that are not listed


def await_colocated(engine, listed):
    """Register an endpoint, listed or awaited, and a job of a replica and a filler."""
    engine.pressure.load_weights([("r", "f", 2.0, 1.0)])
    info = factory.make_info()
    unlisted = unlisted_endpoint(info.id, "a", info.address, info.born_ms)
    if listed:
        endpoint = engine.register_endpoint(info, 0.0)
    else:
        endpoint = engine.await_endpoint(unlisted, 0.0)
    spec = factory.make_spec(steps=(REPLICA, FILLER))
    engine.add_job(spec, factory.QUEUE, 0.0, inherited=True)
    return endpoint, spec


def report_colocated(engine, endpoint, spec, number):
    """Process one report of the replica and the filler."""
    running = [
        (f"{spec.id}.0.0.0", 1, "", 100, 20.0 + number % 2),
        (f"{spec.id}.0.1.0", 1, "", 10, 900.0 + number),
    ]
    now = 0.2 + 0.4 * number
    engine.process_report(endpoint, factory.report(running), now - 0.1, now)
    return engine.pace(endpoint, now)


@pytest.mark.parametrize("listed", [True, False])
def test_fillers_of_an_endpoint_that_is_not_listed_are_not_paused(listed):
    engine = factory.make_engine(term=1)
    endpoint, spec = await_colocated(engine, listed)
    orders = report_colocated(engine, endpoint, spec, 0)
    assert all(order.percent == 100 for order in orders)


@pytest.mark.parametrize("listed", [True, False])
def test_reports_of_an_endpoint_that_is_not_listed_keep_the_learned_weights(listed):
    engine = factory.make_engine(term=1)
    endpoint, spec = await_colocated(engine, listed)
    for number in range(8):
        report_colocated(engine, endpoint, spec, number)
    assert abs(engine.pressure.weight("r", "f") - 2.0) < 1.0


# Leases of lost endpoints


@pytest.mark.parametrize("how", ["refused", "silent"])
@pytest.mark.parametrize("seconds", [2.0, 3.0, 4.0])
def test_replicas_lost_for_good_some_time_before_the_scheduler_run_again_in_time(
    how, seconds
):
    """A successor waits for leases that its predecessor no longer extended."""

    async def main():
        async with TestBed(endpoints=6) as bed:
            await bed.run(1.0)
            bed.submit(steps=absence.REPLICAS)
            await bed.run(1.0)
            lost = next(model for model in bed.endpoints if model.runs)
            losing = asyncio.create_task(bed.lose(lost, how))
            await bed.run(seconds)
            await bed.kill_scheduler()
            await bed.run(14.0)
            await losing

    virtualtime.run(main())


@pytest.mark.parametrize("how", ["refused", "silent"])
def test_replicas_lost_after_the_first_report_to_a_new_term_run_again_in_time(how):
    async def main():
        async with TestBed(endpoints=6, max_lease=10.0) as bed:
            await bed.run(1.0)
            bed.submit(steps=absence.REPLICAS)
            await bed.run(1.0)
            lost = next(model for model in bed.endpoints if model.runs)
            await bed.kill_scheduler()
            while bed.scheduler is None or not reported(bed.scheduler, lost):
                await bed.run(0.05)
            losing = asyncio.create_task(bed.lose(lost, how))
            await bed.run(14.0)
            await losing

    virtualtime.run(main())


def reported(scheduler, model):
    """Return whether an endpoint has reported to a scheduler."""
    endpoint = scheduler.engine.endpoints.get(model.id)
    return endpoint is not None and endpoint.has_reported


# Reports of the next incarnation


def test_report_asked_for_before_a_restart_was_known_is_not_its_first():
    """It was asked for with the earlier fence, which bars no earlier order."""
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.register_endpoint(factory.make_info(born_ms=2), 1.0)
    early = factory.report(born_ms=2)
    assert not engine.process_report(endpoint, early, 0.9, 1.1)
    assert not endpoint.has_reported
    assert engine.process_report(endpoint, early, 1.1, 1.2)


def test_report_that_shows_a_restart_is_followed_by_one_with_the_next_fence():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    fence = endpoint.fence(100)
    assert not engine.process_report(endpoint, factory.report(born_ms=2), 0.9, 1.0)
    assert endpoint.fence(100) > fence
    assert not endpoint.has_reported
    assert engine.process_report(endpoint, factory.report(born_ms=2), 1.0, 1.1)


@pytest.mark.parametrize(
    ("clock_ms", "lease"), [(0, 6.0), (49_000, 5.0), (54_000, 0.0), (90_000, 0.0)]
)
def test_deadline_of_the_earlier_clock_holds_on_the_next_one(clock_ms, lease):
    """It has passed there if the next clock shows a later time."""
    engine = factory.make_engine()
    engine.leases.until = 0.0
    info = factory.make_info()
    endpoint = factory.connect_endpoint(engine, info, clock_ms=50_000)
    endpoint.grant(0.0, 4.0)
    engine.register_endpoint(factory.make_info(born_ms=2), 1.0)
    report = factory.report(born_ms=2, clock_ms=clock_ms)
    engine.process_report(endpoint, report, 1.1, 1.1)
    assert endpoint.granted_ms == clock_ms + lease * 1000
    assert endpoint.admits(engine.add_job(factory.make_spec(), None, 1.1)) == (
        lease == 0
    )


def test_deadline_of_an_incarnation_that_has_ended_holds_on_the_next_clock():
    engine = factory.make_engine()
    info = factory.make_info()
    endpoint = factory.connect_endpoint(engine, info, clock_ms=50_000)
    endpoint.grant(0.0, 4.0)
    engine.end_incarnation(endpoint, 1.0)
    engine.register_endpoint(factory.make_info(born_ms=2), 1.0)
    report = factory.report(born_ms=2, clock_ms=49_000)
    engine.process_report(endpoint, report, 1.1, 1.1)
    assert endpoint.granted_ms == 54_000


def test_deadlines_of_an_incarnation_that_never_reported_are_not_known():
    engine = factory.make_engine()
    info = factory.make_info()
    endpoint = factory.connect_endpoint(engine, info, clock_ms=50_000)
    for born_ms in (2, 3):
        engine.register_endpoint(factory.make_info(born_ms=born_ms), 1.0)
    report = factory.report(born_ms=3, clock_ms=90_000)
    engine.process_report(endpoint, report, 1.1, 1.1)
    assert endpoint.granted_ms == 90_000 + factory.MAX_LEASE * 1000


def test_late_order_is_reckoned_with_after_a_report_that_shows_a_restart():
    """Nothing barred it, so it may start its run and grant the longest lease."""
    engine, order = factory.plan_start(0.0)
    endpoint = order.endpoint
    engine.start_unanswered(order, 0.5)
    engine.process_report(endpoint, factory.report(born_ms=2), 0.9, 1.0)
    endpoint.mark_silent(1.1)
    engine.unlist_endpoint(endpoint.id)
    end = 1.0 + MAX_ORDER_DELAY_SECONDS + longest_lease(factory.MAX_LEASE)
    engine.expire(end - 0.1)
    assert order.task.endpoint is endpoint
    engine.expire(end)
    assert order.task.endpoint is None


# Endpoints that are back


def test_late_grant_is_reckoned_with_at_an_endpoint_that_is_back_after_it_was_gone():
    """A late request for a report gives the next incarnation the longest lease."""
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    fence = endpoint.fence(100)
    endpoint.extend(5.0, 1.0)
    endpoint.mark_silent(5.5)
    engine.unlist_endpoint(endpoint.id)
    engine.expire(8.0)
    back = engine.register_endpoint(factory.make_info(born_ms=2), 9.0)
    assert back.fence(100) > fence
    engine.process_report(back, factory.report(born_ms=2), 9.1, 9.2)
    assert back.leases_expire_at() >= 9.2 + factory.MAX_LEASE


@pytest.mark.parametrize("restarted", [False, True])
def test_endpoint_that_is_gone_is_forgotten_once_no_late_order_can_arrive(restarted):
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    endpoint.extend(5.0, 1.0)
    if restarted:
        engine.register_endpoint(factory.make_info(born_ms=2), 5.2)
    endpoint.mark_silent(5.5)
    engine.unlist_endpoint(endpoint.id)
    engine.expire(5.0 + MAX_ORDER_DELAY_SECONDS - 0.1)
    assert endpoint.id in engine.endpoints
    engine.expire(5.0 + MAX_ORDER_DELAY_SECONDS)
    assert endpoint.id not in engine.endpoints


def test_late_order_is_refused_by_an_endpoint_that_is_back_after_its_address_was_not():
    engine, order = factory.plan_start(0.0)
    endpoint = order.endpoint
    fence = endpoint.fence(100)
    engine.start_unanswered(order, 0.5)
    engine.end_incarnation(endpoint, 1.0)
    engine.unlist_endpoint(endpoint.id)
    engine.expire(1.1)
    back = engine.register_endpoint(factory.make_info(born_ms=2), 2.0)
    assert back.fence(100) > fence
