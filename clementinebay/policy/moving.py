"""Which waiting tasks leave a domain, and where they go."""

from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Most moves that one decision makes.
MOVES_PER_DECISION = 100


def move_records(state, targets, nonce, now):
    """Return moves of all waiting tasks of a domain that is out."""
    return moves(state, targets, nonce, now) if state.out else []


def moves(state, targets, nonce, now):
    """Return moves of all waiting tasks, the most urgent first.

    ``targets`` are the domains that are in; parts go to them in turn.  ``nonce`` makes
    the names of the parts unique.
    """
    records = []
    jobs = sorted(
        state.jobs.values(),
        key=lambda job: (-job.spec.urgency, job.spec.submitted_at, job.spec.id),
    )
    for job in jobs if targets else ():
        for first, count in waiting_ranges(job):
            if len(records) >= MOVES_PER_DECISION:
                return records
            target = targets[len(records) % len(targets)]
            part = f"{job.origin}~{first}~{nonce}"
            move = wire.Move(job.spec.id, first, count, target, part, now)
            records.append(wire.Record(move=move))
    return records


def waiting_ranges(job):
    """Yield (first index, count) of what may move."""
    for task in job.tasks.values():
        if task.phase == Phase.WAITING:
            yield task.index, 1
    if job.untouched:
        yield job.next_index, job.untouched
