"""Data types of the workflow: steps, submitted jobs, queues and endpoints."""

from typing import Annotated

import msgspec

from clementinebay.decoding import MAX_WHOLE_NUMBER, WholeNumber


class Step(msgspec.Struct, omit_defaults=True, frozen=True):
    """One step of a job: ``count`` equal tasks.

    ``processors_milli`` is in thousandths of a processor, ``estimate_ms`` the estimated
    duration of one task in milliseconds.  ``after`` has the numbers of the steps that
    must be completed first.  The tasks of a ``replica`` step run until the job is
    cancelled; the scheduler may make up to ``max_unavailable`` of them unavailable at a
    time.  ``latency_ms`` is the bound on the tail latency of a replica's requests.  The
    processors of a ``filler`` step are not reserved.
    """

    count: WholeNumber = 1
    processors_milli: WholeNumber = 0
    memory_mb: WholeNumber = 0
    accelerators: WholeNumber = 0
    estimate_ms: WholeNumber = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_endpoint: WholeNumber = 0
    speculative: bool = False
    replica: bool = False
    image: str = ""
    latency_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)] = 0.0
    filler: bool = False
    max_unavailable: WholeNumber = 0


class JobSpec(msgspec.Struct, omit_defaults=True, frozen=True):
    """A job as submitted and stored.

    ``payload`` is passed to every task.  ``domain`` is the failure domain in which
    tasks may run at first; the scheduler stores further domains before it uses them.
    ``accepted_at`` is in seconds since the Unix epoch.  ``organisation`` is whose job
    it is, "" if nobody's.
    """

    id: str
    queue: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float
    domain: str
    attempts: WholeNumber = 3
    organisation: str = ""


class Queue:
    """A queue to which jobs are submitted.

    ``service`` names the service whose endpoints run the jobs.  ``priority`` 0 is the
    highest.  ``attempts`` limits the failed runs of one task.  The latency objective of
    a job is the length of its critical path times ``stretch``, plus ``slack_ms``
    milliseconds.  Requests for a queue that ``is_public`` need no API key.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "service",
        "priority",
        "attempts",
        "stretch",
        "slack_ms",
        "is_public",
    )

    def __init__(self, name, host, prefix, service, **rest):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.service = service
        self.priority = rest.get("priority", 0)
        self.attempts = rest.get("attempts", 1)
        self.stretch = rest.get("stretch", 1.0)
        self.slack_ms = rest.get("slack_ms", 0)
        self.is_public = rest.get("is_public", False)


class QueueTable:
    """One version of the queues, with limits on the size of requests in bytes.

    ``organisations`` is an `OrganisationTable`, or ``None`` if there are none and no
    request needs an API key.
    """

    __slots__ = (
        "version",
        "queues",
        "by_name",
        "max_body_bytes",
        "max_header_bytes",
        "organisations",
    )

    def __init__(
        self, version, queues, max_body_bytes, max_header_bytes, organisations=None
    ):
        self.version = version
        self.organisations = organisations
        # Longer prefixes come first, so that `find` returns the most specific queue.
        self.queues = sorted(queues, key=lambda queue: -len(queue.prefix))
        self.by_name = {queue.name: queue for queue in queues}
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes

    def find(self, host, path):
        """Return the `Queue` that serves ``path`` at ``host``, or ``None``."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                return queue
        return None


class Endpoint:
    """One incarnation of an endpoint as listed in the registry.

    A restarted endpoint keeps its id; ``born_ms`` is its start time in milliseconds
    since the Unix epoch.  Capacity is given in thousandths of a processor, megabytes
    and accelerators.
    """

    __slots__ = (
        "id",
        "born_ms",
        "service",
        "address",
        "failure_domain",
        "leaving",
        "cold_ms",
        "processors_milli",
        "memory_mb",
        "accelerators",
        "labels",
        "rack",
    )

    def __init__(self, id, **fields):
        self.id = id
        for name in self.__slots__[1:]:
            setattr(self, name, fields[name])

    @property
    def has_known_capacity(self):
        """Whether shares of the capacity can be computed."""
        return self.processors_milli > 0

    def is_same_incarnation(self, other):
        """Return whether ``other`` is an entry of the same incarnation."""
        return (self.born_ms, self.address) == (other.born_ms, other.address)


def unlisted_endpoint(id, failure_domain, address, born_ms, service=""):
    """Return an `Endpoint` that the registry does not list and that takes no tasks.

    ``service`` is "" if it is unknown.
    """
    return Endpoint(
        id,
        born_ms=born_ms,
        service=service,
        address=address,
        failure_domain=failure_domain,
        leaving=True,
        cold_ms=0,
        processors_milli=0,
        memory_mb=0,
        accelerators=0,
        labels=(),
        rack="",
    )
