"""The interface of endpoints: messages to and from workers, and the driver."""

from abc import ABC, abstractmethod

import msgspec


class TaskStart(msgspec.Struct):
    """Starts one attempt of a task; idempotent by job, index and attempt.

    A worker refuses a start that arrives after ``lease_deadline`` or after a stop of
    the same attempt.  The lease of the started attempt ends at ``lease_deadline`` or
    ``renewed_until``, whichever is later, as if a `Renewal` followed the start.
    """

    job: str
    index: int
    attempt: int
    origin: str
    kind: str
    service: bool
    urgency: int
    processors_milli: int
    memory_mb: int
    accelerators: int
    run_seconds: float
    lease_deadline: float
    checkpoint: str = ""
    renewed_until: float = 0.0


class TaskStop(msgspec.Struct):
    """Stops an attempt, after a checkpoint if the task supports it."""

    job: str
    index: int
    attempt: int


class TaskReport(msgspec.Struct):
    """A worker's report on an attempt.

    ``state`` is running, done, failed or stopped.  ``processors_milli`` and
    ``memory_mb`` are measured usage, which lags.
    """

    job: str
    index: int
    attempt: int
    state: str
    kind: str = ""
    reason: str = ""
    checkpoint: str = ""
    processors_milli: int = 0
    memory_mb: int = 0
    throttled: bool = False


class ServiceUsage(msgspec.Struct):
    """Requests to a service that a worker finished since its last report."""

    service: str
    count: int
    p50_seconds: float
    p99_seconds: float


class Renewal(msgspec.Struct):
    """Extends the leases of a worker's tasks and requests a `Report` of changes.

    The leases are extended immediately.  If no attempt has ended since the last report,
    the worker may delay its response until one ends, by up to ``wait_seconds``.

    ``since`` is the version of the last report that was processed; the worker may
    discard attempts that ended up to that version.
    """

    lease_deadline: float
    since: int = 0
    wait_seconds: float = 0.0


class Report(msgspec.Struct):
    """Attempts that changed after the version ``since`` of a `Renewal`."""

    version: int
    tasks: list[TaskReport] = []
    services: list[ServiceUsage] = []


class EndpointDriver(ABC):
    """Sends requests and orders to endpoints by address.

    Each call raises `EndpointUnreachableError` if nothing reached the endpoint,
    `EndpointRefusedError` if the endpoint reported that it did not execute the call,
    and `EndpointAnswerLostError` if it is unknown whether it did.
    """

    @abstractmethod
    async def request(self, address, service, request_id, body, deadline, traceparent):
        """Send a client's request to ``service``; return (status, body)."""

    @abstractmethod
    async def start(self, address, order):
        """Send a `TaskStart`; return the `TaskReport`."""

    @abstractmethod
    async def stop(self, address, order):
        """Send a `TaskStop`; return the `TaskReport`."""

    @abstractmethod
    async def throttle(self, address, order, share):
        """Limit an attempt to a ``share`` of its processors, between 0 and 1."""

    @abstractmethod
    async def renew(self, address, renewal):
        """Send a `Renewal`; return the `Report`."""

    async def close(self):
        """Close the connections."""
