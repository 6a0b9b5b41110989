"""Jobs by name: which parts a job was split into, and in which domains they began.

The plan is written once, by create-if-absent, before any part is submitted.  A repeated
submission follows the same plan, so it adds nothing twice.
"""

import hashlib

import msgspec

from clementinebay import errors
from clementinebay.platform.base import prefix_end
from clementinebay.shard.wire import ttypes as wire

PREFIX = "job/"
#: Time that the plan of a job which is over is kept, in whole seconds.
PLAN_SECONDS = 7 * 86_400


class Part(msgspec.Struct):
    """A range of a job's tasks that began in one domain."""

    name: str
    domain: str
    first_index: int
    count: int


class Plan(msgspec.Struct):
    """How a job was split, and the digest of what was submitted.

    Parts in ``closed`` are over and forgotten; they must not be submitted again.
    """

    name: str
    digest: str
    parts: list[Part]
    created_at: float = 0.0
    closed: list[str] = []


def split(name, count, domains):
    """Return the parts of ``count`` tasks over ``domains``, as equal as they can be.

    The domains take turns by a hash of the name, so small jobs spread too.
    """
    offset = int(hashlib.sha256(name.encode()).hexdigest(), 16) % len(domains)
    order = sorted(domains)[offset:] + sorted(domains)[:offset]
    parts = []
    first = 0
    for number, domain in enumerate(order):
        share = count // len(order) + (number < count % len(order))
        if share:
            parts.append(Part(f"{name}@{domain}", domain, first, share))
            first += share
    return parts


def part_spec(spec, part):
    """Return the `wire.JobSpec` of one part of ``spec``."""
    fields = {name: getattr(spec, name) for name in spec.__slots__}
    fields.update(
        id=part.name, first_index=part.first_index, count=part.count, origin=spec.id
    )
    return wire.JobSpec(**fields)


class JobRegistry:
    """The plans of jobs in a `KeyValueStore`."""

    def __init__(self, store):
        self.store = store

    async def claim(self, plan):
        """Write ``plan`` and return it, or the one that was written first.

        Raises `RecordRefusedError` if the job was submitted before with other contents.
        """
        try:
            await self.store.create(PREFIX + plan.name, msgspec.json.encode(plan))
            return plan
        except errors.CompareFailedError as failure:
            found = msgspec.json.decode(failure.entry.value, type=Plan)
            if found.digest != plan.digest:
                raise errors.RecordRefusedError(
                    f"job {plan.name} exists and differs"
                ) from failure
            return found

    async def find(self, name):
        """Return the `Plan` of job ``name`` or raise `UnknownJobError`."""
        entry = await self.store.get(PREFIX + name)
        if entry is None:
            raise errors.UnknownJobError(f"no job {name}")
        return msgspec.json.decode(entry.value, type=Plan)

    async def close(self, name, parts):
        """Note that ``parts`` of job ``name`` are over, ``None`` for all of them.

        A plan whose parts are all over is deleted after `PLAN_SECONDS`.
        """
        while True:
            entry = await self.store.get(PREFIX + name)
            if entry is None:
                return
            plan = msgspec.json.decode(entry.value, type=Plan)
            names = {part.name for part in plan.parts}
            closed = names & {*plan.closed, *(names if parts is None else parts)}
            if closed == set(plan.closed):
                return
            plan.closed = sorted(closed)
            lease = await self.store.grant(PLAN_SECONDS) if closed == names else 0
            value = msgspec.json.encode(plan)
            try:
                await self.store.swap(entry.key, value, entry.version, lease)
                return
            except errors.CompareFailedError:
                continue

    async def all(self):
        """Return all plans in order of their names."""
        entries, _revision = await self.store.scan(PREFIX, prefix_end(PREFIX))
        return [msgspec.json.decode(entry.value, type=Plan) for entry in entries]
