"""Orders waiting jobs by what is lost if they wait.

Load pattern: more work is due than can be started, after a burst or an outage.  Work in
the order of objectives then spends all starts on jobs that are about to miss theirs,
and every job is late.  Here a job that can no longer meet its objective gives way to
those that can, and one that is worth nothing any more gives way to all others.
"""

#: A job finished after this many times its objective is worth nothing.
WORTHLESS_AGE = 3.0

#: Classes of waiting jobs, the first in order first.
REPLICAS, ON_TIME, LATE, WORTHLESS = range(4)


def remaining_seconds(job):
    """Return the estimated length of the longest chain of unfinished steps, in seconds.

    Tasks that have run for a while count in full, as a step takes as long as its last
    task.
    """
    longest = []
    for number, step in enumerate(job.spec.steps):
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        own = step.estimate_ms / 1000 if job.remaining[number] else 0.0
        longest.append(before + own)
    return max(longest, default=0.0)


def unstarted_tasks(job):
    """Return the number of tasks of a job that wait or whose step is not open yet."""
    later = (
        left
        for number, left in enumerate(job.remaining)
        if number not in job.open_steps
    )
    return sum(map(len, job.waiting)) + sum(later)


def classify(job, now, start_seconds=0.0):
    """Return the class of a job by when it would be finished if it went on now.

    ``start_seconds`` is the time between two starts, 0 while no task waits for one.
    """
    if job.replica:
        return REPLICAS
    left = remaining_seconds(job) + unstarted_tasks(job) * start_seconds
    age = job.relative_age(now + left)
    if age <= 1.0:
        return ON_TIME
    return LATE if age <= WORTHLESS_AGE else WORTHLESS


def starts_one(job, now, start_seconds=0.0):
    """Return whether only one task of a job is to be started before other jobs.

    Worthless jobs still have to be finished, and none may stand still for seconds while
    there is room: one task each keeps all of them going.
    """
    return classify(job, now, start_seconds) == WORTHLESS and job.is_stalled()


def rank(job, now, start_seconds=0.0):
    """Return the sort key of a job: the first in order has the lowest.

    ``start_seconds`` is the time between two starts, 0 while no task waits for one.
    Jobs that exceed the share of their organisation come after others of their class.
    Jobs that can meet their objective come by priority.  Of these, jobs that have begun
    go on, as a job has no value before its last task, and the fewest tasks left come
    first, which lets the most jobs be in time.  Late jobs have the same value until
    they are worth nothing.  Of the others, those that stand still come first.
    """
    kind = classify(job, now, start_seconds)
    priority = job.queue.priority if job.queue is not None else 0
    if kind == REPLICAS:
        return (kind, priority, job.accepted_at)
    if kind == WORTHLESS:
        return (kind, not job.is_stalled(), job.accepted_at)
    tasks_left = sum(job.remaining)
    if kind == LATE:
        return (kind, job.exceeds_share, tasks_left, job.accepted_at)
    return (
        kind,
        job.exceeds_share,
        priority,
        not job.was_placed,
        tasks_left,
        job.objective_at,
    )
