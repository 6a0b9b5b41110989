"""Which waiting task is bound to which endpoint.

`plan` walks the jobs in order and binds each task to the room that the placement policy
scores highest.  A job or size that found no room is not tried again in the same
decision, so a decision costs little however much work waits.
"""

import heapq
from collections import defaultdict

from clementinebay.policy import quota
from clementinebay.policy.placement import FORBIDDEN, Balanced, FreeCapacity, TaskCounts
from clementinebay.policy.taskhealth import TaskHealth
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Most bindings that one decision makes.
BINDS_PER_DECISION = 100


class Candidate:
    """A task that may be bound."""

    __slots__ = ("job", "index", "attempt", "failed_on")

    def __init__(self, job, index, attempt, failed_on=()):
        self.job = job
        self.index = index
        self.attempt = attempt
        self.failed_on = failed_on


class Plan:
    """Bindings, and one `Candidate` of each job for which there was no room."""

    __slots__ = ("binds", "unplaced")

    def __init__(self):
        self.binds = []
        self.unplaced = []


def candidates(job):
    """Yield the `Candidate`s of ``job`` in order of their index."""
    for task in job.tasks.values():
        if task.phase == Phase.WAITING:
            yield Candidate(job, task.index, task.attempt + 1, task.failed_on)
    for index in range(job.next_index, job.end_index):
        yield Candidate(job, index, 1)


def queue(state):
    """Return the jobs with tasks that wait: urgent ones first, then older ones."""
    jobs = [job for job in state.jobs.values() if not job.cancelled and waits(job)]
    jobs.sort(key=lambda job: (-job.spec.urgency, job.spec.submitted_at, job.spec.id))
    return jobs


def waits(job):
    """Return whether a task of ``job`` waits."""
    if job.unbound_count:
        return True
    return any(task.phase == Phase.WAITING for task in job.tasks.values())


def waiting_count(job):
    """Return how many tasks of ``job`` wait."""
    return job.unbound_count + sum(t.phase == Phase.WAITING for t in job.tasks.values())


class Planner:
    """Makes one decision; ``health`` and ``ledger`` say what is held back."""

    def __init__(self, state, policy, now, health=None, ledger=None):
        self.state = state
        self.policy = policy
        self.now = now
        self.health = health or TaskHealth()
        self.ledger = ledger or quota.Ledger()
        self.capacities = [
            FreeCapacity(endpoint)
            for endpoint in state.endpoints.values()
            if endpoint.usable and not self.health.barred(endpoint.seen.id, now)
        ]
        self.probes = {
            capacity.id
            for capacity in self.capacities
            if self.health.on_probation(capacity.id)
        }
        self.unfit = []
        self.heaps = {}
        self.taken = defaultdict(int)

    def plan(self, lease_deadline, limit):
        """Return the `Plan` of at most ``limit`` bindings."""
        plan = Plan()
        for job in queue(self.state):
            if len(plan.binds) >= limit:
                break
            if self.known_unfit(job.spec.size):
                plan.unplaced.append(next(candidates(job)))
                continue
            self.plan_job(job, plan, lease_deadline, limit)
        return plan

    def plan_job(self, job, plan, lease_deadline, limit):
        """Bind tasks of ``job`` until none is left or nothing fits."""
        spec = job.spec
        task_counts = TaskCounts(self.state, job)
        heap = self.heap(job, task_counts)
        allowance = self.health.allowance(job)
        for candidate in candidates(job):
            if len(plan.binds) >= limit or allowance <= 0:
                return
            if self.health.held_back(spec.id, candidate.index, self.now):
                continue
            if not self.ledger.allows(spec.team, spec.size):
                return
            capacity = self.pick(job, heap, task_counts, candidate.failed_on)
            if capacity is None:
                if not any(capacity.fits(spec.size) for capacity in self.capacities):
                    self.unfit.append(spec.size)
                plan.unplaced.append(candidate)
                return
            allowance -= 1
            self.reserve(job, capacity, task_counts)
            plan.binds.append(self.bind(candidate, capacity, lease_deadline))

    def heap(self, job, task_counts):
        """Return the rooms that fit ``job``, best first, as a heap.

        Batch jobs of the same kind and size share one, as their scores are the same.
        """
        spec = job.spec
        if spec.workload == wire.Workload.SERVICE:
            return self.make_heap(job, task_counts)
        key = (spec.kind, *quota.resource_vector(spec.size))
        if key not in self.heaps:
            self.heaps[key] = self.make_heap(job, task_counts)
        return self.heaps[key]

    def make_heap(self, job, task_counts):
        """Return a heap of (negative score, id, `FreeCapacity`)."""
        heap = [
            (-score, capacity.id, capacity)
            for capacity in self.capacities
            if capacity.fits(job.spec.size)
            and (score := self.policy.score(job, capacity, task_counts)) > FORBIDDEN
        ]
        heapq.heapify(heap)
        return heap

    def pick(self, job, heap, task_counts, failed_on):
        """Return the best room, one without a failure of the task if there is any.

        Scores only sink while a job is planned, so an entry whose score is still right
        is the best.
        """
        passed = []
        found = None
        while heap and found is None:
            score, _id, capacity = heapq.heappop(heap)
            if not self.open(capacity, job):
                continue
            current = -self.policy.score(job, capacity, task_counts)
            if current == -FORBIDDEN:
                continue
            if current > score:
                heapq.heappush(heap, (current, capacity.id, capacity))
            elif capacity.id in failed_on:
                passed.append((score, capacity.id, capacity))
            else:
                found = capacity
        if found is None and passed:
            found = passed.pop(0)[2]
        for entry in passed:
            heapq.heappush(heap, entry)
        if found is not None:
            # Its score is made anew when it is looked at next.
            heapq.heappush(heap, (FORBIDDEN, found.id, found))
        return found

    def open(self, capacity, job):
        """Return whether ``capacity`` still takes a task of ``job``."""
        if capacity.id in self.probes and (
            self.taken[capacity.id] or self.holds(capacity)
        ):
            return False
        return capacity.fits(job.spec.size)

    def holds(self, capacity):
        """Return whether anything runs in ``capacity``."""
        return bool(self.state.endpoints[capacity.id].held)

    def reserve(self, job, capacity, task_counts):
        """Count a binding in all sums of this decision."""
        capacity.reserve(job.spec.size)
        task_counts.add(capacity.id, capacity.rack)
        self.policy.record_binding(job, capacity)
        self.taken[capacity.id] += 1
        self.ledger.reserve(job.spec.team, job.spec.size)

    def bind(self, candidate, capacity, lease_deadline):
        """Return the `wire.Bind` of ``candidate``."""
        job = candidate.job.spec.id
        return wire.Bind(
            job,
            candidate.index,
            candidate.attempt,
            capacity.id,
            lease_deadline,
            self.now,
        )

    def known_unfit(self, size):
        """Return whether a task no larger than ``size`` found no room before."""
        return any(
            size.processors_milli >= unfit.processors_milli
            and size.memory_mb >= unfit.memory_mb
            and size.accelerators >= unfit.accelerators
            for unfit in self.unfit
        )


def plan(state, now, lease_deadline, policy=None, health=None, ledger=None):
    """Return the `Plan` of bindings: urgent jobs first, then older ones."""
    if state.out or lease_deadline <= now:
        return Plan()
    planner = Planner(state, policy or Balanced(), now, health, ledger)
    return planner.plan(lease_deadline, BINDS_PER_DECISION)
