"""Plain data that several parts share."""

from clementinebay import errors


class Request:
    """A client's request to a service; ``deadline`` in seconds since the Unix epoch.

    A request with ``key`` runs at most once; a ``repeatable`` one may be sent again.
    ``hops`` counts the peers that it may still be forwarded to.  ``claimed`` is set
    once the key is, ``may_have_run`` while an attempt may have run.
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
        """Note that the request is sent now.

        Raises `InvariantBrokenError` if its key could run twice by that.
        """
        if self.key and not self.claimed:
            raise errors.InvariantBrokenError(f"{self.id} is sent without its key")
        if self.key and self.may_have_run:
            raise errors.InvariantBrokenError(f"{self.id} may have run and is sent")
        self.may_have_run = True

    def record_not_run(self):
        """Note that the attempt did not run."""
        self.may_have_run = False


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
