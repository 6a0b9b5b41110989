import pytest

from clementinebay.policy.reachability import Reachability
from clementinebay.policy.taskhealth import TaskHealth
from clementinebay.services import scheduler as service
from clementinebay.shard.state import State
from tests.services.fakes import Fake, FakeKernel
from tests.shard import factory


@pytest.fixture
def scheduler(clock):
    """A scheduler that counts its decisions, beside fakes of what it looks at."""
    state = State()
    for record in (factory.endpoint("e"), factory.submit("job", count=1)):
        state.apply(record)
    state.apply(factory.bind("job", name="e"))
    found = service.Scheduler(FakeKernel(clock, scheduler_colocation="off"))
    found.domain = "d"
    found.shard = Fake(state=state)
    found.config = Fake(
        document=Fake(revision=1, domain_out=lambda _name: False), confirmed_at=9e9
    )
    found.livelist = Fake(vms={}, confirmed_at=9e9)
    found.reachability = Fake(policy=Reachability(30.0))
    found.parts = Fake(limits={})
    found.health = TaskHealth()
    found.decided, found.look_again_at = None, 0.0
    found.decisions = []
    found.decide = lambda now: found.decisions.append(now) or []
    return found


def decisions(scheduler, seconds=20):
    """Return how many decisions a time without news takes."""
    before = len(scheduler.decisions)
    for _tick in range(seconds * 10):
        scheduler.decide_if_changed()
        scheduler.clock.advance(0.1)
    return len(scheduler.decisions) - before


def test_settled_shard_is_decided_rarely(scheduler):
    assert decisions(scheduler) <= 4 + 1


def test_shard_with_waiting_tasks_is_decided_each_second(scheduler):
    scheduler.shard.state.apply(factory.submit("other", count=1))
    assert decisions(scheduler) >= 18


def test_shard_with_a_lost_endpoint_is_decided_each_second(scheduler):
    factory.lose(scheduler.shard.state, "e")
    assert decisions(scheduler) >= 18


def test_shard_with_a_failing_endpoint_is_decided_each_second(scheduler):
    policy = scheduler.reachability.policy
    policy.failed("e", scheduler.clock.now())
    assert decisions(scheduler) >= 18
    policy.answered("e")
    assert decisions(scheduler) <= 4 + 1


def test_news_is_decided_at_once(scheduler):
    scheduler.decide_if_changed()
    scheduler.decide_if_changed()
    assert len(scheduler.decisions) == 1
    scheduler.livelist.vms = {"e": Fake()}
    scheduler.decide_if_changed()
    assert len(scheduler.decisions) == 2
    scheduler.shard.state.index += 1
    scheduler.decide_if_changed()
    assert len(scheduler.decisions) == 3
