"""Which waiting tasks leave a domain, and where they go."""

from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Most moves that one decision makes.
MOVES_PER_DECISION = 100


def move_records(state, domain, targets, nonce):
    """Return moves of all waiting tasks of a domain that is out.

    ``targets`` are the domains that are in; parts go to them in turn.  ``nonce`` makes
    the names of the parts unique.
    """
    if not state.out or not targets:
        return []
    records = []
    for name, job in state.jobs.items():
        for first, count in waiting_ranges(job):
            if len(records) >= MOVES_PER_DECISION:
                return records
            target = targets[len(records) % len(targets)]
            part = f"{job.spec.origin or name}~{first}~{nonce}"
            move = wire.Move(name, first, count, target, part)
            records.append(wire.Record(move=move))
    return records


def waiting_ranges(job):
    """Yield (first index, count) of what may move."""
    for task in job.tasks.values():
        if task.phase == Phase.WAITING:
            yield task.index, 1
    if job.untouched:
        yield job.next_index, job.untouched
