"""Endpoints that fail or hold up what they run, found by comparing outcomes.

An endpoint that fails several jobs in a row takes nothing for a time that doubles, and
is then tried with one task.  A fault of most endpoints bars none.
"""

#: Different jobs in a row that must fail before an endpoint is barred.
BLAMING_JOBS = 2
#: First and longest time for which an endpoint is barred, in seconds.
BAR_SECONDS = 2.0
MAX_BAR_SECONDS = 16.0
#: Part of the endpoints that may be barred at once.
BARRED_PART = 0.4


class Health:
    """The recent outcomes of one endpoint.

    ``failed_jobs`` are the jobs that failed there since the last success.
    """

    __slots__ = ("failed_jobs", "barred_until", "bars", "probation")

    def __init__(self):
        self.failed_jobs = set()
        self.barred_until = 0.0
        self.bars = 0
        self.probation = False

    def succeeded(self):
        """Note a task that was done."""
        self.failed_jobs.clear()
        self.probation = False
        self.bars = 0

    def failed(self, job_id, now):
        """Note a failed task; return whether the endpoint is barred for it."""
        self.failed_jobs.add(job_id)
        if not self.probation and len(self.failed_jobs) < BLAMING_JOBS:
            return False
        self.bar(now)
        return True

    def bar(self, now):
        """Take no tasks for a while."""
        seconds = min(BAR_SECONDS * 2**self.bars, MAX_BAR_SECONDS)
        self.barred_until = now + seconds
        self.bars += 1
        self.probation = True
        self.failed_jobs.clear()

    def barred(self, now):
        """Return whether the endpoint takes nothing at ``now``."""
        return now < self.barred_until


def too_many_barred(healths, now):
    """Return whether so many endpoints are barred that the fault is not theirs."""
    barred = sum(health.barred(now) for health in healths)
    return barred > BARRED_PART * len(healths)
