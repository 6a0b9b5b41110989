"""Finds jobs whose tasks fit on no endpoint at all.

The decision is based on the total sizes of endpoints, not on their free capacity.  All
endpoints of domains that are out or unreachable count, and so do endpoints that were
lost recently, since they may return.
"""

from clementinebay.policy import quota
from clementinebay.policy.taskhealth import ParkReason


class Fleet:
    """Sizes of all endpoints by domain; each entry expires at a deadline."""

    __slots__ = ("domains",)

    def __init__(self):
        self.domains = {}

    def record_domain(self, domain):
        """Record that a failure domain exists, even without known endpoints."""
        self.domains.setdefault(domain, {})

    def record_endpoint(self, domain, endpoint, size, until):
        """Record the (milli-processors, MB, accelerators) of an endpoint."""
        self.domains.setdefault(domain, {})[endpoint] = (size, until)

    def forget(self, now):
        """Drop the endpoints whose deadline has passed."""
        for endpoints in self.domains.values():
            for name in [n for n, (_size, until) in endpoints.items() if until <= now]:
                del endpoints[name]

    def domains_without_endpoints(self):
        """Return the domains without a known endpoint."""
        return sorted(name for name, endpoints in self.domains.items() if not endpoints)

    def fits(self, size):
        """Return whether ``size`` fits on any endpoint if that is empty."""
        return any(
            all(more <= most for more, most in zip(size, total, strict=True))
            for endpoints in self.domains.values()
            for total, _until in endpoints.values()
        )


def unplaceable_reason(spec, fleet, quotas):
    """Return the `ParkReason` of a job whose waiting tasks can never run, or ``None``.

    ``quotas`` are {team: resource vector} of whole teams.  No task counts as too large
    while the `Fleet` lacks the endpoints of a domain.
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
