"""Daemons of the test bed: their store, their orders and the terms that they run."""

import asyncio
import contextlib
import contextvars
import json

from clementinebay import errors
from clementinebay.services.term import RENEW_SHARE, TTL_SECONDS
from clementinebay.store.keyspace import MemoryStore
from clementinebay.workflow import jobstore
from clementinebay.workflow.boundary import Boundary, EndpointDriver
from clementinebay.workflow.schedule import Scheduler
from tests.workflow import factory, virtualtime

PREFIX = "servers/"
CALL_SECONDS = 0.01
ORDER_TIMEOUT_SECONDS = 0.8
POLL_SECONDS = 0.05
#: Longest time after which a write without an answer is executed, in seconds.
MAX_LATE_WRITE_SECONDS = 6.0
#: Time from the request to stop until a daemon runs again, in seconds.
RESTART_SECONDS = 3.0


class FaultyStore(MemoryStore):
    """One daemon's access to the store; ``away``, ``lossy`` and ``late`` are faults.

    A ``lossy`` store loses half of the answers to writes, before or after their effect.
    A ``late`` one executes half of the writes later, if their conditions hold then.
    """

    def __init__(self, bed):
        super().__init__(bed.space)
        self.bed = bed
        self.away = False
        self.lossy = False
        self.late = False

    async def pass_link(self):
        """Wait for the round trip; raise an error if the store is away."""
        await asyncio.sleep(CALL_SECONDS)
        if self.away:
            raise errors.PlatformUnavailableError("away")

    async def get(self, key):
        """See `KeyValueStore`."""
        await self.pass_link()
        return self.space.get(key)

    async def scan(self, start, end, limit=0):
        """See `KeyValueStore`."""
        await self.pass_link()
        return self.space.range(start, end, limit), self.space.revision

    async def commit(self, compares, puts=(), deletes=()):
        """See `KeyValueStore`."""
        await self.pass_link()
        if self.late and self.bed.random.random() < 0.5:
            delay = self.bed.random.uniform(0.0, MAX_LATE_WRITE_SECONDS)
            # The write is in transit, so it arrives though its sender may be frozen.
            asyncio.get_running_loop().call_later(
                delay,
                self.commit_late,
                compares,
                puts,
                deletes,
                context=contextvars.Context(),
            )
            raise errors.PlatformOutcomeUnknownError("late")
        is_lost = self.lossy and self.bed.random.random() < 0.5
        if is_lost and self.bed.random.random() < 0.5:
            raise errors.PlatformOutcomeUnknownError("lost before its effect")
        revision = self.space.commit(compares, puts, deletes)
        if is_lost:
            raise errors.PlatformOutcomeUnknownError("lost after its effect")
        return revision

    def commit_late(self, compares, puts, deletes):
        """Execute a write whose answer nobody awaits any more."""
        with contextlib.suppress(errors.CompareFailedError, errors.LeaseGoneError):
            self.space.commit(compares, puts, deletes)

    async def keep_alive(self, lease):
        """See `KeyValueStore`."""
        await self.pass_link()
        return self.space.keep_alive(lease)

    async def revoke(self, lease):
        """See `KeyValueStore`."""
        await self.pass_link()
        self.space.revoke(lease)

    async def watch(self, start, end, revision):
        """See `KeyValueStore`."""
        while True:
            await self.pass_link()
            entries = self.space.changes(start, end, revision)
            revision = self.space.revision
            if entries:
                yield entries, revision
            await asyncio.sleep(POLL_SECONDS)


class DelayedCalls:
    """Calls of one kind that the next incarnation of an endpoint takes.

    ``kind`` is the name of the method of `ModelEndpoint`, ``calls`` has each call as a
    method and its arguments.  Their answers are lost.
    """

    __slots__ = ("kind", "calls", "taken")

    def __init__(self, kind):
        self.kind = kind
        self.calls = []
        self.taken = asyncio.Event()

    async def keep(self, action, args):
        """Keep a call until it is taken or its caller gives it up."""
        self.calls.append((action, args))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.taken.wait(), ORDER_TIMEOUT_SECONDS)

    def execute(self, now):
        """Execute the calls at the incarnation that runs now."""
        for action, args in self.calls:
            action(now, *args)
        self.taken.set()


class Driver(EndpointDriver):
    """Sends orders to the bed's endpoints, over links that may be cut."""

    def __init__(self, bed):
        self.bed = bed

    async def call(self, endpoint, action, *args):
        """Execute an order after a round trip; raise the error of a cut link."""
        model = self.bed.by_id[endpoint.id]
        await asyncio.sleep(CALL_SECONDS)
        occupant = self.bed.occupants[endpoint.info.address]
        how = self.bed.cuts.get(occupant.id)
        if how is None and not occupant.up:
            how = occupant.down_as
        if how is None and occupant is not model:
            reason = errors.OrderRefusedError.OTHER_INCARNATION
            raise errors.OrderRefusedError(model.id, reason)
        if how == "refused":
            raise errors.CallNotSentError(model.id, "refused")
        if how == "reset":
            if occupant is model:
                self.bed.execute_late(model, action, args)
            raise errors.CallUnansweredError(model.id, "/", "reset")
        if how == "silent":
            await asyncio.sleep(ORDER_TIMEOUT_SECONDS)
            raise errors.CallUnansweredError(model.id, "/", "timeout")
        fence = args[-1]
        if fence < model.fence:
            reason = errors.OrderRefusedError.FENCED
            raise errors.OrderRefusedError(model.id, reason)
        delayed = self.bed.delayed.get(model.id)
        if delayed is not None and delayed.kind == action.__name__:
            await delayed.keep(action, args)
            raise errors.CallUnansweredError(model.id, "/", "reset")
        result = action(self.bed.now(), *args)
        await asyncio.sleep(CALL_SECONDS)
        if model.id in self.bed.cuts or not model.up:
            raise errors.CallUnansweredError(model.id, "/", "reset")
        return result

    async def start(self, order, deadline_ms, fence):
        """See `EndpointDriver`."""
        model = self.bed.by_id[order.endpoint.id]
        task = order.task
        args = (task.name, order.run, task.step, deadline_ms, fence)

        def start(now, *args):
            return model.start(now, *args), model.clock_ms(now)

        is_accepted, clock_ms = await self.call(order.endpoint, start, *args)
        if not is_accepted:
            reason = errors.OrderRefusedError.SUPERSEDED
            raise errors.OrderRefusedError(model.id, reason)
        return clock_ms

    async def stop(self, order, fence):
        """See `EndpointDriver`."""
        model = self.bed.by_id[order.endpoint.id]
        await self.call(order.endpoint, model.stop, order.task, order.run, fence)

    async def pace(self, order, fence):
        """See `EndpointDriver`."""
        model = self.bed.by_id[order.endpoint.id]
        args = (order.task.name, order.run, order.percent, fence)
        await self.call(order.endpoint, model.pace, *args)

    async def report(self, endpoint, deadline_ms, acknowledged, wait, fence):
        """See `EndpointDriver`."""
        model = self.bed.by_id[endpoint.id]
        args = (deadline_ms, acknowledged, fence)
        report = await self.call(endpoint, model.report, *args)
        born = report.born_ms

        def poll(now, *args):
            if model.born != born:
                raise errors.CallUnansweredError(model.id, "/", "reset")
            return model.report(now, *args)

        until = self.bed.now() + wait
        while self.bed.now() < until and not report.ended:
            await asyncio.sleep(POLL_SECONDS)
            report = await self.call(endpoint, poll, None, acknowledged, fence)
        return report


class BedBoundary(Boundary):
    """Decodes the bed's registry entries."""

    endpoint_prefix = PREFIX

    def __init__(self, bed):
        self.driver = Driver(bed)

    def decode_endpoint(self, key, value):
        """See `Boundary`."""
        fields = json.loads(value)
        if not fields:
            raise errors.EntryInvalidError(key, "no fields")
        return factory.make_info(key[len(PREFIX) :], **fields)

    def decode_operator_item(self, key, value):
        """See `Boundary`."""


class Daemon:
    """A daemon that becomes the scheduler whenever there is none."""

    def __init__(self, bed, name):
        self.bed = bed
        self.name = name
        self.store = FaultyStore(bed)
        self.scheduler = None
        self.lease = 0
        self.begin()

    def begin(self, delay=0.0):
        """Start the process, which may be frozen; it serves after ``delay``."""
        context = contextvars.copy_context()
        context.run(virtualtime.PROCESS.set, self)
        self.process = asyncio.create_task(self.serve(delay), context=context)

    async def serve(self, delay=0.0):
        """Stand for election and schedule, until killed; begin after ``delay``."""
        await asyncio.sleep(delay)
        while True:
            if self.bed.space.get(jobstore.HOLDER) is None:
                await asyncio.sleep(self.bed.election_seconds)
            with contextlib.suppress(errors.NotLeaderError, errors.PlatformError):
                await self.run_term()
            self.scheduler = None
            await asyncio.sleep(0.1)

    async def run_term(self):
        """Acquire the term and schedule until it ends."""
        token = f"{self.name}-{self.bed.now()}"
        requested_at = self.bed.now()
        writer, self.lease = await jobstore.acquire_term(
            self.store, self.name, "", token, TTL_SECONDS
        )
        self.scheduler = Scheduler(
            self.bed.deployment,
            self.bed.queues,
            writer,
            TTL_SECONDS,
            self.bed.clock,
            factory.quiet_log(),
        )
        self.scheduler.engine.wall_clock = self.bed.clock
        self.scheduler.confirm(requested_at)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.scheduler.run())
                group.create_task(self.renew(self.lease))
        except* (errors.NotLeaderError, errors.PlatformError):
            pass
        except* Exception as failures:
            self.bed.failures += failures.exceptions

    async def renew(self, lease):
        """Renew the term's lease until it is lost."""
        while True:
            await asyncio.sleep(TTL_SECONDS * RENEW_SHARE)
            requested_at = self.bed.now()
            with contextlib.suppress(errors.PlatformError):
                if not await self.store.keep_alive(lease):
                    raise errors.NotLeaderError(jobstore.HOLDER)
                self.scheduler.confirm(requested_at)

    async def kill(self):
        """Kill the daemon and start it again."""
        await self.restart()

    async def stop(self):
        """Hand the term over, as the service "term" does, and start again later."""
        # Its term may have ended just before.
        if self.scheduler is not None:
            with contextlib.suppress(errors.PlatformError, errors.NotLeaderError):
                await self.scheduler.change_writer.store_changes()
        await self.restart(RESTART_SECONDS)
        with contextlib.suppress(errors.PlatformError):
            await self.store.revoke(self.lease)

    async def restart(self, delay=0.0):
        """End the process and start it again after a time."""
        self.process.cancel()
        await asyncio.wait([self.process])
        self.scheduler = None
        self.begin(delay)
