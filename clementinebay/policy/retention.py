"""Selects old entries that a shard may drop from its state."""

#: Limit of jobs, and of cancellations, that one decision drops.
MAX_FORGOTTEN_PER_DECISION = 50


def ended_jobs(state, before):
    """Return jobs that ended before the time ``before``."""
    found = [
        job
        for job in state.jobs.values()
        if job.ended and job.ended_at and job.ended_at < before
    ]
    return found[:MAX_FORGOTTEN_PER_DECISION]


def lost_endpoints(state, before):
    """Return the ids of endpoints lost before ``before`` that hold no tasks."""
    return [
        name
        for name, endpoint in state.endpoints.items()
        if endpoint.lost and endpoint.lost_at < before and not endpoint.held
    ]


def old_cancellations(state, before):
    """Return the ids of jobs cancelled before ``before`` that have no part here."""
    found = [
        origin
        for origin, at in state.cancelled.items()
        if at < before and origin not in state.parts
    ]
    return found[:MAX_FORGOTTEN_PER_DECISION]
