"""What a shard may forget because it ended long ago."""

#: Most jobs and cancellations that one decision forgets.
FORGOTTEN_PER_DECISION = 50


def ended_jobs(state, before):
    """Return the jobs that ended before the time ``before``."""
    found = [
        job
        for job in state.jobs.values()
        if job.ended and job.ended_at and job.ended_at < before
    ]
    return found[:FORGOTTEN_PER_DECISION]


def lost_endpoints(state, before):
    """Return the ids of endpoints that were lost before ``before`` and hold nothing."""
    return [
        name
        for name, endpoint in state.endpoints.items()
        if endpoint.lost and endpoint.lost_at < before and not endpoint.held
    ]


def old_cancellations(state, before):
    """Return jobs that were cancelled before ``before`` and have no part here."""
    found = [
        origin
        for origin, at in state.cancelled.items()
        if at < before and origin not in state.parts
    ]
    return found[:FORGOTTEN_PER_DECISION]
