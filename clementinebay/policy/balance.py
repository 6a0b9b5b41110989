"""Which waiting tasks move to another domain, and how many at a time.

A domain that is out sends everything away, urgent work first.  One that is in sends
only what finds no room, at a rate bounded by the target's size, so that a domain which
has come back fills slowly and no target is overloaded by several sources.
"""

import math

from clementinebay.policy import placement, planner
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Most moves that one decision makes.
MOVES_PER_DECISION = 100
#: Part of a target's processors that all sources together fill in one decision.
REFILL_PART = 0.5


class Space:
    """Free room on a domain's endpoints, taken as tasks are sent there."""

    def __init__(self, state):
        self.capacities = [
            placement.FreeCapacity(endpoint)
            for endpoint in state.endpoints.values()
            if endpoint.usable
        ]
        self.unfit = []
        self.allowance = math.inf

    def allow(self, part):
        """Let only ``part`` of all processors be taken from now on."""
        total = sum(capacity.size.processors_milli for capacity in self.capacities)
        self.allowance = part * total

    def allowed(self, size, most):
        """Return how many of ``most`` tasks of ``size`` may still be taken."""
        if self.allowance == math.inf or not size.processors_milli:
            return most
        return min(most, math.ceil(max(0.0, self.allowance) / size.processors_milli))

    def count(self, size, most):
        """Return how many tasks of ``size`` fit, ``most`` at the most."""
        return sum(n for _room, n in self.fitting(size, most))

    def reserve(self, size, most):
        """Reserve ``size`` for as many tasks as fit and may; return how many."""
        total = 0
        most = self.allowed(size, most)
        for capacity, number in list(self.fitting(size, most)):
            capacity.processors -= size.processors_milli * number
            capacity.memory -= size.memory_mb * number
            capacity.accelerators -= size.accelerators * number
            total += number
        self.allowance -= size.processors_milli * total
        return total

    def fitting(self, size, most):
        """Yield (room, tasks of ``size`` that fit there)."""
        if size in self.unfit or not most:
            return
        left = most
        for capacity in self.capacities:
            number = min(left, tasks_in(capacity, size))
            if number:
                left -= number
                yield capacity, number
            if not left:
                return
        if left == most:
            self.unfit.append(size)


def tasks_in(capacity, size):
    """Return how many tasks of ``size`` fit into ``capacity``."""
    wanted = (size.processors_milli, size.memory_mb, size.accelerators)
    free = (capacity.processors, capacity.memory, capacity.accelerators)
    return min(f // w for f, w in zip(free, wanted, strict=True) if w)


def space_for_new(state):
    """Return the `Space` that a domain's own waiting tasks leave."""
    space = Space(state)
    for job in planner.queue(state):
        space.reserve(job.spec.size, planner.waiting_count(job))
    return space


def surplus(state, leaving=False, unplaceable=()):
    """Return (job, tasks that should move), urgent jobs first.

    All should if the domain is out or its work is ``leaving`` for another reason.
    Otherwise the jobs whose ids are in ``unplaceable`` stay, as they fit nowhere.
    """
    if state.out or leaving:
        return [(job, planner.waiting_count(job)) for job in planner.queue(state)]
    space = Space(state)
    found = []
    for job in planner.queue(state):
        if job.spec.id in unplaceable:
            continue
        wanted = planner.waiting_count(job)
        left = wanted - space.reserve(job.spec.size, wanted)
        if left:
            found.append((job, left))
    return found


class Balancer:
    """One decision of what moves from ``state`` to ``targets``, states by domain."""

    def __init__(
        self,
        state,
        targets,
        nonce,
        now,
        leaving=False,
        by_capacity=True,
        unplaceable=(),
    ):
        self.state = state
        self.leaving = leaving or state.out
        self.nonce = nonce
        self.now = now
        self.by_capacity = by_capacity
        self.unplaceable = unplaceable
        self.spaces = {
            name: space_for_new(target)
            for name, target in sorted(targets.items())
            if not target.out
        }
        if not self.leaving:
            for space in self.spaces.values():
                space.allow(REFILL_PART / max(1, len(targets)))
        self.records = []

    def plan(self):
        """Return the `wire.Move` records."""
        for job, number in surplus(self.state, self.leaving, self.unplaceable):
            if not self.spaces or len(self.records) >= MOVES_PER_DECISION:
                break
            shares = self.shares(job.spec.size, number)
            self.move(job, shares)
        return self.records

    def shares(self, size, number):
        """Return {domain: tasks} of ``number`` tasks of ``size``."""
        if not self.by_capacity:
            shares = dict.fromkeys(self.spaces, 0)
            self.split_rest(shares, number if self.leaving else 0)
            return shares
        shares = {}
        free = {name: s.count(size, number) for name, s in self.spaces.items()}
        for name in sorted(free, key=lambda name: -free[name]):
            shares[name] = self.spaces[name].reserve(size, number)
            number -= shares[name]
        if self.leaving:
            self.split_rest(shares, number)
        return shares

    def split_rest(self, shares, number):
        """Add ``number`` tasks without room to ``shares``, as equally as can be."""
        for turn, name in enumerate(shares):
            shares[name] += number // len(shares) + (turn < number % len(shares))

    def move(self, job, shares):
        """Add the moves of ``job``: tasks that ran before first, then new ones."""
        waiting_indexes = [
            task.index for task in job.tasks.values() if task.phase == Phase.WAITING
        ]
        next_index = job.next_index
        for target, number in shares.items():
            while number and waiting_indexes:
                self.add(job, waiting_indexes.pop(0), 1, target)
                number -= 1
            if number:
                self.add(job, next_index, number, target)
                next_index += number

    def add(self, job, first, count, target):
        """Add one move."""
        if len(self.records) >= MOVES_PER_DECISION:
            return
        part = f"{job.spec.origin or job.spec.id}~{first}~{self.nonce}"
        move = wire.Move(job.spec.id, first, count, target, part, self.now)
        self.records.append(wire.Record(move=move))


def move_records(
    state, targets, nonce, now, leaving=False, by_capacity=True, unplaceable=()
):
    """Return the moves that one decision makes; see `surplus`.

    Without ``by_capacity``, only a domain that is out or ``leaving`` sends work away,
    in equal parts.
    """
    return Balancer(
        state, targets, nonce, now, leaving, by_capacity, unplaceable
    ).plan()
