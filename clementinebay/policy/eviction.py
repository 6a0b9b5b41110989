"""Evicts batch tasks to make room for urgent ones, with the least work lost."""

from clementinebay.policy import planner
from clementinebay.policy.placement import FreeCapacity
from clementinebay.shard.entities import HOLDING_PHASES, Phase
from clementinebay.shard.wire import ttypes as wire

#: Limit of releases by one decision.
MAX_RELEASES_PER_DECISION = 20
#: No task is evicted while this many tasks of the shard are being stopped.
MAX_STOPPING = 200

URGENT_WORK = "urgent-work"


class EvictionCandidate:
    """A task that may be evicted.

    ``lost_work`` is the work that would be lost, in processor-seconds.
    """

    __slots__ = ("job", "task", "lost_work")

    def __init__(self, job, task, lost_work):
        self.job = job
        self.task = task
        self.lost_work = lost_work


def work_since_checkpoint(job, task, now, saved_at):
    """Return the processor-seconds used since the last checkpoint or the start.

    ``saved_at`` maps (job, index, attempt) to the time of the newest checkpoint.
    """
    key = (job.spec.id, task.index, task.attempt)
    since = max(task.bound_at, saved_at.get(key, 0.0))
    return max(0.0, now - since) * job.spec.size.processors_milli / 1000.0


def eviction_candidates(state, endpoint, urgency, now, saved_at):
    """Return the batch tasks on ``endpoint`` below ``urgency``.

    They are sorted by urgency and lost work, the best ones to evict first.
    """
    found = []
    for name, index in endpoint.held:
        job = state.jobs[name]
        task = job.tasks[index]
        if (
            job.spec.workload == wire.Workload.BATCH
            and job.spec.urgency < urgency
            and task.phase != Phase.STOPPING
        ):
            lost_work = work_since_checkpoint(job, task, now, saved_at)
            found.append(EvictionCandidate(job, task, lost_work))
    found.sort(
        key=lambda c: (c.job.spec.urgency, c.lost_work, c.job.spec.id, c.task.index)
    )
    return found


def capacities_after_stops(state, barred):
    """Return {endpoint: `FreeCapacity`} once all tasks being stopped have ended."""
    capacities = {}
    for name, endpoint in state.endpoints.items():
        if not endpoint.usable or barred(name):
            continue
        capacity = capacities[name] = FreeCapacity(endpoint)
        for job, index in endpoint.held:
            if state.jobs[job].tasks[index].phase == Phase.STOPPING:
                capacity.unreserve(state.jobs[job].spec.size)
    return capacities


class EvictionSearch:
    """Finds the cheapest tasks to evict, for one urgency and one decision."""

    def __init__(self, state, capacities, urgency, now, saved_at):
        self.state = state
        self.capacities = capacities
        self.candidates = {
            name: eviction_candidates(
                state, state.endpoints[name], urgency, now, saved_at
            )
            for name in capacities
        }

    def make_room(self, size):
        """Reserve ``size`` on the endpoint where the least work is lost.

        Return the `EvictionCandidate`s that must be released for it, none if tasks that
        are being stopped free enough.  Return ``None`` if no endpoint can free enough.
        """
        options = [
            (sum(candidate.lost_work for candidate in chosen), len(chosen), name)
            for name in self.capacities
            if (chosen := self.candidates_to_free(name, size)) is not None
        ]
        if not options:
            return None
        name = min(options)[2]
        chosen = self.candidates_to_free(name, size)
        capacity = self.capacities[name]
        for candidate in chosen:
            capacity.unreserve(candidate.job.spec.size)
            self.candidates[name].remove(candidate)
        capacity.reserve(size)
        return chosen

    def candidates_to_free(self, name, size):
        """Return the tasks to evict on endpoint ``name`` so that ``size`` fits.

        Return ``None`` if it does not fit even then.
        """
        capacity = self.capacities[name].copy()
        chosen = []
        for candidate in self.candidates[name]:
            if capacity.fits(size):
                break
            capacity.unreserve(candidate.job.spec.size)
            chosen.append(candidate)
        return chosen if capacity.fits(size) else None


def stopping(state):
    """Return the number of tasks that are being stopped."""
    return sum(
        task.phase == Phase.STOPPING
        for job in state.jobs.values()
        for task in job.tasks.values()
        if task.phase in HOLDING_PHASES
    )


def release_records(state, unplaced, now, saved_at, barred, ledger):
    """Return the releases that make room for urgent tasks.

    ``unplaced`` holds one `Candidate` of each job whose tasks fit nowhere; ``ledger``
    enforces quotas.
    """
    urgent = [c.job for c in unplaced if c.job.spec.urgency == wire.Urgency.URGENT]
    if not urgent or stopping(state) >= MAX_STOPPING:
        return []
    capacities = capacities_after_stops(state, barred)
    search = EvictionSearch(state, capacities, wire.Urgency.URGENT, now, saved_at)
    records = []
    for job in urgent:
        spec = job.spec
        for _task in range(planner.waiting_count(job)):
            if len(records) >= MAX_RELEASES_PER_DECISION:
                return records
            if not ledger.allows(spec.team, spec.size):
                break
            chosen = search.make_room(spec.size)
            if chosen is None:
                break
            ledger.reserve(spec.team, spec.size)
            records += [release(candidate, URGENT_WORK) for candidate in chosen]
    return records


def release(candidate, reason):
    """Return the record that evicts ``candidate``."""
    task = candidate.task
    return wire.Record(
        release=wire.Release(candidate.job.spec.id, task.index, task.attempt, reason)
    )
