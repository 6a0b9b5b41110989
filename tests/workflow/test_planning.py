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


def fill_endpoints(engine):
    """Connect endpoints and use all their processors."""
    for number in range(ENDPOINTS):
        factory.connect_endpoint(engine, factory.make_info(f"e{number}"))
    step = Step(count=ENDPOINTS, processors_milli=8000)
    spec = factory.make_spec(id="f" * 16, steps=(step,))
    engine.add_job(spec, factory.QUEUE, 0.0)
    assert len(engine.plan(0.0)) == ENDPOINTS


def test_failed_tasks_without_room_share_the_search_for_an_endpoint(scored):
    engine = factory.make_engine()
    fill_endpoints(engine)
    step = Step(count=TASKS, processors_milli=1000)
    job = engine.add_job(factory.make_spec(steps=(step,)), factory.QUEUE, 0.0)
    for task in job.tasks.values():
        task.avoided_endpoints = frozenset({"e1"})
    scored.clear()
    assert engine.plan(1.0) == []
    assert len(scored) <= 2 * ENDPOINTS


def test_equal_jobs_without_room_share_the_search_for_an_endpoint(scored):
    engine = factory.make_engine()
    fill_endpoints(engine)
    step = Step(count=1, processors_milli=1000)
    for number in range(TASKS):
        spec = factory.make_spec(id=f"{number:016x}", steps=(step,))
        engine.add_job(spec, factory.QUEUE, 0.0)
    scored.clear()
    assert engine.plan(1.0) == []
    assert len(scored) <= 2 * ENDPOINTS
