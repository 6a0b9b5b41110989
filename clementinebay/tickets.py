"""Tickets: once-only keys that a daemon issues and keeps in memory until they expire.

A ticket needs no write to the platform and works while the platform is down.  Only its
issuer decides whether it was used.  A restarted issuer has another incarnation and
refuses the tickets of earlier ones, so no ticket can be used twice.
"""

import heapq
import secrets

from clementinebay import errors

PREFIX = "ticket"
#: Number of random bytes in a ticket.
RANDOM_BYTES = 12


def issuer(key):
    """Return the daemon that issued ``key``, or an empty string if it is no ticket."""
    prefix, _colon, rest = key.partition(":")
    return rest.partition(":")[0] if prefix == PREFIX else ""


class Ticket:
    """A ticket that is valid until ``deadline``; ``claimant`` is set once used."""

    __slots__ = ("deadline", "claimant")

    def __init__(self, deadline):
        self.deadline = deadline
        self.claimant = ""


class TicketIssuer:
    """Issues and redeems tickets, of which at most ``limit`` are open at a time."""

    def __init__(self, daemon, limit, incarnation=None):
        self.prefix = f"{PREFIX}:{daemon}:{incarnation or secrets.token_hex(8)}:"
        self.limit = limit
        self.tickets = {}
        self.deadlines = []

    def issue(self, deadline, now):
        """Return the key of a new ticket that is valid until ``deadline``.

        Raises `OverloadedError` if too many tickets are open.
        """
        self.remove_expired(now)
        if len(self.tickets) >= self.limit:
            raise errors.OverloadedError("too many tickets are open")
        key = self.prefix + secrets.token_hex(RANDOM_BYTES)
        self.tickets[key] = Ticket(deadline)
        heapq.heappush(self.deadlines, (deadline, key))
        return key

    def redeem(self, key, claimant, now):
        """Use ticket ``key`` for the request ``claimant``; idempotent.

        Raises `DuplicateKeyError` if another request has used it, `KeyNotClaimedError`
        if it is not a valid ticket of this daemon.
        """
        self.remove_expired(now)
        ticket = self.tickets.get(key)
        if ticket is None:
            raise errors.KeyNotClaimedError("the ticket is unknown or has expired")
        if ticket.claimant not in ("", claimant):
            raise errors.DuplicateKeyError("the ticket was already used")
        ticket.claimant = claimant

    def release(self, key, claimant):
        """Make ticket ``key`` usable again, since ``claimant`` was not executed."""
        ticket = self.tickets.get(key)
        if ticket is not None and ticket.claimant == claimant:
            ticket.claimant = ""

    def remove_expired(self, now):
        """Remove the tickets whose deadline has passed."""
        while self.deadlines and self.deadlines[0][0] < now:
            _deadline, key = heapq.heappop(self.deadlines)
            del self.tickets[key]
