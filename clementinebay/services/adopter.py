"""Service "adopter": manages failure domains that have no entry VM left.

Running batch tasks continue under renewed leases and their results are recorded.
Replicas are released.  Waiting tasks are moved to other domains; no task is bound.
"""

import asyncio
import uuid

from clementinebay import errors
from clementinebay.endpoint.base import Renewal
from clementinebay.log import Log
from clementinebay.policy import adoption, attempts, balance, membership, quota
from clementinebay.quotaparts import QuotaParts
from clementinebay.service import Service
from clementinebay.services.dispatcher import EndpointOrders
from clementinebay.shard import transfer
from clementinebay.shard.leader import LeaderLease
from clementinebay.shard.log import split

log = Log("adopter")


class Adopter(Service):
    """Holds an `AdoptedDomain` for each domain that this daemon may manage."""

    name = "adopter"
    requires = ("shard", "driver", "config", "livelist", "platform")

    async def start(self):
        """Start to look for domains without entry VMs."""
        self.livelist = self.kernel.find("livelist")
        self.config = self.kernel.find("config")
        self.absence = adoption.Absence()
        self.known_domains = set()
        self.adopted = {}
        self.background.spawn(self.run)

    async def stop(self):
        """Release all adopted domains."""
        await self.background.__aexit__()
        for adopted_domain in self.adopted.values():
            await adopted_domain.__aexit__()

    async def run(self):
        """Update the adopted domains and run a round for each, at every interval."""
        while True:
            await asyncio.sleep(self.settings.scheduler_poll_seconds)
            if self.livelist.confirmed_at:
                await self.update_adopted()
            for domain, adopted_domain in self.adopted.items():
                try:
                    await adopted_domain.tick()
                except (errors.PlatformError, errors.ShardError) as error:
                    log.debug("%s: %s.", domain, error)

    async def update_adopted(self):
        """Adopt domains without entry VMs, release the others."""
        domains_to_adopt = set(self.domains_to_adopt())
        for domain in set(self.adopted) - domains_to_adopt:
            await self.adopted.pop(domain).__aexit__()
            log.info("Released domain %s.", domain)
        for domain in domains_to_adopt - set(self.adopted):
            self.adopted[domain] = AdoptedDomain(self, domain)

    def domains_to_adopt(self):
        """Return the domains that this daemon should try to adopt."""
        own, name = self.settings.daemon_failure_domain, self.settings.daemon_name
        entries = [vm for vm in self.livelist.daemons() if not vm.leaving]
        served = {vm.failure_domain for vm in entries} | {own}
        self.known_domains.update(self.livelist.domains())
        self.known_domains.update(self.config.document.section_names("domain"))
        now = self.clock.now()
        self.absence.observe(self.known_domains, served, now)
        names = [vm.id for vm in entries] + [name]
        after = self.settings.scheduler_adopt_after_seconds
        return [
            domain
            for domain in self.absence.absent(now, after)
            if name in adoption.candidates(domain, names)
        ]


class AdoptedDomain:
    """One domain that this daemon manages while it holds the domain's leader lease."""

    def __init__(self, adopter, domain):
        self.adopter = adopter
        self.domain = domain
        self.settings = adopter.settings
        self.clock = adopter.clock
        self.shard = adopter.kernel.find("shard")
        self.log = self.shard.log_of(domain)
        self.driver = adopter.kernel.find("driver").driver
        self.orders = EndpointOrders(
            self, self.driver, self.clock, self.settings.scheduler_tick_seconds
        )
        self.quota_parts = QuotaParts(
            adopter.kernel.find("platform").control, domain, self.clock
        )
        self.leader = LeaderLease(
            adopter.kernel.find("platform").control,
            domain,
            self.settings.daemon_name,
            self.settings.scheduler_leader_seconds,
            self.clock,
        )

    async def __aexit__(self, *exc):
        await self.orders.__aexit__(*exc)
        await self.leader.resign()

    async def tick(self):
        """Run one round: renew leases, append decisions, move tasks, send orders."""
        if not await self.leader.hold():
            self.quota_parts.reset()
            return
        await self.log.catch_up()
        totals = quota.totals(self.adopter.config.document)
        await self.quota_parts.adjust(self.log, totals, leaving=True)
        names = list(self.log.state.endpoints)
        await asyncio.gather(*(self.renew(name) for name in names))
        for part in split(self.orders.drain_records() + self.decide()):
            await self.log.append(part)
        await self.fill_outbox()
        self.orders.reconcile()
        for target in {p.target for p in self.log.state.outbox.values()}:
            count = await transfer.deliver(
                self.log, self.shard.log_of(target), self.domain
            )
            log.info("Moved %d parts from %s to %s.", count, self.domain, target)

    def decide(self):
        """Return the membership and release records due in the domain's state."""
        state, now = self.log.state, self.clock.now()
        settings, document = self.settings, self.adopter.config.document
        skew = settings.scheduler_clock_skew_seconds
        free_at = now + settings.scheduler_reclaim_after_seconds + 2 * skew
        vms = self.adopter.livelist.endpoints(self.domain)
        records = membership.domain_records(state, document, self.domain)
        records += membership.endpoint_records(state, vms, now, free_at)
        records += membership.expired_records(state, now, skew)
        records += membership.release_records(state)
        if not state.out:
            records += adoption.release_records(state)
        return records

    async def fill_outbox(self):
        """Move waiting tasks into the outbox."""
        if self.log.state.outbox or not balance.surplus(self.log.state, True):
            return
        targets = {}
        for name in self.targets():
            target = self.shard.log_of(name)
            await target.catch_up()
            targets[name] = target.state
        nonce = uuid.uuid4().hex[:8]
        records = balance.move_records(
            self.log.state, targets, nonce, self.clock.now(), True
        )
        if records:
            await self.log.append(records)

    def targets(self):
        """Return the other domains that are in service and have entry VMs."""
        document = self.adopter.config.document
        entries = self.adopter.livelist.daemons()
        served = {vm.failure_domain for vm in entries if not vm.leaving}
        served.add(self.settings.daemon_failure_domain)
        served.discard(self.domain)
        return sorted(name for name in served if not document.domain_out(name))

    async def renew(self, name):
        """Renew the leases at one endpoint and process its full report."""
        endpoint = self.log.state.endpoints[name]
        if endpoint.lost:
            return
        expected = attempts.running(self.log.state, name)
        deadline = attempts.renewal_deadline(
            self.clock.now(),
            self.log.confirmed_at,
            self.settings.scheduler_lease_seconds,
            self.settings.scheduler_reclaim_after_seconds,
        )
        try:
            renewal = Renewal(deadline)
            report = await self.driver.renew(endpoint.seen.address, renewal)
        except errors.EndpointError as error:
            log.debug("%s: %s.", name, error)
            return
        self.orders.process_reports(name, report.tasks, expected)
