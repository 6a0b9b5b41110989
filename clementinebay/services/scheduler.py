"""Service "scheduler": decides for its shard while it holds the leader lease."""

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

#: Longest time between two decisions about a state that did not change, in seconds.
LOOK_AGAIN_SECONDS = 1.0
#: The same while nothing waits and no endpoint is in doubt, in seconds.
LOOK_AGAIN_SETTLED_SECONDS = 5.0

log = Log("scheduler")


class Scheduler(Service):
    """Appends decisions to the shard's log and has the dispatcher act on them."""

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
        """Begin to decide."""
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
        self.parts = QuotaParts(store, self.domain, self.clock)
        self.background.spawn(self.follow_parts)
        self.health = TaskHealth()
        self.decided = None
        self.compared = None
        self.look_again_at = 0.0
        self.background.spawn(self.run)

    async def stop(self):
        """Hand the shard over."""
        await self.background.__aexit__()
        await self.leader.resign()

    async def run(self):
        """Decide at every tick while the lease is held."""
        while True:
            active = await self.leader.hold(self.peers.scheduler() is not None)
            if active and not self.renewals.active:
                self.take_over()
            self.renewals.active = active
            if active and self.shard.log.confirmed_at:
                await self.tick()
            await asyncio.sleep(self.settings.scheduler_tick_seconds)

    def take_over(self):
        """Begin with what the state remembers of failures."""
        self.health = TaskHealth()
        self.health.load_failures(self.shard.state)
        self.parts.reset()
        self.decided = None

    async def follow_parts(self):
        """Follow the parts of quotas while this daemon schedules."""
        while True:
            try:
                await self.parts.follow()
            except errors.PlatformError as error:
                log.debug("Following the quotas again: %s.", error)
            await asyncio.sleep(self.settings.scheduler_poll_seconds)

    async def tick(self):
        """Make one round of decisions, write them, and act on the state."""
        if self.settings.scheduler_quotas == "lent":
            totals = quota.totals(self.config.document)
            await self.parts.adjust(self.shard.log, totals)
        records = self.outcomes() + self.decide_if_changed()
        if records:
            try:
                await self.write(records)
            except (errors.LogConflictError, errors.PlatformError) as error:
                # Whatever is still true is reported and decided again.
                log.debug("Nothing was written: %s.", error)
                self.renewals.ask_again()
                self.decided = None
        await self.keep_log_short()
        self.dispatcher.reconcile()

    def outcomes(self):
        """Return the records that endpoints' reports ask for."""
        records = self.dispatcher.drain_records()
        if self.settings.scheduler_task_health == "off":
            return records
        state, now = self.shard.state, self.clock.now()
        return [self.health.judge(state, record, now) for record in records]

    def decide_if_changed(self):
        """Decide, unless nothing changed since the last decision."""
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
            self.first_lease() > now,
            *self.quotas().items(),
        )
        if key == self.decided and now < self.look_again_at:
            return records
        self.decided = key
        with metrics.DECISION_SECONDS.time():
            records = records + self.decide(now)
        settled = not records and self.is_settled()
        self.look_again_at = now + (
            LOOK_AGAIN_SETTLED_SECONDS if settled else LOOK_AGAIN_SECONDS
        )
        return records

    def is_settled(self):
        """Return whether time alone will not change the next decision for a while."""
        state = self.shard.state
        doubtful = any(
            known.lost or known.free_at or known.shrunk
            for known in state.endpoints.values()
        )
        return not (
            doubtful or self.reachability.policy.any_failing() or planner.queue(state)
        )

    def decide(self, now):
        """Return the records that the state and the platform's word ask for."""
        state, settings = self.shard.state, self.settings
        self.health.forget(state, now)
        records = membership.domain_records(state, self.config.document, self.domain)
        records += self.endpoint_records(now)
        skew = settings.scheduler_clock_skew_seconds
        records += membership.expired_records(state, now, skew)
        records += membership.release_records(state)
        ledger = quota.ledger(state, self.quotas())
        plan = planner.plan(
            state, now, self.first_lease(), self.policy(), self.health, ledger
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
        """Return records of what changed on the live list."""
        if not self.livelist.confirmed_at:
            return []
        state, settings = self.shard.state, self.settings
        vms = self.reachability.trusted(self.livelist.endpoints(self.domain))
        # A list that brought nothing new to these endpoints will not do so later.
        compared = (vms, membership.comparison_key(state))
        if compared == self.compared:
            return []
        free_at = (
            now
            + settings.scheduler_reclaim_after_seconds
            + 2 * settings.scheduler_clock_skew_seconds
        )
        records = membership.endpoint_records(state, vms, now, free_at)
        self.compared = None if records else compared
        return records

    def policy(self):
        """Return the placement policy that the settings name."""
        name = self.settings.scheduler_placement
        if name == "balanced" and self.settings.scheduler_colocation == "on":
            return placement.Balanced(self.colocation.pressure())
        return placement.POLICIES[name]()

    def quotas(self):
        """Return the limits of teams in this domain."""
        if self.settings.scheduler_quotas == "lent":
            return self.parts.limits
        document = self.config.document
        domains = [
            name
            for name in {*self.livelist.domains(), self.domain}
            if name == self.domain or not document.domain_out(name)
        ]
        return quota.limits(document, self.domain, domains)

    def first_lease(self):
        """Return the deadline of a first lease.

        It is counted from the last confirmed reads of the configuration and the live
        list, so that a domain that is cut off stops starting tasks by itself.
        """
        if self.config.document.domain_out(self.domain):
            return 0.0
        confirmed = min(self.config.confirmed_at, self.livelist.confirmed_at)
        return confirmed + self.settings.scheduler_start_grace_seconds

    async def write(self, records):
        """Append ``records`` and count them."""
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
        """Count a task that its last failure parked."""
        job = self.shard.state.jobs.get(finish.job)
        task = job.tasks.get(finish.index) if job else None
        if task is not None and task.phase == Phase.PARKED:
            reason = finish.reason.partition(":")[0]
            known = reason in list(ParkReason)
            metrics.PARKED.labels(reason if known else "other").inc()

    async def keep_log_short(self):
        """Write a snapshot now and then, and delete old batches."""
        shard_log = self.shard.log
        age = shard_log.state.index - shard_log.snapshot_index
        if age < self.settings.scheduler_snapshot_batches:
            return
        try:
            await shard_log.write_snapshot()
            retention = self.settings.scheduler_retention_seconds
            await shard_log.truncate(self.clock.now() - retention)
        except (errors.PlatformError, errors.ShardError) as error:
            log.warning("No snapshot: %s.", error)
