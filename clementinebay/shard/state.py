"""The state machine of a shard: pure, deterministic, and the last word on promises.

Every daemon applies the same records in the same order.  A record that would break a
promise is refused with a typed error and changes nothing, on every daemon alike.
"""

from clementinebay import errors
from clementinebay.shard import checks
from clementinebay.shard.entities import (
    HOLDING_PHASES,
    EndpointState,
    Job,
    Outgoing,
    Phase,
    Task,
)
from clementinebay.shard.wire import ttypes as wire

#: Highest format of batches that this code applies.
FORMAT = 1


class State:
    """Jobs, endpoints and the standing of one failure domain.

    ``cancelled`` maps jobs, as their clients named them, to the time of their
    cancellation; ``parts`` maps them to the ids of their parts here.  ``touched`` are
    endpoints that records changed.
    """

    __slots__ = (
        "index",
        "jobs",
        "parts",
        "endpoints",
        "outbox",
        "cancelled",
        "out",
        "revision",
        "touched",
    )

    def __init__(self):
        self.index = 0
        self.jobs = {}
        self.parts = {}
        self.endpoints = {}
        self.outbox = {}
        self.cancelled = {}
        self.touched = set()
        self.out = False
        self.revision = 0

    # Applying records

    def apply_batch(self, index, batch):
        """Apply the batch at ``index``; return one refusal or ``None`` a record.

        Raises `LogFormatError` if the batch may hold records of a newer kind: a reader
        that went past it would differ from the others.
        """
        if index != self.index + 1:
            raise errors.LogGapError(f"index {index} does not follow {self.index}")
        if batch.format > FORMAT:
            raise errors.LogFormatError(f"batch {index} has format {batch.format}")
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
        raise errors.RecordRefusedError("the record is empty")

    def apply_submit(self, record):
        """Add a job; a second submission of the same id changes nothing."""
        spec = record.spec
        if spec.id in self.jobs:
            if self.jobs[spec.id].spec != spec:
                raise errors.RecordRefusedError(f"job {spec.id} exists and differs")
            return
        job = self.add_job(Job(spec, record.source))
        if job.origin in self.cancelled:
            self.cancel_part(job, self.cancelled[job.origin])
            return
        if record.checkpoint:
            task = job.tasks[spec.first_index] = Task(spec.first_index)
            task.checkpoint = record.checkpoint
            job.next_index += 1

    def add_job(self, job):
        """Add a job that is not known and return it."""
        self.jobs[job.spec.id] = job
        self.parts.setdefault(job.origin, set()).add(job.spec.id)
        return job

    def drop_job(self, name):
        """Drop job ``name`` if it is known."""
        job = self.jobs.pop(name, None)
        if job is not None:
            parts = self.parts[job.origin]
            parts.discard(name)
            if not parts:
                del self.parts[job.origin]

    def apply_cancel(self, record):
        """Drop waiting tasks and stop the running ones; parcels in the outbox too."""
        if record.job:
            self.cancel_part(self.job(record.job), record.at)
        if record.origins:
            self.cancel_origins(set(record.origins), record.at)

    def cancel_origins(self, origins, at):
        """Cancel all parts of ``origins`` and those that are submitted later."""
        for origin in origins:
            self.cancelled.setdefault(origin, at)
            for part in self.parts.get(origin, ()):
                if not self.jobs[part].cancelled:
                    self.cancel_part(self.jobs[part], at)
        for part, outgoing in list(self.outbox.items()):
            if outgoing.spec.origin in origins:
                del self.outbox[part]

    def cancel_part(self, job, at):
        """Cancel one part."""
        job.cancelled = True
        job.next_index = job.end_index
        for task in list(job.tasks.values()):
            if task.phase in HOLDING_PHASES:
                task.phase = Phase.STOPPING
                task.reason = "cancelled"
            else:
                del job.tasks[task.index]
        self.settle(job, at)

    def apply_endpoint_seen(self, record):
        """Add an endpoint, or take its new capacity.

        Another address is another VM; it is refused while bindings hold the old one.
        """
        known = self.endpoints.get(record.id)
        if known is not None and known.seen.address != record.address:
            if known.held:
                raise errors.EndpointUnavailableError(f"{record.id} is held elsewhere")
            known = None
        if known is None:
            known = self.endpoints[record.id] = EndpointState(record)
        known.seen = record
        known.lost = False
        known.lost_at = known.free_at = 0.0
        known.barred = 0
        known.shrunk = known.exceeds_capacity()
        self.touched.add(record.id)

    def apply_endpoint_lost(self, record):
        """Bar an endpoint; a second record tells when its bindings have run out."""
        endpoint = self.endpoint(record.id)
        if record.barred:
            if endpoint.lost and record.barred == endpoint.barred:
                endpoint.free_at = endpoint.free_at or record.free_at
        elif not endpoint.lost:
            endpoint.lost = True
            endpoint.barred = self.index
            endpoint.lost_at = record.at
            endpoint.free_at = 0.0

    def apply_cleared(self, record):
        """Give back what an attempt that was released as expired may have used."""
        self.endpoint(record.endpoint).confirm(
            (record.job, record.index, record.attempt)
        )
        self.touched.add(record.endpoint)

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
        self.touched.add(record.endpoint)
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
            if record.index != job.next_index or not job.unbound_count:
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
        endpoint = self.endpoint(task.endpoint)
        expired = record.evidence == wire.Evidence.EXPIRED
        if expired:
            ends = max(endpoint.free_at, task.lease_deadline)
            if not endpoint.lost or not endpoint.free_at or record.at < ends:
                raise errors.SecondBindingError(
                    f"{record.job}/{record.index} may still run"
                )
        if expired:
            # Before the binding is freed, so that the sums never sink in between.
            key = (record.job, record.index)
            endpoint.leave_unconfirmed(key, record.attempt, job.spec.size)
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
            self.note_failure(job, task, endpoint, record)
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
        spec = moved_part_spec(job.spec, record)
        checkpoint = ""
        task = job.tasks.get(record.first_index)
        if task is not None:
            if task.phase != Phase.WAITING or record.count != 1:
                raise errors.SecondBindingError(f"{record.job}/{record.first_index}")
            checkpoint = task.checkpoint
            del job.tasks[record.first_index]
        elif (
            record.first_index != job.next_index
            or not 0 < record.count <= job.unbound_count
        ):
            raise errors.StaleAttemptError(f"{record.job}/{record.first_index}")
        else:
            job.next_index += record.count
        self.outbox[record.part] = Outgoing(record.target, spec, checkpoint)
        self.settle(job, record.at)

    def apply_moved(self, record):
        """Forget a part that the target's shard has taken."""
        self.outbox.pop(record.part, None)

    def apply_forget(self, record):
        """Drop jobs that have ended, lost endpoints, and old cancellations."""
        jobs = [*record.jobs, record.job] if record.job else record.jobs
        for name in jobs:
            if name in self.jobs and not self.jobs[name].ended:
                raise errors.RecordRefusedError(f"job {name} has not ended")
        for name in record.endpoints:
            known = self.endpoints.get(name)
            if known and (not known.lost or known.held):
                raise errors.RecordRefusedError(f"endpoint {name} is in use")
        for name in jobs:
            self.drop_job(name)
        for name in record.endpoints:
            self.endpoints.pop(name, None)
        for name in record.origins:
            self.cancelled.pop(name, None)

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
        if (
            task is None
            or task.attempt != record.attempt
            or task.phase not in HOLDING_PHASES
        ):
            raise errors.StaleAttemptError(
                f"{record.job}/{record.index} {record.attempt}"
            )
        return job, task

    def let_go(self, job, task):
        """Free what ``task`` holds and let it wait."""
        key = (job.spec.id, task.index)
        self.endpoints[task.endpoint].free(key, job.spec.size)
        self.touched.add(task.endpoint)
        task.phase = Phase.WAITING
        task.endpoint = ""

    def note_failure(self, job, task, endpoint, record):
        """Have a failed task wait; park it after too many failures.

        A replica of a service is never parked: its service must come back by itself.
        """
        task.failures += 1
        task.reason = record.reason
        if endpoint not in task.failed_on:
            task.failed_on.append(endpoint)
        batch = job.spec.workload == wire.Workload.BATCH
        if batch and task.failures >= job.spec.max_attempts:
            task.phase = Phase.PARKED

    def settle(self, job, at):
        """Note the time at which ``job`` ended."""
        if job.ended and not job.ended_at:
            job.ended_at = at

    # Assertions

    def check(self):
        """Raise `InvariantBrokenError` if a promise does not hold."""
        checks.check(self)


def moved_part_spec(spec, move):
    """Return the `wire.JobSpec` of the part of ``spec`` that a `wire.Move` makes."""
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
