"""Limits requests per client while the daemon's own processor is the bottleneck.

Queues share the capacity of endpoints fairly, but every request also takes time of the
event loop, which serves first come, first served.  While the loop lags, the limit is
decreased, which affects the clients with the most requests in progress.
"""

#: Accepted lag of the event loop.
TARGET_SECONDS = 0.005
#: Weight of a new lag in the moving average.
LAG_WEIGHT = 0.2
#: Factor by which the limit decreases while the loop lags.
DECREASE_FACTOR = 0.7
#: Number of requests in progress that each client may always have.
MIN_LIMIT = 8
#: Increase of the limit at each observation without lag.
INCREASE_STEP = 1
#: Clients without requests for this long are dropped.
ACTIVE_SECONDS = 1.0


class ClientLoad:
    """Number of requests in progress of one client, and the time of its last one."""

    __slots__ = ("held", "seen_at")

    def __init__(self):
        self.held = 0
        self.seen_at = 0.0


class ClientLimit:
    """Limits the requests in progress of each client while the event loop lags.

    ``limit`` is ``None`` while the loop keeps up.  A single client is not limited,
    since it delays no other.
    """

    __slots__ = ("clients", "average_lag", "limit")

    def __init__(self):
        self.clients = {}
        self.average_lag = 0.0
        self.limit = None

    def refuses(self, client):
        """Return whether a new request of ``client`` must be refused."""
        if self.limit is None or len(self.clients) < 2:
            return False
        client_load = self.clients.get(client)
        return client_load is not None and client_load.held >= self.limit

    def hold(self, client, now):
        """Count the start of a request of ``client``."""
        client_load = self.clients.get(client)
        if client_load is None:
            client_load = self.clients[client] = ClientLoad()
        client_load.held += 1
        client_load.seen_at = now

    def release(self, client):
        """Count the end of a request of ``client``."""
        self.clients[client].held -= 1

    def adapt(self, lag_seconds, now):
        """Adapt the limit to a new lag of the event loop."""
        self.average_lag += LAG_WEIGHT * (lag_seconds - self.average_lag)
        self.forget(now)
        largest = max((load.held for load in self.clients.values()), default=0)
        if self.average_lag > TARGET_SECONDS:
            bound = largest if self.limit is None else min(largest, self.limit)
            self.limit = max(MIN_LIMIT, int(bound * DECREASE_FACTOR))
        elif self.limit is not None:
            self.limit = (
                self.limit + INCREASE_STEP
                if self.limit < 2 * largest + MIN_LIMIT
                else None
            )

    def forget(self, now):
        """Drop clients without requests in progress or recent ones."""
        idle = [
            client
            for client, client_load in self.clients.items()
            if not client_load.held and client_load.seen_at + ACTIVE_SECONDS < now
        ]
        for client in idle:
            del self.clients[client]
