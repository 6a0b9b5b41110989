"""Endpoints at which earlier schedulers may have left runs."""


class InheritedEndpoints:
    """Endpoints used by earlier schedulers, until they have reported to this one.

    ``until`` is the time by which every lease granted by an earlier scheduler has
    expired.
    """

    __slots__ = ("until", "domains", "unreported")

    def __init__(self, until):
        self.until = until
        self.domains = {}
        self.unreported = {}

    def expect(self, endpoint_id, domain):
        """Expect runs at an endpoint that an earlier scheduler used."""
        if endpoint_id not in self.domains:
            self.domains[endpoint_id] = domain
            self.unreported.setdefault(domain, set()).add(endpoint_id)

    def mark_reported(self, endpoint_id):
        """Record that this scheduler knows all runs at an endpoint."""
        domain = self.domains.get(endpoint_id)
        if domain is not None:
            self.unreported.get(domain, set()).discard(endpoint_id)

    def expects(self, endpoint_id):
        """Return whether an earlier scheduler may have left runs at an endpoint."""
        domain = self.domains.get(endpoint_id)
        return endpoint_id in self.unreported.get(domain, ())

    def awaited(self):
        """Return the ids of the endpoints that have not reported yet."""
        return sorted(name for names in self.unreported.values() for name in names)

    def expire(self, now):
        """Stop waiting for endpoints once the inherited leases have expired."""
        if self.until and now >= self.until:
            self.until = 0.0
            self.unreported.clear()

    def all_reported(self, job):
        """Return whether every run of ``job`` is known to this scheduler."""
        return not any(self.unreported.get(name) for name in job.inherited_domains)
