import pytest

from clementinebay.policy.reachability import Reachability
from clementinebay.policy.taskhealth import TaskHealth
from clementinebay.services import scheduler as service
from clementinebay.shard.state import State
from tests.services.fakes import Fake, FakeKernel
from tests.shard import factory


@pytest.fixture
def scheduler(clock):
    """A scheduler with fake inputs that counts its decisions."""
    state = State()
    for record in (factory.endpoint("e"), factory.submit("job", count=1)):
        state.apply(record)
    state.apply(factory.bind("job", name="e"))
    scheduler_service = service.Scheduler(FakeKernel(clock, scheduler_colocation="off"))
    scheduler_service.domain = "d"
    scheduler_service.shard = Fake(state=state)
    scheduler_service.config = Fake(
        document=Fake(revision=1, domain_out=lambda _name: False), confirmed_at=9e9
    )
    scheduler_service.livelist = Fake(vms={}, confirmed_at=9e9)
    scheduler_service.reachability = Fake(policy=Reachability(30.0))
    scheduler_service.quota_parts = Fake(limits={})
    scheduler_service.health = TaskHealth()
    scheduler_service.last_decision_key, scheduler_service.next_decision_at = None, 0.0
    scheduler_service.decisions = []
    scheduler_service.decide = lambda now: scheduler_service.decisions.append(now) or []
    return scheduler_service


def decisions(scheduler, seconds=20):
    """Return the number of decisions during a period without new input."""
    before = len(scheduler.decisions)
    for _tick in range(seconds * 10):
        scheduler.decide_if_changed()
        scheduler.clock.advance(0.1)
    return len(scheduler.decisions) - before


def test_settled_shard_uses_the_long_decision_interval(scheduler):
    assert decisions(scheduler) <= 4 + 1


def test_waiting_tasks_keep_the_short_decision_interval(scheduler):
    scheduler.shard.state.apply(factory.submit("other", count=1))
    assert decisions(scheduler) >= 18


def test_lost_endpoint_keeps_the_short_decision_interval(scheduler):
    factory.lose(scheduler.shard.state, "e")
    assert decisions(scheduler) >= 18


def test_failing_endpoint_keeps_the_short_decision_interval(scheduler):
    policy = scheduler.reachability.policy
    policy.failed("e", scheduler.clock.now())
    assert decisions(scheduler) >= 18
    policy.answered("e")
    assert decisions(scheduler) <= 4 + 1


def test_changed_input_triggers_a_decision(scheduler):
    scheduler.decide_if_changed()
    scheduler.decide_if_changed()
    assert len(scheduler.decisions) == 1
    scheduler.livelist.vms = {"e": Fake()}
    scheduler.decide_if_changed()
    assert len(scheduler.decisions) == 2
    scheduler.shard.state.index += 1
    scheduler.decide_if_changed()
    assert len(scheduler.decisions) == 3
