"""Detection of stuck runs."""

import pytest

from clementinebay.policy import progress
from clementinebay.workflow.model import Step
from tests.workflow import factory


def make_task(**fields):
    """Return a task that started at time 0 and made no progress since."""
    engine = factory.make_engine()
    spec = factory.make_spec(steps=[Step(count=1, **fields)])
    return engine.add_job(spec, factory.QUEUE, 0.0).task(0, 0)


def test_run_without_progress_is_stuck():
    task = make_task()
    assert not progress.stuck(task, progress.STUCK_SECONDS - 0.1)
    assert progress.stuck(task, progress.STUCK_SECONDS)


def test_run_with_recent_progress_is_not_stuck():
    task = make_task()
    task.progressed_at = 5.0
    assert not progress.stuck(task, 5.0 + progress.STUCK_SECONDS - 0.1)


def test_run_at_100_percent_is_not_stuck():
    task = make_task()
    task.percent = 100
    assert not progress.stuck(task, 60.0)


def test_replicas_are_not_stuck():
    assert not progress.stuck(make_task(replica=True), 60.0)


@pytest.mark.parametrize("pace", (None, 0, 20))
def test_paced_filler_is_not_stuck(pace):
    task = make_task(filler=True)
    task.pace = pace
    assert not progress.stuck(task, 60.0)


def test_time_without_progress_counts_from_the_last_change_of_pace():
    task = make_task(filler=True)
    task.paced_at = 10.0
    assert not progress.stuck(task, 10.0 + progress.STUCK_SECONDS - 0.1)
    assert progress.stuck(task, 10.0 + progress.STUCK_SECONDS)
