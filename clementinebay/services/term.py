"""Service "term": one daemon of the installation is the scheduler."""

import asyncio
import contextlib
import random
import traceback
import uuid

from clementinebay import errors
from clementinebay.clock import BootClock
from clementinebay.service import Service
from clementinebay.store.base import prefix_end
from clementinebay.workflow import jobstore
from clementinebay.workflow.mirror import Mirror
from clementinebay.workflow.schedule import Scheduler

#: Time to live of the scheduler's lease, in seconds.
TTL_SECONDS = 1.5
#: The lease is renewed after this share of its time.
RENEW_SHARE = 0.3
#: Longest wait before a daemon that sees no scheduler tries to become it, in seconds.
JITTER_SECONDS = 0.15
#: Wait after a try that failed, in seconds.
RETRY_SECONDS = 0.3
#: Processor time that the scheduler takes for each endpoint, in seconds a second:
#: measured 1.14 at most with 176 endpoints.
PROCESSORS_PER_ENDPOINT = 0.0065
#: A daemon that is granted less than that leaves the others so long to become the
#: scheduler first, in seconds.
WEAK_SECONDS = 0.5


class Term(Service):
    """Becomes the scheduler when there is none, and runs it while the term lasts."""

    name = "term"
    requires = ("eventlog", "queues")

    async def start(self):
        """Begin to watch for the scheduler."""
        self.log = self.kernel.find("eventlog").log
        self.queues = self.kernel.find("queues")
        self.store = self.settings.store
        self.clock = BootClock()
        self.vacant = asyncio.Event()
        self.holder = None
        self.last_holder = None
        self.token = ""
        self.lease = 0
        self.scheduler = None
        self.leaving = False
        self.mirror = Mirror(
            self.store,
            jobstore.HOLDER,
            self.replace,
            self.update,
            self.clock,
            self.log,
        )
        self.background.spawn(self.mirror.run)
        self.background.spawn(self.serve)

    def replace(self, entries):
        """Take the holder, if there is one."""
        self.take(entries[0] if entries else None)

    def update(self, entry):
        """Take a change of the holder."""
        self.take(entry if entry.value is not None else None)

    def take(self, entry):
        """Note who schedules; end the own term if it is another."""
        self.holder = None if entry is None else jobstore.decode_holder(entry.value)
        if self.holder is None:
            self.vacant.set()
        else:
            self.last_holder = self.holder
            self.vacant.clear()
        self.log.info(
            "term.holder_seen", holder=None if entry is None else self.holder.node
        )
        if self.scheduler is not None and self.owned(entry) is False:
            self.end_term("replaced")

    def owned(self, entry):
        """Return whether the entry is that of the own term."""
        return entry is not None and entry.version == self.scheduler.writer.fence

    async def serve(self):
        """Try to become the scheduler whenever there is none."""
        while True:
            await self.vacant.wait()
            await asyncio.sleep(random.uniform(0, JITTER_SECONDS))
            if self.leaving or not self.vacant.is_set() or self.queues.table is None:
                await asyncio.sleep(JITTER_SECONDS)
                continue
            try:
                if await self.weak():
                    await asyncio.sleep(WEAK_SECONDS)
                if self.vacant.is_set() and not self.leaving:
                    await self.hold_term()
            except errors.NotLeaderError:
                self.vacant.clear()
            except errors.PlatformError as error:
                self.log.warning("term.failed", error=error.code, why=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            if self.holder is None:
                self.vacant.set()

    async def weak(self):
        """Return whether the endpoints ask for more than this daemon is granted."""
        prefix = self.settings.boundary.endpoint_prefix
        entries, _revision = await self.store.scan(prefix, prefix_end(prefix))
        return self.settings.processors < PROCESSORS_PER_ENDPOINT * len(entries)

    async def hold_term(self):
        """Become the scheduler and schedule until the term ends."""
        self.token = self.token or uuid.uuid4().hex
        asked_at = self.clock.now()
        writer, self.lease = await jobstore.acquire_term(
            self.store,
            self.settings.node,
            "{}:{}".format(*self.settings.front),
            self.token,
            TTL_SECONDS,
        )
        self.token = ""
        self.log.info("term.began", term=writer.number, fence=writer.fence)
        self.scheduler = Scheduler(
            self.settings, self.queues, writer, TTL_SECONDS, self.clock, self.log
        )
        self.scheduler.confirm(asked_at)
        self.ending = "failed"
        self.running = asyncio.ensure_future(self.run_scheduler())
        try:
            await self.running
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
        finally:
            self.running.cancel()
            self.scheduler = None
            self.queues.listener = None
            self.log.info("term.ended", term=writer.number, why=self.ending)

    async def run_scheduler(self):
        """Run the scheduler and renew its lease; end with the first that ends."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.scheduler.run())
                group.create_task(self.renew())
        except* errors.NotLeaderError:
            self.ending = "not-leader"
        except* errors.PlatformError as group:
            self.ending = str(group.exceptions[0])
        except* Exception as group:
            # What this term believes may be wrong; the next one reads it afresh.
            self.ending = repr(group.exceptions[0])
            self.log.error("term.broken", trace=traceback.format_exception(group))

    async def renew(self):
        """Renew the lease until it is gone."""
        while True:
            await asyncio.sleep(TTL_SECONDS * RENEW_SHARE)
            asked_at = self.clock.now()
            try:
                if not await self.store.keep_alive(self.lease):
                    raise errors.NotLeaderError(jobstore.HOLDER)
                self.scheduler.confirm(asked_at)
            except errors.PlatformError as error:
                self.log.warning("term.renewal_failed", error=error.code)

    def end_term(self, why):
        """Stop scheduling."""
        self.ending = why
        self.running.cancel()

    async def leave(self):
        """Hand the term over before this daemon stops."""
        self.leaving = True
        if self.scheduler is None:
            return
        with contextlib.suppress(errors.PlatformError, errors.NotLeaderError):
            await self.scheduler.change_writer.store_changes()
        self.end_term("leaving")
        try:
            await self.store.revoke(self.lease)
        except errors.PlatformError as error:
            self.log.warning("term.revoke_failed", error=error.code)

    async def stop(self):
        """Hand the term over if that has not been done."""
        await self.leave()
