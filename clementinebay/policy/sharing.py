"""Assigns endpoints to the daemons of a domain that renew the leases there."""

import hashlib


def weight(daemon, endpoint):
    """Return the weight of ``daemon`` for ``endpoint``; the highest weight wins."""
    return hashlib.blake2b(f"{daemon}/{endpoint}".encode(), digest_size=8).digest()


def share(daemon, companions, endpoints):
    """Return those of ``endpoints`` assigned to ``daemon``, by rendezvous hashing.

    ``companions`` are the other daemons that share the endpoints.  If one of them
    stops, only its own endpoints are assigned to others.
    """
    return {
        endpoint
        for endpoint in endpoints
        if all(
            weight(daemon, endpoint) >= weight(other, endpoint) for other in companions
        )
    }


def renewal_interval(count, calls_per_second, shortest, lease_seconds):
    """Return the time between two renewals of each of ``count`` endpoints, in seconds.

    It bounds the calls per second, and two renewals can be lost before a lease expires.
    """
    return max(shortest, min(count / calls_per_second, lease_seconds / 3))
