"""The replicated state machine of a shard: pure and deterministic.

Every daemon applies the same records in the same order.  A record that would violate an
invariant is refused with a typed error and changes nothing, on every daemon alike.
"""

from clementinebay import errors
from clementinebay.shard import checks
from clementinebay.shard.entities import (
    HOLDING_PHASES,
    EndpointState,
    Job,
    OutgoingPart,
    Phase,
    Task,
)
from clementinebay.shard.wire import ttypes as wire

#: Highest format of batches that this code applies.
FORMAT = 1


class State:
    """Jobs and endpoints of one failure domain, and whether the domain is out.

    ``cancelled`` maps the origin of each cancelled job (see `Job.origin`) to the time
    of its cancellation.  ``parts`` maps origins to the ids of their parts in this
    shard.  ``outbox`` maps the ids of parts that were moved away to `OutgoingPart`.
    ``changed_endpoints`` are the names of the endpoints that `checks` has to verify.
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
        "changed_endpoints",
    )

    def __init__(self):
        self.index = 0
        self.jobs = {}
        self.parts = {}
        self.endpoints = {}
        self.outbox = {}
        self.cancelled = {}
        self.changed_endpoints = set()
        self.out = False
        self.revision = 0

    # Applying records

    def apply_batch(self, index, batch):
        """Apply the batch at ``index``; return a refusal or ``None`` for each record.

        Raises `LogFormatError` if the batch has a newer format and may therefore
        contain unknown records; skipping those would make this state diverge.
        """
        if index != self.index + 1:
            raise errors.LogGapError(f"index {index} does not follow {self.index}")
        if batch.format > FORMAT:
            raise errors.LogFormatError(
                f"batch {index}: format {batch.format} is not supported"
            )
        self.index = index
        return [self.try_apply(record) for record in batch.records]

    def try_apply(self, record):
        """Apply ``record``; return the `RecordRefusedError` if it is refused."""
        try:
            self.apply(record)
        except errors.RecordRefusedError as refusal:
            return refusal
        return None

    def apply(self, record):
        """Apply one `wire.Record`; a refused one changes nothing.

        Raises `RecordRefusedError`.
        """
        for name in record.__slots__:
            value = getattr(record, name)
            if value is not None:
                return getattr(self, f"apply_{name}")(value)
        raise errors.RecordRefusedError("the record has no field set")

    def apply_submit(self, record):
        """Add a job; submitting the same job again changes nothing."""
        spec = record.spec
        if spec.id in self.jobs:
            if self.jobs[spec.id].spec != spec:
                raise errors.RecordRefusedError(
                    f"job {spec.id} exists with another specification"
                )
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
        """Add a job with a new id and return it."""
        self.jobs[job.spec.id] = job
        self.parts.setdefault(job.origin, set()).add(job.spec.id)
        return job

    def drop_job(self, name):
        """Remove job ``name`` if it exists."""
        job = self.jobs.pop(name, None)
        if job is not None:
            parts = self.parts[job.origin]
            parts.discard(name)
            if not parts:
                del self.parts[job.origin]

    def apply_cancel(self, record):
        """Cancel one part, or all parts of some origins including outgoing ones."""
        if record.job:
            self.cancel_part(self.job(record.job), record.at)
        if record.origins:
            self.cancel_origins(set(record.origins), record.at)

    def cancel_origins(self, origins, at):
        """Cancel all parts of ``origins``, including those submitted later."""
        for origin in origins:
            self.cancelled.setdefault(origin, at)
            for part in self.parts.get(origin, ()):
                if not self.jobs[part].cancelled:
                    self.cancel_part(self.jobs[part], at)
        for part, outgoing in list(self.outbox.items()):
            if outgoing.spec.origin in origins:
                del self.outbox[part]

    def cancel_part(self, job, at):
        """Remove the waiting tasks of ``job`` and stop the others."""
        job.cancelled = True
        job.next_index = job.end_index
        for task in list(job.tasks.values()):
            if task.phase in HOLDING_PHASES:
                task.phase = Phase.STOPPING
                task.reason = "cancelled"
            else:
                del job.tasks[task.index]
        self.record_end_time(job, at)

    def apply_endpoint_seen(self, record):
        """Add an endpoint or update its capacity.

        A different address means a different VM, which is refused while tasks are bound
        to the old one.
        """
        endpoint = self.endpoints.get(record.id)
        if endpoint is not None and endpoint.seen.address != record.address:
            if endpoint.held:
                raise errors.EndpointUnavailableError(
                    f"{record.id} has tasks at its old address"
                )
            endpoint = None
        if endpoint is None:
            endpoint = self.endpoints[record.id] = EndpointState(record)
        endpoint.seen = record
        endpoint.lost = False
        endpoint.lost_at = endpoint.free_at = 0.0
        endpoint.barred = 0
        endpoint.shrunk = endpoint.exceeds_capacity()
        self.changed_endpoints.add(record.id)

    def apply_endpoint_lost(self, record):
        """Bar an endpoint; a second record sets when its last lease expires."""
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
        """Release the resources of an expired attempt whose end was confirmed."""
        self.endpoint(record.endpoint).confirm(
            (record.job, record.index, record.attempt)
        )
        self.changed_endpoints.add(record.endpoint)

    def apply_bind(self, record):
        """Bind the next attempt of a task to an endpoint and reserve its resources."""
        if self.out:
            raise errors.DomainOutError("the failure domain is out")
        job = self.job(record.job)
        if job.cancelled:
            raise errors.UnknownJobError(f"job {record.job} is cancelled")
        task = self.bindable_task(job, record)
        endpoint = self.endpoint(record.endpoint)
        if not endpoint.usable:
            raise errors.EndpointUnavailableError(f"{record.endpoint} accepts no tasks")
        if not endpoint.fits(job.spec.size):
            raise errors.OverCommitError(f"{record.endpoint} has too little capacity")
        endpoint.reserve((record.job, record.index), job.spec.size)
        self.changed_endpoints.add(record.endpoint)
        job.tasks[record.index] = task
        job.next_index = max(job.next_index, record.index + 1)
        task.attempt = record.attempt
        task.phase = Phase.BOUND
        task.endpoint = record.endpoint
        task.lease_deadline = record.lease_deadline
        task.bound_at = record.at
        task.reason = ""

    def bindable_task(self, job, record):
        """Return the task that ``record`` may bind; create it if never bound before."""
        task = job.tasks.get(record.index)
        if task is None:
            if record.index != job.next_index or not job.unbound_count:
                raise errors.SecondBindingError(
                    f"{record.job}/{record.index} has ended or moved, or skips an index"
                )
            task = Task(record.index)
        if task.phase != Phase.WAITING:
            raise errors.SecondBindingError(
                f"{record.job}/{record.index} is in phase {task.phase}"
            )
        if record.attempt != task.attempt + 1:
            raise errors.StaleAttemptError(
                f"{record.job}/{record.index}: attempt {record.attempt} is not next"
            )
        return task

    def apply_started(self, record):
        """Mark a task as running after the endpoint confirmed its start."""
        _job, task = self.bound_task(record)
        if task.phase == Phase.BOUND:
            task.phase = Phase.RUNNING

    def apply_release(self, record):
        """Request that a task be checkpointed and stopped."""
        _job, task = self.bound_task(record)
        if task.phase != Phase.STOPPING:
            task.phase = Phase.STOPPING
            task.reason = record.reason

    def apply_released(self, record):
        """End a binding whose stop is confirmed or whose leases have expired."""
        job, task = self.bound_task(record)
        endpoint = self.endpoint(task.endpoint)
        expired = record.evidence == wire.Evidence.EXPIRED
        if expired:
            ends_at = max(endpoint.free_at, task.lease_deadline)
            if not endpoint.lost or not endpoint.free_at or record.at < ends_at:
                raise errors.SecondBindingError(
                    f"{record.job}/{record.index} may still run"
                )
        if expired:
            # Done before releasing the binding, so that the totals never drop between.
            key = (record.job, record.index)
            endpoint.add_unconfirmed(key, record.attempt, job.spec.size)
        self.unbind(job, task)
        if record.checkpoint:
            task.checkpoint = record.checkpoint
        if job.cancelled:
            del job.tasks[task.index]
            self.record_end_time(job, record.at)

    def apply_finish(self, record):
        """Record the end of an attempt; a failed task waits again or is parked."""
        job, task = self.bound_task(record)
        endpoint = task.endpoint
        self.unbind(job, task)
        if record.outcome == wire.Outcome.DONE:
            del job.tasks[task.index]
            job.done += 1
        elif job.cancelled:
            del job.tasks[task.index]
        else:
            self.record_failure(job, task, endpoint, record)
        self.record_end_time(job, record.at)

    def apply_domain_state(self, record):
        """Set whether the domain is out; an older revision changes nothing."""
        if record.revision > self.revision:
            self.revision = record.revision
            self.out = record.out

    def apply_move(self, record):
        """Move waiting tasks of a job into the outbox."""
        job = self.job(record.job)
        if record.part in self.outbox:
            return
        spec = moved_part_spec(job.spec, record)
        checkpoint = ""
        task = job.tasks.get(record.first_index)
        if task is not None:
            if task.phase != Phase.WAITING or record.count != 1:
                raise errors.SecondBindingError(
                    f"{record.job}/{record.first_index} is not a single waiting task"
                )
            checkpoint = task.checkpoint
            del job.tasks[record.first_index]
        elif (
            record.first_index != job.next_index
            or not 0 < record.count <= job.unbound_count
        ):
            raise errors.StaleAttemptError(
                f"{record.job}/{record.first_index}: range is no longer unbound"
            )
        else:
            job.next_index += record.count
        self.outbox[record.part] = OutgoingPart(record.target, spec, checkpoint)
        self.record_end_time(job, record.at)

    def apply_moved(self, record):
        """Remove a part from the outbox after the target's shard added it."""
        self.outbox.pop(record.part, None)

    def apply_forget(self, record):
        """Remove jobs that have ended, lost endpoints, and old cancellations."""
        jobs = [*record.jobs, record.job] if record.job else record.jobs
        for name in jobs:
            if name in self.jobs and not self.jobs[name].ended:
                raise errors.RecordRefusedError(f"job {name} has not ended")
        for name in record.endpoints:
            endpoint = self.endpoints.get(name)
            if endpoint and (not endpoint.lost or endpoint.held):
                raise errors.RecordRefusedError(f"endpoint {name} is in use")
        for name in jobs:
            self.drop_job(name)
        for name in record.endpoints:
            self.endpoints.pop(name, None)
        for name in record.origins:
            self.cancelled.pop(name, None)

    # Helpers

    def job(self, name):
        """Return job ``name``, or raise `UnknownJobError`."""
        try:
            return self.jobs[name]
        except KeyError:
            raise errors.UnknownJobError(f"no job {name}") from None

    def endpoint(self, name):
        """Return endpoint ``name``, or raise `EndpointUnavailableError`."""
        try:
            return self.endpoints[name]
        except KeyError:
            raise errors.EndpointUnavailableError(f"no endpoint {name}") from None

    def bound_task(self, record):
        """Return the job and task of ``record``, whose attempt must hold resources.

        Raises `StaleAttemptError` if it does not.
        """
        job = self.job(record.job)
        task = job.tasks.get(record.index)
        if (
            task is None
            or task.attempt != record.attempt
            or task.phase not in HOLDING_PHASES
        ):
            raise errors.StaleAttemptError(
                f"{record.job}/{record.index}: attempt {record.attempt} is not bound"
            )
        return job, task

    def unbind(self, job, task):
        """Release the resources of ``task`` and make it wait."""
        key = (job.spec.id, task.index)
        self.endpoints[task.endpoint].free(key, job.spec.size)
        self.changed_endpoints.add(task.endpoint)
        task.phase = Phase.WAITING
        task.endpoint = ""

    def record_failure(self, job, task, endpoint, record):
        """Count a failure of a task and park it after too many.

        A replica of a service is never parked, so that the service recovers without
        intervention.
        """
        task.failures += 1
        task.reason = record.reason
        if endpoint not in task.failed_on:
            task.failed_on.append(endpoint)
        batch = job.spec.workload == wire.Workload.BATCH
        if batch and task.failures >= job.spec.max_attempts:
            task.phase = Phase.PARKED

    def record_end_time(self, job, at):
        """Set the end time of ``job`` if it has just ended."""
        if job.ended and not job.ended_at:
            job.ended_at = at

    # Invariants

    def check(self):
        """Raise `InvariantBrokenError` if an invariant is violated."""
        checks.check(self)


def moved_part_spec(spec, move):
    """Return the `wire.JobSpec` of the part of ``spec`` that ``move`` creates."""
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
