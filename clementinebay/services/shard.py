"""Service "shard": replicates the log of this daemon's failure domain."""

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
#: Delay before a failed watch is reopened, in seconds.
FOLLOW_RETRY_SECONDS = 0.5
#: Interval of full checks of the state, in batches; other checks cover changed parts.
FULL_CHECK_BATCHES = 200

log = Log("shard")


class ShardFollower(Service):
    """Owns ``log``, whose ``state`` follows the shard.

    ``changed`` is an event that is set, and replaced, at every change of the state.
    """

    name = "shard"
    requires = ("platform",)

    async def start(self):
        """Open the log and start to follow it."""
        self.log = self.open_log(self.settings.daemon_failure_domain)
        self.log.inspect = self.inspect
        self.logs = {self.settings.daemon_failure_domain: self.log}
        self.writers = {}
        self.changed = asyncio.Event()
        self.replica_table = {}
        self.replica_table_key = None
        self.background.spawn(self.follow)
        self.background.spawn(self.confirm)

    def open_log(self, domain):
        """Return a new log of ``domain`` with this daemon as the writer."""
        store = self.kernel.find("platform").control
        return ShardLog(store, domain, self.settings.daemon_name, self.clock)

    async def stop(self):
        """Stop the group writers."""
        for writer in self.writers.values():
            await writer.__aexit__()

    def log_of(self, domain):
        """Return the log of ``domain``; only this domain's is followed continuously."""
        if domain not in self.logs:
            self.logs[domain] = self.open_log(domain)
        return self.logs[domain]

    def writer(self, domain):
        """Return the `GroupWriter` of the log of ``domain``."""
        if domain not in self.writers:
            self.writers[domain] = GroupWriter(self.log_of(domain))
        return self.writers[domain]

    def inspect(self, state):
        """Check the invariants after a batch; count and log violations."""
        try:
            if state.index % FULL_CHECK_BATCHES:
                checks.check_changed_endpoints(state)
            else:
                state.check()
        except errors.InvariantBrokenError as error:
            metrics.INVARIANTS_BROKEN.inc()
            log.error("Batch %d violates an invariant: %s.", state.index, error)

    @property
    def state(self):
        """The shard's state as far as it is known here."""
        return self.log.state

    async def follow(self):
        """Apply batches as they are written."""
        while True:
            try:
                async for _applied in self.log.follow():
                    self.notify_waiters()
            except (errors.PlatformError, errors.LogGapError) as error:
                log.debug("Watch of the log failed; reopening: %s.", error)
            await asyncio.sleep(FOLLOW_RETRY_SECONDS)

    async def confirm(self):
        """Read the end of the log periodically: a silent watch does not confirm it."""
        while True:
            await asyncio.sleep(CONFIRM_SECONDS)
            if self.clock.now() - self.log.confirmed_at > CONFIRM_SECONDS:
                index = self.state.index
                await self.log.catch_up()
                if self.state.index != index:
                    self.notify_waiters()

    def notify_waiters(self):
        """Wake the tasks that wait for a change of the state."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def append(self, records):
        """Append ``records`` without retries; return each one's refusal or ``None``."""
        refusals = []
        for part in split(records):
            refusals += await self.log.append(part)
        for record, refusal in zip(records, refusals, strict=True):
            if refusal is not None:
                log.warning("Record refused: %s: %s.", record, refusal)
        self.notify_waiters()
        return refusals

    def replicas(self, service):
        """Return the running `Replica`s of ``service`` in this domain."""
        key = (id(self.state), self.state.index)
        if self.replica_table_key != key:
            self.replica_table = replica_table(self.state)
            self.replica_table_key = key
        return self.replica_table.get(service, [])

    def service_names(self):
        """Return the services that have running replicas in this domain."""
        self.replicas("")
        return list(self.replica_table)


def replica_table(state):
    """Return {service: running replicas} of ``state``."""
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
    return {service: list(replicas.values()) for service, replicas in table.items()}
