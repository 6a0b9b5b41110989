"""Sequences that random runs seldom find, scripted call by call."""

import pytest

from clementinebay.shard.wire import ttypes as wire
from tests.shard import factory
from tests.shard.world import World


@pytest.fixture
def world():
    world = World()
    for daemon in world.daemons:
        daemon.look()
        do(daemon, daemon.read())
    return world


def do(daemon, operation):
    daemon.begin(operation)
    daemon.finish()


def live(daemon):
    daemon.look()
    do(daemon, daemon.read())
    do(daemon, daemon.tick())
    daemon.orders.reconcile()
    deliver(daemon.world)


def deliver(world):
    messages, world.network = world.network, []
    for message in messages:
        world.deliver(message)


def start_job(world, **fields):
    one = world.daemons[0]
    do(one, one.submit(factory.spec("job", 1, max_attempts=9, **fields)))
    for _round in range(3):
        live(one)
    return next(e for e in world.endpoints.values() if e.running())


def test_bar_that_took_effect_late_does_not_let_a_renewed_task_run_twice(world):
    endpoint = start_job(world)
    one, two = world.daemons[:2]
    world.hidden.add(endpoint.name)
    one.look()
    one.begin(one.tick())
    one.step("late")
    # The bar is under way; for long, the other daemon knows nothing of it.
    for _second in range(60):
        world.advance(1.0)
        do(two, two.read())
        two.renew(endpoint.name)
        deliver(world)
    world.late.pop()()
    one.finish()
    for _round in range(5):
        live(one)
    world.check()
    assert endpoint.running()
    world.advance(32.5)
    for _round in range(5):
        live(one)
    world.check()


def test_replica_that_ran_on_while_cut_off_is_stopped_before_its_place_is_used(world):
    endpoint = start_job(world, workload=wire.Workload.SERVICE)
    one = world.daemons[0]
    world.hidden.add(endpoint.name)
    for _round in range(3):
        live(one)
        world.advance(32.5)
    world.hidden.clear()
    do(one, one.submit(factory.spec("other", 4, max_attempts=9)))
    for shift in range(4):
        one.look()
        do(one, one.read())
        do(one, one.tick(shift))
        one.orders.reconcile()
        # Starts arrive before stops.
        world.network.sort(key=lambda message: message.call.__code__.co_firstlineno)
        deliver(world)
    assert len(endpoint.running()) <= 2


def test_finished_task_is_not_lost_when_its_record_is(world):
    endpoint = start_job(world)
    one = world.daemons[0]
    one.renew(endpoint.name)
    deliver(world)
    endpoint.end(endpoint.running()[0], "done")
    one.renew(endpoint.name)
    deliver(world)
    # The report was taken; the write of its record fails.
    one.begin(one.tick())
    one.step("refuse")
    for _round in range(3):
        one.renew(endpoint.name)
        deliver(world)
        live(one)
    job = world.observers["a"].state.jobs["job"]
    assert (job.done, job.tasks) == (1, {})


def test_writer_that_slept_does_not_deliver_a_part_again(world):
    one, two = world.daemons[:2]
    do(one, one.submit(factory.spec("job", 1)))
    world.totals["job"] = 1
    world.change_domain("a", True)
    for daemon in world.daemons[:2]:
        live(daemon)
    live(one)
    do(two, two.read())
    assert world.observers["a"].state.outbox
    sleeper = world.daemons[1]
    sleeper.begin(sleeper.deliver())
    while sleeper.operation is not None and len(world.observers["b"].submitted) == 0:
        if sleeper.operation.cr_await is None or writes(sleeper):
            break
        sleeper.step("do")
    do(one, one.deliver())
    part = next(iter(world.observers["b"].submitted))
    three = world.daemons[2]
    do(three, three.read())
    cancel = wire.Record(cancel=wire.Cancel(part, 1.0))
    world.cancelled.add("job")
    do(three, three.log.append([cancel]))
    do(three, three.forget())
    assert part not in world.observers["b"].state.jobs
    sleeper.finish()
    assert part not in world.observers["b"].state.jobs


def writes(daemon):
    """Return whether the next call of the daemon's operation writes."""
    frame = daemon.operation
    while getattr(frame, "cr_await", None) is not None:
        if frame.cr_code.co_name == "write":
            return True
        frame = frame.cr_await
    return False
