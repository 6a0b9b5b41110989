"""Queues requests that cannot be sent yet, and estimates if they can meet deadlines.

Clients are served in turn.  The requests of one client are served in order of deadline,
earliest first.  A full queue drops a request of the client with the most requests in
it, so that a client that sends too many requests delays or loses only its own.
"""

import bisect
import itertools
from collections import OrderedDict
from operator import itemgetter


class QueuedRequest:
    """A queued request.

    The queue does not use ``item`` and ``excluded``; they hold data of the caller.
    """

    __slots__ = ("client", "deadline", "item", "excluded")

    def __init__(self, client, deadline, item=None, excluded=()):
        self.client = client
        self.deadline = deadline
        self.item = item
        self.excluded = excluded


class FairQueue:
    """A queue of at most ``limit`` requests that is fair between clients.

    The first request of a client that is not in the queue is served before the requests
    of clients that were already served.  After that the client takes turns with them.
    It keeps its position if it runs out of requests, and is removed if it still has
    none when its turn comes.
    """

    def __init__(self, limit):
        self.limit = limit
        self.size = 0
        self.sequence = itertools.count()
        self.new_clients = OrderedDict()
        self.served_clients = OrderedDict()

    def __len__(self):
        return self.size

    def requests_of(self, client):
        """Return the sorted entries of ``client``, which is added if it is new."""
        found = self.served_clients.get(client)
        return self.new_clients.setdefault(client, []) if found is None else found

    def queues(self):
        """Return the sorted entries of each client."""
        return [*self.new_clients.values(), *self.served_clients.values()]

    def push(self, waiting):
        """Add ``waiting``; return the request dropped from a full queue, or ``None``.

        The dropped request may be ``waiting`` itself.
        """
        entry = (waiting.deadline, next(self.sequence), waiting)
        bisect.insort(self.requests_of(waiting.client), entry)
        self.size += 1
        return self.drop() if self.size > self.limit else None

    def drop(self):
        """Remove and return the latest request of the client with the most requests."""
        requests = max(self.queues(), key=len)
        self.size -= 1
        return requests.pop()[2]

    def pop(self):
        """Remove and return the next request, or ``None`` if the queue is empty."""
        while self.new_clients or self.served_clients:
            table = self.new_clients or self.served_clients
            client, requests = table.popitem(last=False)
            if requests:
                self.served_clients[client] = requests
                self.size -= 1
                return requests.pop(0)[2]
        return None

    def expire(self, now):
        """Remove and return the requests whose deadline is not after ``now``."""
        expired = []
        for requests in self.queues():
            count = bisect.bisect_right(requests, now, key=itemgetter(0))
            expired += [waiting for _deadline, _number, waiting in requests[:count]]
            del requests[:count]
        self.size -= len(expired)
        return expired

    def requests_ahead(self, client):
        """Estimate how many requests are served before a new one of ``client``."""
        if client not in self.served_clients:
            return sum(map(bool, self.new_clients.values())) + len(
                self.new_clients.get(client, ())
            )
        own = len(self.served_clients[client])
        return sum(min(len(requests), own + 1) for requests in self.queues())


def expected_wait(requests_ahead, latency, capacity):
    """Return the expected seconds until a request in the queue is sent.

    ``capacity`` requests are served concurrently, each in ``latency`` seconds.
    """
    return (requests_ahead + 1) * latency / max(1, capacity)


def meets_deadline(deadline, now, wait, latency):
    """Return whether a request can end by ``deadline`` after ``wait`` seconds."""
    return now + wait + latency <= deadline
