"""Service "scheduler": decides for its shard while it holds the leader lease."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.log import Log
from clementinebay.policy import membership, placement
from clementinebay.service import Service
from clementinebay.shard.leader import LeaderLease
from clementinebay.shard.wire import ttypes as wire

log = Log("scheduler")


class Scheduler(Service):
    """Appends decisions to the shard's log and has the dispatcher act on them."""

    name = "scheduler"
    requires = ("shard", "dispatcher", "renewals", "config", "livelist", "platform")

    async def start(self):
        """Begin to decide."""
        settings = self.settings
        self.shard = self.kernel.find("shard")
        self.dispatcher = self.kernel.find("dispatcher")
        self.renewals = self.kernel.find("renewals")
        self.config = self.kernel.find("config")
        self.livelist = self.kernel.find("livelist")
        self.domain = settings.daemon_failure_domain
        self.leader = LeaderLease(
            self.kernel.find("platform").store,
            self.domain,
            settings.daemon_name,
            settings.scheduler_leader_seconds,
            self.clock,
        )
        self.background.spawn(self.run)

    async def stop(self):
        """Hand the shard over."""
        await self.background.__aexit__()
        await self.leader.give_up()

    async def run(self):
        """Decide at every tick while the lease is held."""
        while True:
            self.renewals.active = await self.leader.hold()
            if self.renewals.active and self.shard.log.confirmed_at:
                await self.tick()
            await asyncio.sleep(self.settings.scheduler_tick_seconds)

    async def tick(self):
        """Make one round of decisions, write them, and act on the state."""
        records = self.dispatcher.take_records() + self.decide()
        if records:
            try:
                await self.write(records)
            except (errors.LogConflictError, errors.PlatformError) as error:
                # Whatever is still true is reported and decided again.
                log.debug("Nothing was written: %s.", error)
                self.renewals.ask_again()
        await self.keep_log_short()
        self.dispatcher.reconcile()

    def decide(self):
        """Return the records that the state and the platform's word ask for."""
        state, now = self.shard.state, self.clock.now()
        settings = self.settings
        records = membership.domain_records(state, self.config.document, self.domain)
        if self.livelist.confirmed_at:
            free_at = (
                now
                + settings.scheduler_reclaim_after_seconds
                + 2 * settings.scheduler_clock_skew_seconds
            )
            vms = self.livelist.endpoints(self.domain)
            records += membership.endpoint_records(state, vms, now, free_at)
        skew = settings.scheduler_clock_skew_seconds
        records += membership.expired_records(state, now, skew)
        records += membership.release_records(state)
        binds = placement.plan(state, now, self.first_lease())
        return records + [wire.Record(bind=bind) for bind in binds]

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
                metrics.REFUSED.inc()
                continue
            kind = next(n for n in record.__slots__ if getattr(record, n) is not None)
            metrics.RECORDS.labels(kind).inc()
            if kind == "release":
                metrics.EVICTIONS.labels(record.release.reason).inc()

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
        except (errors.PlatformError, errors.LogConflictError) as error:
            log.info("No snapshot: %s.", error)
