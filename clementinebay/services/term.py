"""Service "term": elects one daemon of the installation as the scheduler."""

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

#: Time to live of the scheduler's leader lease, in seconds.
TTL_SECONDS = 1.5
#: The lease is renewed after this share of its time to live.
RENEW_SHARE = 0.3
#: Upper bound of the random delay before an election, in seconds.
MAX_JITTER_SECONDS = 0.15
#: Delay after a term or a failed election, in seconds.
RETRY_SECONDS = 0.3
#: Processors that the scheduler needs per endpoint (1.14 for 176 endpoints).
PROCESSORS_PER_ENDPOINT = 0.0065
#: Processors that the scheduler needs in any case, also before endpoints are listed.
MIN_PROCESSORS = 1.0
#: Extra delay of a daemon with too few processors, in seconds, so that larger daemons
#: win the election.
UNDERSIZED_DELAY_SECONDS = 0.5

#: Stands for a holder of the leader lease that cannot be read.
UNKNOWN_HOLDER = jobstore.Holder("", "")


class Term(Service):
    """Takes part in elections and runs the scheduler during this daemon's terms."""

    name = "term"
    requires = ("eventlog", "queues")

    async def start(self):
        """Start to watch the holder of the leader lease."""
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
        """Handle the initial state of the holder's key."""
        self.observe_holder(entries[0] if entries else None)

    def update(self, entry):
        """Handle a change of the holder's key."""
        self.observe_holder(entry if entry.value is not None else None)

    def observe_holder(self, entry):
        """Record the lease holder; end this daemon's term if another replaced it."""
        self.holder = None if entry is None else self.read_holder(entry)
        if self.holder is None:
            self.vacant.set()
        else:
            if self.holder is not UNKNOWN_HOLDER:
                self.last_holder = self.holder
            self.vacant.clear()
        self.log.info(
            "term.holder_seen", holder=None if entry is None else self.holder.node
        )
        if self.scheduler is not None and self.is_own_term(entry) is False:
            self.end_term("replaced")

    def read_holder(self, entry):
        """Return the `Holder` of an entry, `UNKNOWN_HOLDER` if it cannot be read."""
        try:
            return jobstore.decode_holder(entry)
        except errors.EntryInvalidError as error:
            self.log.error("term.holder_unreadable", why=error.reason)
            return UNKNOWN_HOLDER

    def is_own_term(self, entry):
        """Return whether ``entry`` was written by this daemon's current term."""
        return entry is not None and entry.version == self.scheduler.writer.fence

    async def serve(self):
        """Stand for election whenever there is no scheduler."""
        while True:
            await self.vacant.wait()
            await asyncio.sleep(random.uniform(0, MAX_JITTER_SECONDS))
            if self.leaving or not self.vacant.is_set() or self.queues.table is None:
                await asyncio.sleep(MAX_JITTER_SECONDS)
                continue
            try:
                if await self.is_undersized():
                    await asyncio.sleep(UNDERSIZED_DELAY_SECONDS)
                if self.vacant.is_set() and not self.leaving:
                    await self.run_term()
            except errors.NotLeaderError:
                self.vacant.clear()
            except errors.PlatformError as error:
                self.log.warning("term.failed", error=error.code, why=str(error))
            except errors.EntryInvalidError as error:
                self.log.error("term.not_begun", error=error.code, why=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            if self.holder is None:
                self.vacant.set()

    async def is_undersized(self):
        """Return whether this daemon has too few processors for all endpoints.

        Reads no more entries than it could schedule.  All daemons read some, because
        one that is too small must not win by reading none.
        """
        prefix = self.settings.boundary.endpoint_prefix
        limit = int(self.settings.processors / PROCESSORS_PER_ENDPOINT) + 1
        entries, _revision = await self.store.scan(prefix, prefix_end(prefix), limit)
        needed = max(MIN_PROCESSORS, PROCESSORS_PER_ENDPOINT * len(entries))
        return self.settings.processors < needed

    async def run_term(self):
        """Acquire the leader lease and schedule until the term ends."""
        self.token = self.token or uuid.uuid4().hex
        requested_at = self.clock.now()
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
        self.scheduler.confirm(requested_at)
        self.renewed_at = requested_at
        self.end_reason = "failed"
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
            self.log.info("term.ended", term=writer.number, why=self.end_reason)

    async def run_scheduler(self):
        """Run the scheduler and renew its lease until either fails."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.scheduler.run())
                group.create_task(self.renew())
        except* errors.NotLeaderError:
            self.end_reason = "not-leader"
        except* errors.PlatformError as group:
            self.end_reason = str(group.exceptions[0])
        except* Exception as group:
            # The state in memory may be wrong; the next term loads it from the store.
            self.end_reason = repr(group.exceptions[0])
            self.log.error("term.broken", trace=traceback.format_exception(group))

    async def renew(self):
        """Renew the leader lease until it is lost.

        A renewal without an answer does not delay the next one.
        """
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(TTL_SECONDS * RENEW_SHARE)
                group.create_task(self.renew_once())

    async def renew_once(self):
        """Renew the leader lease; raise `NotLeaderError` if it is lost."""
        requested_at = self.clock.now()
        try:
            if not await self.store.keep_alive(self.lease):
                raise errors.NotLeaderError(jobstore.HOLDER)
        except errors.PlatformError as error:
            self.log.warning("term.renewal_failed", error=error.code)
            return
        # Answers may overtake each other.
        if requested_at > self.renewed_at:
            self.renewed_at = requested_at
            self.scheduler.confirm(requested_at)

    def end_term(self, why):
        """End this daemon's term for the reason ``why``."""
        self.end_reason = why
        self.running.cancel()

    async def leave(self):
        """Hand the term over: store unwritten changes and revoke the lease."""
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
        """End the term unless `leave` has done so."""
        await self.leave()
