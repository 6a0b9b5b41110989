import pytest

from clementinebay.endpoint.base import Report, ServiceUsage, TaskReport
from clementinebay.policy import colocation as policy
from clementinebay.services.colocation import DECISION_INTERVAL_SECONDS, Colocation
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
    """Decisions made so far; the policy is replaced by one that decides nothing."""
    made = []

    def decide(*_arguments):
        made.append(policy.Decision())
        return made[-1]

    monkeypatch.setattr(policy, "decide", decide)
    return made


def decide_after_interval(colocation):
    colocation.clock.advance(2 * DECISION_INTERVAL_SECONDS)
    return colocation.records()


async def test_no_decision_without_new_input(colocation, decisions):
    for _round in range(3):
        decide_after_interval(colocation)
    assert len(decisions) == 1
    colocation.shard.state.index += 1
    decide_after_interval(colocation)
    assert len(decisions) == 2
    measured = TaskReport("job", 0, 1, "running", processors_milli=700)
    for _report in range(2):
        colocation.process_report("e", Report(1, [measured]))
        decide_after_interval(colocation)
    assert len(decisions) == 3
    colocation.process_report("e", Report(2, [], [ServiceUsage("s", 5, 0.1, 0.2)]))
    decide_after_interval(colocation)
    assert len(decisions) == 4


async def test_decision_with_actions_is_repeated(colocation, monkeypatch):
    decision = policy.Decision()
    decision.records.append(factory.release("job"))
    monkeypatch.setattr(policy, "decide", lambda *_arguments: decision)
    assert (
        decide_after_interval(colocation)
        == decide_after_interval(colocation)
        == decision.records
    )
