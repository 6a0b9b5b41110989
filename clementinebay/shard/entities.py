"""Entities of a shard's state: tasks, jobs, endpoints and outgoing parts."""

from enum import IntEnum


class Phase(IntEnum):
    """Phase of a task's life cycle."""

    WAITING = 0
    BOUND = 1
    RUNNING = 2
    STOPPING = 3
    PARKED = 4


#: Phases in which a task holds resources on an endpoint.
HOLDING_PHASES = frozenset((Phase.BOUND, Phase.RUNNING, Phase.STOPPING))


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
    """A job and its active tasks: those bound at least once and not yet done.

    Tasks with an index of at least ``next_index`` have never been bound.  A lower index
    without an entry in ``tasks`` is done, cancelled, or moved to another domain.
    ``source`` is the domain from which a moved part came.
    """

    __slots__ = (
        "spec",
        "source",
        "next_index",
        "done",
        "cancelled",
        "tasks",
        "ended_at",
    )

    def __init__(self, spec, source=""):
        self.spec = spec
        self.source = source
        self.next_index = spec.first_index
        self.done = 0
        self.cancelled = False
        self.tasks = {}
        self.ended_at = 0.0

    @property
    def origin(self):
        """The job's id as submitted by its client, also for a moved part."""
        return self.spec.origin or self.spec.id

    @property
    def end_index(self):
        """The index after that of the last task."""
        return self.spec.first_index + self.spec.count

    @property
    def unbound_count(self):
        """Number of tasks that have never been bound."""
        return self.end_index - self.next_index

    @property
    def ended(self):
        """Whether this shard has no unfinished task of the job."""
        return not self.tasks and not self.unbound_count


class EndpointState:
    """An endpoint's capacity and the resources committed there.

    ``seen`` is the latest `wire.EndpointSeen`.  ``held`` contains the (job, index) of
    each bound task.  ``unconfirmed`` maps (job, index, attempt) to the size of each
    attempt that was released as expired; such an attempt counts as using resources
    until the endpoint confirms its end.  ``processors``, ``memory`` and
    ``accelerators`` are totals over both.

    ``barred`` is the log index of the record that barred a lost endpoint at
    ``lost_at``.  ``free_at`` is the time in seconds at which the last lease granted
    before the bar has expired, or 0 while unknown.  ``shrunk`` is set while a reduced
    capacity is below the resources committed.
    """

    __slots__ = (
        "seen",
        "lost",
        "lost_at",
        "barred",
        "free_at",
        "shrunk",
        "processors",
        "memory",
        "accelerators",
        "held",
        "unconfirmed",
    )

    def __init__(self, seen):
        self.seen = seen
        self.lost = False
        self.lost_at = 0.0
        self.barred = 0
        self.free_at = 0.0
        self.shrunk = False
        self.processors = 0
        self.memory = 0
        self.accelerators = 0
        self.held = set()
        self.unconfirmed = {}

    def fits(self, size):
        """Return whether a task of ``size`` fits into the free capacity."""
        return not self.exceeds_capacity(
            size.processors_milli, size.memory_mb, size.accelerators
        )

    def exceeds_capacity(self, processors=0, memory=0, accelerators=0):
        """Return whether the totals plus the given amounts exceed the capacity."""
        capacity = self.seen.size
        return (
            self.processors + processors > capacity.processors_milli
            or self.memory + memory > capacity.memory_mb
            or self.accelerators + accelerators > capacity.accelerators
        )

    def reserve(self, key, size):
        """Reserve ``size`` for task ``key``, a (job, index) pair."""
        self.held.add(key)
        self.adjust_totals(size, 1)

    def free(self, key, size):
        """Release the reservation of ``size`` of task ``key``."""
        self.held.remove(key)
        self.adjust_totals(size, -1)

    def add_unconfirmed(self, key, attempt, size):
        """Count ``size`` until the end of an expired attempt is confirmed."""
        self.unconfirmed[(*key, attempt)] = size
        self.adjust_totals(size, 1)

    def confirm(self, key):
        """Release the resources of the unconfirmed attempt ``key``, if any."""
        size = self.unconfirmed.pop(key, None)
        if size is not None:
            self.adjust_totals(size, -1)

    def adjust_totals(self, size, sign):
        """Add ``size`` to the totals if ``sign`` is 1, or subtract it if -1."""
        self.processors += sign * size.processors_milli
        self.memory += sign * size.memory_mb
        self.accelerators += sign * size.accelerators
        if sign < 0:
            self.shrunk = self.shrunk and self.exceeds_capacity()

    @property
    def usable(self):
        """Whether new tasks may be bound to this endpoint."""
        return not self.lost and not self.seen.leaving


class OutgoingPart:
    """Part of a job moved to ``target`` and not yet known to have arrived there."""

    __slots__ = ("target", "spec", "checkpoint")

    def __init__(self, target, spec, checkpoint=""):
        self.target = target
        self.spec = spec
        self.checkpoint = checkpoint
