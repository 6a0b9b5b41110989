"""The state machine of a shard: pure, deterministic, and the last word on promises.

Every daemon applies the same records in the same order.  A record that would break a
promise is refused with a typed error and changes nothing, on every daemon alike.
"""

from enum import IntEnum

from clementinebay import errors
from clementinebay.shard.wire import ttypes as wire


class Phase(IntEnum):
    """Where a task stands."""

    WAITING = 0
    BOUND = 1
    RUNNING = 2
    STOPPING = 3
    PARKED = 4


#: Phases in which a task holds resources of an endpoint.
HOLDING = frozenset((Phase.BOUND, Phase.RUNNING, Phase.STOPPING))


class Task:
    """One task of a job that has been bound at least once."""

    __slots__ = (
        "index",
        "attempt",
        "phase",
        "endpoint",
        "lease_deadline",
        "checkpoint",
        "failures",
        "failed_on",
        "bound_at",
        "reason",
    )

    def __init__(self, index):
        self.index = index
        self.attempt = 0
        self.phase = Phase.WAITING
        self.endpoint = ""
        self.lease_deadline = 0.0
        self.checkpoint = ""
        self.failures = 0
        self.failed_on = []
        self.bound_at = 0.0
        self.reason = ""


class Job:
    """A job and those of its tasks that are neither untouched nor done.

    Indexes from ``next_index`` on were never bound.  A lower index without an entry in
    ``tasks`` is done, was cancelled, or was moved to another domain.
    """

    __slots__ = ("spec", "next_index", "done", "cancelled", "tasks", "ended_at")

    def __init__(self, spec):
        self.spec = spec
        self.next_index = spec.first_index
        self.done = 0
        self.cancelled = False
        self.tasks = {}
        self.ended_at = 0.0

    @property
    def end_index(self):
        """First index after the job's tasks."""
        return self.spec.first_index + self.spec.count

    @property
    def untouched(self):
        """Number of tasks that were never bound."""
        return self.end_index - self.next_index

    @property
    def ended(self):
        """Whether nothing of the job is left to do in this shard."""
        return not self.tasks and not self.untouched


class EndpointState:
    """An endpoint's capacity and what bindings hold of it."""

    __slots__ = (
        "seen",
        "free_at",
        "lost",
        "processors",
        "memory",
        "accelerators",
        "held",
    )

    def __init__(self, seen):
        self.seen = seen
        self.free_at = 0.0
        self.lost = False
        self.processors = 0
        self.memory = 0
        self.accelerators = 0
        self.held = set()

    def fits(self, size):
        """Return whether a task of ``size`` may be added."""
        total = self.seen.size
        return (
            self.processors + size.processors_milli <= total.processors_milli
            and self.memory + size.memory_mb <= total.memory_mb
            and self.accelerators + size.accelerators <= total.accelerators
        )

    def reserve(self, key, size):
        """Take ``size`` for task ``key``, a pair of job and index."""
        self.held.add(key)
        self.processors += size.processors_milli
        self.memory += size.memory_mb
        self.accelerators += size.accelerators

    def free(self, key, size):
        """Give back what task ``key`` holds."""
        self.held.remove(key)
        self.processors -= size.processors_milli
        self.memory -= size.memory_mb
        self.accelerators -= size.accelerators

    @property
    def usable(self):
        """Whether new tasks may be bound here."""
        return not self.lost and not self.seen.leaving


class Outgoing:
    """Tasks that left this shard and were not yet seen in the target's."""

    __slots__ = ("target", "spec", "checkpoint")

    def __init__(self, target, spec, checkpoint=""):
        self.target = target
        self.spec = spec
        self.checkpoint = checkpoint


class State:
    """Jobs, endpoints and the standing of one failure domain."""

    __slots__ = ("index", "jobs", "endpoints", "outbox", "out", "revision")

    def __init__(self):
        self.index = 0
        self.jobs = {}
        self.endpoints = {}
        self.outbox = {}
        self.out = False
        self.revision = 0

    # Applying records

    def apply_batch(self, index, batch):
        """Apply the batch at ``index``; return one refusal or ``None`` a record."""
        if index != self.index + 1:
            raise errors.LogGapError(f"index {index} does not follow {self.index}")
        self.index = index
        return [self.attempt(record) for record in batch.records]

    def attempt(self, record):
        """Apply ``record``; return the `RecordRefusedError` if it is refused."""
        try:
            self.apply(record)
        except errors.RecordRefusedError as refusal:
            return refusal
        return None

    def apply(self, record):
        """Apply one `wire.Record`, or raise `RecordRefusedError` and change nothing."""
        for name in record.__slots__:
            value = getattr(record, name)
            if value is not None:
                return getattr(self, f"apply_{name}")(value)
        raise errors.RecordRefusedError("the record is empty or of a newer kind")

    def apply_submit(self, record):
        """Add a job; a second submission of the same id changes nothing."""
        spec = record.spec
        if spec.id in self.jobs:
            if self.jobs[spec.id].spec != spec:
                raise errors.RecordRefusedError(f"job {spec.id} exists and differs")
            return
        job = self.jobs[spec.id] = Job(spec)
        if record.checkpoint:
            task = job.tasks[spec.first_index] = Task(spec.first_index)
            task.checkpoint = record.checkpoint
            job.next_index += 1

    def apply_cancel(self, record):
        """Drop waiting tasks and stop the running ones."""
        job = self.job(record.job)
        job.cancelled = True
        job.next_index = job.end_index
        for task in list(job.tasks.values()):
            if task.phase in HOLDING:
                task.phase = Phase.STOPPING
                task.reason = "cancelled"
            else:
                del job.tasks[task.index]
        self.settle(job, record.at)

    def apply_endpoint_seen(self, record):
        """Add an endpoint, or take its new capacity."""
        known = self.endpoints.get(record.id)
        if known is None:
            self.endpoints[record.id] = EndpointState(record)
        else:
            known.seen = record
            known.lost = False
            known.free_at = 0.0

    def apply_endpoint_lost(self, record):
        """Bar an endpoint; its bindings end at ``free_at`` at the latest."""
        endpoint = self.endpoint(record.id)
        if not endpoint.lost:
            endpoint.lost = True
            endpoint.free_at = record.free_at

    def apply_bind(self, record):
        """Reserve an endpoint for the next attempt of a task."""
        if self.out:
            raise errors.DomainOutError("the failure domain is out")
        job = self.job(record.job)
        if job.cancelled:
            raise errors.UnknownJobError(f"job {record.job} is cancelled")
        task = self.bindable(job, record)
        endpoint = self.endpoint(record.endpoint)
        if not endpoint.usable:
            raise errors.EndpointUnavailableError(f"{record.endpoint} takes no tasks")
        if not endpoint.fits(job.spec.size):
            raise errors.OverCommitError(f"{record.endpoint} is full")
        endpoint.reserve((record.job, record.index), job.spec.size)
        job.tasks[record.index] = task
        job.next_index = max(job.next_index, record.index + 1)
        task.attempt = record.attempt
        task.phase = Phase.BOUND
        task.endpoint = record.endpoint
        task.lease_deadline = record.lease_deadline
        task.bound_at = record.at
        task.reason = ""

    def bindable(self, job, record):
        """Return the task that ``record`` may bind, made new if untouched."""
        task = job.tasks.get(record.index)
        if task is None:
            if record.index != job.next_index or not job.untouched:
                raise errors.SecondBindingError(f"{record.job}/{record.index} is over")
            task = Task(record.index)
        if task.phase != Phase.WAITING:
            raise errors.SecondBindingError(
                f"{record.job}/{record.index} is {task.phase}"
            )
        if record.attempt != task.attempt + 1:
            raise errors.StaleAttemptError(
                f"{record.job}/{record.index} {record.attempt}"
            )
        return task

    def apply_started(self, record):
        """Note that the endpoint confirmed the start."""
        _job, task = self.holding(record)
        if task.phase == Phase.BOUND:
            task.phase = Phase.RUNNING

    def apply_release(self, record):
        """Ask for a running task to be checkpointed and stopped."""
        _job, task = self.holding(record)
        if task.phase != Phase.STOPPING:
            task.phase = Phase.STOPPING
            task.reason = record.reason

    def apply_released(self, record):
        """End a binding: its stop is confirmed or its leases have run out."""
        job, task = self.holding(record)
        if record.evidence == wire.Evidence.EXPIRED:
            endpoint = self.endpoint(task.endpoint)
            ends = max(endpoint.free_at, task.lease_deadline)
            if not endpoint.lost or record.at < ends:
                raise errors.SecondBindingError(
                    f"{record.job}/{record.index} may still run"
                )
        self.let_go(job, task)
        if record.checkpoint:
            task.checkpoint = record.checkpoint
        if job.cancelled:
            del job.tasks[task.index]
            self.settle(job, record.at)

    def apply_finish(self, record):
        """End a task that is done; a failed one waits again or is parked."""
        job, task = self.holding(record)
        endpoint = task.endpoint
        self.let_go(job, task)
        if record.outcome == wire.Outcome.DONE:
            del job.tasks[task.index]
            job.done += 1
        elif job.cancelled:
            del job.tasks[task.index]
        else:
            task.failures += 1
            task.reason = record.reason
            if endpoint not in task.failed_on:
                task.failed_on.append(endpoint)
            if task.failures >= job.spec.max_attempts:
                task.phase = Phase.PARKED
        self.settle(job, record.at)

    def apply_domain_state(self, record):
        """Take the domain out or back in; older revisions change nothing."""
        if record.revision > self.revision:
            self.revision = record.revision
            self.out = record.out

    def apply_move(self, record):
        """Put waiting tasks into the outbox."""
        job = self.job(record.job)
        if record.part in self.outbox:
            return
        spec = _part(job.spec, record)
        checkpoint = ""
        task = job.tasks.get(record.first_index)
        if task is not None:
            if task.phase != Phase.WAITING or record.count != 1:
                raise errors.SecondBindingError(f"{record.job}/{record.first_index}")
            checkpoint = task.checkpoint
            del job.tasks[record.first_index]
        elif record.first_index != job.next_index or record.count != job.untouched:
            raise errors.StaleAttemptError(f"{record.job}/{record.first_index}")
        else:
            job.next_index = job.end_index
        self.outbox[record.part] = Outgoing(record.target, spec, checkpoint)

    def apply_moved(self, record):
        """Forget a part that the target's shard has taken."""
        self.outbox.pop(record.part, None)

    def apply_forget(self, record):
        """Drop a job that has ended."""
        job = self.job(record.job)
        if not job.ended:
            raise errors.RecordRefusedError(f"job {record.job} has not ended")
        del self.jobs[record.job]

    # Parts of the above

    def job(self, name):
        """Return job ``name`` or raise `UnknownJobError`."""
        try:
            return self.jobs[name]
        except KeyError:
            raise errors.UnknownJobError(f"no job {name}") from None

    def endpoint(self, name):
        """Return endpoint ``name`` or raise `EndpointUnavailableError`."""
        try:
            return self.endpoints[name]
        except KeyError:
            raise errors.EndpointUnavailableError(f"no endpoint {name}") from None

    def holding(self, record):
        """Return job and task of ``record`` if its attempt holds resources."""
        job = self.job(record.job)
        task = job.tasks.get(record.index)
        if task is None or task.attempt != record.attempt or task.phase not in HOLDING:
            raise errors.StaleAttemptError(
                f"{record.job}/{record.index} {record.attempt}"
            )
        return job, task

    def let_go(self, job, task):
        """Free what ``task`` holds and let it wait."""
        key = (job.spec.id, task.index)
        self.endpoints[task.endpoint].free(key, job.spec.size)
        task.phase = Phase.WAITING
        task.endpoint = ""

    def settle(self, job, at):
        """Note the time at which ``job`` ended."""
        if job.ended and not job.ended_at:
            job.ended_at = at

    # Assertions

    def check(self):
        """Raise `InvariantBrokenError` if a promise does not hold."""
        held = {}
        for name, job in self.jobs.items():
            for index, task in job.tasks.items():
                if task.phase in HOLDING:
                    held.setdefault(task.endpoint, set()).add((name, index))
                elif task.endpoint:
                    raise errors.InvariantBrokenError(f"{name}/{index} holds nothing")
        for name, endpoint in self.endpoints.items():
            if endpoint.held != held.pop(name, set()):
                raise errors.InvariantBrokenError(f"{name} has other holders")
            self.check_endpoint(name, endpoint)
        if held:
            raise errors.InvariantBrokenError(f"unknown endpoints {sorted(held)}")

    def check_endpoint(self, name, endpoint):
        """Raise `InvariantBrokenError` if an endpoint's sums are wrong or too high."""
        sizes = [self.jobs[job].spec.size for job, _index in endpoint.held]
        sums = (
            sum(size.processors_milli for size in sizes),
            sum(size.memory_mb for size in sizes),
            sum(size.accelerators for size in sizes),
        )
        if sums != (endpoint.processors, endpoint.memory, endpoint.accelerators):
            raise errors.InvariantBrokenError(f"{name} sums differ from its holders")
        total = endpoint.seen.size
        limits = (total.processors_milli, total.memory_mb, total.accelerators)
        if any(used > limit for used, limit in zip(sums, limits, strict=True)):
            raise errors.InvariantBrokenError(
                f"{name} is committed beyond its capacity"
            )


def _part(spec, move):
    return wire.JobSpec(
        id=move.part,
        workload=spec.workload,
        team=spec.team,
        urgency=spec.urgency,
        kind=spec.kind,
        first_index=move.first_index,
        count=move.count,
        size=spec.size,
        run_seconds=spec.run_seconds,
        max_attempts=spec.max_attempts,
        submitted_at=spec.submitted_at,
        origin=spec.origin or spec.id,
    )
