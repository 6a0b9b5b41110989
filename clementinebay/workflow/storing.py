"""Stores the changes of a scheduler's term: progress, counts and learned estimates."""

import asyncio
import contextlib
import time

from clementinebay import errors, metrics
from clementinebay.workflow import jobstore
from clementinebay.workflow.published import PublishedValue

#: Time for which changes are collected into one write, in seconds: for urgent changes
#: and for all others.
URGENT_DELAY_SECONDS = 0.03
BATCH_DELAY_SECONDS = 0.4
#: Wait after a failed write, in seconds.
RETRY_SECONDS = 0.25
#: Longest time for which a caller waits until changes are stored, in seconds.
STORE_WAIT_SECONDS = 0.25
#: Interval between writes of the counts of pending jobs, in seconds.
PENDING_INTERVAL_SECONDS = 1.0
#: Interval between writes of learned estimates, in seconds.
LEARNED_INTERVAL_SECONDS = 4.0
#: Interval between searches for ended jobs to delete, in seconds.
RETENTION_INTERVAL_SECONDS = 10.0
#: Time for which ended jobs are kept beyond the promised time, in seconds.
RETENTION_MARGIN_SECONDS = 30.0
#: Greatest number of jobs whose records are deleted in one write.
DELETED_JOBS_PER_WRITE = 8


#: Address of an endpoint that an earlier build stored without it.
UNKNOWN_ADDRESS = jobstore.StoredAddress("", 0)


class ChangeWriter:
    """Writes the engine's changes to the store during a term.

    ``recorded`` maps the endpoints to be stored as in use to their (failure domain,
    `StoredAddress`), ``stored_endpoints`` those that the store names whatever comes of
    the write in progress.  Ended jobs are kept for ``status_seconds``.
    ``request_plan`` is called after a write that opened an endpoint or a failure domain
    to a job.
    """

    def __init__(self, engine, writer, status_seconds, request_plan, clock, log):
        self.engine = engine
        self.writer = writer
        self.status_seconds = status_seconds
        self.request_plan = request_plan
        self.clock = clock
        self.log = log
        self.changed = asyncio.Event()
        self.urgently_changed = asyncio.Event()
        self.stored_condition = asyncio.Condition()
        self.write_lock = asyncio.Lock()
        self.recorded = {}
        self.stored_endpoints = {}
        self.endpoints_changed = False
        self.pending_counts = PublishedValue(jobstore.PENDING, writer, log)
        self.learned = PublishedValue(jobstore.LEARNED, writer, log)

    def load_endpoints(self, domains, addresses=()):
        """Adopt the endpoints in use that an earlier scheduler stored."""
        addresses = dict(addresses)
        self.recorded = {
            endpoint_id: (domain, addresses.get(endpoint_id, UNKNOWN_ADDRESS))
            for endpoint_id, domain in domains.items()
        }
        self.stored_endpoints = dict(self.recorded)

    def record_endpoint(self, endpoint):
        """Schedule an endpoint to be stored as in use unless it is stored already.

        A successor takes what answers at the stored address as proof, so the endpoint
        is not used before its newest address and start are stored.  The start of a new
        incarnation is stored with the leases found there, once it has reported.
        """
        info = endpoint.info
        address = jobstore.StoredAddress(info.address, info.born_ms, info.service)
        used = (info.failure_domain, address)
        known = self.recorded.get(endpoint.id) == used
        endpoint.recorded = known and self.stored_endpoints.get(endpoint.id) == used
        if not known and (endpoint.has_reported or endpoint.id not in self.recorded):
            self.recorded[endpoint.id] = used
            self.endpoints_changed = True
            self.changed.set()
            self.urgently_changed.set()

    def drop_endpoints(self):
        """Stop naming endpoints at which no scheduler can have left runs."""
        for endpoint_id in self.recorded.keys() - self.engine.endpoints.keys():
            if not self.engine.inherited_endpoints.expects(endpoint_id):
                del self.recorded[endpoint_id]
                self.endpoints_changed = True

    def check_changes(self):
        """Schedule a write if the engine or the endpoints in use have changed."""
        self.drop_endpoints()
        if self.is_urgent():
            self.changed.set()
            self.urgently_changed.set()
        elif self.engine.changed:
            self.changed.set()

    def is_urgent(self):
        """Return whether a write must not wait for further changes."""
        engine = self.engine
        return (
            engine.urgent
            or self.endpoints_changed
            or any(e.has_unstored_ends for e in engine.endpoints.values())
            or self.has_due_record()
        )

    def has_due_record(self):
        """Return whether a record should be stored without waiting for other writes."""
        now = self.clock.now()
        return self.engine.leases.is_due(now) or self.engine.starting.is_due(now)

    def loops(self):
        """Return the coroutines to run during the term."""
        return (
            self.store_loop(),
            self.pending_loop(),
            self.learning_loop(),
            self.retention_loop(),
        )

    async def wait_stored(self, endpoint):
        """Wait until the ends of an endpoint are stored, at most `STORE_WAIT_SECONDS`.

        A write that was under way when they were reported does not include them.
        """
        try:
            async with asyncio.timeout(STORE_WAIT_SECONDS), self.stored_condition:
                await self.stored_condition.wait_for(
                    lambda: not endpoint.has_unstored_ends
                )
        except TimeoutError:
            pass

    async def store_loop(self):
        """Store changes in batches collected for a short time."""
        while True:
            await self.changed.wait()
            if not self.is_urgent():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(BATCH_DELAY_SECONDS):
                        await self.urgently_changed.wait()
            await asyncio.sleep(URGENT_DELAY_SECONDS)
            self.changed.clear()
            self.urgently_changed.clear()
            try:
                await self.store_changes()
            except errors.PlatformError as error:
                self.log.warning("term.write_failed", error=error.code, why=str(error))
                self.changed.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def store_changes(self):
        """Store the progress of changed jobs, then acknowledge the ends it reflects.

        Writes are made one at a time, because ends must not be acknowledged while
        their write is still under way.
        """
        async with self.write_lock:
            opened = await self.write_changes()
        async with self.stored_condition:
            self.stored_condition.notify_all()
        if opened:
            self.request_plan()

    async def write_changes(self):
        """Write the changes since the last write.

        Returns whether that opened an endpoint, or a failure domain to a job.
        """
        jobs, ends = self.engine.drain_changes()
        opened = any(job.requested_domains for job in jobs)
        records = [(job, job.progress()) for job in jobs]
        # Endpoints recorded during this write are not part of it.
        recorded = dict(self.recorded)
        leases = self.engine.leases.prepare(
            self.clock.now(), is_forced=self.endpoints_changed
        )
        starting = self.prepare_starting(leases)
        # The new start of an endpoint is not stored without the leases found there.
        has_leases = leases is not None or not self.engine.leases.awaits_record()
        is_put_off = self.endpoints_changed and not has_leases
        endpoints = recorded if self.endpoints_changed and has_leases else None
        self.endpoints_changed = is_put_off
        self.stored_endpoints = {
            endpoint_id: used
            for endpoint_id, used in self.stored_endpoints.items()
            if is_put_off or recorded.get(endpoint_id) == used
        }
        stored_count = 0
        try:
            while (
                stored_count < len(records)
                or endpoints is not None
                or leases
                or starting
            ):
                batch = records[
                    stored_count : stored_count + jobstore.RECORDS_PER_WRITE
                ]
                rows = [(job.id, progress) for job, progress in batch]
                await self.save(rows, endpoints, leases, starting)
                if leases is not None:
                    opened = self.engine.leases.mark_stored() or opened
                if starting is not None:
                    opened = self.engine.starting.mark_stored() or opened
                endpoints = leases = starting = None
                stored_count += len(batch)
                if stored_count < len(records):
                    # Many batches may take longer than leases last.
                    leases = self.engine.leases.prepare(self.clock.now())
                    starting = self.prepare_starting(leases)
        except BaseException as error:
            if starting and isinstance(error, errors.PlatformUnavailableError):
                self.engine.starting.discard_prepared()
            self.endpoints_changed = self.endpoints_changed or endpoints is not None
            self.engine.requeue_changes(
                job for job, _progress in records[stored_count:]
            )
            raise
        finally:
            self.engine.mark_stored(
                records[:stored_count], ends if stored_count == len(records) else ()
            )
        if is_put_off:
            return opened
        self.stored_endpoints = recorded
        for endpoint_id, used in recorded.items():
            endpoint = self.engine.endpoints.get(endpoint_id)
            current = self.recorded.get(endpoint_id) == used
            if endpoint is not None and current and not endpoint.recorded:
                endpoint.recorded = opened = True
        return opened

    def prepare_starting(self, leases):
        """Return the `StartingRecord` to store with a `LeaseRecord`, if any."""
        prepared = None if leases is None else self.engine.leases.prepared
        return self.engine.starting.prepare(self.clock.now(), prepared)

    async def save(self, records, used_endpoints, leases, starting):
        """Write records and, if given, the endpoints in use and the other records."""
        if used_endpoints is None:
            await self.writer.save(records, leases=leases, starting=starting)
            return
        await self.writer.save(
            records,
            {name: domain for name, (domain, _address) in used_endpoints.items()},
            {
                name: address
                for name, (_domain, address) in used_endpoints.items()
                if address != UNKNOWN_ADDRESS
            },
            leases,
            starting,
        )

    async def pending_loop(self):
        """Store the counts of pending jobs at once and after they have changed."""
        while True:
            metrics.ACTIVE_JOBS.set(len(self.engine.active))
            counts = self.engine.pending_job_counts()
            if counts != self.pending_counts.value:
                put = jobstore.pending_put(counts)
                await self.pending_counts.publish(counts, put)
            await asyncio.sleep(PENDING_INTERVAL_SECONDS)

    async def learning_loop(self):
        """Store the learned estimates for a successor."""
        while True:
            await asyncio.sleep(LEARNED_INTERVAL_SECONDS)
            rows = self.engine.pressure.export()
            if rows:
                await self.learned.publish(rows, jobstore.learned_put(rows))

    async def retention_loop(self):
        """Delete the records of jobs whose retention time is over."""
        retention_seconds = self.status_seconds + RETENTION_MARGIN_SECONDS
        while True:
            await asyncio.sleep(RETENTION_INTERVAL_SECONDS)
            limit = time.time() - retention_seconds
            expired_ids = [
                job.id
                for job in self.engine.jobs.values()
                if job.ended and 0 < job.ended_at < limit
            ]
            for start in range(0, len(expired_ids), DELETED_JOBS_PER_WRITE):
                batch = expired_ids[start : start + DELETED_JOBS_PER_WRITE]
                await self.forget(batch)

    async def forget(self, job_ids):
        """Delete the records of ended jobs; later if the store fails.

        Raises `NotLeaderError` if the term is over.
        """
        compares = [(jobstore.HOLDER, self.writer.fence)]
        ranges = jobstore.job_key_ranges(job_ids)
        try:
            await self.writer.store.commit(compares, (), ranges)
        except errors.CompareFailedError as error:
            raise errors.NotLeaderError(jobstore.HOLDER) from error
        except errors.PlatformError as error:
            self.log.warning("term.deletion_failed", error=error.code)
            return
        for job_id in job_ids:
            self.engine.forget_job(job_id)
