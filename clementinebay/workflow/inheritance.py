"""Endpoints at which earlier schedulers may have left runs."""

from clementinebay.workflow import witnesses

#: Additional wait for jobs that a late order may start at an endpoint that may have
#: restarted, in seconds.
LATE_ORDER_MARGIN_SECONDS = 0.5


class InheritedEndpoint:
    """An endpoint that an earlier scheduler used.

    ``born_ms`` is the start of the incarnation for which the stored `EndpointLeases`,
    ``leases``, hold, or ``None`` if it is unknown; ``leases`` may be ``None``, too.
    ``bound`` is when its leases have ended whatever the clocks of witnesses tell, and
    ``end`` when they have by these.  ``restarted`` is true for a later incarnation.
    ``reported`` is true once this scheduler knows all runs there, ``expired`` once none
    can be left but those of late orders.
    """

    __slots__ = (
        "domain",
        "born_ms",
        "leases",
        "bound",
        "end",
        "restarted",
        "reported",
        "expired",
    )

    def __init__(self, domain, born_ms, stored, bound):
        self.domain = domain
        self.born_ms = born_ms
        self.leases = stored
        self.bound = bound
        self.end = bound
        self.restarted = False
        self.reported = False
        self.expired = False

    @property
    def any_late(self):
        """Whether late orders may run any job with a start in progress there."""
        return self.leases is not None and self.leases.any_late


class InheritedEndpoints:
    """Endpoints used by earlier schedulers, until they have reported to this one.

    ``until`` is the time by which every lease that earlier schedulers meant to grant
    has expired, ``longest_until`` that by which the longest leases that endpoints
    accept have.  ``longest_seconds`` is the longest time from a start to the end of the
    lease that it grants.  ``by_id`` has each `InheritedEndpoint`, ``starting`` the jobs
    that may have starts in progress, as in `StartingRecord`.
    """

    __slots__ = (
        "until",
        "longest_until",
        "longest_seconds",
        "by_id",
        "starting",
        "awaited_jobs",
        "awaited_domains",
        "late_domains",
        "late_endpoints",
    )

    def __init__(self, until, longest_until, longest_seconds):
        self.until = until
        self.longest_until = longest_until
        self.longest_seconds = longest_seconds
        self.by_id = {}
        self.starting = None
        self.awaited_jobs = None
        self.awaited_domains = None
        self.late_domains = None
        self.late_endpoints = None

    def load_starting_jobs(self, record):
        """Adopt a `StartingRecord`, or ``None`` if there is none."""
        self.starting = None if record is None else record.jobs

    def count_starting(self):
        """Return the number of jobs with starts in progress, ``None`` if unknown."""
        return None if self.starting is None else len(self.starting)

    def expect(self, endpoint_id, domain, stored=None, born_ms=None):
        """Expect runs at an endpoint that an earlier scheduler used.

        ``stored`` are its `EndpointLeases`, ``born_ms`` the start of the incarnation,
        if known.
        """
        if endpoint_id in self.by_id:
            return
        is_longest = stored is not None and stored.longest
        if stored is not None and stored.born_ms:
            born_ms = stored.born_ms
        self.by_id[endpoint_id] = InheritedEndpoint(
            domain, born_ms, stored, self.longest_until if is_longest else self.until
        )
        self.awaited_jobs = None

    def record_incarnation(self, endpoint):
        """Record that an inherited endpoint has restarted, if it has.

        Orders to the earlier incarnation may have granted it the longest lease.
        """
        inherited = self.by_id.get(endpoint.id)
        if inherited is None:
            return
        born_ms = inherited.born_ms
        is_later = born_ms is not None and endpoint.info.born_ms > born_ms
        if endpoint.restarts or is_later:
            inherited.restarted = True
            inherited.bound = inherited.end = self.longest_until

    def is_known(self, endpoint_id):
        """Return whether an earlier scheduler has used an endpoint."""
        return endpoint_id in self.by_id

    def has_restarted(self, endpoint_id):
        """Return whether an endpoint is a later incarnation than the one used."""
        inherited = self.by_id.get(endpoint_id)
        return inherited is not None and inherited.restarted

    def may_have_longest(self, endpoint_id):
        """Return whether earlier schedulers may have left the longest lease there."""
        inherited = self.by_id.get(endpoint_id)
        return inherited is not None and inherited.bound > self.until

    def mark_reported(self, endpoint_id):
        """Record that this scheduler knows all runs at an endpoint."""
        inherited = self.by_id.get(endpoint_id)
        if inherited is not None:
            inherited.reported = True
            self.awaited_jobs = None

    def expects(self, endpoint_id):
        """Return whether an earlier scheduler may have left runs at an endpoint."""
        inherited = self.by_id.get(endpoint_id)
        return inherited is not None and not inherited.reported

    def awaited(self):
        """Return the ids of the endpoints that have not reported yet."""
        return sorted(name for name in self.by_id if self.expects(name))

    def end_of_leases(self, endpoint_id):
        """Return when the leases that were left at an endpoint have ended."""
        inherited = self.by_id.get(endpoint_id)
        return self.until if inherited is None else inherited.end

    def has_stored_end(self, endpoint_id):
        """Return whether a stored limit ended the leases before this term's bound."""
        inherited = self.by_id[endpoint_id]
        return inherited.end < inherited.bound

    def describe(self, endpoint_id):
        """Return the fields for a log of why an endpoint was awaited for that long.

        ``jobs`` and ``late_jobs`` count those that may have runs there; ``jobs`` is
        ``None`` if they are unknown.  ``any_late`` is as in `EndpointLeases`.
        """
        jobs = self.jobs_at(endpoint_id)
        return {
            "by_stored_limit": self.has_stored_end(endpoint_id),
            "jobs": None if jobs is None else len(jobs),
            "late_jobs": len(self.late_jobs_at(endpoint_id)),
            "any_late": self.by_id[endpoint_id].any_late,
            "restarted": self.has_restarted(endpoint_id),
        }

    def deadline_at(self, endpoint_id):
        """Return the stored deadline of an endpoint's leases, empty if none holds."""
        inherited = self.by_id[endpoint_id]
        if inherited.leases is None or inherited.restarted:
            return ()
        return inherited.leases.deadline

    def known_start(self, endpoint):
        """Return the start of an incarnation whose leases are known, 0 if it is not."""
        inherited = self.by_id.get(endpoint.id)
        is_unsure = self.expects(endpoint.id) and inherited.born_ms is None
        return 0 if is_unsure else endpoint.info.born_ms

    def jobs_at(self, endpoint_id):
        """Return the ids of the jobs that may have runs at an endpoint, or ``None``."""
        inherited = self.by_id.get(endpoint_id)
        if inherited is None or inherited.leases is None:
            return None
        return inherited.leases.jobs

    def late_jobs_at(self, endpoint_id):
        """Return the ids of the jobs that a late order may start at an endpoint."""
        stored = self.by_id[endpoint_id].leases
        return set() if stored is None else set(stored.late_jobs)

    def may_have_any_late(self, endpoint_id):
        """Return whether late orders may run any job with a start in progress there."""
        return self.expects(endpoint_id) and self.by_id[endpoint_id].any_late

    def may_start_late(self, job):
        """Return whether a start in progress may run ``job`` at an awaited endpoint."""
        if self.awaited_jobs is None:
            self.find_awaited()
        endpoints = [] if self.starting is None else self.starting.get(job.id)
        if endpoints is None:
            return False
        if endpoints:
            return not self.late_endpoints.isdisjoint(endpoints)
        return not self.late_domains.isdisjoint(job.inherited_domains)

    def starting_jobs(self):
        """Return the jobs with starts in progress at awaited endpoints.

        They are given as in `StartingRecord`.
        """
        if self.awaited_jobs is None:
            self.find_awaited()
        if not self.late_endpoints or self.starting is None:
            return self.starting if self.late_endpoints else {}
        return {
            job_id: endpoints
            for job_id, endpoints in self.starting.items()
            if not (endpoints and self.late_endpoints.isdisjoint(endpoints))
        }

    def read_clocks(self, endpoints, now):
        """Learn from the clocks of ``endpoints``, by id, when leases have ended."""
        for endpoint_id in self.awaited():
            inherited = self.by_id[endpoint_id]
            end = witnesses.reached_at(self.deadline_at(endpoint_id), endpoints, now)
            if end is not None:
                inherited.end = min(end, inherited.end)

    def expire(self, endpoints, now):
        """Stop waiting for endpoints once the leases left there have expired.

        ``endpoints`` are the known endpoints by id; their clocks tell the time.  Those
        that have not failed to answer are waited for, because a late scheduler may not
        have read the ends of their runs.  Returns the ids of those that are not awaited
        any more.
        """
        self.read_clocks(endpoints, now)
        ended = []
        for endpoint_id in self.awaited():
            inherited = self.by_id[endpoint_id]
            endpoint = endpoints.get(endpoint_id)
            if endpoint is not None and not endpoint.is_silent:
                is_over = False
            elif now >= self.end_of_late_runs(inherited):
                is_over = True
            elif inherited.restarted:
                # Orders to the earlier incarnation may be executed late.
                is_over = False
            elif now >= inherited.end and not inherited.expired:
                inherited.expired = True
                self.awaited_jobs = None
                is_over = not self.has_late(inherited)
            else:
                is_over = False
            if is_over:
                self.mark_reported(endpoint_id)
                ended.append(endpoint_id)
        return ended

    def end_of_late_runs(self, inherited):
        """Return when runs of late orders have ended at an endpoint.

        It may have restarted unseen, so that they have the longest lease.
        """
        bound = self.longest_until if self.has_late(inherited) else inherited.bound
        if inherited.any_late and self.count_starting() != 0:
            # An earlier scheduler may send starts until its last leases end.
            bound = min(inherited.end, self.until) + self.longest_seconds
        return bound + LATE_ORDER_MARGIN_SECONDS

    def has_late(self, inherited):
        """Return whether late orders may start runs at an endpoint."""
        if inherited.leases is not None and inherited.leases.late_jobs:
            return True
        return inherited.any_late and self.count_starting() != 0

    def all_reported(self, job):
        """Return whether every run of ``job`` is known to this scheduler."""
        if self.awaited_jobs is None:
            self.find_awaited()
        return (
            job.id not in self.awaited_jobs
            and self.awaited_domains.isdisjoint(job.inherited_domains)
            and not self.may_start_late(job)
        )

    def find_awaited(self):
        """Find the jobs that may have runs at endpoints that were not heard of.

        ``awaited_domains`` are the domains of endpoints at which any job may have runs,
        ``late_domains`` those of the ``late_endpoints``, at which jobs that were being
        started may have runs.
        """
        self.awaited_jobs = set()
        self.awaited_domains = set()
        self.late_domains = set()
        self.late_endpoints = set()
        for endpoint_id in self.awaited():
            inherited = self.by_id[endpoint_id]
            jobs = self.jobs_at(endpoint_id)
            self.awaited_jobs |= self.late_jobs_at(endpoint_id)
            any_late = self.may_have_any_late(endpoint_id)
            if any_late:
                self.late_domains.add(inherited.domain)
                self.late_endpoints.add(endpoint_id)
            # All other runs have ended with the incarnation before.
            only_late = inherited.expired or (any_late and inherited.restarted)
            if not only_late:
                if jobs is None:
                    self.awaited_domains.add(inherited.domain)
                else:
                    self.awaited_jobs.update(jobs)
