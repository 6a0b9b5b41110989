"""Which requests wait, in which order, and which are refused at once.

Clients take turns; within one client the earliest deadline goes first.  A full queue
drops from the client that has most in it, so one that floods pays for itself.
"""

import heapq
import itertools
from collections import OrderedDict


class Waiting:
    """One request that waits; ``item`` and ``excluded`` are the caller's."""

    __slots__ = ("client", "deadline", "item", "excluded")

    def __init__(self, client, deadline, item=None, excluded=()):
        self.client = client
        self.deadline = deadline
        self.item = item
        self.excluded = excluded


class FairQueue:
    """At most ``limit`` requests that wait, fair between clients."""

    def __init__(self, limit):
        self.limit = limit
        self.size = 0
        self.numbers = itertools.count()
        self.clients = OrderedDict()

    def __len__(self):
        return self.size

    def push(self, waiting):
        """Add ``waiting``; return the one that had to leave for it, or ``None``.

        That may be ``waiting`` itself.
        """
        heap = self.clients.setdefault(waiting.client, [])
        heapq.heappush(heap, (waiting.deadline, next(self.numbers), waiting))
        self.size += 1
        return self.drop() if self.size > self.limit else None

    def drop(self):
        """Remove and return the last request of the client with most of them."""
        client = max(self.clients, key=lambda name: len(self.clients[name]))
        heap = self.clients[client]
        last = max(heap)
        heap.remove(last)
        heapq.heapify(heap)
        self.shrink(client)
        return last[2]

    def pop(self):
        """Remove and return the next request, ``None`` if nobody waits."""
        if not self.clients:
            return None
        client = next(iter(self.clients))
        self.clients.move_to_end(client)
        _deadline, _number, waiting = heapq.heappop(self.clients[client])
        self.shrink(client)
        return waiting

    def shrink(self, client):
        """Note that one request of ``client`` has left."""
        self.size -= 1
        if not self.clients[client]:
            del self.clients[client]

    def expire(self, now):
        """Remove and return the requests whose deadline is not after ``now``."""
        late = []
        for client in list(self.clients):
            heap = self.clients[client]
            while heap and heap[0][0] <= now:
                late.append(heapq.heappop(heap)[2])
                self.size -= 1
            if not heap:
                del self.clients[client]
        return late

    def turns(self, client):
        """Return how many requests go before a new one of ``client``, at most."""
        own = len(self.clients.get(client, ()))
        return sum(min(len(heap), own + 1) for heap in self.clients.values())


def expected_wait(turns, latency, capacity):
    """Return the seconds until a request is sent that has ``turns`` before it.

    ``capacity`` requests are served at once, each in ``latency`` seconds.
    """
    return (turns + 1) * latency / max(1, capacity)


def meets(deadline, now, wait, latency):
    """Return whether a request that waits ``wait`` seconds can end by ``deadline``."""
    return now + wait + latency <= deadline
