"""Service "mover": moves waiting tasks to domains that have capacity for them.

A move is two idempotent steps: a record in the source's log moves the tasks into its
outbox, then a submission keyed by the part's name adds them to the target's log.
"""

import asyncio
import uuid

from clementinebay import errors, metrics
from clementinebay.log import Log
from clementinebay.policy import balance, homing, planner
from clementinebay.service import Service
from clementinebay.shard import transfer

#: Time between two decisions, and after one that found no capacity, in seconds.
BALANCE_SECONDS = 1.0
NO_CAPACITY_SECONDS = 3.0
#: Time between two searches for replicas to return to the domain they were moved from,
#: and after a search that found none, in seconds.
RETURN_SECONDS = 1.0
NOTHING_TO_RETURN_SECONDS = 10.0
#: Time for which a domain must be in service before replicas return, in seconds.
SETTLED_SECONDS = 5.0
#: Longest wait for a returned replica to start, in seconds.
RETURN_START_SECONDS = 30.0

log = Log("mover")


class Mover(Service):
    """Moves tasks while this daemon's scheduler holds the leader lease."""

    name = "mover"
    requires = ("scheduler", "shard", "config", "livelist", "fleet")

    async def start(self):
        """Start the loop that moves tasks."""
        self.shard = self.kernel.find("shard")
        self.scheduler = self.kernel.find("scheduler")
        self.fleet = self.kernel.find("fleet")
        self.next_balance_at = 0.0
        self.unplaceable = {}
        self.next_return_at = 0.0
        self.in_since = {}
        self.start_deadlines = {}
        self.background.spawn(self.run)

    async def run(self):
        """Return replicas, fill the outbox and deliver it at every tick."""
        while True:
            await asyncio.sleep(self.settings.scheduler_tick_seconds * 2)
            if self.scheduler.leader.held:
                try:
                    if self.settings.scheduler_balance == "on":
                        await self.return_replicas()
                    await self.fill_outbox()
                    await self.deliver()
                except (errors.LogConflictError, errors.RecordRefusedError) as error:
                    log.debug("Move failed; retrying: %s.", error)

    async def fill_outbox(self):
        """Move tasks that should run in other domains into the outbox.

        Free capacity is known from the other domains' logs, which are read only if this
        domain has surplus tasks, and less often while no domain has capacity.
        """
        state, now = self.shard.state, self.clock.now()
        if state.outbox or (not state.out and now < self.next_balance_at):
            return
        self.next_balance_at = now + BALANCE_SECONDS
        unplaceable = await self.fleet.find_unplaceable(planner.queue(state))
        self.report_unplaceable(unplaceable)
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
            self.next_balance_at = now + NO_CAPACITY_SECONDS

    async def return_replicas(self):
        """Take one step to return replicas to the domains they were moved from."""
        state, now = self.shard.state, self.clock.now()
        if now < self.next_return_at and not (state.out and self.start_deadlines):
            return
        moved_jobs = homing.displaced_replicas(state)
        self.next_return_at = now + (
            RETURN_SECONDS if moved_jobs else NOTHING_TO_RETURN_SECONDS
        )
        source_states = {}
        for name in self.settled_domains(now) & {job.source for job in moved_jobs}:
            source_log = self.shard.log_of(name)
            await source_log.catch_up()
            source_states[name] = source_log.state
        found = homing.steps(
            self.shard.state, source_states, now, self.overdue(source_states, now)
        )
        if source_states and not (found.own or found.others or self.start_deadlines):
            self.next_return_at = now + NOTHING_TO_RETURN_SECONDS
        for name, record in found.others:
            log.info("Returning a replica to %s: %s.", name, record)
            await self.shard.log_of(name).append([record], source_states[name].index)
        if found.own:
            await self.shard.append(found.own)

    def settled_domains(self, now):
        """Return the other domains that have been in service for `SETTLED_SECONDS`."""
        targets = self.targets()
        self.in_since = {name: self.in_since.get(name, now) for name in targets}
        return {n for n, at in self.in_since.items() if at <= now - SETTLED_SECONDS}

    def overdue(self, source_states, now):
        """Return the ids of returned replicas that have been starting for too long."""
        starting = [
            job.spec.id
            for source_state in source_states.values()
            for job in homing.starting_twins(source_state)
        ]
        deadline = now + RETURN_START_SECONDS
        self.start_deadlines = {
            name: self.start_deadlines.get(name, deadline) for name in starting
        }
        return {name for name, at in self.start_deadlines.items() if at <= now}

    def report_unplaceable(self, unplaceable):
        """Log and count the jobs that can never run."""
        for name in unplaceable.keys() - self.unplaceable.keys():
            log.warning("Job %s can never run: %s.", name, unplaceable[name])
        metrics.UNPLACEABLE_JOBS.set(len(unplaceable))
        self.unplaceable = unplaceable

    def targets(self):
        """Return the other domains that are in service."""
        domain = self.settings.daemon_failure_domain
        document = self.kernel.find("config").document
        return [
            name
            for name in self.kernel.find("livelist").domains()
            if name != domain and not document.domain_out(name)
        ]

    async def deliver(self):
        """Deliver the outbox to the target domains."""
        domain = self.settings.daemon_failure_domain
        for target in {part.target for part in self.shard.state.outbox.values()}:
            count = await transfer.deliver(
                self.shard.log, self.shard.log_of(target), domain
            )
            log.info("Moved %d parts to %s.", count, target)
