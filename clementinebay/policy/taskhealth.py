"""Whether failures of tasks are the endpoint's or the task's own.

Many tasks that fail on one endpoint blame the endpoint, which is barred for a time.
One task that fails on many endpoints blames the task, which the state machine parks
after a bounded number of attempts.  A fault of most endpoints bars none: an endpoint
under suspicion takes no tasks until the others have had time to report, and is barred
only if they do better.  All of this is soft state: a new scheduler begins with what the
shard's state says of failures.
"""

from collections import deque
from enum import StrEnum

from clementinebay.shard.entities import HOLDING_PHASES
from clementinebay.shard.wire import ttypes as wire

#: Time for which an outcome counts, in seconds.
WINDOW_SECONDS = 60.0
#: Outcomes kept of one endpoint.
MAX_OUTCOMES = 50
#: Different jobs or tasks that must have failed before an endpoint is blamed.
BLAMING_TASKS = 3
#: Part of the outcomes that must be failures.
BLAMING_PART = 0.5
#: Time in which every endpoint has reported, in seconds.
SETTLE_SECONDS = 2.5
#: Part of the endpoints that may be barred or under suspicion at once.
BARRED_PART = 0.25
#: First and longest time for which an endpoint is barred, in seconds.
BAR_SECONDS = 10.0
MAX_BAR_SECONDS = 600.0
#: Endpoints on which a job must fail, without success, to be suspect.
SUSPECT_ENDPOINTS = 3
#: Tasks of a suspect job that run at once.
SUSPECT_TASKS = 2
#: First and longest wait before a task that failed is bound again, in seconds.
RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 30.0


class ParkReason(StrEnum):
    """Why a task is parked."""

    FAILS_EVERYWHERE = "fails-everywhere"
    FAILS_ON_ONE_ENDPOINT = "fails-on-one-endpoint"
    LARGER_THAN_ANY_ENDPOINT = "larger-than-any-endpoint"
    LARGER_THAN_QUOTA = "larger-than-quota"


class EndpointHealth:
    """Outcomes of one endpoint, and until when it takes no tasks.

    ``suspected`` is set until the endpoint is judged at ``barred_until``; on
    ``probation`` it takes one task at a time until one succeeds.
    """

    __slots__ = ("outcomes", "barred_until", "bars", "probation", "suspected")

    def __init__(self):
        self.outcomes = deque(maxlen=MAX_OUTCOMES)
        self.barred_until = 0.0
        self.bars = 0
        self.probation = False
        self.suspected = False


class Attempt:
    """The end of one attempt: when, of which job and task, and whether it failed."""

    __slots__ = ("at", "job", "index", "failed")

    def __init__(self, at, job, index, failed):
        self.at = at
        self.job = job
        self.index = index
        self.failed = failed


class TaskHealth:
    """What is known of failures; ``version`` grows with each change."""

    def __init__(self):
        self.endpoints = {}
        self.succeeded = {}
        self.failed_on = {}
        self.retry_at = {}
        self.version = 0

    # Learning

    def load_failures(self, state):
        """Take in the failures that a shard's state remembers."""
        for job in state.jobs.values():
            origin = origin_of(job)
            if job.done:
                self.succeeded[origin] = True
            for task in job.tasks.values():
                if task.failed_on:
                    self.failed_on.setdefault(origin, set()).update(task.failed_on)

    def observe(self, state, finish, now):
        """Take in a `wire.Finish` that is about to be applied to ``state``."""
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
            if not self.suspect(origin):
                self.weigh(task.endpoint, len(state.endpoints), now)
            return
        self.succeeded[origin] = True
        self.failed_on.pop(origin, None)
        self.retry_at.pop(key, None)
        health.probation = False
        health.bars = max(0, health.bars - 1)

    def weigh(self, endpoint, count, now):
        """Suspect ``endpoint``, one of ``count``, or bar it again on probation."""
        health = self.endpoints[endpoint]
        if self.barred(endpoint, now):
            return
        if health.probation:
            self.bar(health, now)
            return
        away = sum(self.barred(name, now) for name in self.endpoints)
        if away + 1 <= max(1, count * BARRED_PART) and self.fails_much(endpoint, now):
            health.suspected = True
            health.barred_until = now + SETTLE_SECONDS

    def review(self, now):
        """Judge the endpoints that were suspected long enough."""
        for name, health in self.endpoints.items():
            if not health.suspected or now < health.barred_until:
                continue
            self.version += 1
            health.suspected = False
            own = self.failing(self.recent(name, now))
            if self.fails_much(name, now) and own >= 2 * self.elsewhere(name, now):
                self.bar(health, now)
            else:
                health.outcomes.clear()

    def bar(self, health, now):
        """Bar an endpoint, each time for longer."""
        wait = min(MAX_BAR_SECONDS, BAR_SECONDS * 2**health.bars)
        health.barred_until = now + wait
        health.bars += 1
        health.probation = True
        health.outcomes.clear()

    def fails_much(self, endpoint, now):
        """Return whether many tasks failed on ``endpoint``, and most that ran."""
        attempts = self.recent(endpoint, now)
        tasks = {(a.job, a.index) for a in attempts if a.failed}
        return len(tasks) >= BLAMING_TASKS and self.failing(attempts) >= BLAMING_PART

    def failing(self, attempts):
        """Return the part of ``attempts`` that failed."""
        return sum(a.failed for a in attempts) / max(1, len(attempts))

    def elsewhere(self, endpoint, now):
        """Return the part that failed on endpoints not known to be bad."""
        return self.failing(
            [
                attempt
                for name, health in self.endpoints.items()
                if name != endpoint and not health.probation
                for attempt in self.recent(name, now)
            ]
        )

    def recent(self, endpoint, now):
        """Return the `Attempt`s that count, without those of suspect jobs."""
        return [
            attempt
            for attempt in self.endpoints[endpoint].outcomes
            if attempt.at > now - WINDOW_SECONDS and not self.suspect(attempt.job)
        ]

    # What follows

    def suspect(self, origin):
        """Return whether job ``origin`` failed on many endpoints and never succeeded.

        Endpoints that are blamed do not count against the job.
        """
        if origin in self.succeeded:
            return False
        clean = [
            name
            for name in self.failed_on.get(origin, ())
            if not self.on_probation(name)
        ]
        return len(clean) >= SUSPECT_ENDPOINTS

    def on_probation(self, endpoint):
        """Return whether ``endpoint`` was barred and takes one task at a time."""
        health = self.endpoints.get(endpoint)
        return bool(health and health.probation)

    def barred(self, endpoint, now):
        """Return whether ``endpoint`` takes no tasks now."""
        health = self.endpoints.get(endpoint)
        return bool(health and health.barred_until > now)

    def held_back(self, job, index, now):
        """Return whether a task waits after a failure."""
        return self.retry_at.get((job, index), 0.0) > now

    def allowance(self, job):
        """Return how many more tasks of ``job`` may be bound."""
        if not self.suspect(origin_of(job)):
            return job.spec.count
        return SUSPECT_TASKS - sum(
            t.phase in HOLDING_PHASES for t in job.tasks.values()
        )

    def judge(self, state, record, now):
        """Return ``record``, or what a failure means if the endpoint is to blame.

        A failure on an endpoint that is barred does not count against the task; the
        last failure of a task gets a `ParkReason`.
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
            places = {*task.failed_on, task.endpoint}
            finish.reason = f"{park_reason(state, places)}: {finish.reason}"
        return record

    def forget(self, state, now):
        """Drop what concerns jobs and endpoints that are gone."""
        origins = {origin_of(job) for job in state.jobs.values()}
        for table in (self.succeeded, self.failed_on):
            for origin in [o for o in table if o not in origins]:
                del table[origin]
        for name in [n for n in self.endpoints if n not in state.endpoints]:
            del self.endpoints[name]
        for key in [k for k, at in self.retry_at.items() if at <= now]:
            del self.retry_at[key]


def blame_endpoint(finish, task):
    """Return the record by which a failed task waits again without a failure."""
    identity = (finish.job, finish.index, finish.attempt)
    evidence = wire.Evidence.STOPPED
    return wire.Record(
        released=wire.Released(*identity, evidence, finish.at, task.checkpoint, True)
    )


def park_reason(state, places):
    """Return why a task that failed on the endpoints ``places`` is parked."""
    if len(places) > 1 or len(state.endpoints) == 1:
        return ParkReason.FAILS_EVERYWHERE
    return ParkReason.FAILS_ON_ONE_ENDPOINT


def origin_of(job):
    """Return the name that a job's client gave it."""
    return job.spec.origin or job.spec.id
