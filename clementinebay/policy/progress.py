"""Detects runs that make no progress."""

#: A run without progress for this long counts as stuck.  Progress is reported in
#: percent, once a second; the users' longest tasks, even ten times too slow, advance by
#: two percent in this time.
STUCK_SECONDS = 1.5
#: Fillers with a lower pace, in percent, are not expected to make progress.
MIN_EXPECTED_PACE = 50


def stuck(task, now):
    """Return whether a run makes no progress although it could."""
    if task.step.replica or task.percent >= 100:
        return False
    if task.step.filler and (task.pace is None or task.pace < MIN_EXPECTED_PACE):
        return False
    return now >= max(task.progressed_at, task.paced_at) + STUCK_SECONDS
