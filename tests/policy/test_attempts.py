import pytest

from clementinebay.endpoint.base import TaskReport
from clementinebay.policy import attempts
from clementinebay.policy.attempts import Action
from clementinebay.shard.entities import Phase
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from tests.shard import factory


@pytest.fixture
def state():
    state = State()
    state.index = 1
    for record in (factory.endpoint(), factory.submit(), factory.bind()):
        state.apply(record)
    return state


def report(attempt=1, state="running", index=0):
    return TaskReport("minutes", index, attempt, state)


def test_order_keeps_the_deadline_of_its_own_attempt(state):
    late = next(attempts.orders(state, 5.0))
    state.apply(factory.released())
    state.apply(factory.bind(attempt=2, deadline=99.0))
    assert (late.action, late.attempt, late.lease_deadline) == (Action.START, 1, 10.0)


def test_attempt_is_stopped_instead_of_started_after_its_lease_deadline(state):
    assert [order.action for order in attempts.orders(state, 10.0)] == [Action.STOP]


def test_end_of_an_attempt_is_acknowledged_only_once_it_is_recorded(state):
    ended = [report(state="done")]
    assert attempts.unrecorded(state, "e-0", ended)
    state.apply(attempts.record(state, "e-0", ended[0], 1.0))
    assert not attempts.unrecorded(state, "e-0", ended)
    # The state may be too old to contain the attempt, which may have ended already.
    later = [report(state="done", index=1)]
    assert attempts.unrecorded(state, "e-0", later)
    assert not attempts.unrecorded(state, "e-0", later, newer=True)


def test_replica_of_a_service_that_ends_as_done_is_to_run_again():
    """It was taken as completed, and never started again."""
    state = State()
    state.index = 1
    submitted = factory.submit(workload=wire.Workload.SERVICE)
    for record in (factory.endpoint(), submitted, factory.bind()):
        state.apply(record)
    record = attempts.record(state, "e-0", report(state="done"), 1.0)
    state.apply(record)
    job = state.jobs["minutes"]
    assert (job.done, job.tasks[0].phase) == (0, Phase.WAITING)
    assert job.tasks[0].reason == attempts.REPLICA_ENDED


def test_running_attempt_without_resources_in_the_state_is_a_stray(state):
    state.apply(factory.started())
    assert not attempts.strays(state, "e-0", [report()])
    assert attempts.strays(state, "e-1", [report()])
    assert attempts.strays(state, "e-0", [report(2)]) == {("minutes", 0, 2)}


def test_attempt_that_its_endpoint_no_longer_reports_is_missing(state):
    state.apply(factory.started())
    expected = attempts.running(state, "e-0")
    assert not attempts.missing(expected, [report()])
    assert attempts.missing(expected, []) == {("minutes", 0, 1)}


def test_expired_attempt_is_cleared_once_its_endpoint_is_back(state):
    factory.lose(state, free_at=40.0)
    state.apply(factory.released(evidence=wire.Evidence.EXPIRED, at=50.0))
    assert not list(attempts.orders(state, 60.0))
    state.apply(factory.endpoint())
    assert [order.action for order in attempts.orders(state, 60.0)] == [Action.CLEAR]
    assert attempts.record(state, "e-0", report(), 60.0) is None
    state.apply(attempts.record(state, "e-0", report(state="stopped"), 60.0))
    assert not state.endpoints["e-0"].unconfirmed


def test_renewal_is_bounded_by_the_last_read_of_the_shard():
    assert attempts.renewal_deadline(100.0, 99.0, 10.0, 30.0) == 110.0
    assert attempts.renewal_deadline(125.0, 99.0, 10.0, 30.0) == 129.0
