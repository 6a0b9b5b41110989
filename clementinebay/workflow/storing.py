"""Stores what a scheduler's term changes: progress, counts, and what was learned."""

import asyncio
import time

from clementinebay import errors, metrics
from clementinebay.workflow import jobstore

#: Changes are collected for so long before they are stored, in seconds, when somebody
#: waits for them and when nobody does.
URGENT_SECONDS = 0.03
RELAXED_SECONDS = 0.4
#: Wait after a write that failed, in seconds.
RETRY_SECONDS = 0.25
#: Longest wait for a write, in seconds.
UNSTORED_SECONDS = 0.25
#: Between two writes of the counts of pending jobs, in seconds.
PENDING_SECONDS = 1.0
#: Between two writes of what was learned, in seconds.
LEARNED_SECONDS = 4.0
#: Between two searches for jobs to forget, in seconds.
RETENTION_SECONDS = 10.0
#: Ended jobs are kept longer than promised by so much, in seconds.
RETENTION_MARGIN_SECONDS = 30.0
#: Jobs whose records are deleted in one write.
FORGOTTEN_PER_WRITE = 8


class Storing:
    """Writes what the engine changes while the term lasts.

    ``recorded`` maps the endpoints that the store names as in use to their failure
    domains.  Ended jobs are kept for ``status_seconds``; ``kick`` is called after
    writes.
    """

    def __init__(self, engine, writer, status_seconds, kick, log):
        self.engine = engine
        self.writer = writer
        self.status_seconds = status_seconds
        self.kick = kick
        self.log = log
        self.changed = asyncio.Event()
        self.stored = asyncio.Condition()
        self.writing = asyncio.Lock()
        self.recorded = {}
        self.endpoints_changed = False
        self.pending_counts = {}

    def record(self, endpoint):
        """Have the store name an endpoint as in use."""
        if endpoint.id not in self.recorded:
            self.recorded[endpoint.id] = endpoint.domain
            self.endpoints_changed = True
            self.changed.set()

    def look(self):
        """Have what changed stored soon."""
        if self.engine.changed or self.endpoints_changed:
            self.changed.set()

    def loops(self):
        """Return the coroutines to run while the term lasts."""
        return (
            self.store_loop(),
            self.pending_loop(),
            self.learning_loop(),
            self.retention_loop(),
        )

    async def wait_stored(self):
        """Wait for a while until what was noted is stored."""
        try:
            async with asyncio.timeout(UNSTORED_SECONDS), self.stored:
                await self.stored.wait()
        except TimeoutError:
            pass

    async def store_loop(self):
        """Store what changed, collected for a short time."""
        while True:
            await self.changed.wait()
            engine = self.engine
            ends = any(e.noted > e.acknowledged for e in engine.endpoints.values())
            urgent = engine.urgent or ends or self.endpoints_changed
            await asyncio.sleep(URGENT_SECONDS if urgent else RELAXED_SECONDS)
            self.changed.clear()
            try:
                await self.store_changes()
            except errors.PlatformError as error:
                self.log.warning("term.write_failed", error=error.code, why=str(error))
                self.changed.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def store_changes(self):
        """Store the progress of changed jobs, then acknowledge the ends behind it.

        One at a time: ends must not be acknowledged for a write that is still on its
        way.
        """
        async with self.writing:
            await self.write_changes()
        async with self.stored:
            self.stored.notify_all()
        self.kick()

    async def write_changes(self):
        """Write what changed since the last write."""
        jobs, ends = self.engine.take_changes()
        records = [(job, job.progress()) for job in jobs]
        # More may be recorded while this is written.
        known = dict(self.recorded)
        endpoints = known if self.endpoints_changed else None
        self.endpoints_changed = False
        stored = 0
        try:
            while stored < len(records) or endpoints is not None:
                part = records[stored : stored + jobstore.RECORDS_PER_WRITE]
                await self.writer.save([(job.id, p) for job, p in part], endpoints)
                endpoints = None
                stored += len(part)
        except BaseException:
            self.endpoints_changed = self.endpoints_changed or endpoints is not None
            self.engine.not_stored(job for job, _progress in records[stored:])
            raise
        finally:
            self.engine.stored(records[:stored], ends if stored == len(records) else ())
        for endpoint_id in known:
            if endpoint_id in self.engine.endpoints:
                self.engine.endpoints[endpoint_id].recorded = True

    async def pending_loop(self):
        """Store the counts of pending jobs when they have changed."""
        while True:
            await asyncio.sleep(PENDING_SECONDS)
            metrics.ACTIVE_JOBS.set(len(self.engine.active))
            counts = self.engine.pending()
            changed = counts != self.pending_counts
            if changed and await self.put_aside(jobstore.pending_puts(counts)):
                self.pending_counts = counts

    async def learning_loop(self):
        """Store what was learned, for a successor."""
        while True:
            await asyncio.sleep(LEARNED_SECONDS)
            rows = self.engine.pressure.export()
            if rows:
                await self.put_aside(jobstore.learned_puts(rows))

    async def put_aside(self, puts, deletes=()):
        """Write what no later write rests on; return whether that succeeded.

        Raises `NotLeaderError` if the term is over.
        """
        compares = [(jobstore.HOLDER, self.writer.fence)]
        try:
            await self.writer.store.commit(compares, puts, deletes)
        except errors.CompareFailedError as error:
            raise errors.NotLeaderError(jobstore.HOLDER) from error
        except errors.PlatformError as error:
            self.log.warning("term.side_write_failed", error=error.code)
            return False
        return True

    async def retention_loop(self):
        """Delete what is stored of jobs that ended long ago."""
        keep = self.status_seconds + RETENTION_MARGIN_SECONDS
        while True:
            await asyncio.sleep(RETENTION_SECONDS)
            limit = time.time() - keep
            old = [
                job.id
                for job in self.engine.jobs.values()
                if job.ended and 0 < job.ended_at < limit
            ]
            for start in range(0, len(old), FORGOTTEN_PER_WRITE):
                part = old[start : start + FORGOTTEN_PER_WRITE]
                await self.forget(part)

    async def forget(self, job_ids):
        """Delete what is stored of ended jobs."""
        if await self.put_aside((), jobstore.job_spans(job_ids)):
            for job_id in job_ids:
                self.engine.forget_job(job_id)
