"""Service "fleet": tracks the endpoints and detects jobs that can never run."""

import asyncio

from clementinebay import errors
from clementinebay.log import Log
from clementinebay.policy import fitting, planner, quota
from clementinebay.service import Service

#: Longest time between two updates, in seconds.
UPDATE_SECONDS = 5.0
#: Shortest time between two reads of logs of domains without known endpoints, in
#: seconds.
MIN_READ_INTERVAL_SECONDS = 10.0

log = Log("fleet")


class FleetWatcher(Service):
    """Holds a `fitting.Fleet` of all domains in ``fleet``.

    It is built from the live list and this shard's state.  The log of another domain is
    read only if the live list contains none of its endpoints.
    """

    name = "fleet"
    requires = ("shard", "config", "livelist")

    async def start(self):
        """Start to track endpoints."""
        self.shard = self.kernel.find("shard")
        self.config = self.kernel.find("config")
        self.livelist = self.kernel.find("livelist")
        self.domain = self.settings.daemon_failure_domain
        self.fleet = fitting.Fleet()
        self.last_read_at = 0.0
        self.livelist.observers.append(self.update_fleet)
        self.background.spawn(self.watch)

    async def watch(self):
        """Update the fleet periodically, also while the live list cannot be read."""
        while True:
            self.update_fleet()
            await asyncio.sleep(UPDATE_SECONDS)

    def update_fleet(self):
        """Record the endpoints on the live list and in this shard's state."""
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
        self.record_endpoints(self.domain, self.shard.state, until)
        self.fleet.forget(now)

    def record_endpoints(self, domain, state, until):
        """Record the endpoints in a shard's state, including lost ones."""
        for name, endpoint in state.endpoints.items():
            self.fleet.record_endpoint(
                domain, name, quota.resource_vector(endpoint.seen.size), until
            )

    async def find_unplaceable(self, jobs):
        """Return {job id: `ParkReason`} of the waiting ``jobs`` that can never run."""
        self.update_fleet()
        jobs = [job for job in jobs if planner.has_waiting_tasks(job)]
        sizes = {quota.resource_vector(job.spec.size) for job in jobs}
        if not all(self.fleet.fits(size) for size in sizes):
            await self.read_unlisted_domains()
        quotas = quota.totals(self.config.document)
        found = {}
        for job in jobs:
            reason = fitting.unplaceable_reason(job.spec, self.fleet, quotas)
            if reason is not None:
                found[job.spec.id] = reason
        return found

    async def read_unlisted_domains(self):
        """Read the logs of domains without endpoints on the live list."""
        now = self.clock.now()
        if now < self.last_read_at + MIN_READ_INTERVAL_SECONDS:
            return
        self.last_read_at = now
        until = now + self.settings.scheduler_job_retention_seconds
        for domain in self.fleet.domains_without_endpoints():
            shard_log = self.shard.log_of(domain)
            try:
                await shard_log.catch_up()
            except (errors.PlatformError, errors.ShardError) as error:
                log.debug("%s: %s.", domain, error)
            self.record_endpoints(domain, shard_log.state, until)
