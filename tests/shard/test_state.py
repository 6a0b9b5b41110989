import pytest

from clementinebay import errors
from clementinebay.shard import snapshot
from clementinebay.shard.entities import Phase
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from tests.shard import factory


@pytest.fixture
def state():
    state = State()
    state.index = 1
    for record in (factory.endpoint(), factory.submit()):
        state.apply(record)
    return state


def test_bind_reserves_and_finish_frees(state):
    state.apply(factory.bind())
    assert state.endpoints["e-0"].processors == 1000
    state.apply(factory.finish())
    assert state.endpoints["e-0"].processors == 0
    assert state.jobs["minutes"].done == 1
    state.check()


def test_bind_beyond_capacity_is_refused(state):
    state.apply(factory.bind(index=0))
    state.apply(factory.bind(index=1))
    with pytest.raises(errors.OverCommitError):
        state.apply(factory.bind(index=2))
    state.check()


def test_second_binding_is_refused(state):
    state.apply(factory.bind())
    with pytest.raises(errors.SecondBindingError):
        state.apply(factory.bind(attempt=2))


def test_bind_in_a_domain_that_is_out_is_refused(state):
    state.apply(wire.Record(domain_state=wire.DomainState(True, 5)))
    with pytest.raises(errors.DomainOutError):
        state.apply(factory.bind())
    state.apply(wire.Record(domain_state=wire.DomainState(False, 4)))
    assert state.out


def test_released_task_keeps_its_checkpoint(state):
    state.apply(factory.bind())
    state.apply(factory.release())
    state.apply(factory.released(checkpoint="0.5"))
    task = state.jobs["minutes"].tasks[0]
    assert (task.phase, task.checkpoint) == (Phase.WAITING, "0.5")
    state.apply(factory.bind(attempt=2))


def test_expiry_requires_a_lost_endpoint_and_expired_leases(state):
    state.apply(factory.bind(deadline=10.0))
    expired = wire.Evidence.EXPIRED
    with pytest.raises(errors.SecondBindingError):
        state.apply(factory.released(evidence=expired, at=1e9))
    factory.lose(state, free_at=40.0)
    with pytest.raises(errors.SecondBindingError):
        state.apply(factory.released(evidence=expired, at=39.0))
    state.apply(factory.released(evidence=expired, at=40.0))
    state.check()


def test_task_is_parked_after_too_many_failures(state):
    for attempt in range(1, 6):
        state.apply(factory.bind(attempt=attempt))
        state.apply(factory.finish(attempt=attempt, outcome=wire.Outcome.FAILED))
    assert state.jobs["minutes"].tasks[0].phase == Phase.PARKED


def test_stale_attempt_is_refused(state):
    state.apply(factory.bind())
    state.apply(factory.released())
    with pytest.raises(errors.StaleAttemptError):
        state.apply(factory.finish())


def test_cancel_stops_running_tasks_and_removes_the_others(state):
    state.apply(factory.bind())
    state.apply(wire.Record(cancel=wire.Cancel("minutes", 2.0)))
    job = state.jobs["minutes"]
    assert not job.unbound_count
    assert job.tasks[0].phase == Phase.STOPPING
    state.apply(factory.released())
    assert job.ended


def test_repeated_submission_changes_nothing_and_must_be_identical(state):
    state.apply(factory.bind())
    state.apply(factory.submit())
    assert state.jobs["minutes"].next_index == 1
    with pytest.raises(errors.RecordRefusedError):
        state.apply(factory.submit(count=9))


def test_move_puts_waiting_tasks_into_the_outbox(state):
    state.apply(factory.bind())
    state.apply(wire.Record(move=wire.Move("minutes", 1, 2, "b", "minutes~1~x")))
    parcel = state.outbox["minutes~1~x"]
    assert (parcel.spec.first_index, parcel.spec.count) == (1, 2)
    assert parcel.spec.origin == "minutes"
    with pytest.raises(errors.SecondBindingError):
        state.apply(wire.Record(move=wire.Move("minutes", 0, 1, "b", "other")))
    with pytest.raises(errors.SecondBindingError):
        state.apply(factory.bind(index=1))


def test_snapshot_restores_the_same_state(state):
    state.apply(factory.bind())
    state.apply(wire.Record(move=wire.Move("minutes", 1, 2, "b", "part")))
    image = snapshot.take(state)
    restored = snapshot.restore(image)
    restored.check()
    assert snapshot.take(restored) == image


def test_expiry_requires_a_second_record_that_refers_to_the_bar(state):
    state.apply(factory.bind(deadline=10.0))
    # The writer computed this time long before its write took effect.
    state.apply(wire.Record(endpoint_lost=wire.EndpointLost("e-0", 40.0)))
    with pytest.raises(errors.SecondBindingError):
        state.apply(factory.released(evidence=wire.Evidence.EXPIRED, at=50.0))
    # A time that refers to another bar is ignored.
    other = wire.EndpointLost("e-0", 40.0, state.endpoints["e-0"].barred + 1)
    state.apply(wire.Record(endpoint_lost=other))
    assert not state.endpoints["e-0"].free_at


def test_expired_attempt_occupies_capacity_until_its_end_is_confirmed(state):
    state.apply(factory.bind(index=0))
    state.apply(factory.bind(index=1))
    factory.lose(state, free_at=40.0)
    state.apply(factory.released(evidence=wire.Evidence.EXPIRED, at=50.0))
    state.apply(factory.endpoint())
    restored = snapshot.restore(snapshot.take(state))
    for each in (state, restored):
        with pytest.raises(errors.OverCommitError):
            each.apply(factory.bind(attempt=2))
        each.apply(wire.Record(cleared=wire.Cleared("e-0", "minutes", 0, 1)))
        each.apply(factory.bind(attempt=2))
        each.check()


def test_shrunk_endpoint_accepts_no_tasks_until_within_capacity(state):
    state.apply(factory.bind(index=0))
    state.apply(factory.bind(index=1))
    state.apply(factory.endpoint(processors=1500))
    state = snapshot.restore(snapshot.take(state))
    state.check()
    state.apply(factory.finish(index=0))
    assert not state.endpoints["e-0"].shrunk
    with pytest.raises(errors.OverCommitError):
        state.apply(factory.bind(index=2))


def test_new_address_of_an_endpoint_is_refused_while_tasks_are_bound(state):
    state.apply(factory.bind())
    with pytest.raises(errors.EndpointUnavailableError):
        state.apply(factory.endpoint(address="127.0.0.1:2"))
    state.apply(factory.finish())
    state.apply(factory.endpoint(address="127.0.0.1:2"))
    assert state.endpoints["e-0"].seen.address == "127.0.0.1:2"


def test_replica_of_a_service_is_never_parked(state):
    state.apply(factory.submit("call-in", workload=wire.Workload.SERVICE))
    for attempt in range(1, 9):
        state.apply(factory.bind("call-in", attempt=attempt))
        state.apply(
            factory.finish("call-in", attempt=attempt, outcome=wire.Outcome.FAILED)
        )
    assert state.jobs["call-in"].tasks[0].phase == Phase.WAITING


def test_parts_of_a_cancelled_job_are_cancelled_on_arrival(state):
    state.apply(wire.Record(move=wire.Move("minutes", 0, 3, "b", "part")))
    state.apply(wire.Record(cancel=wire.Cancel("", 2.0, ["minutes"])))
    assert not state.outbox
    state.apply(factory.submit("part", origin="minutes"))
    assert state.jobs["part"].ended
    state.apply(wire.Record(forget=wire.Forget(jobs=["part"], origins=["minutes"])))
    assert not state.cancelled


def test_batch_of_a_newer_format_is_not_applied(state):
    with pytest.raises(errors.LogFormatError):
        state.apply_batch(2, wire.Batch("w", "n", 0.0, [], 2))
    assert state.index == 1


def test_endpoint_in_use_is_not_forgotten(state):
    state.apply(factory.bind())
    factory.lose(state, free_at=40.0)
    forget = wire.Record(forget=wire.Forget(endpoints=["e-0"]))
    with pytest.raises(errors.RecordRefusedError):
        state.apply(forget)
    state.apply(factory.released(evidence=wire.Evidence.EXPIRED, at=50.0))
    state.apply(forget)
    assert not state.endpoints


def test_some_of_the_unbound_tasks_may_move(state):
    move = wire.Move("minutes", 0, 2, "b", "minutes~0~x")
    state.apply(wire.Record(move=move))
    assert (state.jobs["minutes"].next_index, state.jobs["minutes"].unbound_count) == (
        2,
        1,
    )
    with pytest.raises(errors.StaleAttemptError):
        state.apply(wire.Record(move=wire.Move("minutes", 2, 2, "b", "other")))


def test_shrunk_endpoint_counts_an_expired_attempt_until_confirmed(state):
    state.apply(factory.bind())
    state.apply(factory.endpoint(processors=500))
    factory.lose(state, free_at=40.0)
    state.apply(factory.released(evidence=wire.Evidence.EXPIRED, at=50.0))
    state.check()
    assert state.endpoints["e-0"].processors == 1000
    state.apply(wire.Record(cleared=wire.Cleared("e-0", "minutes", 0, 1)))
    state.check()
    assert not state.endpoints["e-0"].shrunk
