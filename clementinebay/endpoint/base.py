"""The contract of endpoints: what the system asks of a worker."""

from abc import ABC, abstractmethod

import msgspec


class TaskStart(msgspec.Struct):
    """Orders one attempt of a task; idempotent by job, index and attempt.

    A worker refuses a start that arrives after ``lease_deadline`` or after a stop of
    the same attempt.  An attempt that it starts has a lease until ``renewed_until`` if
    that is later, as by a `Renewal` right after the start.
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
    """Orders the end of an attempt, with a checkpoint if it can make one."""

    job: str
    index: int
    attempt: int


class TaskReport(msgspec.Struct):
    """What a worker says of an attempt.

    ``state`` is running, done, failed or stopped; usage is measured and lags.
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
    """Requests of a service that a worker finished since the last report."""

    service: str
    count: int
    p50_seconds: float
    p99_seconds: float


class Renewal(msgspec.Struct):
    """Extends the leases of a worker's tasks and asks for what changed.

    The leases are extended at once.  If no attempt has ended since, the worker may keep
    the answer until one does, for ``wait_seconds`` at most.

    ``since`` is the version of the last report that was taken in; ended attempts up to
    it may be forgotten.
    """

    lease_deadline: float
    since: int = 0
    wait_seconds: float = 0.0


class Report(msgspec.Struct):
    """Attempts that changed after the renewal's ``since``."""

    version: int
    tasks: list[TaskReport] = []
    services: list[ServiceUsage] = []


class EndpointDriver(ABC):
    """Drives endpoints at their addresses.

    Each call raises `EndpointUnreachableError` when nothing reached the endpoint,
    `EndpointRefusedError` when the endpoint said that it did not carry out the call,
    and `EndpointAnswerLostError` when that is not known.
    """

    @abstractmethod
    async def request(self, address, service, request_id, body, deadline, traceparent):
        """Have ``service`` answer a client's request; return (status, body)."""

    @abstractmethod
    async def start(self, address, order):
        """Carry out a `TaskStart`; return its `TaskReport`."""

    @abstractmethod
    async def stop(self, address, order):
        """Carry out a `TaskStop`; return its `TaskReport`."""

    @abstractmethod
    async def throttle(self, address, order, share):
        """Limit an attempt to ``share`` of its processors, from 0 to 1."""

    @abstractmethod
    async def renew(self, address, renewal):
        """Carry out a `Renewal`; return the `Report`."""

    async def close(self):
        """Give up connections."""
