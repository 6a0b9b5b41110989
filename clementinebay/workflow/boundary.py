"""Contracts between the workflow services and the installation they run on."""

from abc import ABC, abstractmethod


class DisabledDomain:
    """Operators took failure domain ``name`` out of service."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name = name


class EndpointDriver(ABC):
    """Gives orders to endpoints.

    Every call raises `CallNotSentError` if no byte was sent, `CallUnansweredError` if
    the order may be carried out, also later, and `OrderRefusedError` if it was refused.
    ``fence`` is the number of the scheduler's term: an endpoint does nothing for one
    that is lower than the highest it has seen.  ``deadline_ms`` is a lease deadline on
    the endpoint's clock.
    """

    @abstractmethod
    async def start(self, order, deadline_ms, fence):
        """Carry out a `StartOrder`."""

    @abstractmethod
    async def stop(self, order, fence):
        """Carry out a `StopOrder`."""

    @abstractmethod
    async def pace(self, order, fence):
        """Carry out a `PaceOrder`."""

    @abstractmethod
    async def report(self, endpoint, deadline_ms, acknowledged, wait, fence):
        """Extend the lease and return a `Report`.

        The answer waits up to ``wait`` seconds for an end beyond ``acknowledged``.
        Without a ``deadline_ms`` no lease is extended.
        """


class Boundary(ABC):
    """What the installation stores for the scheduler, and how to read it.

    ``endpoint_prefix`` and ``operator_prefix`` are prefixes of keys; ``driver`` is an
    `EndpointDriver`.
    """

    endpoint_prefix = ""
    operator_prefix = ""
    driver = None

    @abstractmethod
    def decode_endpoint(self, key, value):
        """Return the `Endpoint` of an entry; raise `EntryInvalidError` if none."""

    @abstractmethod
    def decode_operator_item(self, key, value):
        """Return a `QueueTable`, a `DisabledDomain` or ``None`` for other items."""


class Deployment:
    """Where and how one daemon runs; ``client`` is its HTTP client.

    Addresses are (host, port).  ``lease_seconds`` is how far ahead endpoints' leases
    are granted; ``max_lease_seconds`` what endpoints grant at most.
    ``processors`` is the processor time that the daemon is granted in a second.
    ``drain_seconds`` is the time from the request to stop to the process' end.
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
        "drain_seconds",
        "status_seconds",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])
