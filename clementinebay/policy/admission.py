"""Which requests wait, in which order, and which are refused at once.

Clients take turns; within one client the earliest deadline goes first.  A full queue
drops from the client that has most in it, so one that floods pays for itself.
"""

import bisect
import itertools
from collections import OrderedDict
from operator import itemgetter


class QueuedRequest:
    """One request that waits; ``item`` and ``excluded`` are the caller's."""

    __slots__ = ("client", "deadline", "item", "excluded")

    def __init__(self, client, deadline, item=None, excluded=()):
        self.client = client
        self.deadline = deadline
        self.item = item
        self.excluded = excluded


class FairQueue:
    """At most ``limit`` requests that wait, fair between clients.

    A client that had nothing here goes before those that have queued for longer, once;
    after that it takes its turn among them, also if it had nothing left meanwhile.
    """

    def __init__(self, limit):
        self.limit = limit
        self.size = 0
        self.numbers = itertools.count()
        self.fresh = OrderedDict()
        self.queued = OrderedDict()

    def __len__(self):
        return self.size

    def line(self, client):
        """Return the sorted requests of ``client``, made fresh if it is not known."""
        found = self.queued.get(client)
        return self.fresh.setdefault(client, []) if found is None else found

    def lines(self):
        """Return every client's requests."""
        return [*self.fresh.values(), *self.queued.values()]

    def push(self, waiting):
        """Add ``waiting``; return the one that had to leave for it, or ``None``.

        That may be ``waiting`` itself.
        """
        entry = (waiting.deadline, next(self.numbers), waiting)
        bisect.insort(self.line(waiting.client), entry)
        self.size += 1
        return self.drop() if self.size > self.limit else None

    def drop(self):
        """Remove and return the last request of the client with most of them."""
        line = max(self.lines(), key=len)
        self.size -= 1
        return line.pop()[2]

    def pop(self):
        """Remove and return the next request, ``None`` if nobody waits."""
        while self.fresh or self.queued:
            table = self.fresh or self.queued
            client, line = table.popitem(last=False)
            if line:
                self.queued[client] = line
                self.size -= 1
                return line.pop(0)[2]
        return None

    def expire(self, now):
        """Remove and return the requests whose deadline is not after ``now``."""
        late = []
        for line in self.lines():
            count = bisect.bisect_right(line, now, key=itemgetter(0))
            late += [waiting for _deadline, _number, waiting in line[:count]]
            del line[:count]
        self.size -= len(late)
        return late

    def requests_ahead(self, client):
        """Return how many requests go before a new one of ``client``, at most."""
        if client not in self.queued:
            return sum(map(bool, self.fresh.values())) + len(self.fresh.get(client, ()))
        own = len(self.queued[client])
        return sum(min(len(line), own + 1) for line in self.lines())


def expected_wait(requests_ahead, latency, capacity):
    """Return the seconds until a request is sent that has ``requests_ahead`` before it.

    ``capacity`` requests are served at once, each in ``latency`` seconds.
    """
    return (requests_ahead + 1) * latency / max(1, capacity)


def meets(deadline, now, wait, latency):
    """Return whether a request that waits ``wait`` seconds can end by ``deadline``."""
    return now + wait + latency <= deadline
