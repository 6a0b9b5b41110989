"""What a shard's state asks of endpoints, and what their reports mean for it."""

from enum import Enum

from clementinebay.shard.entities import HOLDING_PHASES, Phase
from clementinebay.shard.wire import ttypes as wire


class Action(Enum):
    """What an endpoint is asked to do with an attempt."""

    START = "start"
    STOP = "stop"
    #: Stop what was released as expired, so that its resources can be used again.
    CLEAR = "clear"


class Order:
    """One action for one attempt; ``task`` is the state's view of a start."""

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
        # The deadline belongs to this attempt alone, however late the order goes out.
        self.lease_deadline = task.lease_deadline if task else 0.0
        self.checkpoint = task.checkpoint if task else ""

    @property
    def key(self):
        """Identity of the order."""
        return (self.action, self.endpoint, self.job, self.index, self.attempt)


def orders(state, now):
    """Yield the `Order`s that ``state`` asks for at ``now``; all are idempotent."""
    for endpoint in state.endpoints.values():
        if endpoint.lost:
            continue
        for name, index in sorted(endpoint.held):
            job = state.jobs[name]
            task = job.tasks[index]
            action = wanted(task, now)
            if action is not None:
                yield Order(action, endpoint, name, index, task.attempt, job.spec, task)
        for name, index, attempt in endpoint.unconfirmed:
            yield Order(Action.CLEAR, endpoint, name, index, attempt)


def wanted(task, now):
    """Return the `Action` for a task that holds resources, or ``None``.

    A start that may still succeed is repeated; past its lease it is stopped, which
    either confirms that it never ran or ends it.
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
    """Return the record for what ``endpoint`` says of an attempt, ``None`` if no news.

    ``report`` has the attributes of `TaskReport`.
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
    done = report.state == "done"
    outcome = wire.Outcome.DONE if done else wire.Outcome.FAILED
    reason = "" if done else report.reason
    return wire.Record(finish=wire.Finish(*key, outcome, reason, now))


def running(state, endpoint):
    """Return the attempts that the state knows as running at ``endpoint``."""
    found = set()
    for name, index in state.endpoints[endpoint].held:
        task = state.jobs[name].tasks[index]
        if task.phase == Phase.RUNNING:
            found.add((name, index, task.attempt))
    return found


def missing(expected, reports):
    """Return the attempts of ``expected`` that a full report does not mention.

    ``expected`` ran before the report was asked for.  The worker was restarted and has
    forgotten them; a stop confirms that they are over.
    """
    return expected - {(r.job, r.index, r.attempt) for r in reports}


def unrecorded(state, endpoint, reports, newer=False):
    """Return whether the end of a reported attempt is not in the state yet.

    Until it is, the report must not be acknowledged: the worker may forget what is.
    An attempt that the state has not heard of may be news from a later one, unless the
    state was read after the report, as ``newer`` tells.
    """
    for report in reports:
        key = (report.job, report.index, report.attempt)
        if report.state != "running" and (
            held_task(state, endpoint, key) or not (newer or is_over(state, key))
        ):
            return True
    return False


def is_over(state, key):
    """Return whether the state has heard of attempt ``key`` and of its end."""
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
    """Return attempts that run at ``endpoint`` and do not hold it in the state.

    They may be news from a later state; they are stopped only after a newer read.
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
    """Return the deadline that a renewal may grant, in seconds since the Unix epoch.

    It never passes the last confirmed read of the shard by more than
    ``reclaim_seconds``, which is what others wait for before they take an endpoint's
    leases to have run out.
    """
    return min(now + lease_seconds, confirmed_at + reclaim_seconds)
