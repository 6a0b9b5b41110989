"""Jobs by name: which parts a job was split into, and in which domains they began.

The plan is written once, by create-if-absent, before any part is submitted.  A repeated
submission follows the same plan, so it adds nothing twice.
"""

import asyncio
import hashlib

import msgspec

from clementinebay import errors
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import Put, prefix_end

PREFIX = "job/"
#: Time that the plan of a job which is over is kept, in whole seconds.
PLAN_SECONDS = 7 * 86_400
#: Most plans of one write.
PLANS_PER_WRITE = 100
#: Time between two writes of plans that follow each other, in seconds.
GATHER_SECONDS = 0.1


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
            return found_plan(plan, failure.entry)

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


def found_plan(plan, entry):
    """Return the plan in ``entry``, which was written before ``plan``.

    Raises `RecordRefusedError` if they are of other contents.
    """
    found = msgspec.json.decode(entry.value, type=Plan)
    if found.digest != plan.digest:
        raise errors.RecordRefusedError(f"job {plan.name} exists and differs")
    return found


class Claimant:
    """A plan to be claimed; ``result`` is a future of the plan that holds."""

    __slots__ = ("plan", "result")

    def __init__(self, plan, result):
        self.plan = plan
        self.result = result

    def settle(self, entry=None):
        """Say that the plan was written, or what ``entry`` stands in its place."""
        if self.result.done():
            return
        try:
            self.result.set_result(found_plan(self.plan, entry) if entry else self.plan)
        except errors.RecordRefusedError as error:
            self.result.set_exception(error)

    def fail(self, error):
        """Say why the plan was not written, unless something else was said."""
        if not self.result.done():
            self.result.set_exception(error)


class SharedJobRegistry(JobRegistry):
    """Plans that are claimed while a write is in progress share the next one.

    An asynchronous context manager that ends the write in progress.
    """

    def __init__(self, store):
        super().__init__(store)
        self.waiting = []
        self.writing = None

    async def claim(self, plan):
        """See `JobRegistry`."""
        result = asyncio.get_running_loop().create_future()
        self.waiting.append(Claimant(plan, result))
        if self.writing is None:
            self.writing = asyncio.create_task(self.write_waiting())
        return await result

    async def write_waiting(self):
        """Write until nothing waits."""
        batch = {}
        try:
            while self.waiting:
                batch = self.take_batch()
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
            self.writing = None

    def take_batch(self):
        """Take plans of different names from those that wait; return them by key."""
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
        """Create the plans of ``batch``; those that exist are settled one by one."""
        left = dict(batch)
        while left:
            puts = [
                Put(key, msgspec.json.encode(claimant.plan))
                for key, claimant in left.items()
            ]
            try:
                await self.store.commit([(key, 0) for key in left], puts)
            except errors.CompareFailedError as failure:
                if failure.entry is None:
                    raise
                left.pop(failure.key).settle(failure.entry)
            else:
                for claimant in left.values():
                    claimant.settle()
                return

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        if self.writing is not None:
            self.writing.cancel()
            await asyncio.gather(self.writing, return_exceptions=True)
