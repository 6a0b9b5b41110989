"""Plain data that several parts share."""


class Request:
    """A client's request to a service; ``deadline`` in seconds since the Unix epoch.

    A request with ``key`` runs at most once; a ``repeatable`` one may be sent again.
    ``hops`` counts the peers that it may still be forwarded to.
    """

    __slots__ = (
        "service",
        "client",
        "id",
        "deadline",
        "repeatable",
        "key",
        "body",
        "hops",
    )

    def __init__(
        self, service, client, id, deadline, repeatable=False, key="", body=b"", hops=1
    ):
        self.service = service
        self.client = client
        self.id = id
        self.deadline = deadline
        self.repeatable = repeatable
        self.key = key
        self.body = body
        self.hops = hops


class Answer:
    """An endpoint's whole answer to a request."""

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body


class Replica:
    """A running replica of a service: its endpoint's id, address and capacity."""

    __slots__ = ("endpoint", "address", "slots", "connections")

    def __init__(self, endpoint, address, slots, connections):
        self.endpoint = endpoint
        self.address = address
        self.slots = slots
        self.connections = connections
