"""Refuses jobs that the backlog leaves no time for.

Load pattern: jobs arrive faster than they can be started, for longer than their
objectives allow them to wait.  What is accepted beyond that is late when its turn
comes, takes room and starts from jobs that are not, and is still waiting when the load
is over.  A job that is refused at once can be submitted again, or elsewhere.
"""

import math

import msgspec

from clementinebay.policy import ordering

#: Backlog, in seconds that its starts take, up to which jobs are accepted that can be
#: finished before they are worth nothing.
FREE_SECONDS = 8.0
#: Backlog at which no job is accepted, in seconds.  After the last submission accepted
#: work may wait for 14 s before it has to be under way.
FULL_SECONDS = 14.0
#: Lower and upper bound of Retry-After, in seconds.
MIN_RETRY_SECONDS = 1
MAX_RETRY_SECONDS = 15
#: Factor by which the greatest rate of starts fades with each reading.
RATE_FADING = 0.93
#: Number of readings of the rate before it counts.
MIN_READINGS = 3
#: Clients are spread over this many times their wait, so that they do not return
#: together.
SPREAD = 1.0


class Backlog(msgspec.Struct, frozen=True, omit_defaults=True):
    """What waits at the scheduler.

    ``seconds`` is the time that it takes to start all tasks that are due, and ``waits``
    maps priorities to the time after which the tasks of a new job would be started,
    behind those of the jobs that can still meet their objective.  ``organisations``
    has, for those at their limit, the time that their own waiting work takes within it.
    """

    seconds: float = 0.0
    waits: dict[int, float] = {}
    organisations: dict[str, float] = {}

    def wait(self, priority):
        """Return the wait of a new job: that of the next higher known priority."""
        return max((s for p, s in self.waits.items() if p <= priority), default=0.0)


class StartRate:
    """The rate of starts that is possible, in starts per second; 0 while unknown.

    It is the greatest rate lately in intervals in which tasks waited all the time;
    without such tasks the rate shows how many fall due.  Fewer starts in an interval,
    as at the begin of a term, say little of what is possible.
    """

    __slots__ = ("greatest", "readings", "waited")

    def __init__(self):
        self.greatest = 0.0
        self.readings = 0
        self.waited = False

    @property
    def value(self):
        """The rate, 0 before there are `MIN_READINGS`."""
        return self.greatest if self.readings >= MIN_READINGS else 0.0

    def observe(self, starts, seconds, waits):
        """Take in the starts of an interval; ``waits`` tells of its end."""
        if self.waited and waits and starts:
            self.readings += 1
            self.greatest = max(starts / seconds, self.greatest * RATE_FADING)
        self.waited = waits


def patience(backlog, objective_seconds):
    """Return the latest finish of a job that is accepted, in seconds from now.

    It falls from the age at which the job is worth nothing while the backlog fills up.
    """
    span = FULL_SECONDS - FREE_SECONDS
    share = min(1.0, max(0.0, (FULL_SECONDS - backlog.seconds) / span))
    return objective_seconds * ordering.WORTHLESS_AGE * share


def retry_after(
    backlog, priority, work_seconds, objective_seconds, draw, organisation=""
):
    """Return ``None`` to accept a job, or after how many whole seconds to try again.

    ``work_seconds`` is the length of its critical path, ``objective_seconds`` its
    latency objective, and ``draw`` a random number from 0 to 1.
    """
    finish = backlog.wait(priority) + work_seconds
    excess = finish - patience(backlog, objective_seconds)
    if excess > 0:
        excess = max(excess, backlog.seconds - FREE_SECONDS)
    own_wait = backlog.organisations.get(organisation)
    if own_wait is not None:
        own_finish = own_wait + work_seconds
        own_excess = own_finish - objective_seconds * ordering.WORTHLESS_AGE
        excess = max(excess, own_excess)
    if excess <= 0:
        return None
    seconds = excess * (1 + SPREAD * draw)
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, math.ceil(seconds)))


def measure(jobs, starts_per_second, now, held=()):
    """Return the `Backlog` of active ``jobs`` at a rate of starts.

    Organisations in ``held`` are at their limit: their jobs delay no others.
    """
    total, by_priority = 0, {}
    for job in jobs:
        if job.replica or job.spec.organisation in held:
            continue
        tasks = sum(map(len, job.waiting))
        total += tasks
        kind = ordering.classify(job, now, 1 / starts_per_second)
        if tasks and kind == ordering.ON_TIME:
            priority = job.queue.priority if job.queue is not None else 0
            by_priority[priority] = by_priority.get(priority, 0) + tasks
    waits, ahead = {}, 0
    for priority in sorted(by_priority):
        ahead += by_priority[priority]
        waits[priority] = round(ahead / starts_per_second, 2)
    return Backlog(round(total / starts_per_second, 2), waits)
