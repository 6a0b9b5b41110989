"""Binds waiting tasks to endpoints.

`plan` goes through the jobs in order and binds each task to the endpoint with the
highest score of the placement policy.  A job or size that fits nowhere is not tried
again in the same decision, which bounds the cost of a decision with many waiting tasks.
"""

import heapq
from collections import defaultdict

from clementinebay.policy import quota
from clementinebay.policy.placement import FORBIDDEN, Balanced, FreeCapacity, TaskCounts
from clementinebay.policy.taskhealth import TaskHealth
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Limit of bindings by one decision.
MAX_BINDS_PER_DECISION = 100


class Candidate:
    """A waiting task, with the number of its next attempt."""

    __slots__ = ("job", "index", "attempt", "failed_on")

    def __init__(self, job, index, attempt, failed_on=()):
        self.job = job
        self.index = index
        self.attempt = attempt
        self.failed_on = failed_on


class Plan:
    """Bindings, and one `Candidate` of each job whose tasks fit nowhere."""

    __slots__ = ("binds", "unplaced")

    def __init__(self):
        self.binds = []
        self.unplaced = []


def candidates(job):
    """Yield the `Candidate`s of ``job``: those bound before, then new ones."""
    for task in job.tasks.values():
        if task.phase == Phase.WAITING:
            yield Candidate(job, task.index, task.attempt + 1, task.failed_on)
    for index in range(job.next_index, job.end_index):
        yield Candidate(job, index, 1)


def queue(state):
    """Return the jobs with waiting tasks: urgent ones first, then older ones."""
    jobs = [
        job
        for job in state.jobs.values()
        if not job.cancelled and has_waiting_tasks(job)
    ]
    jobs.sort(key=lambda job: (-job.spec.urgency, job.spec.submitted_at, job.spec.id))
    return jobs


def has_waiting_tasks(job):
    """Return whether ``job`` has waiting tasks."""
    if job.unbound_count:
        return True
    return any(task.phase == Phase.WAITING for task in job.tasks.values())


def waiting_count(job):
    """Return the number of waiting tasks of ``job``."""
    return job.unbound_count + sum(t.phase == Phase.WAITING for t in job.tasks.values())


class Planner:
    """Makes one decision.

    ``health`` excludes endpoints and delays tasks after failures; ``ledger`` enforces
    quotas.
    """

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
        self.probation_ids = {
            capacity.id
            for capacity in self.capacities
            if self.health.on_probation(capacity.id)
        }
        self.unplaceable_sizes = []
        self.heaps = {}
        self.bind_counts = defaultdict(int)

    def plan(self, lease_deadline, limit):
        """Return the `Plan` of at most ``limit`` bindings."""
        plan = Plan()
        for job in queue(self.state):
            if len(plan.binds) >= limit:
                break
            if self.is_known_unplaceable(job.spec.size):
                plan.unplaced.append(next(candidates(job)))
                continue
            self.plan_job(job, plan, lease_deadline, limit)
        return plan

    def plan_job(self, job, plan, lease_deadline, limit):
        """Bind waiting tasks of ``job`` until none fits or a limit is reached."""
        spec = job.spec
        task_counts = TaskCounts(self.state, job)
        heap = self.heap(job, task_counts)
        allowance = self.health.allowance(job)
        for candidate in candidates(job):
            if len(plan.binds) >= limit or allowance <= 0:
                return
            if self.health.is_delayed(spec.id, candidate.index, self.now):
                continue
            if not self.ledger.allows(spec.team, spec.size):
                return
            capacity = self.choose(job, heap, task_counts, candidate.failed_on)
            if capacity is None:
                if not any(capacity.fits(spec.size) for capacity in self.capacities):
                    self.unplaceable_sizes.append(spec.size)
                plan.unplaced.append(candidate)
                return
            allowance -= 1
            self.reserve(job, capacity, task_counts)
            plan.binds.append(self.bind(candidate, capacity, lease_deadline))

    def heap(self, job, task_counts):
        """Return the heap of endpoints for ``job``, see `make_heap`.

        Batch jobs of the same kind and size have the same scores, so they share one.
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

    def choose(self, job, heap, task_counts, failed_on):
        """Return the best endpoint, preferably one where the task has not failed.

        Scores only fall while a job is planned, so the first entry whose score is still
        correct is the best.
        """
        skipped = []
        found = None
        while heap and found is None:
            score, _id, capacity = heapq.heappop(heap)
            if not self.accepts_task(capacity, job):
                continue
            current = -self.policy.score(job, capacity, task_counts)
            if current == -FORBIDDEN:
                continue
            if current > score:
                heapq.heappush(heap, (current, capacity.id, capacity))
            elif capacity.id in failed_on:
                skipped.append((score, capacity.id, capacity))
            else:
                found = capacity
        if found is None and skipped:
            found = skipped.pop(0)[2]
        for entry in skipped:
            heapq.heappush(heap, entry)
        if found is not None:
            # Forces the score to be computed again at the next choice.
            heapq.heappush(heap, (FORBIDDEN, found.id, found))
        return found

    def accepts_task(self, capacity, job):
        """Return whether an endpoint can still get a task of ``job``."""
        if capacity.id in self.probation_ids and (
            self.bind_counts[capacity.id] or self.is_occupied(capacity)
        ):
            return False
        return capacity.fits(job.spec.size)

    def is_occupied(self, capacity):
        """Return whether the endpoint of ``capacity`` holds tasks."""
        return bool(self.state.endpoints[capacity.id].held)

    def reserve(self, job, capacity, task_counts):
        """Count a binding in all totals of this decision."""
        capacity.reserve(job.spec.size)
        task_counts.add(capacity.id, capacity.rack)
        self.policy.record_binding(job, capacity)
        self.bind_counts[capacity.id] += 1
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

    def is_known_unplaceable(self, size):
        """Return whether a task no larger than ``size`` fitted nowhere before."""
        return any(
            size.processors_milli >= unplaceable.processors_milli
            and size.memory_mb >= unplaceable.memory_mb
            and size.accelerators >= unplaceable.accelerators
            for unplaceable in self.unplaceable_sizes
        )


def plan(state, now, lease_deadline, policy=None, health=None, ledger=None):
    """Return the `Plan` of bindings: urgent jobs first, then older ones."""
    if state.out or lease_deadline <= now:
        return Plan()
    planner = Planner(state, policy or Balanced(), now, health, ledger)
    return planner.plan(lease_deadline, MAX_BINDS_PER_DECISION)
