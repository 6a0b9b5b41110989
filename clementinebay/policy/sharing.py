"""Which daemon of a domain renews the leases at which endpoint, and how often."""

import hashlib


def weight(daemon, endpoint):
    """Return the rank of ``daemon`` for ``endpoint``; the highest has it."""
    return hashlib.blake2b(f"{daemon}/{endpoint}".encode(), digest_size=8).digest()


def share(daemon, companions, endpoints):
    """Return those of ``endpoints`` that fall to ``daemon``, by rendezvous hashing.

    ``companions`` are the other daemons that share them.  When one goes, only what was
    its own changes hands.
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

    It keeps the calls a second bounded, and lets two renewals be lost before a lease
    runs out.
    """
    return max(shortest, min(count / calls_per_second, lease_seconds / 3))
