"""Interfaces between the workflow services and the platform that they run on."""

from abc import ABC, abstractmethod


class DisabledDomain:
    """A failure domain that operators have taken out of service."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name = name


class EndpointDriver(ABC):
    """Sends orders to endpoints.

    Every call raises `CallNotSentError` if no byte was sent, `CallUnansweredError` if
    the order may have been executed or may be later, and `OrderRefusedError` if it was
    refused.  ``fence`` is the fencing token of the scheduler's term: an endpoint
    refuses orders with a lower one than the highest it has seen.  ``deadline_ms`` is a
    lease deadline on the endpoint's clock.
    """

    @abstractmethod
    async def start(self, order, deadline_ms, fence):
        """Send a `StartOrder`.

        Returns the endpoint's clock at its execution, in ms, or ``None`` if unknown.
        """

    @abstractmethod
    async def stop(self, order, fence):
        """Send a `StopOrder`."""

    @abstractmethod
    async def pace(self, order, fence):
        """Send a `PaceOrder`."""

    @abstractmethod
    async def report(self, endpoint, deadline_ms, acknowledged, wait, fence):
        """Extend the lease and return a `Report`.

        The endpoint delays its answer by up to ``wait`` seconds until there is an end
        of a run with a number above ``acknowledged``.  If ``deadline_ms`` is ``None``,
        no lease is extended.
        """


class Boundary(ABC):
    """Decodes the entries that the platform stores for the scheduler.

    ``endpoint_prefix`` and ``operator_prefix`` are prefixes of keys; ``driver`` is an
    `EndpointDriver`.
    """

    endpoint_prefix = ""
    operator_prefix = ""
    driver = None

    @abstractmethod
    def decode_endpoint(self, key, value):
        """Return the `Endpoint` of an entry; raise `EntryInvalidError` if malformed."""

    @abstractmethod
    def decode_operator_item(self, key, value):
        """Return a `QueueTable`, a `DisabledDomain` or ``None`` for other items."""


class Deployment:
    """The settings of one daemon and its connections to the platform.

    Addresses are (host, port).  ``front`` serves clients, ``ready`` the readiness
    check.  ``client`` is the daemon's HTTP client.  ``lease_seconds`` is the length of
    the leases granted to endpoints, ``max_lease_seconds`` the longest that endpoints
    accept.  ``processors`` is the processor time granted to the daemon per second,
    ``connection_limits`` what it may hold for clients.
    ``drain_seconds`` is the time between the request to stop and the end of the
    process.
    """

    __slots__ = (
        "node",
        "failure_domain",
        "domains",
        "front",
        "ready",
        "metrics",
        "client",
        "store",
        "boundary",
        "gateway",
        "max_lease_seconds",
        "lease_seconds",
        "processors",
        "connection_limits",
        "drain_seconds",
        "status_seconds",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])
