"""Conversion of a shard's state to and from a compressed thrift structure."""

from clementinebay import errors
from clementinebay.shard import codec
from clementinebay.shard.entities import (
    HOLDING_PHASES,
    EndpointState,
    Job,
    OutgoingPart,
    Phase,
    Task,
)
from clementinebay.shard.state import FORMAT, State
from clementinebay.shard.wire import ttypes as wire

#: Attributes of `Task` copied as they are to and from its image.
TASK_FIELDS = Task.__slots__
#: Attributes of `EndpointState` copied as they are to and from its image.
ENDPOINT_FIELDS = ("free_at", "lost", "lost_at", "barred", "shrunk")


def encode(image):
    """Return the bytes of a `wire.Snapshot`."""
    return codec.pack(image)


def decode(data):
    """Return the `wire.Snapshot` that ``data`` encodes.

    Raises `FrameMalformedError` if it cannot be decoded, and `LogFormatError` if its
    format is newer than this code supports.
    """
    image = codec.unpack(wire.Snapshot, data)
    if image.format > FORMAT:
        raise errors.LogFormatError(f"snapshot format {image.format} is not supported")
    return image


def take(state):
    """Return the `wire.Snapshot` of ``state``."""
    return wire.Snapshot(
        index=state.index,
        jobs=[_job_image(job) for job in state.jobs.values()],
        endpoints=[_endpoint_image(endpoint) for endpoint in state.endpoints.values()],
        out=state.out,
        revision=state.revision,
        outbox=[
            wire.OutboxImage(outgoing.target, outgoing.spec, outgoing.checkpoint)
            for outgoing in state.outbox.values()
        ],
        cancelled=[wire.CancelledImage(*item) for item in state.cancelled.items()],
        format=FORMAT,
    )


def restore(image):
    """Return the `State` of which `take` made ``image``."""
    state = State()
    state.index = image.index
    state.out = image.out
    state.revision = image.revision
    for item in image.endpoints:
        _restore_endpoint(state, item)
    for item in image.jobs:
        _restore_job(state, item)
    for item in image.outbox:
        outgoing = OutgoingPart(item.target, item.spec, item.checkpoint)
        state.outbox[item.spec.id] = outgoing
    state.cancelled = {item.origin: item.at for item in image.cancelled}
    return state


def _endpoint_image(endpoint):
    return wire.EndpointImage(
        seen=endpoint.seen,
        unconfirmed=[
            wire.AttemptImage(*key, size) for key, size in endpoint.unconfirmed.items()
        ],
        **{name: getattr(endpoint, name) for name in ENDPOINT_FIELDS},
    )


def _restore_endpoint(state, image):
    endpoint = state.endpoints[image.seen.id] = EndpointState(image.seen)
    for item in image.unconfirmed:
        key = (item.job, item.index)
        endpoint.add_unconfirmed(key, item.attempt, item.size)
    for name in ENDPOINT_FIELDS:
        setattr(endpoint, name, getattr(image, name))


def _job_image(job):
    return wire.JobImage(
        spec=job.spec,
        next_index=job.next_index,
        done=job.done,
        cancelled=job.cancelled,
        ended_at=job.ended_at,
        source=job.source,
        tasks=[_task_image(task) for task in job.tasks.values()],
    )


def _task_image(task):
    image = wire.TaskImage(**{name: getattr(task, name) for name in TASK_FIELDS})
    # Copied because the state modifies its list in place.
    image.failed_on = list(task.failed_on)
    return image


def _restore_job(state, image):
    job = state.add_job(Job(image.spec, image.source))
    job.next_index = image.next_index
    job.done = image.done
    job.cancelled = image.cancelled
    job.ended_at = image.ended_at
    for item in image.tasks:
        task = job.tasks[item.index] = Task(item.index)
        for name in TASK_FIELDS:
            setattr(task, name, getattr(item, name))
        task.phase = Phase(task.phase)
        if task.phase in HOLDING_PHASES:
            endpoint = state.endpoints[task.endpoint]
            endpoint.reserve((job.spec.id, task.index), job.spec.size)
