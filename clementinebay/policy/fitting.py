"""Whether there is any endpoint that a task can ever run on.

This is decided from what the endpoints are and not from what is free on them.  A domain
that is out or cut off counts with all its endpoints, and so does an endpoint that was
lost a while ago, for it may come back.
"""

from clementinebay.policy import quota
from clementinebay.policy.taskhealth import ParkReason


class Fleet:
    """The sizes of all endpoints by domain, each remembered until a deadline."""

    __slots__ = ("domains",)

    def __init__(self):
        self.domains = {}

    def record_domain(self, domain):
        """Note that there is a failure domain, though no endpoint of it was seen."""
        self.domains.setdefault(domain, {})

    def record_endpoint(self, domain, endpoint, size, until):
        """Remember the (milli-processors, MB, accelerators) of an endpoint."""
        self.domains.setdefault(domain, {})[endpoint] = (size, until)

    def forget(self, now):
        """Drop the endpoints that were last seen long ago."""
        for endpoints in self.domains.values():
            for name in [n for n, (_size, until) in endpoints.items() if until <= now]:
                del endpoints[name]

    def domains_without_endpoints(self):
        """Return the domains of which no endpoint is known."""
        return sorted(name for name, endpoints in self.domains.items() if not endpoints)

    def fits(self, size):
        """Return whether some endpoint could take ``size`` if it were empty."""
        return any(
            all(more <= most for more, most in zip(size, total, strict=True))
            for endpoints in self.domains.values()
            for total, _until in endpoints.values()
        )


def unplaceable_reason(spec, fleet, quotas):
    """Return the `ParkReason` of a job whose waiting tasks can never run, or ``None``.

    ``quotas`` are {team: amounts} of whole teams.  Nothing is too large for a `Fleet`
    that lacks the endpoints of a domain.
    """
    size = quota.resource_vector(spec.size)
    limit = quotas.get(spec.team)
    if limit and any(
        most is not None and more > most for more, most in zip(size, limit, strict=True)
    ):
        return ParkReason.LARGER_THAN_QUOTA
    if not fleet.domains or fleet.domains_without_endpoints() or fleet.fits(size):
        return None
    return ParkReason.LARGER_THAN_ANY_ENDPOINT
