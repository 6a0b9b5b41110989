"""Scripted sequences of calls that random runs rarely produce."""

import pytest

from clementinebay.shard.wire import ttypes as wire
from tests.shard import factory
from tests.shard.world import World


@pytest.fixture
def world():
    world = World()
    for daemon in world.daemons:
        daemon.load_config_and_list()
        run_operation(daemon, daemon.read())
    return world


def run_operation(daemon, operation):
    daemon.begin_operation(operation)
    daemon.finish_operation()


def run_cycle(daemon, shift=0):
    daemon.load_config_and_list()
    run_operation(daemon, daemon.read())
    run_operation(daemon, daemon.tick(shift))
    daemon.orders.reconcile()
    deliver(daemon.world)


def deliver(world):
    messages, world.network = world.network, []
    for message in messages:
        world.deliver(message)


def start_job(world, **fields):
    one = world.daemons[0]
    run_operation(one, one.submit(factory.spec("job", 1, max_attempts=9, **fields)))
    for _round in range(3):
        run_cycle(one)
    return next(e for e in world.endpoints.values() if e.running())


def test_delayed_bar_does_not_let_a_renewed_task_run_twice(world):
    endpoint = start_job(world)
    one, two = world.daemons[:2]
    world.unlisted.add(endpoint.name)
    one.load_config_and_list()
    one.begin_operation(one.tick())
    one.step("late")
    # While the write of the bar is delayed, the other daemon keeps renewing.
    for _second in range(60):
        world.advance(1.0)
        run_operation(two, two.read())
        two.renew(endpoint.name)
        deliver(world)
    world.late_writes.pop()()
    one.finish_operation()
    for shift in range(5):
        run_cycle(one, shift)
    assert endpoint.running()
    world.advance(32.5)
    for shift in range(5):
        run_cycle(one, shift)
    # The task now runs at the other endpoint.
    assert not endpoint.running()
    assert any(other.running() for other in world.endpoints.values())


def test_replica_of_a_lost_endpoint_is_stopped_before_its_capacity_is_reused(world):
    endpoint = start_job(world, workload=wire.Workload.SERVICE)
    one = world.daemons[0]
    world.unlisted.add(endpoint.name)
    for _round in range(3):
        run_cycle(one)
        world.advance(32.5)
    world.unlisted.clear()
    run_operation(one, one.submit(factory.spec("other", 4, max_attempts=9)))
    for shift in range(4):
        one.load_config_and_list()
        run_operation(one, one.read())
        run_operation(one, one.tick(shift))
        one.orders.reconcile()
        # Starts arrive before stops.
        world.network.sort(key=lambda message: message.kind != "start")
        deliver(world)
    assert len(endpoint.running()) <= 2


def test_finished_task_is_recorded_after_a_failed_write(world):
    endpoint = start_job(world)
    one = world.daemons[0]
    one.renew(endpoint.name)
    deliver(world)
    endpoint.end_run(endpoint.running()[0], "done")
    one.renew(endpoint.name)
    deliver(world)
    # The report was processed, but the write of its record fails.
    one.begin_operation(one.tick())
    one.step("refuse")
    for _round in range(3):
        one.renew(endpoint.name)
        deliver(world)
        run_cycle(one)
    job = world.observers["a"].state.jobs["job"]
    assert (job.done, job.tasks) == (1, {})


@pytest.mark.parametrize("calls", range(6))
def test_suspended_writer_does_not_deliver_a_part_again(world, calls):
    one, sleeper, three = world.daemons[:3]
    run_operation(one, one.submit(factory.spec("job", 1)))
    world.change_domain("a", True)
    run_cycle(one)
    run_cycle(one)
    run_operation(sleeper, sleeper.read())
    sleeper.begin_operation(sleeper.deliver())
    for _call in range(calls):
        sleeper.step("succeed")
    # Meanwhile, another writer delivers the part, which then ends and is forgotten.
    run_operation(one, one.deliver())
    run_operation(three, three.read())
    for part in world.observers["b"].submitted:
        cancel = wire.Record(cancel=wire.Cancel(part, 1.0))
        run_operation(three, three.log.append([cancel]))
    run_operation(three, three.forget())
    assert not world.observers["b"].state.jobs
    sleeper.finish_operation()
    assert not world.observers["b"].state.jobs
