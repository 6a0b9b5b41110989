"""Until when the leases of endpoints may last, as stored for later schedulers.

A successor must not run a task again while an endpoint that it cannot reach may still
run it.  Therefore a scheduler grants no lease beyond a limit that it has stored before.
The limits are stored as deadlines on the steady clocks of other endpoints, the
witnesses: they need no agreement on the time of day, and no term begins them anew.
"""

import msgspec

from clementinebay.workflow import witnesses
from clementinebay.workflow.fleet import longest_lease
from clementinebay.workflow.incarnations import jobs_with_unconfirmed_start
from clementinebay.workflow.witnesses import Deadline

#: Difference between the longest lease that endpoints accept and the longest that is
#: granted, in seconds.
LEASE_MARGIN_SECONDS = 0.3
#: Longest time for which leases are granted in advance of the next write of their
#: limit, in seconds.  Runs go on for that long while the store is away, and a successor
#: waits that long for endpoints that are lost with the scheduler; the platform requires
#: a replica to run again within 7 s of the last disturbance.
HORIZON_SECONDS = 5.7
#: Age at which the stored limit is to be replaced, and at which it is replaced by a
#: write that is due anyway, in seconds.
RENEW_SECONDS = 0.4
MIN_RENEW_SECONDS = 0.15
#: Time without an answer after which an endpoint's leases are stored as final, in
#: seconds.  They are not extended until that is withdrawn.
SILENT_SECONDS = 0.5
#: Greatest number of endpoints whose leases are stored as final, which keeps the record
#: below 0.5 MB.  The limit for all endpoints holds for the others.
MAX_FINAL_ENDPOINTS = 256


def inherited_until(accepted_seconds, now):
    """Return by when all leases of earlier terms have ended, seen at the start of one.

    ``accepted_seconds`` is the longest lease that endpoints accept.
    """
    return now + longest_lease(longest_grant(accepted_seconds))


def longest_grant(accepted_seconds):
    """Return by how much a lease may outlast the write of its limit, in seconds."""
    return min(accepted_seconds - LEASE_MARGIN_SECONDS, HORIZON_SECONDS)


class EndpointLeases(msgspec.Struct, omit_defaults=True):
    """The final leases of one endpoint.

    No run lasts beyond ``deadline``.  ``jobs`` has the ids of the jobs that may have
    runs at the endpoint, or ``None`` if they are unknown.  ``late_jobs`` has the ids of
    those with a start order that no report confirms: if the endpoint has restarted, the
    order may grant its next incarnation another lease, so the deadline does not hold
    for them.
    """

    deadline: Deadline
    jobs: list[str] | None = None
    late_jobs: list[str] = []


class LeaseRecord(msgspec.Struct):
    """The leases that the schedulers up to ``term`` have granted.

    ``deadline`` holds for all endpoints but those in ``final``.
    """

    term: int
    deadline: Deadline
    final: dict[str, EndpointLeases] = {}

    def of(self, endpoint_id):
        """Return the `EndpointLeases` of an endpoint."""
        return self.final.get(endpoint_id) or EndpointLeases(self.deadline)


class LeaseLimits:
    """The limits of the leases that one term may grant.

    ``limit`` is the time up to which leases may be granted, by what is stored.
    ``final`` has the ids of the endpoints whose leases are stored as final, or may be
    by a write whose outcome is not known.  ``accepted_seconds`` is the longest lease
    that endpoints accept.
    """

    __slots__ = (
        "engine",
        "horizon_seconds",
        "limit",
        "final",
        "prepared_at",
        "prepared",
    )

    def __init__(self, engine, accepted_seconds):
        self.engine = engine
        self.horizon_seconds = longest_grant(accepted_seconds)
        self.limit = float("-inf")
        self.final = set()
        self.prepared_at = float("-inf")
        self.prepared = None

    def grantable_seconds(self, endpoint, now):
        """Return the longest lease that may be granted at ``now``, in seconds."""
        return 0.0 if endpoint.id in self.final else self.limit - now

    def is_due(self, now):
        """Return whether the limits should be stored without waiting for other writes.

        Endpoints that answer again are not used until that is stored.
        """
        if now >= self.prepared_at + RENEW_SECONDS:
            return any(e.has_reported for e in self.engine.endpoints.values())
        if now < self.prepared_at + MIN_RENEW_SECONDS:
            return False
        known = self.engine.endpoints
        return any(name in known and is_in_use(known[name]) for name in self.final)

    def prepare(self, now):
        """Return the `LeaseRecord` to store, or ``None`` if none is worth a write.

        What it states as final is binding from now on, since the write may succeed
        without an answer.
        """
        clocks = witnesses.choose(self.engine.endpoints.values())
        if now < self.prepared_at + MIN_RENEW_SECONDS or not clocks:
            return None
        inherited = self.engine.inherited_endpoints
        inherited.read_clocks(self.engine.endpoints, now)
        pinned = self.engine.pinned_jobs(now)
        stopping = self.engine.stops.jobs_by_endpoint()
        final = {}
        for endpoint in self.engine.endpoints.values():
            if is_in_use(endpoint) or len(final) == MAX_FINAL_ENDPOINTS:
                continue
            late = late_jobs(self.engine, endpoint, pinned)
            stopped = stopping.get(endpoint.id, set())
            jobs = possible_jobs(self.engine, endpoint, late | stopped)
            if is_final(self.engine, endpoint, jobs, now):
                end = self.end_of_leases(endpoint, now)
                deadline = witnesses.express(clocks, end)
                if inherited.expects(endpoint.id):
                    stored = inherited.deadline_at(endpoint.id)
                    deadline = witnesses.earlier(deadline, stored)
                final[endpoint.id] = EndpointLeases(deadline, jobs, sorted(late))
        self.final |= final.keys()
        self.prepared_at = now
        self.prepared = (now + self.horizon_seconds, set(final))
        deadline = witnesses.express(clocks, now + longest_lease(self.horizon_seconds))
        return LeaseRecord(self.engine.term, deadline, final)

    def mark_stored(self):
        """Record that the last record prepared is stored.

        Returns whether that allows leases which were not allowed before.
        """
        limit, final = self.prepared
        opened = self.limit < self.prepared_at or not self.final <= final
        self.limit, self.final = limit, final
        return opened

    def end_of_leases(self, endpoint, now):
        """Return when the leases of an endpoint with final leases have ended."""
        if endpoint.has_ended:
            return now
        if self.engine.inherited_endpoints.expects(endpoint.id):
            return self.engine.inherited_endpoints.end_of_leases(endpoint.id)
        if endpoint.clock_ms is None:
            # Orders to the incarnation before may have granted leases to this one.
            return now + longest_lease(self.horizon_seconds)
        return endpoint.leases_expire_at()


def is_in_use(endpoint):
    """Return whether an endpoint answers and may be given tasks."""
    return (
        endpoint.has_reported
        and not endpoint.has_ended
        and endpoint.unreachable_since is None
        and not endpoint.info.leaving
    )


def is_final(engine, endpoint, jobs, now):
    """Return whether the leases of an endpoint are to be stored as final.

    That holds for endpoints that have ended or do not answer, and for those that leave
    and run nothing any more.  ``jobs`` are its `possible_jobs`.
    """
    if endpoint.has_ended:
        return True
    silent_since = endpoint.unreachable_since
    if silent_since is not None and now >= silent_since + SILENT_SECONDS:
        return True
    if not endpoint.has_reported:
        return engine.inherited_endpoints.expects(endpoint.id)
    return endpoint.info.leaving and jobs == []


def late_jobs(engine, endpoint, pinned):
    """Return the ids of the jobs that a late order may start at an endpoint.

    ``pinned`` is the result of `Engine.pinned_jobs`.
    """
    if endpoint.has_ended:
        return set()
    inherited = engine.inherited_endpoints
    jobs = set(pinned.get(endpoint.id, ()))
    if inherited.expects(endpoint.id):
        jobs |= inherited.late_jobs_at(endpoint.id)
    return jobs | jobs_with_unconfirmed_start(engine, endpoint)


def possible_jobs(engine, endpoint, others):
    """Return the ids of the jobs that may have runs at an endpoint.

    Returns ``None`` if there may be runs of unknown jobs.  ``others`` has the ids of
    jobs that may have runs which are not the current run of a task.
    """
    if endpoint.has_ended:
        return []
    if engine.inherited_endpoints.expects(endpoint.id):
        return engine.inherited_endpoints.jobs_at(endpoint.id)
    if endpoint.has_orphans or endpoint.has_unstored_ends:
        return None
    jobs = {task.job.id for task in endpoint.tasks.values()}
    return sorted(jobs | others)
