"""Service "mover": moves waiting tasks to domains that have room for them.

A move is two idempotent steps: the source's log puts the tasks into its outbox, then
the target's log takes them by a submission that is keyed by the part's name.
"""

import asyncio
import uuid

from clementinebay import errors, metrics
from clementinebay.log import Log
from clementinebay.policy import balance, planner
from clementinebay.service import Service
from clementinebay.shard import transfer

#: Time between two decisions, and after one that found no room, in seconds.
BALANCE_SECONDS = 1.0
NO_ROOM_SECONDS = 3.0

log = Log("mover")


class Mover(Service):
    """Works while this daemon's scheduler holds the leader lease."""

    name = "mover"
    requires = ("scheduler", "shard", "config", "livelist", "fleet")

    async def start(self):
        """Begin to move."""
        self.shard = self.kernel.find("shard")
        self.scheduler = self.kernel.find("scheduler")
        self.fleet = self.kernel.find("fleet")
        self.balance_at = 0.0
        self.hopeless = {}
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
        """Put into the outbox what should run in another domain.

        The others' logs tell what is free there; they are read only if tasks are left
        over here, and rarely while there is no room anywhere.
        """
        state, now = self.shard.state, self.clock.now()
        if state.outbox or (not state.out and now < self.balance_at):
            return
        self.balance_at = now + BALANCE_SECONDS
        hopeless = await self.fleet.judge(planner.queue(state))
        self.note_hopeless(hopeless)
        if not balance.surplus(state, hopeless=hopeless):
            return
        targets = {}
        for name in self.targets():
            target = self.shard.log_of(name)
            await target.catch_up()
            targets[name] = target.state
        nonce = uuid.uuid4().hex[:8]
        by_room = self.settings.scheduler_balance == "on"
        records = balance.move_records(
            self.shard.state, targets, nonce, now, by_room=by_room, hopeless=hopeless
        )
        if records:
            await self.shard.append(records)
        else:
            self.balance_at = now + NO_ROOM_SECONDS

    def note_hopeless(self, hopeless):
        """Log and count the jobs that can run nowhere."""
        for name in hopeless.keys() - self.hopeless.keys():
            log.warning("Job %s waits in vain: %s.", name, hopeless[name])
        metrics.HOPELESS.set(len(hopeless))
        self.hopeless = hopeless

    def targets(self):
        """Return the other domains that are in."""
        domain = self.settings.daemon_failure_domain
        document = self.kernel.find("config").document
        return [
            name
            for name in self.kernel.find("livelist").domains()
            if name != domain and not document.domain_out(name)
        ]

    async def deliver(self):
        """Hand the outbox over to the targets."""
        domain = self.settings.daemon_failure_domain
        for target in {parcel.target for parcel in self.shard.state.outbox.values()}:
            count = await transfer.deliver(
                self.shard.log, self.shard.log_of(target), domain
            )
            log.info("Moved %d parts to %s.", count, target)
