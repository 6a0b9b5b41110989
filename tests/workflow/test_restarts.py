"""Endpoints that restart under their ids: which runs their schedulers reckon with."""

import asyncio

import pytest

from clementinebay.workflow.orders import MAX_ORDER_DELAY_SECONDS
from tests.workflow import absence, factory, virtualtime
from tests.workflow.test_incarnations import REPLICA
from tests.workflow.testbed import ENTRY_SECONDS, TestBed


async def submit_replicas(bed):
    """Run replicas at all endpoints of a bed."""
    for _number in range(4):
        bed.submit(steps=absence.REPLICAS)
    await bed.run(0.6)


async def fill_endpoints(bed):
    """Run more replicas than a bed has room for, also at endpoints used last."""
    for _number in range(6):
        bed.submit(steps=absence.REPLICAS)
    await bed.run(0.8)


async def order_starts(bed, model):
    """Submit replicas until starts are under way to an endpoint."""
    endpoint = bed.scheduler.engine.endpoints[model.id]
    for _number in range(4):
        bed.submit(steps=absence.REPLICAS)
    while not endpoint.tasks:
        await bed.run(0.001)


async def restart_and_cut(bed, model, how):
    """Restart an endpoint unseen and cut it off once it has taken starts."""
    bed.restart_unlisted(model)
    await bed.run(0.02)
    assert model.runs
    bed.cuts[model.id] = how


@pytest.mark.parametrize("max_lease", [6.0, 10.0])
def test_successor_waits_for_the_longest_lease_of_an_endpoint_that_restarted_unseen(
    max_lease,
):
    """A deadline on the earlier clock grants a new incarnation the longest lease."""

    async def main():
        async with TestBed(endpoints=6, max_lease=max_lease) as bed:
            await bed.run(1.0)
            model = bed.endpoints[0]
            async with bed.disturbance(0.0):
                await order_starts(bed, model)
                await restart_and_cut(bed, model, "silent")
                await bed.kill_scheduler()
                await bed.run(14.0)

    virtualtime.run(main())


@pytest.mark.parametrize("election_seconds", [0.0, 0.65])
@pytest.mark.parametrize("delay", [1.5, 3.0])
def test_run_of_an_endpoint_that_restarted_unseen_is_known_to_successors(
    delay, election_seconds
):
    """Its next incarnation took a start, and was cut off before it reported."""

    async def main():
        async with TestBed(
            endpoints=6, max_lease=6.0, election_seconds=election_seconds
        ) as bed:
            await bed.run(8.0)
            model = bed.endpoints[0]
            async with bed.disturbance(0.0):
                await order_starts(bed, model)
                await restart_and_cut(bed, model, "silent")
                await bed.run(delay)
                await bed.kill_scheduler()
                await bed.run(14.0)

    virtualtime.run(main())


def test_run_of_an_endpoint_that_restarted_out_of_reach_is_known_to_successors():
    """Its next incarnation took a start, is listed, and does not report any more."""

    async def main():
        async with TestBed(endpoints=6, max_lease=6.0) as bed:
            await bed.run(8.0)
            model = bed.endpoints[0]
            async with bed.disturbance(0.0):
                await order_starts(bed, model)
                await restart_and_cut(bed, model, "silent")
                bed.list(model)
                await bed.run(1.5)
                await bed.kill_scheduler()
                await bed.run(14.0)

    virtualtime.run(main())


@pytest.mark.parametrize("max_lease", [6.0, 10.0])
@pytest.mark.parametrize("kill_after", [0.3, 1.0, 2.0, 4.0])
def test_run_at_a_restarted_endpoint_is_not_started_again_by_a_successor(
    max_lease, kill_after
):
    """A request meant for the incarnation before grants the next the longest lease."""

    async def main():
        async with TestBed(endpoints=6, max_lease=max_lease) as bed:
            await bed.run(12.0)
            model = bed.endpoints[0]
            async with bed.disturbance(0.0):
                bed.crash(model, "silent")
                await bed.run(0.6)
                model.up = True
                bed.restart_unlisted(model)
                await bed.run(0.6)
                bed.list(model)
                await fill_endpoints(bed)
                assert model.runs
                await bed.run(kill_after)
                await bed.kill_scheduler()
                await bed.run(0.1)
                bed.add_endpoint()
                cutting = asyncio.create_task(bed.cut([model], "silent", 14.0))
                await bed.run(15.0)
                await cutting

    virtualtime.run(main())


@pytest.mark.parametrize("max_lease", [6.0, 10.0])
def test_run_at_an_endpoint_that_restarted_unseen_is_not_started_again(max_lease):
    async def main():
        async with TestBed(endpoints=6, max_lease=max_lease) as bed:
            await bed.run(1.0)
            model = bed.endpoints[0]
            async with bed.disturbance(0.0):
                bed.restart_unlisted(model)
                await submit_replicas(bed)
                await bed.unlist_after(model, 2.5)
                await bed.run(12.0)

    virtualtime.run(main())


@pytest.mark.parametrize("how", ["reset", "refused", "silent"])
def test_run_of_an_endpoint_that_restarted_unseen_is_not_started_again_in_the_term(how):
    """Its next incarnation took the start for the longest lease, and was cut off."""

    async def main():
        async with TestBed(endpoints=6, max_lease=10.0) as bed:
            await bed.run(8.0)
            model = bed.endpoints[0]
            async with bed.disturbance(0.0):
                await order_starts(bed, model)
                await restart_and_cut(bed, model, how)
                await bed.run(14.0)

    virtualtime.run(main())


@pytest.mark.parametrize("dark_seconds", [0.05, 0.3, 0.6])
def test_ends_at_an_endpoint_that_restarted_during_a_request_are_not_forgotten(
    dark_seconds,
):
    """It took the number of an earlier end as that of its own, and tasks ran again.

    The monitor looks for starts of tasks whose end as done was acknowledged.
    """

    async def main():
        async with TestBed(endpoints=1) as bed:
            await bed.run(1.0)
            model = bed.endpoints[0]
            for _round in range(4):
                for _job in range(12):
                    bed.submit(steps=[factory.SMALL])
                await bed.run(8.0)
                async with bed.disturbance(0.0):
                    bed.crash(model, "silent")
                    await bed.run(dark_seconds)
                    model.up = True
                    bed.restart_unlisted(model)
                    for _job in range(4):
                        bed.submit(steps=[factory.SMALL])
                    await bed.run(2.0)
                    bed.list(model)
                    await bed.run(4.0)

    virtualtime.run(main())


@pytest.mark.parametrize("job_count", [20, 40])
@pytest.mark.parametrize("kill_after", [0.3, 0.8])
def test_replicas_of_many_jobs_run_again_in_time_after_all_endpoints_restarted(
    kill_after, job_count
):
    """Their scheduler is killed, too; the platform allows 7 s."""

    async def main():
        async with TestBed(
            endpoints=12, daemons=3, max_lease=10.0, election_seconds=2.0
        ) as bed:
            await bed.run(8.0)
            for _number in range(job_count):
                bed.submit(steps=[REPLICA])
            await bed.run(3.0)
            assert run_count(bed) == job_count
            restarts = [
                asyncio.create_task(bed.restart(model, 0.6)) for model in bed.endpoints
            ]
            await bed.run(kill_after)
            await bed.kill_scheduler()
            await bed.run(0.6 - min(kill_after, 0.6) + 7.0)
            assert run_count(bed) == job_count
            await asyncio.gather(*restarts)

    virtualtime.run(main())


def run_count(bed):
    """Return the number of runs at the bed's endpoints."""
    return sum(len(model.runs) for model in bed.endpoints)


@pytest.mark.parametrize("max_lease", [6.0, 10.0])
def test_replicas_of_an_endpoint_that_restarted_unseen_run_again_in_time(max_lease):
    """Its reports say that it is another incarnation."""

    async def main():
        async with TestBed(endpoints=6, max_lease=max_lease) as bed:
            await bed.run(1.0)
            bed.submit(steps=absence.REPLICAS)
            await bed.run(1.0)
            model = next(model for model in bed.endpoints if model.runs)
            async with bed.disturbance(0.0):
                bed.restart_unlisted(model)
            unlisting = asyncio.create_task(bed.unlist_after(model, ENTRY_SECONDS))
            await bed.run(20.0)
            await unlisting

    virtualtime.run(main())


def test_stored_address_of_an_earlier_incarnation_does_not_end_a_later_one():
    async def fail_write(value, put):
        return False

    async def main():
        async with TestBed(endpoints=6) as bed:
            await bed.run(3.0)
            model = bed.endpoints[0]
            async with bed.disturbance(0.0):
                changes = bed.scheduler.change_writer
                for published in (changes.pending_counts, changes.learned):
                    published.publish = fail_write
                bed.move(model, "10.0.0.2:0")
                await bed.run(0.3)
                await fill_endpoints(bed)
                assert model.runs
                bed.unlist(model)
                bed.cuts[model.id] = "silent"
                await bed.kill_scheduler()
                bed.add_endpoint()
                await bed.run(12.0)

    virtualtime.run(main())


def test_run_that_a_restarted_endpoint_has_started_is_not_started_again():
    """The entry of the new incarnation arrives after its answer to the start."""
    engine, order = factory.plan_start(1.2, endpoints=("e1", "e2"))
    engine.start_answered(order, 1.3)
    info = factory.make_info(order.endpoint.id, born_ms=1000)
    engine.register_endpoint(info, 1.5)
    assert engine.plan(1.6) == []


def test_run_that_a_restarted_endpoint_has_started_survives_a_late_earlier_report():
    """The incarnation before compiled the report, which arrives after the answer."""
    engine, order = factory.plan_start(1.2, endpoints=("e1", "e2"))
    engine.start_answered(order, 1.3)
    assert engine.process_report(order.endpoint, factory.report(), 1.0, 1.4)
    info = factory.make_info(order.endpoint.id, born_ms=1000)
    engine.register_endpoint(info, 1.5)
    assert engine.plan(1.6) == []


def test_run_that_the_incarnation_before_has_reported_is_started_again_at_once():
    engine, order = factory.plan_start(1.2)
    engine.start_answered(order, 1.2)
    row = (order.task.name, order.run)
    report = factory.report(running=[row])
    engine.process_report(order.endpoint, report, 1.0, 1.4)
    engine.register_endpoint(factory.make_info(born_ms=1000), 1.5)
    assert order.task.endpoint is None


def test_run_that_the_incarnation_before_has_answered_is_started_again_at_once():
    """The clock in the answer was that of the incarnation before."""
    engine, order = factory.plan_start(1.2)
    engine.start_answered(order, 1.2, is_located=True)
    engine.register_endpoint(factory.make_info(born_ms=1000), 1.5)
    assert order.task.endpoint is None


def test_stopped_run_that_a_restarted_endpoint_may_have_started_is_not_started_again():
    """The stop may have been answered by the incarnation before."""
    engine, order = factory.plan_start(1.2, endpoints=("e1", "e2"))
    engine.start_answered(order, 1.2)
    engine.request_stop(order.task, "moved")
    engine.register_endpoint(factory.make_info(order.endpoint.id, born_ms=2), 1.5)
    assert engine.plan(1.6) == []


def test_start_whose_stop_the_incarnation_before_answered_is_reckoned_with():
    """The next one has forgotten the stop, and may carry the start out late."""
    engine, order = factory.plan_start(0.0)
    endpoint = order.endpoint
    engine.start_unanswered(order, 0.1)
    [stop] = engine.stops.due(0.1, engine.endpoints)
    engine.stop_answered(stop, 0.2)
    engine.register_endpoint(factory.make_info(born_ms=2), 0.3)
    factory.connect_endpoint(engine, factory.make_info("e2"))
    late = 0.1 + MAX_ORDER_DELAY_SECONDS
    engine.expire(late + 1.0)
    assert engine.plan(late + 1.0) == []
    engine.process_report(endpoint, factory.report(born_ms=2), 14.2, 14.3)
    [stop] = engine.stops.due(14.3, engine.endpoints)
    engine.stop_answered(stop, 14.4)
    engine.process_report(endpoint, factory.report(born_ms=2), 14.5, 14.6)
    assert order.task.endpoint is None
