"""One scheduler's term: feeds the engine, sends its orders, stores its changes."""

import asyncio
import time

from clementinebay import errors, metrics
from clementinebay.clock import SystemClock
from clementinebay.policy import pressure
from clementinebay.workflow import jobstore
from clementinebay.workflow.engine import Engine
from clementinebay.workflow.mirror import Mirror

#: Changes are collected for so long before they are stored, in seconds, when somebody
#: waits for them and when nobody does.
URGENT_SECONDS = 0.03
RELAXED_SECONDS = 0.4
#: Time between two looks for what time alone brings about, in seconds.
TICK_SECONDS = 0.1
#: How long an endpoint's report may wait for an end, in seconds.
REPORT_WAIT_SECONDS = 1.0
#: The same for an endpoint with fillers beside replicas, whose readings cover the last
#: half second.
MIXED_WAIT_SECONDS = 0.4
#: Time for an endpoint's report beyond its wait, in seconds.
REPORT_SECONDS = 0.8
#: Wait after a report that failed, in seconds.
REPORT_RETRY_SECONDS = 0.25
#: Wait between reports while noted ends are not stored, in seconds.
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
#: An earlier scheduler may act on new jobs for so long into this term, in seconds.
OVERLAP_SECONDS = 2.0
#: A lease is not granted beyond the endpoints' limit less this, in seconds.
LEASE_MARGIN_SECONDS = 0.3
#: Allowance for endpoints' clocks and orders on their way when an earlier scheduler's
#: leases are waited for, as a factor and in seconds.
INHERITED_FACTOR = 1.03
INHERITED_MARGIN_SECONDS = 0.7


class Scheduler:
    """Runs the engine for one term; `run` ends when the term does.

    ``ttl`` is the time to live of the term's lease in seconds; the owner calls
    `confirm` after each renewal.
    """

    def __init__(self, deployment, queues, writer, ttl, clock, log):
        self.deployment = deployment
        self.queues = queues
        self.writer = writer
        self.clock = clock
        self.log = log
        self.driver = deployment.boundary.driver
        self.store = writer.store
        self.jobs = jobstore.JobStore(self.store)
        now = clock.now()
        self.ttl = ttl
        self.began_at = now
        self.max_lease = deployment.max_lease_seconds - LEASE_MARGIN_SECONDS
        inherited = now + self.max_lease * INHERITED_FACTOR + INHERITED_MARGIN_SECONDS
        self.engine = Engine(
            writer.number,
            log,
            SystemClock(),
            deployment.max_lease_seconds,
            inherited,
        )
        self.confirm(now)
        self.kicked = asyncio.Event()
        self.changed = asyncio.Event()
        self.fenced = asyncio.Event()
        self.stored = asyncio.Condition()
        self.writing = asyncio.Lock()
        self.links = {}
        self.tasks = set()
        self.recorded = {}
        self.endpoints_changed = False
        self.pending_counts = {}

    def confirm(self, asked_at):
        """Note that a renewal of the term's lease, asked at ``asked_at``, succeeded."""
        self.confirmed_at = asked_at
        self.engine.sole_until = asked_at + self.ttl

    def spawn(self, coroutine):
        """Run ``coroutine`` until the term ends; its failure ends the term."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run(self):
        """Schedule until the term ends; raise `NotLeaderError` or what went wrong."""
        try:
            await self.load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.job_mirror.run())
                group.create_task(self.endpoint_mirror.run())
                group.create_task(self.plan_loop())
                group.create_task(self.tick_loop())
                group.create_task(self.store_loop())
                group.create_task(self.pending_loop())
                group.create_task(self.learning_loop())
                group.create_task(self.retention_loop())
                group.create_task(self.watch_fence())
        finally:
            metrics.SCHEDULING.set(0)
            metrics.ACTIVE_JOBS.set(0)
            for task in list(self.tasks):
                task.cancel()

    async def watch_fence(self):
        """End the term once an endpoint has obeyed a later scheduler."""
        await self.fenced.wait()
        raise errors.NotLeaderError(jobstore.HOLDER)

    def note_refusal(self, endpoint, fence, error):
        """Look whether a refusal of an order with ``fence`` means the term's end.

        An order to an earlier life of the endpoint is refused by a later one too.
        """
        fenced = getattr(error, "reason", "") == errors.OrderRefusedError.FENCED
        if fenced and fence == endpoint.fence(self.writer.fence):
            self.log.warning("term.fenced", endpoint=endpoint.id, fence=fence)
            self.fenced.set()

    async def load(self):
        """Read what earlier schedulers stored."""
        metrics.TERMS.inc()
        metrics.SCHEDULING.set(1)
        self.progress = await self.jobs.all_progress()
        self.recorded = await self.jobs.used_endpoints()
        self.engine.pressure.take(await self.jobs.learned())
        for endpoint_id, domain in self.recorded.items():
            self.engine.expect_endpoint(endpoint_id, domain)
        self.job_mirror = Mirror(
            self.store,
            jobstore.JOBS,
            self.replace_jobs,
            self.update_job,
            self.clock,
            self.log,
        )
        self.endpoint_mirror = Mirror(
            self.store,
            self.deployment.boundary.endpoint_prefix,
            self.replace_endpoints,
            self.update_endpoint,
            self.clock,
            self.log,
        )
        # Jobs first: the reports of endpoints speak of them.
        await self.job_mirror.load()
        await self.endpoint_mirror.load()
        self.progress = {}
        self.queues.listener = self.queues_changed
        self.queues_changed()
        self.log.info(
            "term.loaded",
            term=self.writer.number,
            fence=self.writer.fence,
            jobs=len(self.engine.jobs),
            active=len(self.engine.active),
            endpoints=len(self.engine.endpoints),
        )

    # What the mirrors report

    def queues_changed(self):
        """Take the domains that are out of service."""
        self.engine.out = self.queues.out
        self.kick()

    def replace_jobs(self, entries):
        """Take all stored jobs, then their cancellations."""
        for entry in sorted(entries, key=lambda entry: entry.key.endswith("/cancel")):
            self.update_job(entry)

    def update_job(self, entry):
        """Take a stored job or its cancellation."""
        if entry.value is None:
            return
        job_id, cancelled = jobstore.job_id_of(entry.key)
        now = self.clock.now()
        if cancelled:
            self.engine.cancel(job_id)
            self.changed.set()
        elif job_id not in self.engine.jobs:
            spec = jobstore.decode_spec(entry.value)
            self.engine.add_job(
                spec,
                self.queues.table.by_name.get(spec.queue)
                if self.queues.table
                else None,
                now,
                self.progress.get(job_id),
                inherited=self.inherited(entry, now),
            )
        self.kick()

    def inherited(self, entry, now):
        """Return whether an earlier scheduler may have seen a stored job.

        One that does not know yet that its term is over still learns of new jobs.
        """
        young = now < self.began_at + OVERLAP_SECONDS
        return self.writer.number > 0 and (young or entry.version < self.writer.fence)

    def replace_endpoints(self, entries):
        """Take the whole registry."""
        listed = set()
        for entry in entries:
            listed.add(self.update_endpoint(entry))
        for endpoint_id in set(self.engine.endpoints) - listed:
            self.engine.unlist_endpoint(endpoint_id)

    def update_endpoint(self, entry):
        """Take one entry of the registry; return the endpoint's id."""
        prefix = self.deployment.boundary.endpoint_prefix
        endpoint_id = entry.key[len(prefix) :]
        if entry.value is None:
            self.engine.unlist_endpoint(endpoint_id)
            return endpoint_id
        try:
            info = self.deployment.boundary.decode_endpoint(entry.key, entry.value)
        except errors.EntryInvalidError as error:
            self.log.warning("endpoint.entry_invalid", key=error.key, why=error.reason)
            return endpoint_id
        endpoint = self.engine.see_endpoint(info, self.clock.now())
        if endpoint.id not in self.recorded:
            self.recorded[endpoint.id] = endpoint.domain
            self.endpoints_changed = True
            self.changed.set()
        if endpoint.id not in self.links:
            self.links[endpoint.id] = self.spawn(self.link_loop(endpoint))
        self.kick()
        return endpoint.id

    # Orders

    def kick(self):
        """Have the engine plan soon."""
        self.kicked.set()

    async def plan_loop(self):
        """Plan whenever something happened."""
        while True:
            await self.kicked.wait()
            self.kicked.clear()
            now = self.clock.now()
            self.engine.expire(now)
            for order in self.engine.due_stops(now):
                self.spawn(self.send_stop(order))
            for order in self.engine.plan(now):
                self.spawn(self.send_start(order))
            if self.engine.changed or self.endpoints_changed:
                self.changed.set()
            # Reports that came meanwhile are taken before the next plan.
            await asyncio.sleep(0)

    async def tick_loop(self):
        """Have the engine look at the time."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.kick()

    def lease_seconds(self, now):
        """Return how far ahead a lease may be granted at ``now``.

        A successor waits for leases that were granted at most ``max_lease`` after this
        term was last confirmed.
        """
        limit = self.confirmed_at + self.max_lease - now
        return min(self.deployment.lease_seconds, limit)

    async def send_start(self, order):
        """Send an order to start and report its outcome to the engine."""
        now = self.clock.now()
        ahead = self.lease_seconds(now)
        if ahead <= 0 or order.endpoint.clock_ms is None:
            self.engine.start_refused(order, now, TICK_SECONDS)
            return
        deadline_ms = order.endpoint.grant(now, ahead)
        fence = order.endpoint.fence(self.writer.fence)
        outcome = "started"
        try:
            await self.driver.start(order, deadline_ms, fence)
            self.engine.start_answered(order, self.clock.now())
            if order.task.step.filler:
                self.pace(order.endpoint)
        except errors.CallNotSentError:
            outcome = "not-sent"
            self.fail_endpoint(order.endpoint)
            self.engine.start_refused(order, self.clock.now(), REPORT_RETRY_SECONDS)
        except errors.CallUnansweredError:
            outcome = "unanswered"
            self.engine.start_unanswered(order, self.clock.now())
        except errors.OrderRefusedError as error:
            outcome = error.reason
            self.start_refused(order, fence, error)
        metrics.ORDERS.labels("start", outcome).inc()
        metrics.ORDER_SECONDS.observe(self.clock.now() - now)
        self.log.info(
            "task.start_ordered",
            task=order.task.name,
            run=order.run,
            endpoint=order.endpoint.id,
            fence=fence,
            filler=order.task.step.filler,
            beside=list(order.endpoint.replica_images),
            fillers=order.endpoint.fillers,
            load=order.endpoint.load,
            outcome=outcome,
            ms=round((self.clock.now() - now) * 1000, 1),
        )
        self.kick()

    def start_refused(self, order, fence, error):
        """Take a refusal of an order to start."""
        now = self.clock.now()
        if error.reason == errors.OrderRefusedError.UNHEALTHY:
            order.endpoint.health.bar(now)
        self.note_refusal(order.endpoint, fence, error)
        self.engine.start_refused(order, now, REPORT_RETRY_SECONDS)

    async def send_stop(self, order):
        """Send an order to stop and report its outcome to the engine."""
        fence = order.endpoint.fence(self.writer.fence)
        outcome = "stopped"
        try:
            await self.driver.stop(order, fence)
            self.engine.stop_answered(order, self.clock.now())
        except errors.CallError as error:
            outcome = error.code
        except errors.OrderRefusedError as error:
            outcome = error.reason
            self.note_refusal(order.endpoint, fence, error)
        metrics.ORDERS.labels("stop", outcome).inc()
        self.log.info(
            "task.stop_ordered",
            task=order.task,
            run=order.run,
            endpoint=order.endpoint.id,
            reason=order.reason,
            outcome=outcome,
        )
        self.kick()

    def pace(self, endpoint):
        """Send the orders that fit an endpoint's fillers to its replicas."""
        for order in self.engine.pace(endpoint, self.clock.now()):
            self.spawn(self.send_pace(order))

    async def send_pace(self, order):
        """Send an order to pace."""
        try:
            await self.driver.pace(order, order.endpoint.fence(self.writer.fence))
        except (errors.CallError, errors.OrderRefusedError) as error:
            self.engine.pace_failed(order)
            metrics.ORDERS.labels("pace", error.code).inc()
            self.log.warning(
                "task.pace_failed",
                task=order.task.name,
                run=order.run,
                error=error.code,
            )
            return
        metrics.ORDERS.labels("pace", "paced").inc()
        self.log.info(
            "task.paced",
            task=order.task.name,
            run=order.run,
            endpoint=order.endpoint.id,
            percent=order.percent,
            tails=pressure.worst_by_image(order.endpoint),
            rooms=[
                [i, round(r, 2)] for i, r in self.engine.pressure.rooms(order.endpoint)
            ],
            replicas=order.endpoint.replicas,
            fillers=order.endpoint.fillers,
        )

    def fail_endpoint(self, endpoint):
        """Give an endpoint nothing new until it answers again."""
        if endpoint.failing_since is None:
            endpoint.failing_since = self.clock.now()
            self.log.warning(
                "endpoint.lost", endpoint=endpoint.id, runs=len(endpoint.tasks)
            )

    # Reports

    async def link_loop(self, endpoint):
        """Extend the lease of an endpoint and take its reports while it is known."""
        try:
            while self.engine.endpoints.get(endpoint.id) is endpoint:
                if not await self.ask_report(endpoint):
                    await asyncio.sleep(REPORT_RETRY_SECONDS)
        finally:
            self.links.pop(endpoint.id, None)

    async def ask_report(self, endpoint):
        """Ask for one report; return whether it came."""
        sent_at = self.clock.now()
        unstored = endpoint.noted > endpoint.acknowledged
        wait = 0.0
        if endpoint.settled and not unstored:
            mixed = endpoint.replicas and endpoint.fillers
            wait = MIXED_WAIT_SECONDS if mixed else REPORT_WAIT_SECONDS
        deadline_ms = None
        ahead = self.lease_seconds(sent_at)
        if endpoint.clock_ms is not None and endpoint.listed and ahead > 0:
            deadline_ms = endpoint.grant(sent_at, ahead)
        lost = endpoint.failing_since is not None
        fence = endpoint.fence(self.writer.fence)
        try:
            report = await self.driver.report(
                endpoint, deadline_ms, endpoint.acknowledged, wait, fence
            )
        except (errors.CallError, errors.OrderRefusedError) as error:
            metrics.ORDERS.labels("report", error.code).inc()
            self.fail_endpoint(endpoint)
            self.note_refusal(endpoint, fence, error)
            return False
        metrics.ORDERS.labels("report", "reported").inc()
        now = self.clock.now()
        settled = endpoint.settled
        if not self.engine.take_report(endpoint, report, sent_at, now):
            return False
        if lost:
            self.log.info("endpoint.regained", endpoint=endpoint.id)
        if not settled or report.ended or lost:
            self.kick()
        self.pace(endpoint)
        if endpoint.noted > endpoint.acknowledged:
            self.changed.set()
            await self.wait_stored()
        return True

    async def wait_stored(self):
        """Wait for a while until what was noted is stored."""
        try:
            async with asyncio.timeout(UNSTORED_SECONDS), self.stored:
                await self.stored.wait()
        except TimeoutError:
            pass

    # Storing

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
                await asyncio.sleep(REPORT_RETRY_SECONDS)

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
        endpoints = dict(self.recorded) if self.endpoints_changed else None
        self.endpoints_changed = False
        stored = 0
        try:
            while stored < len(records) or endpoints is not None:
                part = records[stored : stored + jobstore.RECORDS_PER_WRITE]
                await self.writer.save([(job.id, p) for job, p in part], endpoints)
                endpoints = None
                stored += len(part)
        except BaseException:
            self.endpoints_changed = endpoints is not None
            self.engine.not_stored(job for job, _progress in records[stored:])
            raise
        finally:
            self.engine.stored(records[:stored], ends if stored == len(records) else ())
        for endpoint_id in self.recorded:
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
            await self.store.commit(compares, puts, deletes)
        except errors.CompareFailedError as error:
            raise errors.NotLeaderError(jobstore.HOLDER) from error
        except errors.PlatformError as error:
            self.log.warning("term.side_write_failed", error=error.code)
            return False
        return True

    async def retention_loop(self):
        """Delete what is stored of jobs that ended long ago."""
        keep = self.deployment.status_seconds + RETENTION_MARGIN_SECONDS
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
