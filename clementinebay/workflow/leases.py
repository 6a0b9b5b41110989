"""Until when the leases of endpoints may last, as stored for later schedulers.

A successor must not run a task again while an endpoint that it cannot reach may still
run it.  Therefore a scheduler grants no lease beyond a limit that it has stored before.
The limits are stored as deadlines on the steady clocks of other endpoints, the
witnesses: they need no agreement on the time of day, and no term begins them anew.
"""

import msgspec

from clementinebay.decoding import WholeNumber
from clementinebay.workflow import openjobs, witnesses
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
#: Greatest number of endpoints whose leases are stored one by one, which keeps the
#: record below 0.5 MB.  The limit for all endpoints holds for the others.
MAX_FINAL_ENDPOINTS = 256


def inherited_until(accepted_seconds, now):
    """Return by when all leases of earlier terms have ended, seen at the start of one.

    ``accepted_seconds`` is the longest lease that endpoints accept.
    """
    return now + longest_lease(longest_grant(accepted_seconds))


def longest_until(until, accepted_seconds):
    """Return by when the longest leases that endpoints accept have ended.

    ``until`` is the result of `inherited_until`.
    """
    longest = longest_lease(accepted_seconds)
    return until + longest - longest_lease(longest_grant(accepted_seconds))


def longest_grant(accepted_seconds):
    """Return by how much a lease may outlast the write of its limit, in seconds."""
    return min(accepted_seconds - LEASE_MARGIN_SECONDS, HORIZON_SECONDS)


class EndpointLeases(msgspec.Struct, omit_defaults=True):
    """The leases of one endpoint.

    No run lasts beyond ``deadline``.  ``jobs`` has the ids of the jobs that may have
    runs at the endpoint, or ``None`` if they are unknown.  ``late_jobs`` has the ids of
    those with a start order that no report confirms: if the endpoint has restarted, the
    order may grant its next incarnation another lease, so the deadline does not hold
    for them.  ``any_late`` is true if the jobs of the `StartingRecord` may have such
    orders, too.  ``longest`` is true if the leases may be as long as the endpoint
    accepts.  ``born_ms`` is the start of the latest incarnation for which this holds,
    or 0 if it is stored with the address only.
    """

    deadline: Deadline
    jobs: list[str] | None = None
    late_jobs: list[str] = []
    any_late: bool = False
    longest: bool = False
    born_ms: WholeNumber = 0


#: The leases of endpoints if no record of them can be read.
UNKNOWN = EndpointLeases([], any_late=True, longest=True)


class LeaseRecord(msgspec.Struct):
    """The leases that endpoints may hold of the schedulers up to ``term``.

    ``deadline`` holds for all endpoints but those in ``final``, which has those that
    get no more leases, and those whose leases outlast the others'.  ``longest`` is as
    in `EndpointLeases`.
    """

    term: int
    deadline: Deadline
    final: dict[str, EndpointLeases] = {}
    longest: bool = False

    def of(self, endpoint_id):
        """Return the `EndpointLeases` of an endpoint."""
        stored = self.final.get(endpoint_id)
        return stored or EndpointLeases(
            self.deadline, any_late=True, longest=self.longest
        )


class PreparedRecord:
    """What follows once a `LeaseRecord` is stored.

    ``limit`` is the time up to which leases may be granted, ``until`` that by which
    they have ended, at endpoints without an entry.  ``final`` has the ids of the
    endpoints with final leases, ``open_jobs`` the jobs that may be started at those
    whose leases last longer, by (incarnation, end of these leases).  ``left_out`` has
    the jobs that a late order may start at endpoints for which there was no room.
    """

    __slots__ = ("limit", "until", "final", "open_jobs", "left_out")

    def __init__(self, limit, until):
        self.limit = limit
        self.until = until
        self.final = set()
        self.open_jobs = {}
        self.left_out = {}


class OwnLimit:
    """A limit of the leases of one endpoint.

    ``jobs`` has the jobs that may have runs there, or is ``None`` if they are unknown,
    ``late_jobs`` those that a late order may start.  ``open_jobs`` has the jobs that
    may be started there, or is ``None`` if the endpoint gets no more leases.
    """

    __slots__ = ("endpoint", "jobs", "late_jobs", "open_jobs")

    def __init__(self, endpoint, jobs, late_jobs):
        self.endpoint = endpoint
        self.jobs = jobs
        self.late_jobs = late_jobs
        self.open_jobs = None

    def open(self, job_ids):
        """Open the endpoint to jobs, which may have runs there from then on."""
        self.open_jobs = job_ids
        found = self.endpoint.found_jobs
        unread = self.endpoint.has_unread_ends
        if found is None or unread or self.endpoint.has_orphans:
            self.jobs = None
        else:
            self.jobs = sorted(self.jobs | job_ids | found)


class LeaseLimits:
    """The limits of the leases that one term may grant.

    ``limit`` is the time up to which leases may be granted, by what is stored, and
    ``until`` that by which these leases have ended.  ``final`` has the ids of the
    endpoints whose leases are stored as final, or may be by a write whose outcome is
    not known.  ``accepted_seconds`` is the longest lease that endpoints accept.
    """

    __slots__ = (
        "engine",
        "accepted_seconds",
        "horizon_seconds",
        "limit",
        "until",
        "final",
        "prepared_at",
        "prepared",
    )

    def __init__(self, engine, accepted_seconds):
        self.engine = engine
        self.accepted_seconds = accepted_seconds
        self.horizon_seconds = longest_grant(accepted_seconds)
        self.limit = float("-inf")
        self.until = float("-inf")
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
        if any(name in known and is_in_use(known[name]) for name in self.final):
            return True
        return bool(self.engine.unplaced) and self.awaits_record()

    def awaits_record(self):
        """Return whether leases at an endpoint outlast the limit that is stored."""
        return any(e.open_jobs is not None for e in self.engine.endpoints.values())

    def prepare(self, now, is_forced=False):
        """Return the `LeaseRecord` to store, or ``None`` if none is worth a write.

        ``is_forced`` asks for one however soon after the last.  What it states as final
        is binding from now on, since the write may succeed without an answer.
        """
        engine = self.engine
        clocks = witnesses.choose(engine.endpoints.values())
        is_soon = now < self.prepared_at + MIN_RENEW_SECONDS
        if not clocks or (is_soon and not is_forced):
            return None
        engine.inherited_endpoints.read_clocks(engine.endpoints, now)
        until = now + longest_lease(self.horizon_seconds)
        prepared = PreparedRecord(now + self.horizon_seconds, until)
        entries, left_out_until = {}, until
        for own in self.own_limits(until, now):
            endpoint = own.endpoint
            end = self.end_of_leases(endpoint, now)
            if own.open_jobs is not None:
                key = (endpoint.incarnation, endpoint.found_until)
                prepared.open_jobs[key] = own.open_jobs
            if len(entries) == MAX_FINAL_ENDPOINTS:
                left_out_until = max(left_out_until, end)
                prepared.left_out[endpoint.id] = own.late_jobs
                continue
            if own.open_jobs is None:
                prepared.final.add(endpoint.id)
            entries[endpoint.id] = EndpointLeases(
                self.express(clocks, endpoint, end),
                own.jobs,
                sorted(own.late_jobs),
                own.open_jobs is not None
                or engine.inherited_endpoints.may_have_any_late(endpoint.id),
                end > until,
                engine.inherited_endpoints.known_start(endpoint),
            )
        self.final |= prepared.final
        self.prepared_at = now
        self.prepared = prepared
        deadline = witnesses.express(clocks, left_out_until)
        return LeaseRecord(engine.term, deadline, entries, left_out_until > until)

    def own_limits(self, until, now):
        """Return the `OwnLimit`s of endpoints, those that get no more leases first.

        The limit for all endpoints ends ``until``.
        """
        engine = self.engine
        pinned = engine.pinned_jobs(now)
        stopping = engine.stops.jobs_by_endpoint()
        final, long = [], []
        for endpoint in engine.endpoints.values():
            is_long = endpoint.found_until > until
            if is_in_use(endpoint) and not is_long:
                continue
            late = late_jobs(engine, endpoint, pinned)
            others = late | stopping.get(endpoint.id, set())
            jobs = possible_jobs(engine, endpoint, others)
            if is_final(engine, endpoint, jobs, now):
                final.append(OwnLimit(endpoint, jobs, late))
            elif is_long:
                long.append(OwnLimit(endpoint, others, late))
        waiting = openjobs.waiting_jobs(engine, now) if long else {}
        in_use = [own.endpoint for own in long if is_in_use(own.endpoint)]
        opened = openjobs.jobs_to_open(in_use, waiting)
        for own in long:
            jobs = own.endpoint.open_jobs or frozenset()
            own.open(opened.get(own.endpoint.id, jobs))
        return final + long

    def express(self, clocks, endpoint, end):
        """Return the time ``end`` of an endpoint's leases as a deadline on clocks."""
        deadline = witnesses.express(clocks, end)
        inherited = self.engine.inherited_endpoints
        if inherited.expects(endpoint.id):
            stored = inherited.deadline_at(endpoint.id)
            deadline = witnesses.earlier(deadline, stored)
        return deadline

    def mark_stored(self):
        """Record that the last record prepared is stored.

        Returns whether that allows leases or starts which were not allowed before.
        """
        prepared = self.prepared
        is_opened = self.limit < self.prepared_at or not self.final <= prepared.final
        self.limit, self.until = prepared.limit, prepared.until
        self.final = prepared.final
        for endpoint in self.engine.endpoints.values():
            if endpoint.open_jobs is None:
                continue
            before = endpoint.open_jobs
            if endpoint.found_until <= self.until:
                endpoint.open_jobs = None
            else:
                key = (endpoint.incarnation, endpoint.found_until)
                endpoint.open_jobs = prepared.open_jobs.get(key, before)
            is_opened = is_opened or endpoint.open_jobs != before
        return is_opened

    def end_of_leases(self, endpoint, now):
        """Return when the leases of an endpoint with a limit of its own have ended."""
        if endpoint.has_ended:
            return now
        if self.engine.inherited_endpoints.expects(endpoint.id):
            return self.engine.inherited_endpoints.end_of_leases(endpoint.id)
        if is_in_use(endpoint):
            return endpoint.found_until
        if endpoint.clock_ms is None:
            # Orders to the incarnation before may have granted leases to this one.
            return now + longest_lease(self.accepted_seconds)
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

    That holds for endpoints that have ended, do not answer or have restarted without a
    report, and for those that leave and run nothing any more.  ``jobs`` are its
    `possible_jobs`.
    """
    if endpoint.has_ended:
        return True
    silent_since = endpoint.unreachable_since
    if silent_since is not None and now >= silent_since + SILENT_SECONDS:
        return True
    if not endpoint.has_reported:
        return endpoint.restarts > 0 or engine.inherited_endpoints.expects(endpoint.id)
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
    if endpoint.has_orphans or endpoint.has_unread_ends or endpoint.has_unstored_ends:
        return None
    jobs = {task.job.id for task in endpoint.tasks.values()}
    return sorted(jobs | others)
