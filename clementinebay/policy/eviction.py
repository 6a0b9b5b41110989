"""Which running work gives way to urgent work, at the least lost work."""

from clementinebay.policy import planner
from clementinebay.policy.placement import Room
from clementinebay.shard.entities import HOLDING_PHASES, Phase
from clementinebay.shard.wire import ttypes as wire

#: Most releases that one decision makes.
RELEASES_PER_DECISION = 20
#: Most tasks that are being evicted at once in a shard.
MAX_STOPPING = 200

URGENT_WORK = "urgent-work"


class Victim:
    """A task that may be evicted, and the work in processor-seconds that is lost."""

    __slots__ = ("job", "task", "lost")

    def __init__(self, job, task, lost):
        self.job = job
        self.task = task
        self.lost = lost


def lost_work(job, task, now, saved_at):
    """Return the processor-seconds since the last checkpoint or the start.

    ``saved_at`` maps (job, index, attempt) to the time of the newest checkpoint.
    """
    key = (job.spec.id, task.index, task.attempt)
    since = max(task.bound_at, saved_at.get(key, 0.0))
    return max(0.0, now - since) * job.spec.size.processors_milli / 1000.0


def victims(state, endpoint, urgency, now, saved_at):
    """Return the batch tasks on ``endpoint`` below ``urgency``, least lost first."""
    found = []
    for name, index in endpoint.held:
        job = state.jobs[name]
        task = job.tasks[index]
        if (
            job.spec.workload == wire.Workload.BATCH
            and job.spec.urgency < urgency
            and task.phase != Phase.STOPPING
        ):
            lost = lost_work(job, task, now, saved_at)
            found.append(Victim(job, task, lost))
    found.sort(key=lambda v: (v.job.spec.urgency, v.lost, v.job.spec.id, v.task.index))
    return found


def coming_rooms(state, barred):
    """Return {endpoint: `Room`} as they will be once what stops has stopped."""
    rooms = {}
    for name, endpoint in state.endpoints.items():
        if not endpoint.usable or barred(name):
            continue
        room = rooms[name] = Room(endpoint)
        for job, index in endpoint.held:
            if state.jobs[job].tasks[index].phase == Phase.STOPPING:
                room.give(state.jobs[job].spec.size)
    return rooms


class Search:
    """Looks for the cheapest way to make room, for one urgency and decision."""

    def __init__(self, state, rooms, urgency, now, saved_at):
        self.state = state
        self.rooms = rooms
        self.victims = {
            name: victims(state, state.endpoints[name], urgency, now, saved_at)
            for name in rooms
        }

    def make_room(self, size):
        """Return the `Victim`s of least lost work that make room for ``size``.

        The room is taken; an empty list means that it comes anyway.  ``None`` means
        that there is no way.
        """
        ways = [
            (sum(victim.lost for victim in way), len(way), name)
            for name in self.rooms
            if (way := self.way(name, size)) is not None
        ]
        if not ways:
            return None
        name = min(ways)[2]
        chosen = self.way(name, size)
        room = self.rooms[name]
        for victim in chosen:
            room.give(victim.job.spec.size)
            self.victims[name].remove(victim)
        room.take(size)
        return chosen

    def way(self, name, size):
        """Return the victims on endpoint ``name`` that free ``size``, or ``None``."""
        room = self.rooms[name].copy()
        chosen = []
        for victim in self.victims[name]:
            if room.fits(size):
                break
            room.give(victim.job.spec.size)
            chosen.append(victim)
        return chosen if room.fits(size) else None


def stopping(state):
    """Return how many tasks are being stopped."""
    return sum(
        task.phase == Phase.STOPPING
        for job in state.jobs.values()
        for task in job.tasks.values()
        if task.phase in HOLDING_PHASES
    )


def release_records(state, unplaced, now, saved_at, barred, ledger):
    """Return releases that make room for urgent work.

    ``unplaced`` holds one `Candidate` of each job that found no room; ``ledger`` says
    what quotas let in.
    """
    urgent = [c.job for c in unplaced if c.job.spec.urgency == wire.Urgency.URGENT]
    if not urgent or stopping(state) >= MAX_STOPPING:
        return []
    rooms = coming_rooms(state, barred)
    search = Search(state, rooms, wire.Urgency.URGENT, now, saved_at)
    records = []
    for job in urgent:
        spec = job.spec
        for _task in range(planner.waiting(job)):
            if len(records) >= RELEASES_PER_DECISION:
                return records
            if not ledger.allows(spec.team, spec.size):
                break
            chosen = search.make_room(spec.size)
            if chosen is None:
                break
            ledger.take(spec.team, spec.size)
            records += [release(victim, URGENT_WORK) for victim in chosen]
    return records


def release(victim, reason):
    """Return the record that evicts ``victim``."""
    task = victim.task
    return wire.Record(
        release=wire.Release(victim.job.spec.id, task.index, task.attempt, reason)
    )
