"""Which clients are refused while the daemon's own processor is the bottleneck.

A queue shares places at endpoints fairly, but every request also takes time of the
daemon's loop, and that is served first come, first served.  When the loop is late, the
clients that hold most requests are cut down until it is in time again.
"""

#: Lateness of the loop that is accepted, in seconds.
TARGET_SECONDS = 0.005
#: Weight of the newest lateness in the average.
LAG_WEIGHT = 0.2
#: Part of its requests in progress that the largest client keeps at a cut.
CUT = 0.7
#: Requests in progress that each client may always have.
FLOOR = 8
#: Growth of the limit at each look at a loop that is in time.
STEP = 1
#: A client that was not seen for so long does not count, in seconds.
ACTIVE_SECONDS = 1.0


class Usage:
    """Requests of one client in progress, and when it sent the last one."""

    __slots__ = ("held", "seen_at")

    def __init__(self):
        self.held = 0
        self.seen_at = 0.0


class ClientLimit:
    """Bounds the requests in progress of each client by how late the loop is.

    ``limit`` is ``None`` while the loop keeps up.  A client that is alone is not
    limited, since nobody else waits for it.
    """

    __slots__ = ("clients", "lag", "limit")

    def __init__(self):
        self.clients = {}
        self.lag = 0.0
        self.limit = None

    def refuses(self, client):
        """Return whether a new request of ``client`` should be refused."""
        if self.limit is None or len(self.clients) < 2:
            return False
        usage = self.clients.get(client)
        return usage is not None and usage.held >= self.limit

    def hold(self, client, now):
        """Count a request of ``client`` in progress."""
        usage = self.clients.get(client)
        if usage is None:
            usage = self.clients[client] = Usage()
        usage.held += 1
        usage.seen_at = now

    def release(self, client):
        """Count the end of a request."""
        self.clients[client].held -= 1

    def adapt(self, late_seconds, now):
        """Adapt the limit to a loop that was ``late_seconds`` late just now."""
        self.lag += LAG_WEIGHT * (late_seconds - self.lag)
        self.forget(now)
        most = max((usage.held for usage in self.clients.values()), default=0)
        if self.lag > TARGET_SECONDS:
            held = most if self.limit is None else min(most, self.limit)
            self.limit = max(FLOOR, int(held * CUT))
        elif self.limit is not None:
            self.limit = self.limit + STEP if self.limit < 2 * most + FLOOR else None

    def forget(self, now):
        """Forget clients that have nothing in progress and were not seen lately."""
        idle = [
            client
            for client, usage in self.clients.items()
            if not usage.held and usage.seen_at + ACTIVE_SECONDS < now
        ]
        for client in idle:
            del self.clients[client]
