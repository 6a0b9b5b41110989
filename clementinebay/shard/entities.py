"""What a shard's state is made of: tasks, jobs, endpoints and parcels."""

from enum import IntEnum


class Phase(IntEnum):
    """Where a task stands."""

    WAITING = 0
    BOUND = 1
    RUNNING = 2
    STOPPING = 3
    PARKED = 4


#: Phases in which a task holds resources of an endpoint.
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
    """A job and those of its tasks that are neither untouched nor done.

    Indexes from ``next_index`` on were never bound.  A lower index without an entry in
    ``tasks`` is done, was cancelled, or was moved to another domain.  ``source`` is the
    domain that a moved part came from.
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
        """The job's name as its client gave it."""
        return self.spec.origin or self.spec.id

    @property
    def end_index(self):
        """First index after the job's tasks."""
        return self.spec.first_index + self.spec.count

    @property
    def unbound_count(self):
        """Number of tasks that were never bound."""
        return self.end_index - self.next_index

    @property
    def ended(self):
        """Whether nothing of the job is left to do in this shard."""
        return not self.tasks and not self.unbound_count


class EndpointState:
    """An endpoint's capacity and what bindings hold of it.

    ``held`` are (job, index) of bindings.  ``unconfirmed`` maps (job, index, attempt)
    to the size of attempts that were released as expired; the endpoint has not
    confirmed their end, so they count until it does.  ``barred`` is the log index that
    barred a lost endpoint at ``lost_at``; ``free_at`` is the time in seconds by which
    all leases from before have run out, 0 while that is not known.  ``shrunk`` tells
    that the capacity fell below what was held.
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
        """Return whether a task of ``size`` may be added."""
        return not self.exceeds_capacity(
            size.processors_milli, size.memory_mb, size.accelerators
        )

    def exceeds_capacity(self, processors=0, memory=0, accelerators=0):
        """Return whether what is held and the given amounts exceed the capacity."""
        total = self.seen.size
        return (
            self.processors + processors > total.processors_milli
            or self.memory + memory > total.memory_mb
            or self.accelerators + accelerators > total.accelerators
        )

    def reserve(self, key, size):
        """Take ``size`` for task ``key``, a pair of job and index."""
        self.held.add(key)
        self.add(size, 1)

    def free(self, key, size):
        """Give back what task ``key`` holds."""
        self.held.remove(key)
        self.add(size, -1)

    def leave_unconfirmed(self, key, attempt, size):
        """Keep what the ``attempt`` of a freed task ``key`` may still use."""
        self.unconfirmed[(*key, attempt)] = size
        self.add(size, 1)

    def confirm(self, key):
        """Give back what the unconfirmed attempt ``key`` was counted for."""
        size = self.unconfirmed.pop(key, None)
        if size is not None:
            self.add(size, -1)

    def add(self, size, sign):
        """Add ``size`` to the sums, or take it off them."""
        self.processors += sign * size.processors_milli
        self.memory += sign * size.memory_mb
        self.accelerators += sign * size.accelerators
        if sign < 0:
            self.shrunk = self.shrunk and self.exceeds_capacity()

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
