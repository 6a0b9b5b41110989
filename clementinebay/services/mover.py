"""Service "mover": moves waiting tasks to domains that have room for them.

A move is two idempotent steps: the source's log puts the tasks into its outbox, then
the target's log takes them by a submission that is keyed by the part's name.
"""

import asyncio
import uuid

from clementinebay import errors, metrics
from clementinebay.log import Log
from clementinebay.policy import balance, homing, planner
from clementinebay.service import Service
from clementinebay.shard import transfer

#: Time between two decisions, and after one that found no room, in seconds.
BALANCE_SECONDS = 1.0
NO_ROOM_SECONDS = 3.0
#: Time between two looks for replicas that may go home, and after one that found none.
HOMING_SECONDS = 1.0
NOTHING_AWAY_SECONDS = 10.0
#: Time for which a domain must have been in before replicas go back there, in seconds.
SETTLED_SECONDS = 5.0
#: Longest wait for a replica to run at home, in seconds.
TWIN_SECONDS = 30.0

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
        self.unplaceable = {}
        self.homing_at = 0.0
        self.in_since = {}
        self.twins = {}
        self.background.spawn(self.run)

    async def run(self):
        """Move at every tick."""
        while True:
            await asyncio.sleep(self.settings.scheduler_tick_seconds * 2)
            if self.scheduler.leader.held:
                try:
                    if self.settings.scheduler_balance == "on":
                        await self.bring_home()
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
        unplaceable = await self.fleet.judge(planner.queue(state))
        self.note_hopeless(unplaceable)
        if not balance.surplus(state, unplaceable=unplaceable):
            return
        targets = {}
        for name in self.targets():
            target = self.shard.log_of(name)
            await target.catch_up()
            targets[name] = target.state
        nonce = uuid.uuid4().hex[:8]
        by_capacity = self.settings.scheduler_balance == "on"
        records = balance.move_records(
            self.shard.state,
            targets,
            nonce,
            now,
            by_capacity=by_capacity,
            unplaceable=unplaceable,
        )
        if records:
            await self.shard.append(records)
        else:
            self.balance_at = now + NO_ROOM_SECONDS

    async def bring_home(self):
        """Take one step to bring replicas back to where they were moved from."""
        state, now = self.shard.state, self.clock.now()
        if now < self.homing_at and not (state.out and self.twins):
            return
        away = homing.away(state)
        self.homing_at = now + (HOMING_SECONDS if away else NOTHING_AWAY_SECONDS)
        homes = {}
        for name in self.settled(now) & {job.source for job in away}:
            home = self.shard.log_of(name)
            await home.catch_up()
            homes[name] = home.state
        found = homing.steps(self.shard.state, homes, now, self.overdue(homes, now))
        if homes and not (found.own or found.others or self.twins):
            self.homing_at = now + NOTHING_AWAY_SECONDS
        for name, record in found.others:
            log.info("A replica goes back to %s: %s.", name, record)
            await self.shard.log_of(name).append([record], homes[name].index)
        if found.own:
            await self.shard.append(found.own)

    def settled(self, now):
        """Return the other domains that have been in for a while."""
        targets = self.targets()
        self.in_since = {name: self.in_since.get(name, now) for name in targets}
        return {n for n, at in self.in_since.items() if at <= now - SETTLED_SECONDS}

    def overdue(self, homes, now):
        """Return the ids of twins that have been starting for too long."""
        starting = [
            job.spec.id for home in homes.values() for job in homing.starting(home)
        ]
        deadline = now + TWIN_SECONDS
        self.twins = {name: self.twins.get(name, deadline) for name in starting}
        return {name for name, at in self.twins.items() if at <= now}

    def note_hopeless(self, unplaceable):
        """Log and count the jobs that can run nowhere."""
        for name in unplaceable.keys() - self.unplaceable.keys():
            log.warning("Job %s waits in vain: %s.", name, unplaceable[name])
        metrics.UNPLACEABLE_JOBS.set(len(unplaceable))
        self.unplaceable = unplaceable

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
