"""Service "shard": follows the log of this daemon's failure domain."""

import asyncio

from clementinebay import errors, metrics, model
from clementinebay.log import Log
from clementinebay.service import Service
from clementinebay.shard import checks
from clementinebay.shard.entities import Phase
from clementinebay.shard.groupcommit import GroupWriter
from clementinebay.shard.log import ShardLog, split
from clementinebay.shard.wire import ttypes as wire

#: Time between two reads that confirm the end of the log, in seconds.
CONFIRM_SECONDS = 2.0
#: Wait before a watch that broke is opened again, in seconds.
FOLLOW_AGAIN_SECONDS = 0.5
#: Batches after which the whole state is checked, not just what they touched.
BATCHES_BETWEEN_FULL_CHECKS = 200

log = Log("shard")


class ShardFollower(Service):
    """Owns ``log``, whose ``state`` follows the shard; ``changed`` wakes waiters."""

    name = "shard"
    requires = ("platform",)

    async def start(self):
        """Begin to follow."""
        self.log = self.open(self.settings.daemon_failure_domain)
        self.log.inspect = self.inspect
        self.logs = {self.settings.daemon_failure_domain: self.log}
        self.writers = {}
        self.changed = asyncio.Event()
        self.replica_table = {}
        self.replica_table_of = None
        self.background.spawn(self.follow)
        self.background.spawn(self.confirm)

    def open(self, domain):
        """Return the log of ``domain`` for this daemon as a writer."""
        store = self.kernel.find("platform").control
        return ShardLog(store, domain, self.settings.daemon_name, self.clock)

    async def stop(self):
        """End the writers."""
        for writer in self.writers.values():
            await writer.__aexit__()

    def log_of(self, domain):
        """Return the log of ``domain``; only this domain's follows by itself."""
        if domain not in self.logs:
            self.logs[domain] = self.open(domain)
        return self.logs[domain]

    def writer(self, domain):
        """Return the `GroupWriter` of the log of ``domain``."""
        if domain not in self.writers:
            self.writers[domain] = GroupWriter(self.log_of(domain))
        return self.writers[domain]

    def inspect(self, state):
        """Check the promises after a batch; count and log what is broken."""
        try:
            if state.index % BATCHES_BETWEEN_FULL_CHECKS:
                checks.check_changed_endpoints(state)
            else:
                state.check()
        except errors.InvariantBrokenError as error:
            metrics.INVARIANTS_BROKEN.inc()
            log.error("Batch %d broke an invariant: %s.", state.index, error)

    @property
    def state(self):
        """The shard's state as far as it is known here."""
        return self.log.state

    async def follow(self):
        """Apply batches as they are written."""
        while True:
            try:
                async for _applied in self.log.follow():
                    self.wake()
            except (errors.PlatformError, errors.LogGapError) as error:
                log.debug("Following again: %s.", error)
            await asyncio.sleep(FOLLOW_AGAIN_SECONDS)

    async def confirm(self):
        """Read the end of the log now and then; a silent watch proves nothing."""
        while True:
            await asyncio.sleep(CONFIRM_SECONDS)
            if self.clock.now() - self.log.confirmed_at > CONFIRM_SECONDS:
                index = self.state.index
                await self.log.catch_up()
                if self.state.index != index:
                    self.wake()

    def wake(self):
        """Wake those who wait for a change of the state."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def append(self, records):
        """Append ``records`` once; return their refusals."""
        refusals = []
        for part in split(records):
            refusals += await self.log.append(part)
        for record, refusal in zip(records, refusals, strict=True):
            if refusal is not None:
                log.warning("Refused %s: %s.", record, refusal)
        self.wake()
        return refusals

    def replicas(self, service):
        """Return the running `Replica`s of ``service`` in this domain."""
        key = (id(self.state), self.state.index)
        if self.replica_table_of != key:
            self.replica_table = replica_table(self.state)
            self.replica_table_of = key
        return self.replica_table.get(service, [])

    def service_names(self):
        """Return the services that have running replicas in this domain."""
        self.replicas("")
        return list(self.replica_table)


def replica_table(state):
    """Return {service: replicas} of what runs in ``state``."""
    table = {}
    for job in state.jobs.values():
        if job.spec.workload != wire.Workload.SERVICE:
            continue
        service = job.spec.origin or job.spec.id
        for task in job.tasks.values():
            if task.phase == Phase.RUNNING:
                seen = state.endpoints[task.endpoint].seen
                replica = model.Replica(
                    seen.id, seen.address, seen.slots, seen.connections
                )
                table.setdefault(service, {})[seen.id] = replica
    return {service: list(found.values()) for service, found in table.items()}
