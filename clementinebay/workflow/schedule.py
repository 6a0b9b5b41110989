"""One scheduler's term: feeds the engine, sends its orders, stores its changes."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.clock import SystemClock
from clementinebay.workflow import jobstore
from clementinebay.workflow.engine import Engine
from clementinebay.workflow.mirror import Mirror
from clementinebay.workflow.sending import Sender
from clementinebay.workflow.storing import Storing

#: Time between two looks for what time alone brings about, in seconds.
TICK_SECONDS = 0.1
#: How long an endpoint's report may wait for an end, in seconds.
REPORT_WAIT_SECONDS = 1.0
#: The same for an endpoint with fillers beside replicas, whose readings cover the last
#: half second.
MIXED_WAIT_SECONDS = 0.4
#: Wait after a report that failed, in seconds.
REPORT_RETRY_SECONDS = 0.25
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
        max_lease = deployment.max_lease_seconds - LEASE_MARGIN_SECONDS
        inherited = now + max_lease * INHERITED_FACTOR + INHERITED_MARGIN_SECONDS
        self.engine = Engine(
            writer.number,
            log,
            SystemClock(),
            deployment.max_lease_seconds,
            inherited,
        )
        self.sender = Sender(self.engine, writer, deployment, max_lease, clock, log)
        self.storing = Storing(
            self.engine, writer, deployment.status_seconds, self.sender.kick, log
        )
        self.links = {}
        self.confirm(now)

    def confirm(self, asked_at):
        """Note that a renewal of the term's lease, asked at ``asked_at``, succeeded."""
        self.sender.confirm(asked_at)
        self.engine.sole_until = asked_at + self.ttl

    async def run(self):
        """Schedule until the term ends; raise `NotLeaderError` or what went wrong."""
        try:
            await self.load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.job_mirror.run())
                group.create_task(self.endpoint_mirror.run())
                group.create_task(self.plan_loop())
                group.create_task(self.tick_loop())
                group.create_task(self.sender.watch())
                for loop in self.storing.loops():
                    group.create_task(loop)
        finally:
            metrics.SCHEDULING.set(0)
            metrics.ACTIVE_JOBS.set(0)
            self.sender.stop()

    async def load(self):
        """Read what earlier schedulers stored."""
        metrics.TERMS.inc()
        metrics.SCHEDULING.set(1)
        self.progress = await self.jobs.all_progress()
        self.storing.recorded = await self.jobs.used_endpoints()
        self.engine.pressure.load_weights(await self.jobs.learned())
        for endpoint_id, domain in self.storing.recorded.items():
            self.engine.inheritance.expect(endpoint_id, domain)
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
        self.sender.kick()

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
            self.storing.changed.set()
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
        self.sender.kick()

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
        self.storing.record(endpoint)
        if endpoint.id not in self.links:
            self.links[endpoint.id] = self.sender.spawn(self.link_loop(endpoint))
        self.sender.kick()
        return endpoint.id

    # Planning

    async def plan_loop(self):
        """Plan whenever something happened."""
        while True:
            await self.sender.kicked.wait()
            self.sender.kicked.clear()
            now = self.clock.now()
            self.engine.expire(now)
            for order in self.engine.stops.due(now, self.engine.endpoints):
                self.sender.spawn(self.sender.send_stop(order))
            for order in self.engine.plan(now):
                self.sender.spawn(self.sender.send_start(order))
            self.storing.look()
            # Reports that came meanwhile are taken before the next plan.
            await asyncio.sleep(0)

    async def tick_loop(self):
        """Have the engine look at the time."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.sender.kick()

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
        ahead = self.sender.lease_seconds(sent_at)
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
            self.sender.fail_endpoint(endpoint)
            self.sender.note_refusal(endpoint, fence, error)
            return False
        metrics.ORDERS.labels("report", "reported").inc()
        now = self.clock.now()
        settled = endpoint.settled
        if not self.engine.take_report(endpoint, report, sent_at, now):
            return False
        if lost:
            self.log.info("endpoint.regained", endpoint=endpoint.id)
        if not settled or report.ended or lost:
            self.sender.kick()
        self.sender.pace(endpoint)
        if endpoint.noted > endpoint.acknowledged:
            self.storing.changed.set()
            await self.storing.wait_stored()
        return True
