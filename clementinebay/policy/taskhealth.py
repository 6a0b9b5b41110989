"""Attributes failures of tasks to the endpoint or to the task.

If many tasks fail on one endpoint, the endpoint is at fault and is barred for a time.
If one task fails on many endpoints, the task is at fault, and the state machine parks
it after a bounded number of attempts.  A fault of most endpoints bars none: a suspected
endpoint gets no tasks until the others have had time to report, and is barred only if
they fail less.  All of this is soft state: a new scheduler starts from the failures
that the state of the shard records.
"""

from collections import deque
from enum import StrEnum

from clementinebay.shard.entities import HOLDING_PHASES
from clementinebay.shard.wire import ttypes as wire

#: Outcomes older than this do not count.
WINDOW_SECONDS = 60.0
#: Number of outcomes kept for each endpoint.
MAX_OUTCOMES = 50
#: Number of different tasks that must fail before an endpoint is suspected.
MIN_FAILED_TASKS = 3
#: Share of an endpoint's outcomes that must be failures before it is suspected.
MIN_FAILURE_RATE = 0.5
#: Time from a suspicion to the decision: every endpoint reports within it.
SETTLE_SECONDS = 2.5
#: Share of the endpoints that may be barred or suspected at the same time.
MAX_BARRED_SHARE = 0.25
#: First and longest duration of a bar.
BAR_SECONDS = 10.0
MAX_BAR_SECONDS = 600.0
#: A job is suspect once it has failed on this many endpoints without any success.
MIN_SUSPECT_ENDPOINTS = 3
#: Limit of tasks of a suspect job that run at the same time.
MAX_SUSPECT_TASKS = 2
#: First and longest delay before a failed task is bound again.
RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 30.0


class ParkReason(StrEnum):
    """Reason for which a task is parked."""

    FAILS_EVERYWHERE = "fails-everywhere"
    FAILS_ON_ONE_ENDPOINT = "fails-on-one-endpoint"
    LARGER_THAN_ANY_ENDPOINT = "larger-than-any-endpoint"
    LARGER_THAN_QUOTA = "larger-than-quota"


class EndpointHealth:
    """Recent outcomes on one endpoint, and the time until which it is barred.

    A ``suspected`` endpoint is reviewed at ``barred_until``.  On ``probation`` it gets
    one task at a time until one succeeds.
    """

    __slots__ = ("outcomes", "barred_until", "bars", "probation", "suspected")

    def __init__(self):
        self.outcomes = deque(maxlen=MAX_OUTCOMES)
        self.barred_until = 0.0
        self.bars = 0
        self.probation = False
        self.suspected = False


class Attempt:
    """Outcome of one attempt of a task."""

    __slots__ = ("at", "job", "index", "failed")

    def __init__(self, at, job, index, failed):
        self.at = at
        self.job = job
        self.index = index
        self.failed = failed


class TaskHealth:
    """Failures of tasks by endpoint and by job; ``version`` grows with each change."""

    def __init__(self):
        self.endpoints = {}
        self.succeeded = {}
        self.failed_on = {}
        self.retry_at = {}
        self.version = 0

    # Learning

    def load_failures(self, state):
        """Load the failures that are recorded in the state of a shard."""
        for job in state.jobs.values():
            origin = origin_of(job)
            if job.done:
                self.succeeded[origin] = True
            for task in job.tasks.values():
                if task.failed_on:
                    self.failed_on.setdefault(origin, set()).update(task.failed_on)

    def observe(self, state, finish, now):
        """Record a `wire.Finish` that is about to be applied to ``state``."""
        job = state.jobs.get(finish.job)
        task = job.tasks.get(finish.index) if job else None
        if (
            task is None
            or task.attempt != finish.attempt
            or task.phase not in HOLDING_PHASES
        ):
            return
        self.version += 1
        failed = finish.outcome != wire.Outcome.DONE
        origin = origin_of(job)
        health = self.endpoints.setdefault(task.endpoint, EndpointHealth())
        health.outcomes.append(Attempt(now, origin, finish.index, failed))
        key = (finish.job, finish.index)
        if failed:
            self.failed_on.setdefault(origin, set()).add(task.endpoint)
            wait = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2**task.failures)
            self.retry_at[key] = now + wait
            if not self.is_suspect(origin):
                self.suspect_or_bar(task.endpoint, len(state.endpoints), now)
            return
        self.succeeded[origin] = True
        self.failed_on.pop(origin, None)
        self.retry_at.pop(key, None)
        health.probation = False
        health.bars = max(0, health.bars - 1)

    def suspect_or_bar(self, endpoint, count, now):
        """Suspect ``endpoint``, one of ``count``, or bar it again if on probation."""
        health = self.endpoints[endpoint]
        if self.barred(endpoint, now):
            return
        if health.probation:
            self.bar(health, now)
            return
        excluded = sum(self.barred(name, now) for name in self.endpoints)
        if excluded + 1 <= max(
            1, count * MAX_BARRED_SHARE
        ) and self.has_high_failure_rate(endpoint, now):
            health.suspected = True
            health.barred_until = now + SETTLE_SECONDS

    def review(self, now):
        """Bar or clear the endpoints whose time of suspicion is over."""
        for name, health in self.endpoints.items():
            if not health.suspected or now < health.barred_until:
                continue
            self.version += 1
            health.suspected = False
            own_rate = self.failure_rate(self.recent(name, now))
            if self.has_high_failure_rate(
                name, now
            ) and own_rate >= 2 * self.failure_rate_elsewhere(name, now):
                self.bar(health, now)
            else:
                health.outcomes.clear()

    def bar(self, health, now):
        """Bar an endpoint; the duration doubles with each bar, up to a limit."""
        wait = min(MAX_BAR_SECONDS, BAR_SECONDS * 2**health.bars)
        health.barred_until = now + wait
        health.bars += 1
        health.probation = True
        health.outcomes.clear()

    def has_high_failure_rate(self, endpoint, now):
        """Return whether enough tasks failed on ``endpoint`` to suspect it."""
        attempts = self.recent(endpoint, now)
        tasks = {(a.job, a.index) for a in attempts if a.failed}
        return (
            len(tasks) >= MIN_FAILED_TASKS
            and self.failure_rate(attempts) >= MIN_FAILURE_RATE
        )

    def failure_rate(self, attempts):
        """Return the share of ``attempts`` that failed."""
        return sum(a.failed for a in attempts) / max(1, len(attempts))

    def failure_rate_elsewhere(self, endpoint, now):
        """Return the failure rate on the other endpoints that are not on probation."""
        return self.failure_rate(
            [
                attempt
                for name, health in self.endpoints.items()
                if name != endpoint and not health.probation
                for attempt in self.recent(name, now)
            ]
        )

    def recent(self, endpoint, now):
        """Return the `Attempt`s within the window, without those of suspect jobs."""
        return [
            attempt
            for attempt in self.endpoints[endpoint].outcomes
            if attempt.at > now - WINDOW_SECONDS and not self.is_suspect(attempt.job)
        ]

    # Decisions

    def is_suspect(self, origin):
        """Return whether job ``origin`` failed on many endpoints and never succeeded.

        Endpoints on probation do not count against the job.
        """
        if origin in self.succeeded:
            return False
        blameless = [
            name
            for name in self.failed_on.get(origin, ())
            if not self.on_probation(name)
        ]
        return len(blameless) >= MIN_SUSPECT_ENDPOINTS

    def on_probation(self, endpoint):
        """Return whether ``endpoint`` was barred and has had no success since."""
        health = self.endpoints.get(endpoint)
        return bool(health and health.probation)

    def barred(self, endpoint, now):
        """Return whether ``endpoint`` is barred or suspected at ``now``."""
        health = self.endpoints.get(endpoint)
        return bool(health and health.barred_until > now)

    def is_delayed(self, job, index, now):
        """Return whether a task is delayed after a failure."""
        return self.retry_at.get((job, index), 0.0) > now

    def allowance(self, job):
        """Return how many more tasks of ``job`` may be bound."""
        if not self.is_suspect(origin_of(job)):
            return job.spec.count
        return MAX_SUSPECT_TASKS - sum(
            t.phase in HOLDING_PHASES for t in job.tasks.values()
        )

    def attribute_failure(self, state, record, now):
        """Return ``record``, or its replacement if it is a failure due to the endpoint.

        A failure on a barred endpoint does not count against the task.  The reason of
        a task's last failure is prefixed with a `ParkReason`.
        """
        finish = record.finish
        if finish is None:
            return record
        self.observe(state, finish, now)
        job = state.jobs.get(finish.job)
        task = job.tasks.get(finish.index) if job else None
        if task is None or finish.outcome == wire.Outcome.DONE:
            return record
        if self.barred(task.endpoint, now):
            return blame_endpoint(finish, task)
        if task.failures + 1 >= job.spec.max_attempts:
            failed_endpoints = {*task.failed_on, task.endpoint}
            finish.reason = f"{park_reason(state, failed_endpoints)}: {finish.reason}"
        return record

    def forget(self, state, now):
        """Drop entries of jobs and endpoints that no longer exist, and past delays."""
        origins = {origin_of(job) for job in state.jobs.values()}
        for table in (self.succeeded, self.failed_on):
            for origin in [o for o in table if o not in origins]:
                del table[origin]
        for name in [n for n in self.endpoints if n not in state.endpoints]:
            del self.endpoints[name]
        for key in [k for k, at in self.retry_at.items() if at <= now]:
            del self.retry_at[key]


def blame_endpoint(finish, task):
    """Return the record that returns a task to waiting without counting a failure."""
    identity = (finish.job, finish.index, finish.attempt)
    evidence = wire.Evidence.STOPPED
    return wire.Record(
        released=wire.Released(*identity, evidence, finish.at, task.checkpoint, True)
    )


def park_reason(state, failed_endpoints):
    """Return the `ParkReason` of a task that failed on ``failed_endpoints``."""
    if len(failed_endpoints) > 1 or len(state.endpoints) == 1:
        return ParkReason.FAILS_EVERYWHERE
    return ParkReason.FAILS_ON_ONE_ENDPOINT


def origin_of(job):
    """Return the id of the job that the client submitted, for one of its parts."""
    return job.spec.origin or job.spec.id
