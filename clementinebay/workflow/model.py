"""Entities of jobs of steps: queues, steps, jobs as submitted, endpoints."""

import msgspec


class Step(msgspec.Struct, omit_defaults=True, frozen=True):
    """One step of a job: ``count`` equal tasks.

    ``processors_milli`` is in thousandths of a processor, ``estimate_ms`` a rough time
    of one task in milliseconds.  ``after`` numbers the steps that must be done first.
    ``replica`` steps run until the job is cancelled; ``max_unavailable`` of their tasks
    may be away by the scheduler's doing.  A ``filler`` step's processors are not
    reserved.  ``latency_ms`` is the bound of the tail that a replica's users see.
    """

    count: int = 1
    processors_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_endpoint: int = 0
    speculative: bool = False
    replica: bool = False
    image: str = ""
    latency_ms: float = 0.0
    filler: bool = False
    max_unavailable: int = 0


class JobSpec(msgspec.Struct, omit_defaults=True, frozen=True):
    """A job as it was submitted and is stored.

    ``payload`` is handed to every task.  ``domain`` is the failure domain in which its
    tasks may run from the start; the scheduler records further ones before it uses
    them.  ``accepted_at`` is in seconds since the Unix epoch.
    """

    id: str
    queue: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float
    domain: str
    attempts: int = 3


class Queue:
    """Where jobs are submitted; ``service`` names the endpoints that run them.

    ``priority`` 0 comes first.  ``attempts`` bounds the failures of one task,
    ``stretch`` and ``slack_ms`` make the latency objective of a job: its longest chain
    of work times ``stretch``, and ``slack_ms`` milliseconds more.
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


class QueueTable:
    """One version of the queues, with the limits of clients' requests in bytes."""

    __slots__ = (
        "version",
        "queues",
        "by_name",
        "max_body_bytes",
        "max_header_bytes",
    )

    def __init__(self, version, queues, max_body_bytes, max_header_bytes):
        self.version = version
        # The longest prefix of a host is met first.
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
    """One life of an endpoint as the registry tells it.

    ``born_ms`` is the Unix millisecond of its start: a restarted endpoint keeps its id.
    ``clock_ms`` is its steady clock when it wrote the entry.  Capacity is in
    thousandths of a processor, megabytes and accelerators.
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
