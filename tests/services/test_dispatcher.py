import pytest

from clementinebay.endpoint.base import TaskReport
from clementinebay.services.dispatcher import EndpointOrders
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from tests.services.fakes import Fake


class Worker:
    def __init__(self):
        self.started = []

    async def start(self, _address, order):
        self.started.append(order)
        return TaskReport(order.job, order.index, order.attempt, "running")


@pytest.fixture
async def orders(clock):
    state = State()
    size = wire.Resources(1000, 100, 0)
    spec = wire.JobSpec("job", wire.Workload.BATCH, "t", 0, "k", 0, 1, size)
    deadline = clock.now() + 3.0
    for record in (
        wire.Record(endpoint_seen=wire.EndpointSeen("e", "e:1", "r", size)),
        wire.Record(submit=wire.Submit(spec)),
        wire.Record(bind=wire.Bind("job", 0, 1, "e", deadline, 1.0)),
    ):
        state.apply(record)
    follower = Fake(log=Fake(state=state, confirmed_at=clock.now() - 5.0))
    async with EndpointOrders(follower, Worker(), clock, 0.0, 30.0, 30.0) as orders:
        yield orders


async def execute_due_orders(orders):
    orders.reconcile()
    for running in list(orders.in_progress.values()):
        await running
    return orders.driver.started


async def test_start_grants_the_lease_of_a_renewal(orders, clock):
    (order,) = await execute_due_orders(orders)
    assert order.lease_deadline == clock.now() + 3.0
    assert order.renewed_until == clock.now() - 5.0 + 30.0


async def test_start_at_a_lost_endpoint_grants_no_renewal(orders, clock):
    orders.reconcile()
    lost = wire.EndpointLost("e", 0.0, 0, clock.now())
    orders.state.apply(wire.Record(endpoint_lost=lost))
    (order,) = await execute_due_orders(orders)
    assert order.renewed_until == 0.0


async def test_settled_state_is_searched_again_after_a_change(orders):
    orders.state.index = 7
    await execute_due_orders(orders)
    orders.state.apply(wire.Record(started=wire.Started("job", 0, 1)))
    orders.state.index = 8
    assert len(await execute_due_orders(orders)) == 1
    assert orders.settled_key == (id(orders.state), 8)
    orders.state.apply(wire.Record(release=wire.Release("job", 0, 1, "r")))
    orders.state.index = 9
    orders.driver.stop = orders.driver.start
    assert len(await execute_due_orders(orders)) == 2
