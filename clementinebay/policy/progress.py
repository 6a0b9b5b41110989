"""Which runs stand still."""

#: A run whose progress stands still for so long is taken for stuck, in seconds.
#: Progress comes in percent: the longest tasks of the users, ten times slower than they
#: should be, still advance twice in that time.  Reports come each second.
STUCK_SECONDS = 1.5
#: Least pace at which a filler is expected to advance, in percent.
LEAST_PACE = 50


def stuck(task, now):
    """Return whether a run stands still although it could advance."""
    if task.step.replica or task.percent >= 100:
        return False
    if task.step.filler and (task.pace is None or task.pace < LEAST_PACE):
        return False
    return now >= max(task.progressed_at, task.paced_at) + STUCK_SECONDS
