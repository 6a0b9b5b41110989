"""Operators' items in the platform's store: queues, and domains out of service.

The platform calls a queue a route, and a domain out of service evacuated.
"""

import msgspec

from clementinebay import errors
from clementinebay.workflow.boundary import DisabledDomain
from clementinebay.workflow.model import Queue, QueueTable

CONFIG = "op/config"
EVACUATE = "op/evacuate/"


class Route(msgspec.Struct):
    """A queue.

    The latency objective of a job is the length of its critical path times ``stretch``,
    plus ``slo_ms`` milliseconds.
    """

    name: str
    host: str
    prefix: str
    service: str
    slo_ms: float = 0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0


class Limits(msgspec.Struct):
    """Limits on the size of clients' requests, in bytes."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144


class Config(msgspec.Struct):
    """The complete configuration written by operators."""

    version: int
    routes: list[Route] = []
    limits: Limits = msgspec.field(default_factory=Limits)


_decoder = msgspec.json.Decoder(Config)


def decode_item(key, value):
    """Return the decoded item, or ``None`` if it is not relevant to the scheduler."""
    if key.startswith(EVACUATE):
        return DisabledDomain(key[len(EVACUATE) :])
    if key != CONFIG:
        return None
    try:
        config = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.EntryInvalidError(key, str(error)) from error
    queues = [
        Queue(
            route.name,
            route.host,
            route.prefix,
            route.service,
            priority=route.priority,
            attempts=route.attempts,
            stretch=route.stretch,
            slack_ms=route.slo_ms,
        )
        for route in config.routes
    ]
    return QueueTable(
        config.version,
        queues,
        config.limits.max_body_bytes,
        config.limits.max_header_bytes,
    )
