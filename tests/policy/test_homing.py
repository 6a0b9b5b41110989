from clementinebay.policy import homing, planner
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from tests.policy import factory
from tests.shard import factory as shard_factory


def evacuated(count=3, **fields):
    """Return domain "a", which runs replicas moved from "b", and "b" without tasks."""
    state = factory.fleet(4)
    for index in range(count):
        spec = shard_factory.spec(
            f"call-in~{index}~n",
            1,
            first_index=index,
            workload=factory.SERVICE,
            origin="call-in",
            **fields,
        )
        state.apply(wire.Record(submit=wire.Submit(spec, "", "b")))
    run_all(state)
    return state, factory.fleet(4)


def run_all(state):
    factory.bind_all(state, planner.plan(state, 1.0, 5.0))


def finish_stops(state):
    for job in list(state.jobs.values()):
        for task in list(job.tasks.values()):
            if task.phase == homing.Phase.STOPPING:
                stopped = wire.Released(job.spec.id, task.index, task.attempt, 0, 1.0)
                state.apply(wire.Record(released=stopped))


def running(*states):
    return sum(
        task.phase == homing.Phase.RUNNING
        for state in states
        for job in state.jobs.values()
        for task in job.tasks.values()
    )


def apply_steps(state, home, overdue=()):
    found = homing.steps(state, {"b": home}, 1.0, overdue)
    for record in found.own:
        state.apply(record)
    for domain, record in found.others:
        assert domain == "b"
        home.apply(record)
    return found


def test_replicas_return_one_at_a_time_and_stop_only_once_their_twin_runs():
    state, home = evacuated(3)
    for _round in range(3):
        assert len(apply_steps(state, home).others) == 1
        assert running(state, home) == 3
        # The twin does not run yet.
        assert not apply_steps(state, home).own
        run_all(home)
        assert running(state, home) == 4
        assert len(apply_steps(state, home).own) == 1
        assert running(state, home) == 3
        finish_stops(state)
    found = apply_steps(state, home)
    assert not found.own and not found.others
    assert (running(state), running(home)) == (0, 3)


def test_no_replica_returns_to_a_home_that_is_full_out_or_unknown():
    state, home = evacuated(2)
    assert not homing.steps(state, {}, 1.0).others
    home.apply(wire.Record(domain_state=wire.DomainState(True, 1)))
    assert not apply_steps(state, home).others
    assert not apply_steps(state, State()).others
    busy = factory.fleet(1)
    factory.submit(busy, "minutes", 8)
    run_all(busy)
    assert not apply_steps(state, busy).others
    urgent, _home = evacuated(2, urgency=wire.Urgency.URGENT)
    assert len(apply_steps(urgent, busy).others) == 1


def test_twin_that_does_not_run_in_time_is_cancelled_and_not_retried():
    state, home = evacuated(1)
    [(_domain, record)] = apply_steps(state, home).others
    twin = record.submit.spec.id
    assert not apply_steps(state, home).others
    [(_domain, cancelled)] = apply_steps(state, home, {twin}).others
    assert cancelled.cancel.job == twin
    run_all(home)
    found = apply_steps(state, home)
    assert not found.own and not found.others
    assert (running(state), running(home)) == (1, 0)


def test_repeated_step_has_no_effect():
    state, home = evacuated(2)
    one = homing.steps(state, {"b": home}, 1.0)
    apply_steps(state, home)
    for _domain, record in one.others:
        home.apply(record)
    assert len(home.jobs) == 1


def test_replica_that_was_released_while_its_twin_starts_is_not_moved_again():
    state, home = evacuated(1)
    apply_steps(state, home)
    state.apply(wire.Record(domain_state=wire.DomainState(True, 1)))
    [job] = state.jobs.values()
    release = wire.Release(job.spec.id, 0, 1, "domain-out")
    state.apply(wire.Record(release=release))
    finish_stops(state)
    assert len(apply_steps(state, home).own) == 1
    assert job.ended
