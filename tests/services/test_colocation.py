import pytest

from clementinebay.endpoint.base import Report, ServiceUsage, TaskReport
from clementinebay.policy import colocation as policy
from clementinebay.services.colocation import DECIDE_SECONDS, Colocation
from clementinebay.shard.state import State
from tests.services.fakes import Fake, FakeKernel
from tests.shard import factory


@pytest.fixture
async def colocation(clock):
    state = State()
    for record in (
        factory.endpoint("e"),
        factory.submit("job"),
        factory.bind("job", name="e"),
    ):
        state.apply(record)
    kernel = FakeKernel(clock)
    kernel.services.update(
        shard=Fake(state=state),
        driver=Fake(driver=None),
        renewals=Fake(listeners=[]),
    )
    async with Colocation(kernel) as service:
        yield service


@pytest.fixture
def decisions(monkeypatch):
    """What the policy decides next; each call of it is counted by taking one."""
    made = []

    def decide(*_arguments):
        made.append(policy.Decision())
        return made[-1]

    monkeypatch.setattr(policy, "decide", decide)
    return made


def look(colocation):
    colocation.clock.advance(2 * DECIDE_SECONDS)
    return colocation.records()


async def test_nothing_is_decided_without_news(colocation, decisions):
    for _look in range(3):
        look(colocation)
    assert len(decisions) == 1
    colocation.shard.state.index += 1
    look(colocation)
    assert len(decisions) == 2
    measured = TaskReport("job", 0, 1, "running", processors_milli=700)
    for _report in range(2):
        colocation.take_report("e", Report(1, [measured]))
        look(colocation)
    assert len(decisions) == 3
    colocation.take_report("e", Report(2, [], [ServiceUsage("s", 5, 0.1, 0.2)]))
    look(colocation)
    assert len(decisions) == 4


async def test_decision_that_asked_for_something_is_made_again(colocation, monkeypatch):
    asked = policy.Decision()
    asked.records.append(factory.release("job"))
    monkeypatch.setattr(policy, "decide", lambda *_arguments: asked)
    assert look(colocation) == look(colocation) == asked.records
