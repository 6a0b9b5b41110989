"""The work that plans take."""

import pytest

from clementinebay.policy import dispatch
from clementinebay.workflow.model import Step
from tests.workflow import factory

ENDPOINTS = 60
TASKS = 40


@pytest.fixture
def scored(monkeypatch):
    """Return the list of endpoints that were considered for a task."""
    scored = []
    usable = dispatch.usable

    def count(endpoint, *rest):
        scored.append(endpoint)
        return usable(endpoint, *rest)

    monkeypatch.setattr(dispatch, "usable", count)
    return scored


def test_wide_step_delays_the_event_loop_by_scoring_all_endpoints_for_each_task(scored):
    engine = factory.make_engine()
    for number in range(ENDPOINTS):
        factory.connect_endpoint(engine, factory.make_info(f"e{number}"))
    step = Step(count=TASKS, processors_milli=1000)
    engine.add_job(factory.make_spec(steps=(step,)), factory.QUEUE, 0.0)
    assert len(engine.plan(1.0)) == TASKS
    assert len(scored) <= ENDPOINTS + TASKS
