"""Registry of jobs: the parts into which each was split, and their initial domains.

The plan of a job is written once, by create-if-absent, before any part is submitted.  A
repeated submission uses the stored plan, so no part is submitted twice.
"""

import asyncio
import hashlib

import msgspec

from clementinebay import errors
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import Put, prefix_end

PREFIX = "job/"
#: Retention of the plan of an ended job, in whole seconds.
PLAN_RETENTION_SECONDS = 7 * 86_400
#: Maximum number of plans in one write.
PLANS_PER_WRITE = 100
#: Pause after a write of several plans, to collect more for the next, in seconds.
GATHER_SECONDS = 0.1


class Part(msgspec.Struct):
    """A range of a job's tasks that was submitted to one domain."""

    name: str
    domain: str
    first_index: int
    count: int


class Plan(msgspec.Struct):
    """The parts of a job and the digest of its submission.

    Parts in ``closed`` have ended and were removed from their shards; they must not be
    submitted again.
    """

    name: str
    digest: str
    parts: list[Part]
    created_at: float = 0.0
    closed: list[str] = []


def split(name, count, domains):
    """Split ``count`` tasks over ``domains`` as evenly as possible; return the parts.

    The first domain depends on a hash of the name, so that small jobs are spread too.
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
        """Store ``plan`` and return it, or return the plan that is already stored.

        Raises `RecordRefusedError` if that one was submitted with other contents.
        """
        try:
            await self.store.create(PREFIX + plan.name, msgspec.json.encode(plan))
            return plan
        except errors.CompareFailedError as failure:
            return existing_plan(plan, failure.entry)

    async def find(self, name):
        """Return the `Plan` of job ``name`` or raise `UnknownJobError`."""
        entry = await self.store.get(PREFIX + name)
        if entry is None:
            raise errors.UnknownJobError(f"no job {name}")
        return msgspec.json.decode(entry.value, type=Plan)

    async def close(self, name, parts):
        """Mark ``parts`` of job ``name`` as closed, or all of them if ``None``.

        A plan whose parts are all closed is deleted after `PLAN_RETENTION_SECONDS`.
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
            lease = (
                await self.store.grant(PLAN_RETENTION_SECONDS) if closed == names else 0
            )
            value = msgspec.json.encode(plan)
            try:
                await self.store.swap(entry.key, value, entry.version, lease)
                return
            except errors.CompareFailedError:
                continue

    async def all(self):
        """Return all plans, sorted by name."""
        entries, _revision = await self.store.scan(PREFIX, prefix_end(PREFIX))
        return [msgspec.json.decode(entry.value, type=Plan) for entry in entries]


def existing_plan(plan, entry):
    """Return the plan in ``entry``, which was stored before ``plan``.

    Raises `RecordRefusedError` if its contents differ.
    """
    found = msgspec.json.decode(entry.value, type=Plan)
    if found.digest != plan.digest:
        raise errors.RecordRefusedError(f"job {plan.name} exists with other contents")
    return found


class Claimant:
    """A plan to be stored; ``result`` is a future of the effective plan."""

    __slots__ = ("plan", "result")

    def __init__(self, plan, result):
        self.plan = plan
        self.result = result

    def settle(self, entry=None):
        """Resolve the result: the plan was stored, or ``entry`` existed already."""
        if self.result.done():
            return
        try:
            self.result.set_result(
                existing_plan(self.plan, entry) if entry else self.plan
            )
        except errors.RecordRefusedError as error:
            self.result.set_exception(error)

    def fail(self, error):
        """Fail the result with ``error`` unless it is already resolved."""
        if not self.result.done():
            self.result.set_exception(error)


class SharedJobRegistry(JobRegistry):
    """Groups plans that are claimed during a write into the next write.

    An asynchronous context manager; leaving it cancels the write in progress.
    """

    def __init__(self, store):
        super().__init__(store)
        self.waiting = []
        self.write_task = None

    async def claim(self, plan):
        """See `JobRegistry`."""
        result = asyncio.get_running_loop().create_future()
        self.waiting.append(Claimant(plan, result))
        if self.write_task is None:
            self.write_task = asyncio.create_task(self.write_waiting())
        return await result

    async def write_waiting(self):
        """Write waiting plans in batches until none are left."""
        batch = {}
        try:
            while self.waiting:
                batch = self.next_batch()
                try:
                    await self.write(batch)
                except errors.ClementineError as error:
                    for claimant in batch.values():
                        claimant.fail(error)
                if len(batch) > 1:
                    await asyncio.sleep(GATHER_SECONDS)
        finally:
            stopped = errors.PlatformOutcomeUnknownError("the writer was stopped")
            for claimant in (*batch.values(), *self.waiting):
                claimant.fail(stopped)
            self.waiting = []
            self.write_task = None

    def next_batch(self):
        """Remove the next batch from ``waiting``; return {key: claimant}."""
        batch, rest = {}, []
        for claimant in self.waiting:
            key = PREFIX + claimant.plan.name
            if key in batch or len(batch) == PLANS_PER_WRITE:
                rest.append(claimant)
            else:
                batch[key] = claimant
        self.waiting = rest
        return batch

    async def write(self, batch):
        """Create the plans of ``batch``.

        A plan that exists already is settled and removed, and the rest written again.
        """
        remaining = dict(batch)
        while remaining:
            puts = [
                Put(key, msgspec.json.encode(claimant.plan))
                for key, claimant in remaining.items()
            ]
            try:
                await self.store.commit([(key, 0) for key in remaining], puts)
            except errors.CompareFailedError as failure:
                if failure.entry is None:
                    raise
                remaining.pop(failure.key).settle(failure.entry)
            else:
                for claimant in remaining.values():
                    claimant.settle()
                return

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        if self.write_task is not None:
            self.write_task.cancel()
            await asyncio.gather(self.write_task, return_exceptions=True)
