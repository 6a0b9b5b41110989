"""Bars endpoints on which tasks fail or get stuck.

An endpoint on which several jobs fail in a row gets no tasks for a time that doubles
with each bar, and is then probed with a single task.  If too many endpoints fail at
once, the fault is not theirs, and neither bars nor probation count.  If all endpoints
of a service are barred, each bar lasts only as long as the first.
"""

#: Number of different jobs that must fail in a row before an endpoint is barred.
MIN_FAILED_JOBS = 2
#: First and longest duration of a bar.
BAR_SECONDS = 2.0
MAX_BAR_SECONDS = 16.0
#: Bars are ignored while more than this share of the endpoints is barred, and probation
#: while more than this share of the others is on probation.
MAX_BARRED_SHARE = 0.4


class Health:
    """Recent outcomes of the tasks on one endpoint.

    ``failed_jobs`` are the ids of jobs that failed there since the last success.
    ``bars`` counts the bars since then; the latest began at ``barred_at``.
    """

    __slots__ = ("failed_jobs", "barred_at", "barred_until", "bars", "probation")

    def __init__(self):
        self.failed_jobs = set()
        self.barred_at = 0.0
        self.barred_until = 0.0
        self.bars = 0
        self.probation = False

    def succeeded(self):
        """Record that a task succeeded."""
        self.failed_jobs.clear()
        self.probation = False
        self.bars = 0

    def failed(self, job_id, now):
        """Record that a task failed; return whether the endpoint is barred for it."""
        self.failed_jobs.add(job_id)
        if not self.probation and len(self.failed_jobs) < MIN_FAILED_JOBS:
            return False
        self.bar(now)
        return True

    def bar(self, now):
        """Bar the endpoint; the duration doubles with each bar, up to a limit."""
        seconds = min(BAR_SECONDS * 2**self.bars, MAX_BAR_SECONDS)
        self.barred_at = now
        self.barred_until = now + seconds
        self.bars += 1
        self.probation = True
        self.failed_jobs.clear()

    def barred(self, now):
        """Return whether the endpoint is barred at ``now``."""
        return now < self.barred_until

    def newly_barred(self, now):
        """Return whether the endpoint would be barred if this were its first bar."""
        return now < min(self.barred_until, self.barred_at + BAR_SECONDS)


def too_many_barred(healths, now):
    """Return whether so many endpoints are barred that the fault lies elsewhere."""
    barred = sum(health.barred(now) for health in healths)
    return barred > MAX_BARRED_SHARE * len(healths)


def too_many_on_probation(healths):
    """Return whether so many endpoints are on probation that it must not count."""
    probes = sum(health.probation for health in healths)
    return probes > MAX_BARRED_SHARE * len(healths)
