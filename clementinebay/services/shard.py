"""Service "shard": follows the log of this daemon's failure domain."""

import asyncio

from clementinebay import errors, model
from clementinebay.log import Log
from clementinebay.service import Service
from clementinebay.shard.entities import Phase
from clementinebay.shard.log import ShardLog
from clementinebay.shard.wire import ttypes as wire

#: Time between two reads that confirm the end of the log, in seconds.
CONFIRM_SECONDS = 2.0
#: Wait before a watch that broke is opened again, in seconds.
FOLLOW_AGAIN_SECONDS = 0.5
#: Attempts to write a command that other writers overtake.
APPEND_ATTEMPTS = 20

log = Log("shard")


class ShardFollower(Service):
    """Owns ``log``, whose ``state`` follows the shard; ``changed`` wakes waiters."""

    name = "shard"
    requires = ("platform",)

    async def start(self):
        """Begin to follow."""
        self.log = self.open(self.settings.daemon_failure_domain)
        self.changed = asyncio.Event()
        self.replica_table = {}
        self.replica_table_of = None
        self.background.spawn(self.follow)
        self.background.spawn(self.confirm)

    def open(self, domain):
        """Return the log of ``domain`` for this daemon as a writer."""
        store = self.kernel.find("platform").store
        return ShardLog(store, domain, self.settings.daemon_name, self.clock)

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
        refusals = await self.log.append(records)
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


async def submit(shard_log, records):
    """Append ``records`` to ``shard_log``, again while other writers are faster.

    The records must be idempotent.  Raises the first refusal.
    """
    for _attempt in range(APPEND_ATTEMPTS):
        try:
            refusals = await shard_log.append(records)
        except errors.LogConflictError:
            continue
        for refusal in refusals:
            if refusal is not None:
                raise refusal
        return
    raise errors.LogConflictError("other writers were faster each time")


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
