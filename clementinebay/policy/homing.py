"""How replicas of services go back to the failure domain that they were moved from.

A *twin* of the replica is submitted to the domain that it came from, and only when the
twin runs there is the replica stopped here.  Which step is due is read from both states
each time, so it does not matter who took the last one.
"""

from clementinebay.policy.placement import FreeCapacity
from clementinebay.shard.entities import Phase
from clementinebay.shard.state import moved_part_spec
from clementinebay.shard.wire import ttypes as wire

#: Ending of the id of a twin; the rest is the id of the part that it replaces.
TWIN = "~home"


class Steps:
    """Records for this shard's log, and (domain, record) for those of others."""

    __slots__ = ("own", "others")

    def __init__(self):
        self.own = []
        self.others = []


def away(state):
    """Return the parts of single replicas that were moved here."""
    return [
        job
        for job in state.jobs.values()
        if job.spec.workload == wire.Workload.SERVICE
        and job.source
        and job.spec.count == 1
        and not job.cancelled
        and not job.ended
    ]


def steps(state, homes, now, overdue=()):
    """Return the `Steps` that are due, one replica of a service at a time.

    ``homes`` are the states of other domains that are in, by name.  Twins whose ids are
    in ``overdue`` are given up if they do not run.
    """
    found = Steps()
    moving = {job.origin for home in homes.values() for job in starting(home)}
    for job in away(state):
        home = homes.get(job.source)
        if home is None or home.out:
            continue
        twin = home.jobs.get(job.spec.id + TWIN)
        if twin is None:
            if job.origin not in moving and runs(job) and has_place(home, job.spec):
                moving.add(job.origin)
                found.others.append((job.source, submit(job, now)))
        elif not twin.cancelled:
            moving.add(job.origin)
            if runs(twin) or twin.ended or not runs(job):
                found.own.append(cancel(job, now))
            elif twin.spec.id in overdue:
                found.others.append((job.source, cancel(twin, now)))
    return found


def starting(home):
    """Return the twins in the state of a domain that do not run yet."""
    return [
        job
        for name, job in home.jobs.items()
        if name.endswith(TWIN) and not job.cancelled and not job.ended and not runs(job)
    ]


def has_place(home, spec):
    """Return whether a replica fits at home, or does once batch work gives way."""
    for endpoint in home.endpoints.values():
        if not endpoint.usable:
            continue
        capacity = FreeCapacity(endpoint)
        for name, _index in endpoint.held:
            other = home.jobs[name].spec
            if other.workload == wire.Workload.BATCH and other.urgency < spec.urgency:
                capacity.unreserve(other.size)
        if capacity.fits(spec.size):
            return True
    return False


def runs(job):
    """Return whether all tasks of ``job`` run."""
    return bool(job.tasks) and all(
        task.phase == Phase.RUNNING for task in job.tasks.values()
    )


def cancel(job, now):
    """Return the record that stops one part."""
    return wire.Record(cancel=wire.Cancel(job.spec.id, now))


def submit(job, now):
    """Return the record that starts the twin of ``job``.

    It names no source, for the twin is at home there.
    """
    spec = job.spec
    move = wire.Move(spec.id, spec.first_index, 1, job.source, spec.id + TWIN, now)
    return wire.Record(submit=wire.Submit(moved_part_spec(spec, move)))
