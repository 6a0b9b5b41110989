"""A shard's state as one thrift structure, and back."""

from clementinebay.shard.state import (
    HOLDING,
    EndpointState,
    Job,
    Outgoing,
    Phase,
    State,
    Task,
)
from clementinebay.shard.wire import ttypes as wire

TASK_FIELDS = Task.__slots__


def take(state):
    """Return the `wire.Snapshot` of ``state``."""
    return wire.Snapshot(
        index=state.index,
        jobs=[_job_image(job) for job in state.jobs.values()],
        endpoints=[
            wire.EndpointImage(endpoint.seen, endpoint.free_at, endpoint.lost)
            for endpoint in state.endpoints.values()
        ],
        out=state.out,
        revision=state.revision,
        outbox=[
            wire.OutboxImage(outgoing.target, outgoing.spec, outgoing.checkpoint)
            for outgoing in state.outbox.values()
        ],
    )


def restore(image):
    """Return the `State` that `take` was given."""
    state = State()
    state.index = image.index
    state.out = image.out
    state.revision = image.revision
    for item in image.endpoints:
        endpoint = state.endpoints[item.seen.id] = EndpointState(item.seen)
        endpoint.free_at = item.free_at
        endpoint.lost = item.lost
    for item in image.jobs:
        _restore_job(state, item)
    for item in image.outbox:
        outgoing = Outgoing(item.target, item.spec, item.checkpoint)
        state.outbox[item.spec.id] = outgoing
    return state


def _job_image(job):
    return wire.JobImage(
        spec=job.spec,
        next_index=job.next_index,
        done=job.done,
        cancelled=job.cancelled,
        ended_at=job.ended_at,
        tasks=[
            wire.TaskImage(**{name: getattr(task, name) for name in TASK_FIELDS})
            for task in job.tasks.values()
        ],
    )


def _restore_job(state, image):
    job = state.jobs[image.spec.id] = Job(image.spec)
    job.next_index = image.next_index
    job.done = image.done
    job.cancelled = image.cancelled
    job.ended_at = image.ended_at
    for item in image.tasks:
        task = job.tasks[item.index] = Task(item.index)
        for name in TASK_FIELDS:
            setattr(task, name, getattr(item, name))
        task.phase = Phase(task.phase)
        if task.phase in HOLDING:
            endpoint = state.endpoints[task.endpoint]
            endpoint.reserve((job.spec.id, task.index), job.spec.size)
