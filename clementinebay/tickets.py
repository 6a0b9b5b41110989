"""Once-only keys that a daemon issues and keeps in memory until their deadline.

A ticket costs the platform nothing and works while it is down.  Its issuer alone says
whether it was used.  An issuer that was restarted has another incarnation and refuses
the tickets of the earlier one, so no ticket is ever used twice.
"""

import heapq
import secrets

from clementinebay import errors

PREFIX = "ticket"
#: Bytes of an incarnation and of a ticket's number.
NUMBER_BYTES = 12


def issuer(key):
    """Return the daemon that issued ``key``, or an empty text if it is no ticket."""
    prefix, _colon, rest = key.partition(":")
    return rest.partition(":")[0] if prefix == PREFIX else ""


class Ticket:
    """A ticket that may still be used until ``deadline``, by ``claimant`` if set."""

    __slots__ = ("deadline", "claimant")

    def __init__(self, deadline):
        self.deadline = deadline
        self.claimant = ""


class TicketIssuer:
    """Issues at most ``limit`` tickets at once; a state machine without I/O."""

    def __init__(self, daemon, limit, incarnation=None):
        self.prefix = f"{PREFIX}:{daemon}:{incarnation or secrets.token_hex(8)}:"
        self.limit = limit
        self.tickets = {}
        self.deadlines = []

    def issue(self, deadline, now):
        """Return a new ticket that can be used until ``deadline``.

        Raises `OverloadedError` when too many are open.
        """
        self.forget(now)
        if len(self.tickets) >= self.limit:
            raise errors.OverloadedError("too many tickets are open")
        key = self.prefix + secrets.token_hex(NUMBER_BYTES)
        self.tickets[key] = Ticket(deadline)
        heapq.heappush(self.deadlines, (deadline, key))
        return key

    def redeem(self, key, claimant, now):
        """Use ``key`` for the request ``claimant``; again for the same one is no harm.

        Raises `DuplicateKeyError` if another used it, `KeyNotClaimedError` if it is
        not, or no longer, a ticket of this daemon.
        """
        self.forget(now)
        ticket = self.tickets.get(key)
        if ticket is None:
            raise errors.KeyNotClaimedError("the ticket is not known or has run out")
        if ticket.claimant not in ("", claimant):
            raise errors.DuplicateKeyError("the ticket was used before")
        ticket.claimant = claimant

    def release(self, key, claimant):
        """Give back the use for request ``claimant``, which did not run."""
        ticket = self.tickets.get(key)
        if ticket is not None and ticket.claimant == claimant:
            ticket.claimant = ""

    def forget(self, now):
        """Drop the tickets whose deadline has passed."""
        while self.deadlines and self.deadlines[0][0] < now:
            _deadline, key = heapq.heappop(self.deadlines)
            del self.tickets[key]
