"""What earlier schedulers may have left running, until it is known or has lapsed."""


class Inheritance:
    """Endpoints that earlier schedulers used and that have not been heard of yet.

    ``until`` is when every lease that an earlier scheduler granted has surely run out.
    """

    __slots__ = ("until", "domains", "unheard")

    def __init__(self, until):
        self.until = until
        self.domains = {}
        self.unheard = {}

    def expect(self, endpoint_id, domain):
        """Reckon with runs at an endpoint that an earlier scheduler used."""
        if endpoint_id not in self.domains:
            self.domains[endpoint_id] = domain
            self.unheard.setdefault(domain, set()).add(endpoint_id)

    def settle(self, endpoint_id):
        """Note that an endpoint holds no run that this scheduler does not know of."""
        domain = self.domains.get(endpoint_id)
        if domain is not None:
            self.unheard.get(domain, set()).discard(endpoint_id)

    def expire(self, now):
        """Stop reckoning with leases that have run out."""
        if self.until and now >= self.until:
            self.until = 0.0
            self.unheard.clear()

    def settled(self, job):
        """Return whether no unknown run of ``job`` can be at work anywhere."""
        return not any(self.unheard.get(name) for name in job.inherited_domains)
