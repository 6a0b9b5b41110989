"""What a daemon holds for the clients of its HTTP servers, and how much it may.

The bytes are counted as Python holds them, so a field of a header costs more than its
text.  Beyond the limits the connections chosen by `policy.crowding` are closed.
"""

from clementinebay import metrics
from clementinebay.policy import crowding

#: Share of the memory granted to the process that clients' requests and unread answers
#: may take.  A daemon takes some 40 MB at rest, and 90 MB as a busy scheduler.
MEMORY_SHARE = 0.15
#: Share of the descriptors granted that clients' connections may take; the rest is for
#: the store, other daemons and endpoints.
DESCRIPTOR_SHARE = 0.5
#: Share of the limit of connections that is accepted between two polls of the event
#: loop.  Those beyond the limit are closed within four polls.
ACCEPT_SHARE = 0.05
#: Limits where the settings grant nothing: those of a machine of 300 MB.
DEFAULT_MAX_BYTES = 45_000_000
DEFAULT_MAX_CONNECTIONS = 2_000
#: Bytes that one connection takes with its parser, and one field of a header beside its
#: text.
CONNECTION_BYTES = 4_000
FIELD_BYTES = 200


class ConnectionLimits:
    """The connections of all HTTP servers of a process, and the bytes held for them.

    ``max_bytes`` and ``max_connections`` are the limits.  ``closed`` counts the
    connections closed for them by cause.
    """

    __slots__ = ("max_bytes", "max_connections", "connections", "held", "closed")

    def __init__(
        self,
        max_bytes=DEFAULT_MAX_BYTES,
        max_connections=DEFAULT_MAX_CONNECTIONS,
    ):
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.connections = set()
        self.held = 0
        self.closed = {}

    def grant(self, memory_mb=0, descriptors=0):
        """Set the limits from what the settings grant the process; 0 means unknown."""
        if memory_mb:
            self.max_bytes = int(memory_mb * 1_000_000 * MEMORY_SHARE)
        if descriptors:
            self.max_connections = int(descriptors * DESCRIPTOR_SHARE)

    @property
    def max_accepted(self):
        """How many connections a server may accept between two polls."""
        return max(1, int(self.max_connections * ACCEPT_SHARE))

    def open(self, connection):
        """Count a new connection; close others if there are too many."""
        self.connections.add(connection)
        self.held += CONNECTION_BYTES
        if len(self.connections) > self.max_connections:
            self.close(crowding.choose_to_close(self.connections), "connections")

    def hold(self, connection, size):
        """Count ``size`` more bytes, or fewer if negative, held for a connection."""
        connection.held_bytes += size
        self.held += size
        while self.held > self.max_bytes and size > 0:
            worst = crowding.choose_to_close(self.connections)
            if worst is None or not worst.held_bytes:
                return
            self.close(worst, "memory")

    def close(self, connection, cause):
        """Close a connection for a cause; forget what is held for it."""
        if connection is not None:
            self.closed[cause] = self.closed.get(cause, 0) + 1
            metrics.CONNECTIONS_CLOSED.labels(cause).inc()
            connection.shed(cause)
            self.forget(connection)

    def forget(self, connection):
        """Forget a connection that is lost or closed."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.held -= connection.held_bytes + CONNECTION_BYTES
            connection.held_bytes = 0
