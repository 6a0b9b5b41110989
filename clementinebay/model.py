"""Data classes that several components share."""

from clementinebay import errors


class Request:
    """A client's request to a service; ``deadline`` in seconds since the Unix epoch.

    A request with a ``key`` is executed at most once; a ``repeatable`` one may be
    retried.  ``hops`` is the number of times that it may still be forwarded to a peer.
    ``claimed`` is set once the key is claimed, and ``may_have_run`` is set while an
    attempt may have been executed.
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
        "claimed",
        "may_have_run",
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
        self.claimed = False
        self.may_have_run = False

    def begin_attempt(self):
        """Record that the request is being sent.

        Raises `InvariantBrokenError` if this could execute its key twice.
        """
        if self.key and not self.claimed:
            raise errors.InvariantBrokenError(
                f"{self.id} is being sent before its key is claimed"
            )
        if self.key and self.may_have_run:
            raise errors.InvariantBrokenError(
                f"{self.id} is being sent again, but may have run"
            )
        self.may_have_run = True

    def record_not_run(self):
        """Record that the last attempt was not executed."""
        self.may_have_run = False


class Answer:
    """An endpoint's complete response to a request."""

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body


class Replica:
    """A running replica of a service: endpoint id, address and capacity."""

    __slots__ = ("endpoint", "address", "slots", "connections")

    def __init__(self, endpoint, address, slots, connections):
        self.endpoint = endpoint
        self.address = address
        self.slots = slots
        self.connections = connections
