"""Sending of orders: which outcomes request another plan, and when it is made."""

import asyncio

import pytest

from clementinebay import errors
from clementinebay.clock import ManualClock
from clementinebay.policy.startwindow import INITIAL_STARTS, MAX_STARTS
from clementinebay.workflow import jobstore, schedule
from clementinebay.workflow.model import Step
from clementinebay.workflow.sending import MAX_STARTS_PER_ENDPOINT, Sender
from tests.workflow import factory


class FakeDriver:
    """A driver that answers start orders, or raises ``error`` if set."""

    error = None

    async def start(self, order, deadline_ms, fence):
        """Answer a start order."""
        if self.error is not None:
            raise self.error


class FakeDeployment:
    """What a `Sender` reads of its `Deployment` and writer."""

    lease_seconds = 5.0
    fence = 1

    def __init__(self):
        self.boundary = self
        self.driver = FakeDriver()


@pytest.mark.parametrize(
    ("error", "plans_again"),
    [
        (None, False),
        (errors.CallUnansweredError("a", "/run-start", "reset"), True),
        (errors.CallNotSentError("a", "refused"), True),
        (errors.OrderRefusedError("e1", errors.OrderRefusedError.FULL), True),
    ],
)
async def test_only_starts_without_success_request_a_plan(error, plans_again):
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    deployment = FakeDeployment()
    deployment.driver.error = error
    sender = Sender(
        engine, deployment, deployment, ManualClock(1.0), factory.quiet_log()
    )
    await sender.send_start(engine.plan(1.0)[0])
    assert sender.plan_requested.is_set() is plans_again


OTHER = errors.OrderRefusedError("e1", errors.OrderRefusedError.OTHER_INCARNATION)


@pytest.mark.parametrize(
    ("changes", "has_ended"),
    [({}, True), ({"born_ms": 2}, False), ({"address": "e1:2"}, False)],
)
async def test_refusal_at_an_earlier_address_does_not_end_a_newer_incarnation(
    changes, has_ended
):
    engine = factory.make_engine()
    info = factory.make_info()
    endpoint = factory.connect_endpoint(engine, info)
    deployment = FakeDeployment()
    sender = Sender(
        engine, deployment, deployment, ManualClock(1.0), factory.quiet_log()
    )
    engine.register_endpoint(factory.make_info(**changes), 1.0)
    sender.check_incarnation(endpoint, info, OTHER)
    assert endpoint.has_ended is has_ended


async def test_no_start_is_planned_or_sent_beyond_the_stored_limit():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    clock, deployment = ManualClock(1.0), FakeDeployment()
    sender = Sender(engine, deployment, deployment, clock, factory.quiet_log())
    engine.leases.limit = 1.0
    assert engine.plan(1.0, sender.start_allowance()) == []
    # The limit passed, or the leases became final, after the plan.
    for limit, final in ((1.0, set()), (9.0, {"e1"})):
        order = engine.plan(clock.now())[0]
        engine.leases.limit, engine.leases.final = limit, final
        deployment.driver.error = AssertionError("sent")
        await sender.send_start(order)
        assert not endpoint.tasks.get(order.task.name)
        clock.advance(1.0)


async def test_mass_start_keeps_the_event_loop_from_renewing_the_term():
    engine = factory.make_engine()
    info = factory.make_info(processors_milli=10**6, memory_mb=10**6)
    factory.connect_endpoint(engine, info)
    step = Step(count=2 * MAX_STARTS, processors_milli=1)
    engine.add_job(factory.make_spec(steps=(step,)), factory.QUEUE, 0.0)
    deployment = FakeDeployment()
    sender = Sender(
        engine, deployment, deployment, ManualClock(1.0), factory.quiet_log()
    )
    for order in engine.plan(1.0, sender.start_allowance()):
        sender.begin_start(order)
    assert len(sender.tasks) == INITIAL_STARTS
    assert engine.plan(1.0, sender.start_allowance()) == []
    await asyncio.gather(*sender.tasks)
    assert sender.plan_requested.is_set()
    assert len(engine.plan(1.0, sender.start_allowance())) == INITIAL_STARTS


class SlowDriver:
    """A driver that counts the start orders in progress by endpoint."""

    def __init__(self):
        self.in_progress = {}
        self.most = 0
        self.sent = 0

    async def start(self, order, deadline_ms, fence):
        """Take a while to answer."""
        endpoint_id = order.endpoint.id
        self.sent += 1
        self.in_progress[endpoint_id] = self.in_progress.get(endpoint_id, 0) + 1
        self.most = max(self.most, self.in_progress[endpoint_id])
        await asyncio.sleep(0.001)
        self.in_progress[endpoint_id] -= 1


async def test_wide_step_uses_up_the_connections_of_an_endpoint():
    engine = factory.make_engine()
    info = factory.make_info(processors_milli=10**6, memory_mb=10**6)
    endpoint = factory.connect_endpoint(engine, info)
    steps = (Step(count=40, processors_milli=1),)
    engine.add_job(factory.make_spec(steps=steps), factory.QUEUE, 0.0)
    deployment = FakeDeployment()
    deployment.driver = SlowDriver()
    sender = Sender(
        engine, deployment, deployment, ManualClock(1.0), factory.quiet_log()
    )
    orders = engine.plan(1.0)
    await asyncio.gather(*map(sender.send_start, orders[:20]))
    assert (deployment.driver.sent, deployment.driver.most) == (
        20,
        MAX_STARTS_PER_ENDPOINT,
    )
    endpoint.mark_silent(1.0)
    await asyncio.gather(*map(sender.send_start, orders[20:]))
    assert deployment.driver.sent == 20
    assert len(endpoint.tasks) == 20


def restart(engine, order):
    """Restart the endpoint of an order under its id."""
    info = factory.make_info(born_ms=2, processors_milli=10**6, memory_mb=10**6)
    engine.register_endpoint(info, 1.5)
    factory.connect_endpoint(engine, info, 1.5, born_ms=2)


def cancel(engine, order):
    """Cancel the job of an order."""
    engine.cancel(order.task.job.id)


def lapse(engine, order):
    """Let the leases at the endpoint of an order end, and the endpoint come back."""
    order.endpoint.mark_silent(1.5)
    engine.expire(60.0)
    engine.process_report(order.endpoint, factory.report(), 60.0, 60.0)


@pytest.mark.parametrize("change", [restart, cancel, lapse])
async def test_start_that_waited_for_others_is_sent_after_its_run_was_given_up(change):
    """The task may have been started elsewhere by then."""
    engine = factory.make_engine()
    info = factory.make_info(processors_milli=10**6, memory_mb=10**6)
    factory.connect_endpoint(engine, info)
    steps = (Step(count=MAX_STARTS_PER_ENDPOINT + 1, processors_milli=1),)
    engine.add_job(factory.make_spec(steps=steps), factory.QUEUE, 0.0)
    deployment = FakeDeployment()
    deployment.driver = SlowDriver()
    sender = Sender(
        engine, deployment, deployment, ManualClock(1.0), factory.quiet_log()
    )
    orders = engine.plan(1.0)
    sending = [asyncio.create_task(sender.send_start(order)) for order in orders]
    await asyncio.sleep(0)
    assert deployment.driver.sent == MAX_STARTS_PER_ENDPOINT
    change(engine, orders[-1])
    await asyncio.gather(*sending)
    assert deployment.driver.sent == MAX_STARTS_PER_ENDPOINT


async def test_term_that_was_fenced_sends_another_start():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    deployment = FakeDeployment()
    sender = Sender(
        engine, deployment, deployment, ManualClock(1.0), factory.quiet_log()
    )
    assert sender.start_allowance() > 0
    sender.end_term(errors.NotLeaderError(jobstore.HOLDER))
    assert engine.plan(1.0, sender.start_allowance()) == []
    with pytest.raises(errors.NotLeaderError):
        await sender.watch()


def test_plans_leave_time_to_other_work_but_do_not_stop():
    assert schedule.plan_spacing(0.0) == 0.0
    assert schedule.plan_spacing(0.002) == 0.002 * schedule.SPACING_FACTOR
    assert schedule.plan_spacing(5.0) == schedule.MAX_SPACING_SECONDS
