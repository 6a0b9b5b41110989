"""Refusal of jobs that the backlog leaves no time for."""

import pytest

from clementinebay.policy import backlog
from clementinebay.policy.backlog import MIN_READINGS, Backlog, StartRate
from clementinebay.workflow.model import Step
from tests.workflow import factory

#: Length of the critical path and objective of a job, in seconds.
WORK_SECONDS = 1.3
OBJECTIVE_SECONDS = 2.2


def ask(found, priority=0, draw=0.0):
    """Return when a job should be submitted again, ``None`` if it is accepted."""
    return backlog.retry_after(found, priority, WORK_SECONDS, OBJECTIVE_SECONDS, draw)


@pytest.mark.parametrize(
    ("seconds", "wait", "accepted"),
    [
        (0.0, 0.0, True),
        (5.2, 5.2, True),
        (8.0, 5.4, False),
        (10.0, 0.1, True),
        (10.0, 3.2, False),
        (13.0, 0.1, False),
        (14.0, 0.0, False),
    ],
)
def test_job_is_refused_if_it_would_be_worthless_or_the_backlog_is_full(
    seconds, wait, accepted
):
    assert (ask(Backlog(seconds, {0: wait})) is None) is accepted


def test_job_of_high_priority_does_not_wait_for_others():
    found = Backlog(8.0, {0: 0.1, 2: 6.0})
    assert ask(found, priority=0) is None
    assert ask(found, priority=1) is None
    assert ask(found, priority=2) is not None
    assert ask(found, priority=3) is not None


def test_clients_return_when_room_is_expected_and_not_together():
    found = Backlog(13.0, {0: 7.0})
    first, last = ask(found), ask(found, draw=1.0)
    assert first >= 13.0 - backlog.FREE_SECONDS
    assert last >= 2 * first - 1
    assert ask(Backlog(900.0), draw=1.0) == backlog.MAX_RETRY_SECONDS


def test_rate_of_starts_counts_only_while_tasks_wait():
    rate = StartRate()
    rate.observe(500, 1.0, waits=False)
    rate.observe(400, 1.0, waits=True)
    for _second in range(MIN_READINGS - 1):
        rate.observe(50, 1.0, waits=True)
        assert rate.value == 0.0
    rate.observe(50, 1.0, waits=True)
    assert rate.value == 50.0
    rate.observe(0, 1.0, waits=True)
    assert rate.value == 50.0
    rate.observe(100, 1.0, waits=True)
    assert rate.value == 100.0


def test_slow_begin_of_a_term_makes_daemons_refuse_what_could_be_served():
    """A new scheduler starts few tasks in its first seconds."""
    rate, values = StartRate(), []
    for starts in (4, 43, 110, 130, 40, 120):
        rate.observe(starts, 1.0, waits=True)
        values.append(rate.value)
    assert min(value for value in values if value) >= 100


def test_replicas_and_running_tasks_are_no_backlog():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    steps = ((Step(count=5, replica=True),), (Step(count=30, processors_milli=1000),))
    for number, job_steps in enumerate(steps):
        spec = factory.make_spec(f"{number:016x}", job_steps)
        engine.add_job(spec, factory.QUEUE, 0.0)
    factory.start_all(engine)
    found = backlog.measure(engine.active.values(), 10.0, 0.0)
    assert found.seconds == pytest.approx(2.2)


def play(refuse, until=30.0, starts_per_second=60.0):
    """Return the greatest backlog if clients submit twice what can be started.

    Time passes in seconds; a job has 12 tasks.
    """
    due = most = 0.0
    for _second in range(int(until)):
        for _job in range(10):
            found = Backlog(due / starts_per_second, {0: due / starts_per_second})
            if not refuse or ask(found) is None:
                due += 12
        due = max(0.0, due - starts_per_second)
        most = max(most, due / starts_per_second)
    return most


def test_lasting_overload_leaves_a_backlog_that_outlasts_it():
    assert play(refuse=False) > 1.5 * backlog.FULL_SECONDS
    assert play(refuse=True) <= backlog.FULL_SECONDS
