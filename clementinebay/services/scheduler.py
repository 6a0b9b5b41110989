"""Service "scheduler": places and evicts tasks of its shard while it is the leader."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.log import Log
from clementinebay.policy import eviction, membership, placement, planner, quota
from clementinebay.policy.taskhealth import ParkReason, TaskHealth
from clementinebay.quotaparts import QuotaParts
from clementinebay.service import Service
from clementinebay.shard.entities import Phase
from clementinebay.shard.leader import LeaderLease
from clementinebay.shard.wire import ttypes as wire

#: Longest time between two decisions on an unchanged state, in seconds.
MAX_DECISION_INTERVAL_SECONDS = 1.0
#: The same if no task waits and no endpoint is lost, shrunk or failing, in seconds.
MAX_SETTLED_INTERVAL_SECONDS = 5.0

log = Log("scheduler")


class Scheduler(Service):
    """Appends decisions to the shard's log and triggers the dispatcher."""

    name = "scheduler"
    requires = (
        "shard",
        "dispatcher",
        "renewals",
        "peers",
        "reachability",
        "colocation",
        "config",
        "livelist",
        "platform",
    )

    async def start(self):
        """Start the decision loop."""
        settings = self.settings
        self.shard = self.kernel.find("shard")
        self.dispatcher = self.kernel.find("dispatcher")
        self.renewals = self.kernel.find("renewals")
        self.peers = self.kernel.find("peers")
        self.reachability = self.kernel.find("reachability")
        self.colocation = self.kernel.find("colocation")
        self.config = self.kernel.find("config")
        self.livelist = self.kernel.find("livelist")
        self.domain = settings.daemon_failure_domain
        self.leader = LeaderLease(
            self.kernel.find("platform").control,
            self.domain,
            settings.daemon_name,
            settings.scheduler_leader_seconds,
            self.clock,
        )
        store = self.kernel.find("platform").control
        self.quota_parts = QuotaParts(store, self.domain, self.clock)
        self.background.spawn(self.follow_parts)
        self.health = TaskHealth()
        self.last_decision_key = None
        self.settled_inputs = None
        self.next_decision_at = 0.0
        self.background.spawn(self.run)

    async def stop(self):
        """Stop deciding and release the leader lease."""
        await self.background.__aexit__()
        await self.leader.resign()

    async def run(self):
        """Decide at every tick while this daemon holds the leader lease."""
        while True:
            active = await self.leader.hold(self.peers.scheduler() is not None)
            if active and not self.renewals.active:
                self.start_leading()
            self.renewals.active = active
            if active and self.shard.log.confirmed_at:
                await self.tick()
            await asyncio.sleep(self.settings.scheduler_tick_seconds)

    def start_leading(self):
        """Reset decision state; load recorded failures from the shard's state."""
        self.health = TaskHealth()
        self.health.load_failures(self.shard.state)
        self.quota_parts.reset()
        self.last_decision_key = None

    async def follow_parts(self):
        """Follow the domains' parts of team quotas; reconnect after errors."""
        while True:
            try:
                await self.quota_parts.follow()
            except errors.PlatformError as error:
                log.debug("Watch of quota parts failed; retrying: %s.", error)
            await asyncio.sleep(self.settings.scheduler_poll_seconds)

    async def tick(self):
        """Run one decision round: decide, append the records, reconcile endpoints."""
        if self.settings.scheduler_quotas == "lent":
            totals = quota.totals(self.config.document)
            await self.quota_parts.adjust(self.shard.log, totals)
        records = self.records_from_reports() + self.decide_if_changed()
        if records:
            try:
                await self.write(records)
            except (errors.LogConflictError, errors.PlatformError) as error:
                # Full reports and a new decision recreate the records that still apply.
                log.debug("Could not append records: %s.", error)
                self.renewals.request_full_reports()
                self.last_decision_key = None
        await self.compact_log()
        self.dispatcher.reconcile()

    def records_from_reports(self):
        """Return the records derived from endpoints' reports since the last call."""
        records = self.dispatcher.drain_records()
        if self.settings.scheduler_task_health == "off":
            return records
        state, now = self.shard.state, self.clock.now()
        return [self.health.attribute_failure(state, record, now) for record in records]

    def decide_if_changed(self):
        """Decide if an input changed or the longest decision interval has passed."""
        now = self.clock.now()
        self.health.review(now)
        records = []
        if self.settings.scheduler_colocation == "on":
            records = self.colocation.records()
        key = (
            self.shard.state.index,
            self.config.document.revision,
            self.livelist.vms,
            self.health.version,
            self.first_lease_deadline() > now,
            *self.team_limits().items(),
        )
        if key == self.last_decision_key and now < self.next_decision_at:
            return records
        self.last_decision_key = key
        with metrics.DECISION_SECONDS.time():
            records = records + self.decide(now)
        settled = not records and self.is_settled()
        self.next_decision_at = now + (
            MAX_SETTLED_INTERVAL_SECONDS if settled else MAX_DECISION_INTERVAL_SECONDS
        )
        return records

    def is_settled(self):
        """Return whether time alone is unlikely to change the next decision soon."""
        state = self.shard.state
        unsettled = any(
            known.lost or known.free_at or known.shrunk
            for known in state.endpoints.values()
        )
        return not (
            unsettled or self.reachability.policy.any_failing() or planner.queue(state)
        )

    def decide(self, now):
        """Return the records due for the state, the configuration and the live list."""
        state, settings = self.shard.state, self.settings
        self.health.forget(state, now)
        records = membership.domain_records(state, self.config.document, self.domain)
        records += self.endpoint_records(now)
        skew = settings.scheduler_clock_skew_seconds
        records += membership.expired_records(state, now, skew)
        records += membership.release_records(state)
        ledger = quota.ledger(state, self.team_limits())
        plan = planner.plan(
            state,
            now,
            self.first_lease_deadline(),
            self.placement_policy(),
            self.health,
            ledger,
        )
        records += [wire.Record(bind=bind) for bind in plan.binds]
        if settings.scheduler_eviction == "on":
            records += eviction.release_records(
                state,
                plan.unplaced,
                now,
                self.colocation.usage.saved_at,
                lambda name: self.health.barred(name, now),
                ledger,
            )
        metrics.BARRED_ENDPOINTS.set(
            sum(self.health.barred(n, now) for n in state.endpoints)
        )
        return records

    def endpoint_records(self, now):
        """Return records of endpoints that changed on the live list."""
        if not self.livelist.confirmed_at:
            return []
        state, settings = self.shard.state, self.settings
        vms = self.reachability.trusted(self.livelist.endpoints(self.domain))
        # Same live list and same endpoint states: the result would be empty again.
        inputs = (vms, membership.comparison_key(state))
        if inputs == self.settled_inputs:
            return []
        free_at = (
            now
            + settings.scheduler_reclaim_after_seconds
            + 2 * settings.scheduler_clock_skew_seconds
        )
        records = membership.endpoint_records(state, vms, now, free_at)
        self.settled_inputs = None if records else inputs
        return records

    def placement_policy(self):
        """Return the placement policy selected in the settings."""
        name = self.settings.scheduler_placement
        if name == "balanced" and self.settings.scheduler_colocation == "on":
            return placement.Balanced(self.colocation.pressure())
        return placement.POLICIES[name]()

    def team_limits(self):
        """Return the resource limits of teams in this domain."""
        if self.settings.scheduler_quotas == "lent":
            return self.quota_parts.limits
        document = self.config.document
        domains = [
            name
            for name in {*self.livelist.domains(), self.domain}
            if name == self.domain or not document.domain_out(name)
        ]
        return quota.limits(document, self.domain, domains)

    def first_lease_deadline(self):
        """Return the lease deadline of newly bound tasks.

        The grace period counts from the last confirmed reads of the configuration and
        the live list, so a domain cut off from the platform stops starting tasks.
        """
        if self.config.document.domain_out(self.domain):
            return 0.0
        confirmed = min(self.config.confirmed_at, self.livelist.confirmed_at)
        return confirmed + self.settings.scheduler_start_grace_seconds

    async def write(self, records):
        """Append ``records`` to the log and update their metrics."""
        refusals = await self.shard.append(records)
        for record, refusal in zip(records, refusals, strict=True):
            if refusal is not None:
                metrics.RECORDS_REFUSED.inc()
                continue
            kind = next(n for n in record.__slots__ if getattr(record, n) is not None)
            metrics.RECORDS.labels(kind).inc()
            if kind == "release":
                metrics.EVICTIONS.labels(record.release.reason).inc()
            elif kind == "finish":
                self.count_parked(record.finish)

    def count_parked(self, finish):
        """Count the task in the metrics if its last failure parked it."""
        job = self.shard.state.jobs.get(finish.job)
        task = job.tasks.get(finish.index) if job else None
        if task is not None and task.phase == Phase.PARKED:
            reason = finish.reason.partition(":")[0]
            known = reason in list(ParkReason)
            metrics.PARKED.labels(reason if known else "other").inc()

    async def compact_log(self):
        """Write a snapshot once enough batches were added, and delete old batches."""
        shard_log = self.shard.log
        age = shard_log.state.index - shard_log.snapshot_index
        if age < self.settings.scheduler_snapshot_batches:
            return
        try:
            await shard_log.write_snapshot()
            retention = self.settings.scheduler_retention_seconds
            await shard_log.truncate(self.clock.now() - retention)
        except (errors.PlatformError, errors.ShardError) as error:
            log.warning("Could not write a snapshot or truncate the log: %s.", error)
