"""Moves waiting tasks to other failure domains.

A domain that is out moves all of its waiting tasks, urgent ones first.  A domain that
is in moves only tasks that do not fit, at a rate bounded by the size of the target.  So
a domain that has come back fills slowly, and several sources do not overload a target.
"""

import math

from clementinebay.policy import placement, planner
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Limit of moves by one decision.
MAX_MOVES_PER_DECISION = 100
#: Share of a target's processors that all sources together may fill in one decision.
MAX_REFILL_SHARE = 0.5


class DomainCapacity:
    """Free capacity of a domain's endpoints, reduced as tasks are moved there."""

    def __init__(self, state):
        self.capacities = [
            placement.FreeCapacity(endpoint)
            for endpoint in state.endpoints.values()
            if endpoint.usable
        ]
        self.unplaceable_sizes = []
        self.allowance = math.inf

    def limit_to_share(self, share):
        """Allow only ``share`` of all processors to be reserved from now on."""
        total = sum(capacity.size.processors_milli for capacity in self.capacities)
        self.allowance = share * total

    def count_allowed(self, size, max_count):
        """Return how many of ``max_count`` tasks of ``size`` the allowance covers."""
        if self.allowance == math.inf or not size.processors_milli:
            return max_count
        return min(
            max_count, math.ceil(max(0.0, self.allowance) / size.processors_milli)
        )

    def count_fitting(self, size, max_count):
        """Return how many tasks of ``size`` fit, at most ``max_count``."""
        return sum(n for _capacity, n in self.iter_fitting(size, max_count))

    def reserve(self, size, max_count):
        """Reserve ``size`` for as many tasks as fit and may; return the number."""
        total = 0
        max_count = self.count_allowed(size, max_count)
        for capacity, number in list(self.iter_fitting(size, max_count)):
            capacity.processors -= size.processors_milli * number
            capacity.memory -= size.memory_mb * number
            capacity.accelerators -= size.accelerators * number
            total += number
        self.allowance -= size.processors_milli * total
        return total

    def iter_fitting(self, size, max_count):
        """Yield (free capacity of an endpoint, number of tasks that fit there)."""
        if size in self.unplaceable_sizes or not max_count:
            return
        left = max_count
        for capacity in self.capacities:
            number = min(left, max_tasks(capacity, size))
            if number:
                left -= number
                yield capacity, number
            if not left:
                return
        if left == max_count:
            self.unplaceable_sizes.append(size)


def max_tasks(capacity, size):
    """Return how many tasks of ``size`` fit into the capacity of one endpoint.

    The free capacity of an endpoint that shrank may be negative.
    """
    needed = (size.processors_milli, size.memory_mb, size.accelerators)
    free = (capacity.processors, capacity.memory, capacity.accelerators)
    return max(0, min(f // n for f, n in zip(free, needed, strict=True) if n))


def capacity_for_new_tasks(state):
    """Return the `DomainCapacity` that is left after a domain's own waiting tasks."""
    domain_capacity = DomainCapacity(state)
    for job in planner.queue(state):
        domain_capacity.reserve(job.spec.size, planner.waiting_count(job))
    return domain_capacity


def surplus(state, leaving=False, unplaceable=()):
    """Return [(job, number of tasks that should move)], urgent jobs first.

    All waiting tasks should move if the domain is out or, with ``leaving``, if they
    must leave for another reason.  Otherwise jobs whose ids are in ``unplaceable``
    stay, since they fit nowhere.
    """
    if state.out or leaving:
        return [(job, planner.waiting_count(job)) for job in planner.queue(state)]
    domain_capacity = DomainCapacity(state)
    found = []
    for job in planner.queue(state):
        if job.spec.id in unplaceable:
            continue
        waiting_count = planner.waiting_count(job)
        left = waiting_count - domain_capacity.reserve(job.spec.size, waiting_count)
        if left:
            found.append((job, left))
    return found


class Balancer:
    """Decides what moves from ``state`` to ``targets``, which are states by domain."""

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
        self.target_capacities = {
            name: capacity_for_new_tasks(target)
            for name, target in sorted(targets.items())
            if not target.out
        }
        if not self.leaving:
            for domain_capacity in self.target_capacities.values():
                domain_capacity.limit_to_share(MAX_REFILL_SHARE / max(1, len(targets)))
        self.records = []

    def plan(self):
        """Return the `wire.Move` records."""
        for job, number in surplus(self.state, self.leaving, self.unplaceable):
            if (
                not self.target_capacities
                or len(self.records) >= MAX_MOVES_PER_DECISION
            ):
                break
            shares = self.shares(job.spec.size, number)
            self.add_moves(job, shares)
        return self.records

    def shares(self, size, number):
        """Return {domain: number of tasks} for ``number`` tasks of ``size``."""
        if not self.by_capacity:
            shares = dict.fromkeys(self.target_capacities, 0)
            self.distribute_equally(shares, number if self.leaving else 0)
            return shares
        shares = {}
        free = {
            name: s.count_fitting(size, number)
            for name, s in self.target_capacities.items()
        }
        for name in sorted(free, key=lambda name: -free[name]):
            shares[name] = self.target_capacities[name].reserve(size, number)
            number -= shares[name]
        if self.leaving:
            self.distribute_equally(shares, number)
        return shares

    def distribute_equally(self, shares, number):
        """Add ``number`` tasks that fit nowhere to ``shares``, in equal parts."""
        for turn, name in enumerate(shares):
            shares[name] += number // len(shares) + (turn < number % len(shares))

    def add_moves(self, job, shares):
        """Add the moves of ``job``: tasks that were bound before, then new ones."""
        waiting_indexes = [
            task.index for task in job.tasks.values() if task.phase == Phase.WAITING
        ]
        next_index = job.next_index
        for target, number in shares.items():
            while number and waiting_indexes:
                self.add_move(job, waiting_indexes.pop(0), 1, target)
                number -= 1
            if number:
                self.add_move(job, next_index, number, target)
                next_index += number

    def add_move(self, job, first, count, target):
        """Add the move of ``count`` tasks from index ``first``."""
        if len(self.records) >= MAX_MOVES_PER_DECISION:
            return
        part = f"{job.spec.origin or job.spec.id}~{first}~{self.nonce}"
        move = wire.Move(job.spec.id, first, count, target, part, self.now)
        self.records.append(wire.Record(move=move))


def move_records(
    state, targets, nonce, now, leaving=False, by_capacity=True, unplaceable=()
):
    """Return the records of the moves by one decision; see `surplus`.

    Without ``by_capacity``, tasks move only from a domain that is out or ``leaving``,
    in equal parts to all targets.
    """
    return Balancer(
        state, targets, nonce, now, leaving, by_capacity, unplaceable
    ).plan()
