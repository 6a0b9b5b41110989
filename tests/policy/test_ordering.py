"""The order of waiting jobs under a load that cannot all be served."""

import pytest

from clementinebay.policy import ordering
from clementinebay.workflow.job import Job, TaskState
from clementinebay.workflow.model import Queue, Step
from tests.workflow import factory

URGENT = Queue("u", "h", "/u/", "s", stretch=1.5, slack_ms=250)
WIDE = Queue("w", "h", "/w/", "s", priority=2, stretch=2.0, slack_ms=1000)
#: Steps of the users' two kinds of batch job.
URGENT_STEPS = (Step(count=9, estimate_ms=640), Step(count=6, estimate_ms=640))
WIDE_STEPS = (Step(count=39, estimate_ms=1700), Step(count=39, estimate_ms=1700))


def make_job(number, queue, steps, at):
    """Return a job accepted ``at``."""
    steps = tuple(
        Step(
            count=step.count, estimate_ms=step.estimate_ms, after=(n - 1,) if n else ()
        )
        for n, step in enumerate(steps)
    )
    return Job(factory.make_spec(f"{number:016x}", steps), queue, at, 0.0)


def play(rank, starts_per_second, until=60.0, burst=(12.0, 18.0)):
    """Return (jobs on time, jobs), by queue, if starts are what is short.

    Jobs arrive as in trouble-1 of the large site's small twin, with a burst of wide
    ones.  A task runs for its estimate; starts are given to jobs by ``rank``.
    """
    jobs, running, ends = [], [], {}
    now, credit, number = 0.0, 0.0, 0
    next_at = {URGENT: 0.0, WIDE: 0.0}
    while now < until + 20:
        for queue, steps, gap in (
            (URGENT, URGENT_STEPS, 0.75),
            (WIDE, WIDE_STEPS, 0.8),
        ):
            in_burst = queue is WIDE and burst[0] <= now < burst[1]
            if now >= next_at[queue] and now < until:
                next_at[queue] = now + gap / (3 if in_burst else 1)
                jobs.append(make_job(number, queue, steps, now))
                number += 1
        for end, task in [row for row in running if row[0] <= now]:
            running.remove((end, task))
            task.job.finish_task(task, now)
            if not any(task.job.remaining):
                ends[task.job] = now
        credit = min(credit + starts_per_second * 0.05, starts_per_second * 0.05 + 1)
        waiting = [job for job in jobs if any(job.waiting)]
        for job in sorted(
            waiting, key=lambda job: rank(job, now, 1 / starts_per_second)
        ):
            for number_of_step, tasks in enumerate(job.waiting):
                for task in list(tasks):
                    if credit < 1:
                        break
                    credit -= 1
                    job.was_placed = True
                    del job.waiting[number_of_step][task]
                    running.append((now + task.step.estimate_ms / 1000, task))
        now += 0.05
    return {
        queue.name: (
            sum(
                ends.get(job, 1e9) <= job.objective_at
                for job in jobs
                if job.queue is queue
            ),
            sum(job.queue is queue for job in jobs),
        )
        for queue in (URGENT, WIDE)
    }


def by_objective(job, now, _start_seconds):
    """Return the rank that lets jobs wait by what they have missed already."""
    age = job.relative_age(now)
    overdue = 0 if age < 1.0 else 1 if age < ordering.WORTHLESS_AGE else 2
    return (overdue, job.queue.priority, job.objective_at)


def test_burst_leaves_every_job_late():
    """80 starts a second are some two thirds of what is due."""
    served = play(ordering.rank, 80.0)
    before = play(by_objective, 80.0)
    assert served["u"][0] >= 0.95 * served["u"][1]
    assert served["w"][0] >= 0.4 * served["w"][1]
    assert sum(row[0] for row in served.values()) > sum(
        row[0] for row in before.values()
    )


def test_load_that_can_be_served_is_served_in_time():
    served = play(ordering.rank, 260.0, burst=(0.0, 0.0))
    assert all(on_time == jobs for on_time, jobs in served.values())


@pytest.mark.parametrize(
    ("age", "kind"),
    [(0.0, ordering.ON_TIME), (1.0, ordering.LATE), (5.4, ordering.WORTHLESS)],
)
def test_job_is_late_once_its_steps_do_not_fit_before_its_objective(age, kind):
    """The steps take 1.28 s, and the objective is 2.17 s after the acceptance."""
    job = make_job(1, URGENT, URGENT_STEPS, 10.0)
    assert ordering.classify(job, 10.0 + age) == kind


def test_finished_steps_count_no_more():
    job = make_job(1, URGENT, URGENT_STEPS, 10.0)
    before = ordering.remaining_seconds(job)
    for task in list(job.waiting[0]):
        job.finish_task(task, 11.0)
    assert ordering.remaining_seconds(job) == pytest.approx(before / 2)


def test_late_job_with_few_tasks_left_goes_before_a_wide_one():
    wide = make_job(1, WIDE, WIDE_STEPS, 0.0)
    small = make_job(2, URGENT, URGENT_STEPS, 2.0)
    now = 4.5
    assert {ordering.classify(job, now) for job in (wide, small)} == {ordering.LATE}
    assert sorted((wide, small), key=lambda job: ordering.rank(job, now))[0] is small


def test_replicas_come_first():
    replica = make_job(1, WIDE, WIDE_STEPS, 50.0)
    replica.replica = True
    urgent = make_job(2, URGENT, URGENT_STEPS, 0.0)
    assert ordering.rank(replica, 50.0) < ordering.rank(urgent, 50.0)


def test_job_with_an_unanswered_start_stands_still():
    job = make_job(1, WIDE, WIDE_STEPS, 0.0)
    task = next(iter(job.waiting[0]))
    assert job.is_stalled()
    task.state = TaskState.UNCONFIRMED
    assert job.is_stalled()
    task.state = TaskState.STARTING
    assert not job.is_stalled()


def test_backlog_of_worthless_jobs_leaves_some_standing_still():
    """Each has room; the platform takes a job that stands still as lost."""
    engine = factory.make_engine()
    for number in range(4):
        info = factory.make_info(f"e{number}", processors_milli=64_000)
        factory.connect_endpoint(engine, info)
    for number in range(6):
        spec = factory.make_spec(f"{number:016x}", (Step(count=30),))
        engine.add_job(spec, factory.QUEUE, 0.0)
    orders = engine.plan(100.0, limit=6)
    assert len({order.task.job.id for order in orders}) == 6
    assert len(engine.plan(100.0)) == 6 * 30 - 6
