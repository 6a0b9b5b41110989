"""One scheduler's term: feeds the engine, sends its orders and stores its changes."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.clock import SystemClock
from clementinebay.policy import polling
from clementinebay.workflow import jobstore, leases
from clementinebay.workflow.backlog import BacklogMeter
from clementinebay.workflow.engine import Engine
from clementinebay.workflow.fleet import longest_lease
from clementinebay.workflow.load import TermLoad
from clementinebay.workflow.mirror import Mirror
from clementinebay.workflow.model import unlisted_endpoint
from clementinebay.workflow.orders import MAX_ORDER_DELAY_SECONDS
from clementinebay.workflow.sending import Sender
from clementinebay.workflow.standby import Standby
from clementinebay.workflow.storing import ChangeWriter

#: Interval between checks for expired leases, and between plans when no event requests
#: one, in seconds.
TICK_SECONDS = 0.1
#: A plan follows the one before it no sooner than after this many times the time that
#: one took, so that plans leave most of the processor time to reports and orders.
SPACING_FACTOR = 4.0
#: Longest such wait, in seconds.
MAX_SPACING_SECONDS = 0.1
#: Wait after a failed request for a report, in seconds.
REPORT_RETRY_SECONDS = 0.25
#: Wait after a failed read at the start of a term, in seconds.
LOAD_RETRY_SECONDS = 0.1
#: Time at the start of a term in which an earlier scheduler may still start new jobs,
#: in seconds.
OVERLAP_SECONDS = 2.0


def submission_order(entry):
    """Return the sort key of a job's entry; cancellations come last."""
    return entry.key.endswith(jobstore.CANCEL), entry.version


def plan_spacing(seconds):
    """Return the wait after a plan that took ``seconds``."""
    return min(SPACING_FACTOR * seconds, MAX_SPACING_SECONDS)


class Scheduler:
    """Runs the engine for one term; `run` returns when the term ends.

    ``ttl`` is the time to live of the term's lease in seconds.  The owner calls
    `confirm` after each renewal of that lease.
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
        self.started_at = now
        self.engine = Engine(
            writer.number,
            log,
            SystemClock(),
            deployment.max_lease_seconds,
            leases.inherited_until(deployment.max_lease_seconds, now),
        )
        self.sender = Sender(self.engine, writer, deployment, clock, log)
        self.load_meter = TermLoad(
            self.engine, self.sender.starts, deployment.processors, clock, log
        )
        self.change_writer = ChangeWriter(
            self.engine,
            writer,
            deployment.status_seconds,
            self.sender.request_plan,
            clock,
            log,
        )
        self.backlog_meter = BacklogMeter(self.engine, self.sender, writer, clock, log)
        # Jobs that this term must never add, also if it reads all jobs again, and why.
        self.unreadable_progress = {}
        # Not ids: an endpoint may be listed again during the last request to its
        # forgotten state.
        self.linked_endpoints = set()
        self.standby = Standby(deployment.processors)
        self.confirm(now)

    def confirm(self, asked_at):
        """Record the success of a renewal of the term's lease sent at ``asked_at``."""
        self.engine.exclusive_until = asked_at + self.ttl

    async def run(self):
        """Schedule until the term ends; raise `NotLeaderError` or another failure."""
        try:
            await self.load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.job_mirror.run())
                group.create_task(self.endpoint_mirror.run())
                group.create_task(self.plan_loop())
                group.create_task(self.tick_loop())
                group.create_task(self.load_meter.watch())
                group.create_task(self.backlog_meter.run())
                group.create_task(self.sender.watch())
                for loop in self.change_writer.loops():
                    group.create_task(loop)
        finally:
            metrics.SCHEDULING.set(0)
            metrics.ACTIVE_JOBS.set(0)
            metrics.DUE_TASKS.set(0)
            metrics.OLDEST_DUE_SECONDS.set(0)
            metrics.BACKLOG_SECONDS.set(0)
            self.sender.stop()

    async def load(self):
        """Load the stored state; repeat that until all reads succeed."""
        metrics.TERMS.inc()
        metrics.SCHEDULING.set(1)
        while True:
            try:
                return await self.read_state()
            except errors.PlatformError as error:
                self.log.warning("term.load_failed", error=error.code, why=str(error))
                await asyncio.sleep(LOAD_RETRY_SECONDS)

    async def read_state(self):
        """Read the jobs, endpoints and estimates stored by earlier schedulers."""
        self.stored_progress, unreadable = await self.jobs.all_progress()
        self.unreadable_progress.update(unreadable)
        used_endpoints, addresses = await self.read_used_endpoints()
        self.change_writer.load_endpoints(used_endpoints, addresses)
        await self.load_learned_weights()
        record = await self.jobs.lease_record(self.writer.number)
        starting = await self.jobs.starting_record(self.writer.number)
        self.engine.inherited_endpoints.load_starting_jobs(starting)
        for endpoint_id, domain in used_endpoints.items():
            stored = leases.UNKNOWN if record is None else record.of(endpoint_id)
            address = addresses.get(endpoint_id)
            born_ms = None if address is None else address.born_ms
            self.engine.inherited_endpoints.expect(endpoint_id, domain, stored, born_ms)
        if used_endpoints:
            self.log.info(
                "term.leases_read",
                endpoints=len(used_endpoints),
                has_record=record is not None,
                final=0 if record is None else len(record.final),
                starting=self.engine.inherited_endpoints.count_starting(),
            )
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
        # Jobs are loaded first because reports of endpoints refer to them.
        await self.job_mirror.load()
        await self.endpoint_mirror.load()
        self.await_unlisted_endpoints(used_endpoints, addresses)
        self.stored_progress = {}
        self.queues.listener = self.queues_changed
        self.queues_changed()
        self.log.info(
            "term.loaded",
            term=self.writer.number,
            fence=self.writer.fence,
            jobs=len(self.engine.jobs),
            active=len(self.engine.active),
            endpoints=len(self.engine.endpoints),
            standby=len(self.standby.infos),
        )

    async def read_used_endpoints(self):
        """Return the endpoints that may have been used, as `JobStore.used_endpoints`.

        If they cannot be read, wait until no run of an earlier term can be left.
        """
        try:
            return await self.jobs.used_endpoints()
        except errors.EntryInvalidError as error:
            seconds = MAX_ORDER_DELAY_SECONDS + longest_lease(
                self.deployment.max_lease_seconds
            )
            self.log.error(
                "term.endpoints_unreadable", why=error.reason, seconds=seconds
            )
            await asyncio.sleep(seconds)
            return {}, {}

    async def load_learned_weights(self):
        """Load the stored estimates; go on without them if they cannot be read."""
        try:
            self.engine.pressure.load_weights(await self.jobs.learned_weights())
        except errors.EntryInvalidError as error:
            self.log.error("term.estimates_unreadable", why=error.reason)

    def await_unlisted_endpoints(self, domains, addresses):
        """Ask endpoints of earlier terms for their runs if they are not listed.

        One that has crashed is known to have ended if its address has another
        incarnation.
        """
        for endpoint_id, domain in domains.items():
            known = endpoint_id in self.engine.endpoints
            if not known and endpoint_id in addresses:
                stored = addresses[endpoint_id]
                info = unlisted_endpoint(
                    endpoint_id, domain, stored.address, stored.born_ms, stored.service
                )
                self.link(self.engine.await_endpoint(info, self.clock.now()))

    # Changes in the store

    def queues_changed(self):
        """Apply a change of the domains out of service or of the organisations."""
        self.engine.disabled_domains = self.queues.out
        table = self.queues.table
        self.engine.quotas.adopt(None if table is None else table.organisations)
        self.sender.request_plan()

    def replace_jobs(self, entries):
        """Apply all stored jobs, then their cancellations."""
        # Shares of organisations count jobs in the order of their acceptance.
        for entry in sorted(entries, key=submission_order):
            self.update_job(entry)

    def update_job(self, entry):
        """Apply a stored job or its cancellation."""
        if entry.value is None:
            return
        job_id, cancelled = jobstore.job_id_of(entry.key)
        now = self.clock.now()
        if cancelled:
            self.engine.cancel(job_id)
            self.change_writer.changed.set()
        elif job_id not in self.engine.jobs:
            try:
                self.add_job(entry, now)
            except errors.EntryInvalidError as error:
                self.log.error("job.unreadable", key=error.key, why=error.reason)
        self.sender.request_plan()

    def add_job(self, entry, now):
        """Add a stored job; raise `EntryInvalidError` if that is not safe.

        Without its progress a job is not run, as any of its tasks may have been done.
        """
        spec = jobstore.decode_spec(entry)
        progress = self.stored_progress.get(spec.id)
        if progress is not None and len(progress.done) > len(spec.steps):
            self.unreadable_progress[spec.id] = "progress of other steps"
        if spec.id in self.unreadable_progress:
            reason = self.unreadable_progress[spec.id]
            raise errors.EntryInvalidError(entry.key, f"progress: {reason}")
        table = self.queues.table
        self.engine.add_job(
            spec,
            table.by_name.get(spec.queue) if table else None,
            now,
            progress,
            inherited=self.may_be_inherited(entry, now),
        )

    def may_be_inherited(self, entry, now):
        """Return whether an earlier scheduler may have started tasks of a stored job.

        A scheduler that has not noticed the end of its term still reads new jobs.
        """
        in_overlap = now < self.started_at + OVERLAP_SECONDS
        return self.writer.number > 0 and (
            in_overlap or entry.version < self.writer.fence
        )

    def replace_endpoints(self, entries):
        """Apply the complete registry."""
        listed = set()
        for entry in entries:
            listed.add(self.update_endpoint(entry))
        for endpoint_id in set(self.engine.endpoints) - listed:
            self.engine.unlist_endpoint(endpoint_id)
        for endpoint_id in set(self.standby.infos) - listed:
            self.standby.drop(endpoint_id)

    def update_endpoint(self, entry):
        """Apply one entry of the registry; return the endpoint's id."""
        prefix = self.deployment.boundary.endpoint_prefix
        endpoint_id = entry.key[len(prefix) :]
        if entry.value is None:
            self.engine.unlist_endpoint(endpoint_id)
            self.standby.drop(endpoint_id)
            return endpoint_id
        try:
            info = self.deployment.boundary.decode_endpoint(entry.key, entry.value)
        except errors.EntryInvalidError as error:
            self.log.warning("endpoint.entry_invalid", key=error.key, why=error.reason)
            self.engine.suspend_endpoint(endpoint_id)
            self.standby.drop(endpoint_id)
            return endpoint_id
        if not self.standby.keeps(self.engine, info):
            self.use_endpoint(info)
        return endpoint_id

    def use_endpoint(self, info):
        """Begin or continue to use a listed endpoint."""
        endpoint = self.engine.register_endpoint(info, self.clock.now())
        self.change_writer.record_endpoint(endpoint)
        self.link(endpoint)
        self.sender.request_plan()

    def use_standby(self):
        """Take endpoints into use if tasks wait for room."""
        lag = self.load_meter.recent_lag
        infos = self.standby.take(self.engine.unplaced, lag)
        for info in infos:
            self.use_endpoint(info)
        if infos:
            self.log.info(
                "endpoints.taken_into_use",
                endpoints=len(infos),
                used=len(self.engine.endpoints),
                standby=len(self.standby.infos),
            )

    # Planning

    async def plan_loop(self):
        """Plan and send orders each time a plan is requested."""
        while True:
            await self.sender.plan_requested.wait()
            self.sender.plan_requested.clear()
            now = self.clock.now()
            starts = self.engine.plan(now, self.sender.start_allowance())
            # The plan itself may have requested stops.
            for order in self.engine.stops.due(now, self.engine.endpoints):
                self.sender.spawn(self.sender.send_stop(order))
            for order in starts:
                self.sender.begin_start(order)
            seconds = self.clock.now() - now
            self.load_meter.record_plan(seconds)
            self.change_writer.check_changes()
            # Lets the reports received meanwhile be processed before the next plan.
            await asyncio.sleep(plan_spacing(seconds))

    async def tick_loop(self):
        """Expire leases and request a plan at regular intervals."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.engine.expire(self.clock.now())
            self.use_standby()
            self.change_writer.check_changes()
            self.sender.request_plan()

    # Reports

    def link(self, endpoint):
        """Start to request an endpoint's reports, unless that is done already."""
        if endpoint not in self.linked_endpoints and not endpoint.has_ended:
            self.linked_endpoints.add(endpoint)
            self.sender.spawn(self.link_loop(endpoint))

    async def link_loop(self, endpoint):
        """Extend an endpoint's lease and request its reports until it has ended."""
        try:
            while self.is_linked(endpoint):
                if not await self.request_report(endpoint):
                    await asyncio.sleep(REPORT_RETRY_SECONDS)
        finally:
            self.linked_endpoints.discard(endpoint)

    def is_linked(self, endpoint):
        """Return whether reports are to be requested from an endpoint."""
        return (
            self.engine.endpoints.get(endpoint.id) is endpoint
            and not endpoint.has_ended
        )

    async def request_report(self, endpoint):
        """Request one report; return whether to ask for the next one without a wait.

        That is so if the report was processed, or only showed a restart.
        """
        sent_at = self.clock.now()
        was_unreachable = endpoint.unreachable_since is not None
        wait = polling.report_wait(endpoint, self.load_meter.recent_lag, sent_at)
        lease_seconds = self.sender.lease_seconds(endpoint, sent_at)
        deadline_ms = endpoint.extend(sent_at, lease_seconds)
        fence = endpoint.fence(self.writer.fence)
        info = endpoint.info
        # An incarnation that is not known yet would forget ends of its own.
        acknowledged = 0 if was_unreachable else endpoint.last_acknowledged_end
        try:
            report = await self.driver.report(
                endpoint, deadline_ms, acknowledged, wait, fence
            )
        except (errors.CallError, errors.OrderRefusedError) as error:
            metrics.ORDERS.labels("report", error.code).inc()
            self.sender.mark_unreachable(endpoint, error)
            endpoint.mark_silent(self.clock.now())
            self.sender.check_fenced(endpoint, fence, error)
            self.sender.check_incarnation(endpoint, info, error)
            return False
        metrics.ORDERS.labels("report", "reported").inc()
        now = self.clock.now()
        had_reported = endpoint.has_reported
        if not self.engine.process_report(endpoint, report, sent_at, now):
            return report.born_ms == endpoint.info.born_ms
        if was_unreachable:
            self.log.info("endpoint.regained", endpoint=endpoint.id)
        if not had_reported or report.ended or was_unreachable:
            self.sender.request_plan()
        self.sender.pace(endpoint)
        if not had_reported:
            self.change_writer.record_endpoint(endpoint)
            self.change_writer.check_changes()
        if endpoint.has_unstored_ends:
            self.change_writer.check_changes()
            await self.change_writer.wait_stored(endpoint)
            await self.pause_after_ends()
        return True

    async def pause_after_ends(self):
        """Let further runs of an endpoint end before its next report if late."""
        seconds = polling.pause_after_ends(self.load_meter.recent_lag)
        if seconds:
            await asyncio.sleep(seconds)
