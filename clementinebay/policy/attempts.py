"""Derives orders to endpoints from a shard's state, and records from their reports."""

from enum import Enum

from clementinebay.shard.entities import HOLDING_PHASES, Phase
from clementinebay.shard.wire import ttypes as wire

#: Reason of the failure of a service's replica that has ended as done.
REPLICA_ENDED = "replica-ended"


class Action(Enum):
    """Action that an endpoint is ordered to take on an attempt."""

    START = "start"
    STOP = "stop"
    #: Stop an attempt that was released as expired, to free its resources for reuse.
    CLEAR = "clear"


class Order:
    """One action on one attempt; ``task`` is its task, for a start."""

    __slots__ = (
        "action",
        "endpoint",
        "address",
        "job",
        "index",
        "attempt",
        "spec",
        "lease_deadline",
        "checkpoint",
    )

    def __init__(self, action, endpoint, job, index, attempt, spec=None, task=None):
        self.action = action
        self.endpoint = endpoint.seen.id
        self.address = endpoint.seen.address
        self.job = job
        self.index = index
        self.attempt = attempt
        self.spec = spec
        # Copied, since the task may be bound again before the order is sent.
        self.lease_deadline = task.lease_deadline if task else 0.0
        self.checkpoint = task.checkpoint if task else ""

    @property
    def key(self):
        """The identity of the order."""
        return (self.action, self.endpoint, self.job, self.index, self.attempt)


def orders(state, now):
    """Yield the `Order`s that ``state`` requires at ``now``; all are idempotent."""
    for endpoint in state.endpoints.values():
        if endpoint.lost:
            continue
        for name, index in sorted(endpoint.held):
            job = state.jobs[name]
            task = job.tasks[index]
            action = required_action(task, now)
            if action is not None:
                yield Order(action, endpoint, name, index, task.attempt, job.spec, task)
        for name, index, attempt in endpoint.unconfirmed:
            yield Order(Action.CLEAR, endpoint, name, index, attempt)


def required_action(task, now):
    """Return the `Action` for a task that holds resources, or ``None``.

    A start is repeated until the lease deadline.  After that the attempt is stopped,
    which ends it or confirms that it never ran.
    """
    if task.phase == Phase.STOPPING:
        return Action.STOP
    if task.phase == Phase.BOUND:
        return Action.START if now < task.lease_deadline else Action.STOP
    return None


def held_task(state, endpoint, key):
    """Return the task if its attempt ``key`` holds resources of ``endpoint``."""
    name, index, attempt = key
    job = state.jobs.get(name)
    task = job.tasks.get(index) if job else None
    if task is None or task.attempt != attempt or task.phase not in HOLDING_PHASES:
        return None
    return task if task.endpoint == endpoint else None


def record(state, endpoint, report, now):
    """Return the record that follows from a report of ``endpoint``, or ``None``.

    ``report`` is a `TaskReport`, or an object with the same attributes.
    """
    key = (report.job, report.index, report.attempt)
    known = state.endpoints.get(endpoint)
    if known is not None and key in known.unconfirmed and report.state != "running":
        return wire.Record(cleared=wire.Cleared(endpoint, *key))
    task = held_task(state, endpoint, key)
    if task is None:
        return None
    if report.state == "running":
        if task.phase == Phase.BOUND:
            return wire.Record(started=wire.Started(*key))
        return None
    if report.state == "stopped":
        stopped = wire.Evidence.STOPPED
        released = wire.Released(*key, stopped, now, report.checkpoint)
        return wire.Record(released=released)
    outcome, reason = outcome_of(report, state.jobs[report.job].spec)
    return wire.Record(finish=wire.Finish(*key, outcome, reason, now))


def outcome_of(report, spec):
    """Return the `wire.Outcome` and the reason of an attempt that has ended.

    The replicas of a service do not end, so one that did, has failed.
    """
    if report.state != "done":
        return wire.Outcome.FAILED, report.reason
    if spec.workload == wire.Workload.SERVICE:
        return wire.Outcome.FAILED, REPLICA_ENDED
    return wire.Outcome.DONE, ""


def running(state, endpoint):
    """Return the attempts that run on ``endpoint`` according to the state."""
    found = set()
    for name, index in state.endpoints[endpoint].held:
        task = state.jobs[name].tasks[index]
        if task.phase == Phase.RUNNING:
            found.add((name, index, task.attempt))
    return found


def missing(expected, reports):
    """Return the attempts of ``expected`` that are not in a full report.

    ``expected`` ran before the report was requested, so the worker was restarted and
    has lost them.  A stop confirms that they have ended.
    """
    return expected - {(r.job, r.index, r.attempt) for r in reports}


def unrecorded(state, endpoint, reports, newer=False):
    """Return whether the state lacks the end of an attempt that the reports contain.

    Such reports must not be acknowledged, since the worker may discard acknowledged
    ones.  An attempt that is unknown to the state may belong to a later state, unless
    the state was read after the report, as ``newer`` says.
    """
    for report in reports:
        key = (report.job, report.index, report.attempt)
        if report.state != "running" and (
            held_task(state, endpoint, key) or not (newer or is_over(state, key))
        ):
            return True
    return False


def is_over(state, key):
    """Return whether attempt ``key`` has ended according to the state."""
    name, index, attempt = key
    job = state.jobs.get(name)
    if job is None:
        return False
    task = job.tasks.get(index)
    if task is None:
        return index < job.next_index
    return attempt < task.attempt or (
        attempt == task.attempt and task.phase not in HOLDING_PHASES
    )


def strays(state, endpoint, reports):
    """Return attempts that run on ``endpoint`` but hold nothing there in the state.

    They may belong to a later state, so they must be stopped only after a newer read.
    """
    known = state.endpoints.get(endpoint)
    unconfirmed = known.unconfirmed if known else ()
    found = set()
    for report in reports:
        key = (report.job, report.index, report.attempt)
        known_here = key in unconfirmed or held_task(state, endpoint, key)
        if report.state == "running" and not known_here:
            found.add(key)
    return found


def renewal_deadline(now, confirmed_at, lease_seconds, reclaim_seconds):
    """Return the lease deadline that a renewal may grant, in seconds since the epoch.

    It is at most ``reclaim_seconds`` after the last confirmed read of the shard, since
    other daemons consider an endpoint's leases expired after that time.
    """
    return min(now + lease_seconds, confirmed_at + reclaim_seconds)
