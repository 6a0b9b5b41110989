"""Operators' items in the platform's store: queues, and domains out of service.

The platform calls a queue a route, an organisation a tenant, and a domain out of
service evacuated.
"""

from typing import Annotated

import msgspec

from clementinebay import decoding, errors
from clementinebay.workflow.boundary import DisabledDomain
from clementinebay.workflow.model import Queue, QueueTable
from clementinebay.workflow.organisations import (
    Organisation,
    OrganisationTable,
    key_digest,
)

CONFIG = "op/config"
EVACUATE = "op/evacuate/"
#: Greatest factor and longest time of a latency objective; the time, in milliseconds,
#: is over a year.
MAX_STRETCH = 1e6
MAX_SLACK_MS = 1e11
#: Greatest weight of a tenant.
MAX_WEIGHT = 1e9


class Route(msgspec.Struct):
    """A queue.

    The latency objective of a job is the length of its critical path times ``stretch``,
    plus ``slo_ms`` milliseconds.
    """

    name: str
    host: str
    prefix: str
    service: str
    slo_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_SLACK_MS)] = 0
    priority: decoding.WholeNumber = 0
    attempts: decoding.WholeNumber = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)] = 1.0
    public: bool = False


class MaxCount(msgspec.Struct):
    """What a tenant may have running; 0 means no limit.

    ``cpu`` is in thousandths of a processor, ``mem_mb`` in megabytes.
    """

    cpu: decoding.WholeNumber = 0
    mem_mb: decoding.WholeNumber = 0
    gpu: decoding.WholeNumber = 0


class Tenant(msgspec.Struct):
    """An organisation: its API keys, its share when all is full, and its limits."""

    name: decoding.Name
    api_keys: list[decoding.Name] = []
    weight: Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)] = 1.0
    max_count: MaxCount = msgspec.field(default_factory=MaxCount)


class Limits(msgspec.Struct):
    """Limits on the size of clients' requests, in bytes."""

    max_header_bytes: decoding.WholeNumber = 16_384
    max_body_bytes: decoding.WholeNumber = 262_144


class Config(msgspec.Struct):
    """The complete configuration written by operators."""

    version: decoding.WholeNumber
    routes: list[Route] = []
    limits: Limits = msgspec.field(default_factory=Limits)
    tenants: list[Tenant] | msgspec.UnsetType = msgspec.UNSET


_decoder = decoding.Decoder(Config)


def organisation_table(tenants):
    """Return the `OrganisationTable` of tenants.

    Raises `OrganisationsInvalidError` if they contradict each other.
    """
    found, keys = [], []
    for tenant in tenants:
        most = tenant.max_count
        limit = (most.cpu or None, most.mem_mb or None, most.gpu or None)
        organisation = Organisation(tenant.name, tenant.weight, limit)
        found.append(organisation)
        keys += [(key_digest(key), organisation) for key in tenant.api_keys]
    return OrganisationTable(found, keys)


def decode_item(key, value, needs_keys=False):
    """Return the decoded item, or ``None`` if it is not relevant to the scheduler.

    With ``needs_keys`` a configuration without tenants lets nobody in except through
    public queues.
    """
    if key.startswith(EVACUATE):
        return DisabledDomain(key[len(EVACUATE) :])
    if key != CONFIG:
        return None
    try:
        config = _decoder.decode(value)
    except errors.UnreadableError as error:
        raise errors.EntryInvalidError(key, error.reason) from error
    tenants = config.tenants
    if tenants is msgspec.UNSET:
        tenants = [] if needs_keys else None
    try:
        organisations = None if tenants is None else organisation_table(tenants)
    except errors.OrganisationsInvalidError as error:
        reason = f"version {config.version}: {error}"
        raise errors.EntryInvalidError(key, reason) from error
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
            is_public=route.public,
        )
        for route in config.routes
    ]
    return QueueTable(
        config.version,
        queues,
        config.limits.max_body_bytes,
        config.limits.max_header_bytes,
        organisations,
    )
