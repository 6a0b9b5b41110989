"""Which endpoint a task is bound to."""

from clementinebay.shard.state import Phase
from clementinebay.shard.wire import ttypes as wire

#: Most bindings that one decision makes.
BINDS_PER_DECISION = 100


class Room:
    """What is free on an endpoint while one decision is made."""

    __slots__ = ("id", "rack", "processors", "memory", "accelerators")

    def __init__(self, endpoint):
        size = endpoint.seen.size
        self.id = endpoint.seen.id
        self.rack = endpoint.seen.rack
        self.processors = size.processors_milli - endpoint.processors
        self.memory = size.memory_mb - endpoint.memory
        self.accelerators = size.accelerators - endpoint.accelerators

    def fits(self, size):
        """Return whether a task of ``size`` fits."""
        return (
            size.processors_milli <= self.processors
            and size.memory_mb <= self.memory
            and size.accelerators <= self.accelerators
        )

    def take(self, size):
        """Reserve ``size``."""
        self.processors -= size.processors_milli
        self.memory -= size.memory_mb
        self.accelerators -= size.accelerators


def bindable(job):
    """Yield (index, next attempt, failed_on) of tasks that may be bound."""
    for task in job.tasks.values():
        if task.phase == Phase.WAITING:
            yield task.index, task.attempt + 1, task.failed_on
    for index in range(job.next_index, job.end_index):
        yield index, 1, ()


def plan(state, now, lease_deadline, limit=BINDS_PER_DECISION):
    """Return `wire.Bind` records: urgent jobs first, then older, most room first."""
    if state.out or lease_deadline <= now:
        return []
    rooms = [Room(endpoint) for endpoint in state.endpoints.values() if endpoint.usable]
    jobs = [job for job in state.jobs.values() if not job.cancelled and not job.ended]
    jobs.sort(key=lambda job: (-job.spec.urgency, job.spec.submitted_at, job.spec.id))
    binds = []
    for job in jobs:
        for index, attempt, failed_on in bindable(job):
            if len(binds) >= limit:
                return binds
            room = pick(rooms, job.spec.size, failed_on)
            if room is None:
                break
            room.take(job.spec.size)
            binds.append(
                wire.Bind(job.spec.id, index, attempt, room.id, lease_deadline, now)
            )
    return binds


def pick(rooms, size, failed_on):
    """Return the room with most free processors that fits, or ``None``."""
    fitting = [room for room in rooms if room.fits(size)]
    fresh = [room for room in fitting if room.id not in failed_on]
    return max(fresh or fitting, key=lambda room: room.processors, default=None)
