"""Service "mover": takes waiting tasks out of a domain that is out.

A move is two idempotent steps: the source's log puts the tasks into its outbox, then
the target's log takes them by a submission that is keyed by the part's name.
"""

import asyncio
import uuid

from clementinebay import errors
from clementinebay.log import Log
from clementinebay.policy import moving
from clementinebay.service import Service
from clementinebay.shard import transfer

log = Log("mover")


class Mover(Service):
    """Works while this daemon's scheduler holds the leader lease."""

    name = "mover"
    requires = ("scheduler", "shard", "config", "livelist")

    async def start(self):
        """Begin to move."""
        self.shard = self.kernel.find("shard")
        self.scheduler = self.kernel.find("scheduler")
        self.background.spawn(self.run)

    async def run(self):
        """Move at every tick."""
        while True:
            await asyncio.sleep(self.settings.scheduler_tick_seconds * 2)
            if self.scheduler.leader.held:
                try:
                    await self.move_out()
                    await self.deliver()
                except (errors.LogConflictError, errors.RecordRefusedError) as error:
                    log.debug("Moving again: %s.", error)

    async def move_out(self):
        """Put waiting tasks into the outbox if the domain is out."""
        domain = self.settings.daemon_failure_domain
        document = self.kernel.find("config").document
        targets = [
            name
            for name in self.kernel.find("livelist").domains()
            if name != domain and not document.domain_out(name)
        ]
        nonce = uuid.uuid4().hex[:8]
        records = moving.move_records(
            self.shard.state, targets, nonce, self.clock.now()
        )
        if records:
            await self.shard.append(records)

    async def deliver(self):
        """Hand the outbox over to the targets."""
        domain = self.settings.daemon_failure_domain
        for target in {parcel.target for parcel in self.shard.state.outbox.values()}:
            count = await transfer.deliver(
                self.shard.log, self.shard.log_of(target), domain
            )
            log.info("Moved %d parts to %s.", count, target)
