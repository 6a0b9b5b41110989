"""When an endpoint is asked next for a report."""

import pytest

from clementinebay.policy import polling
from clementinebay.workflow.model import Step
from tests.workflow import factory

REPLICA = Step(count=1, processors_milli=1000, replica=True, image="r", latency_ms=50)
FILLER = Step(count=1, processors_milli=1000, filler=True, image="f")


def make_endpoint(*steps, headroom=2.0):
    """Return an endpoint with a run of each step since 0.0."""
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    for number, step in enumerate(steps):
        spec = factory.make_spec(f"{number:016x}", (step,))
        engine.add_job(spec, factory.QUEUE, 0.0)
    factory.start_all(engine)
    assert len(endpoint.tasks) == len(steps)
    endpoint.spare_headroom = [("r", headroom)] if REPLICA in steps else ()
    return endpoint


@pytest.mark.parametrize(
    ("steps", "headroom", "now", "wait"),
    [
        ((), 0.0, 9.0, polling.USUAL_WAIT_SECONDS),
        ((REPLICA,), 0.0, 9.0, polling.USUAL_WAIT_SECONDS),
        ((FILLER,), 0.0, 9.0, polling.USUAL_WAIT_SECONDS),
        ((REPLICA, FILLER), 2.0, 9.0, polling.USUAL_WAIT_SECONDS),
        ((REPLICA, FILLER), 0.1, 9.0, polling.MEASURED_WAIT_SECONDS),
        ((REPLICA, FILLER), 2.0, 0.5, polling.MEASURED_WAIT_SECONDS),
    ],
)
def test_replicas_are_measured_only_while_fillers_may_slow_them(
    steps, headroom, now, wait
):
    endpoint = make_endpoint(*steps, headroom=headroom)
    assert polling.report_wait(endpoint, 0.0, now) == wait


def test_late_scheduler_gives_measurements_up_and_collects_ends():
    endpoint = make_endpoint(REPLICA, FILLER, headroom=0.1)
    assert polling.report_wait(endpoint, 0.5, 9.0) == polling.USUAL_WAIT_SECONDS
    assert polling.pause_after_ends(0.0) == 0.0
    assert polling.pause_after_ends(0.2) == 0.2
    assert polling.pause_after_ends(5.0) == polling.MAX_PAUSE_SECONDS


@pytest.mark.parametrize(
    "change",
    [
        lambda endpoint: setattr(endpoint, "has_reported", False),
        lambda endpoint: setattr(endpoint, "last_processed_end", 3),
        lambda endpoint: endpoint.mark_silent(1.0),
    ],
    ids=["not reported", "ends to acknowledge", "silent"],
)
def test_endpoint_whose_runs_are_not_known_is_asked_at_once(change):
    endpoint = make_endpoint()
    change(endpoint)
    assert polling.report_wait(endpoint, 0.0, 9.0) == 0.0
