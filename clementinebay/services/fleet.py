"""Service "fleet": knows what endpoints there are, and what can never run on them."""

import asyncio

from clementinebay import errors
from clementinebay.log import Log
from clementinebay.policy import fitting, planner, quota
from clementinebay.service import Service

#: Time between two looks at the live list, in seconds.
LOOK_SECONDS = 5.0
#: Shortest time between two reads of the logs of unseen domains, in seconds.
READ_SECONDS = 10.0

log = Log("fleet")


class FleetWatcher(Service):
    """Holds a `fitting.Fleet` of all domains in ``fleet``.

    It is taken from the live list and this shard's state.  The log of another domain
    is read only if the list names none of its endpoints.
    """

    name = "fleet"
    requires = ("shard", "config", "livelist")

    async def start(self):
        """Begin to look."""
        self.shard = self.kernel.find("shard")
        self.config = self.kernel.find("config")
        self.livelist = self.kernel.find("livelist")
        self.domain = self.settings.daemon_failure_domain
        self.fleet = fitting.Fleet()
        self.read_at = 0.0
        self.background.spawn(self.watch)

    async def watch(self):
        """Look at every interval, so that what leaves the list is remembered."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_SECONDS)

    def look(self):
        """Take in the live list and the endpoints of this shard."""
        now = self.clock.now()
        until = now + self.settings.scheduler_job_retention_seconds
        for domain in (
            *self.livelist.domains(),
            *self.config.document.section_names("domain"),
        ):
            self.fleet.record_domain(domain)
        for vm in self.livelist.vms.values():
            if vm.role == "endpoint":
                size = (vm.processors_milli, vm.memory_mb, vm.accelerators)
                self.fleet.record_endpoint(vm.failure_domain, vm.id, size, until)
        self.take_state(self.domain, self.shard.state, until)
        self.fleet.forget(now)

    def take_state(self, domain, state, until):
        """Take in the endpoints of a shard's state, lost ones too."""
        for name, endpoint in state.endpoints.items():
            self.fleet.record_endpoint(
                domain, name, quota.resource_vector(endpoint.seen.size), until
            )

    async def judge(self, jobs):
        """Return {job id: `ParkReason`} of those of ``jobs`` that wait in vain."""
        self.look()
        jobs = [job for job in jobs if planner.waits(job)]
        sizes = {quota.resource_vector(job.spec.size) for job in jobs}
        if not all(self.fleet.fits(size) for size in sizes):
            await self.read_unseen()
        quotas = quota.totals(self.config.document)
        found = {}
        for job in jobs:
            reason = fitting.unplaceable_reason(job.spec, self.fleet, quotas)
            if reason is not None:
                found[job.spec.id] = reason
        return found

    async def read_unseen(self):
        """Read the logs of domains that the live list names no endpoint of."""
        now = self.clock.now()
        if now < self.read_at + READ_SECONDS:
            return
        self.read_at = now
        until = now + self.settings.scheduler_job_retention_seconds
        for domain in self.fleet.domains_without_endpoints():
            shard_log = self.shard.log_of(domain)
            try:
                await shard_log.catch_up()
            except (errors.PlatformError, errors.ShardError) as error:
                log.debug("%s: %s.", domain, error)
            self.take_state(domain, shard_log.state, until)
