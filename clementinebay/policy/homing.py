"""Returns replicas of services to the failure domain from which they were moved.

A *twin* of the replica is submitted to its home domain, and the replica is stopped only
once the twin runs there.  The next step is always derived from the states of both
domains, so it does not matter which daemon took the previous one.
"""

from clementinebay.policy.placement import FreeCapacity
from clementinebay.shard.entities import Phase
from clementinebay.shard.state import moved_part_spec
from clementinebay.shard.wire import ttypes as wire

#: Suffix of a twin's id; the rest is the id of the part that the twin replaces.
TWIN_SUFFIX = "~home"


class ReturnSteps:
    """Records for the log of this shard, and (domain, record) for other shards."""

    __slots__ = ("own", "others")

    def __init__(self):
        self.own = []
        self.others = []


def displaced_replicas(state):
    """Return the parts with a single replica that were moved to this domain."""
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
    """Return the `ReturnSteps` that are due, for one replica of a service at a time.

    ``homes`` are the states of other domains that are in, by name.  Twins whose ids are
    in ``overdue`` are cancelled if they do not run.
    """
    found = ReturnSteps()
    moving = {job.origin for home in homes.values() for job in starting_twins(home)}
    for job in displaced_replicas(state):
        home = homes.get(job.source)
        if home is None or home.out:
            continue
        twin = home.jobs.get(job.spec.id + TWIN_SUFFIX)
        if twin is None:
            if (
                job.origin not in moving
                and is_running(job)
                and has_capacity(home, job.spec)
            ):
                moving.add(job.origin)
                found.others.append((job.source, submit_record(job, now)))
        elif not twin.cancelled:
            moving.add(job.origin)
            if is_running(twin) or twin.ended or not is_running(job):
                found.own.append(cancel_record(job, now))
            elif twin.spec.id in overdue:
                found.others.append((job.source, cancel_record(twin, now)))
    return found


def starting_twins(home):
    """Return the twins in the state of a home domain that do not run yet."""
    return [
        job
        for name, job in home.jobs.items()
        if name.endswith(TWIN_SUFFIX)
        and not job.cancelled
        and not job.ended
        and not is_running(job)
    ]


def has_capacity(home, spec):
    """Return whether a replica fits in its home domain, if need be by eviction.

    Batch tasks of lower urgency do not count, since they can be evicted.
    """
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


def is_running(job):
    """Return whether ``job`` has tasks and all of them run."""
    return bool(job.tasks) and all(
        task.phase == Phase.RUNNING for task in job.tasks.values()
    )


def cancel_record(job, now):
    """Return the record that cancels one part."""
    return wire.Record(cancel=wire.Cancel(job.spec.id, now))


def submit_record(job, now):
    """Return the record that submits the twin of ``job``.

    It has no source, since the twin is in its home domain.
    """
    spec = job.spec
    move = wire.Move(
        spec.id, spec.first_index, 1, job.source, spec.id + TWIN_SUFFIX, now
    )
    return wire.Record(submit=wire.Submit(moved_part_spec(spec, move)))
