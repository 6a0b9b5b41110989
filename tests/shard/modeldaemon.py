"""Model daemons and their messages."""

from clementinebay import config, errors
from clementinebay.claims import Claims
from clementinebay.policy import attempts, balance, membership
from clementinebay.services.dispatcher import EndpointOrders
from clementinebay.shard import transfer
from clementinebay.shard.leader import LeaderLease
from clementinebay.shard.log import ShardLog
from clementinebay.shard.state import Phase, State
from clementinebay.shard.wire import ttypes as wire
from tests.shard.limits import (
    DOMAINS,
    GRACE_SECONDS,
    LEASE_SECONDS,
    RECLAIM_SECONDS,
    SKEW_SECONDS,
)
from tests.shard.modelstore import FaultyStore, SkewedClock, next_outcome


class ModelOrders(EndpointOrders):
    """Adds orders to the model's network instead of sending them."""

    def order(self, order):
        self.driver.send(self.follower, order)


class Daemon:
    """A daemon, which runs one operation at a time."""

    def __init__(self, world, name, offset):
        self.world = world
        self.name = name
        self.domain = name[0]
        self.clock = SkewedClock(world, offset)
        self.incarnation = 0
        self.crash()

    def crash(self):
        """Restart with empty memory; abandons the operation in progress."""
        self.incarnation += 1
        self.operation = None
        self.compared_indexes = {}
        self.store = FaultyStore(self.world)
        self.logs = {domain: self.open(domain) for domain in DOMAINS}
        self.log = self.logs[self.domain]
        self.orders = ModelOrders(self, self.world, self.clock, 0)
        self.versions = {}
        self.document = config.Document(config.Head(), {})
        self.config_at = self.list_at = 0.0
        self.vms = []
        lease = (self.store, self.domain, self.name, 4.0, self.clock)
        self.leader = LeaderLease(*lease)
        self.claims = Claims(self.store, self.clock)

    def open(self, domain):
        name = f"{self.name}/{self.incarnation}"
        return ShardLog(self.store, domain, name, self.clock)

    def begin_operation(self, coroutine):
        """Start an operation unless one is in progress."""
        if self.operation is None:
            self.operation = coroutine
            self.step(None)
        else:
            coroutine.close()

    def step(self, outcome):
        """End the operation's current call with ``outcome``; run to its next call."""
        if self.operation is None:
            return
        operation = self.operation
        try:
            operation.send(outcome)
        except StopIteration:
            self.operation = None
        except (errors.PlatformError, errors.ShardError, errors.RequestError):
            self.operation = None
        self.world.check()

    def finish_operation(self):
        """Run the operation to its end; all calls succeed."""
        while self.operation is not None:
            self.step("succeed")

    def catch_up_concurrently(self, domain):
        """Read a shard's log outside of the operation in progress."""
        log = self.logs[domain]
        if log.lock.locked():
            return
        reading, outcome = log.catch_up(), None
        try:
            while True:
                reading.send(outcome)
                outcome = "succeed"
        except StopIteration:
            self.world.check()

    def load_config_and_list(self):
        """Read the configuration and the live list."""
        self.document = self.world.document
        self.config_at = self.list_at = self.clock.now()
        self.vms = self.world.listed_vms(self.domain)

    async def read(self):
        await self.log.load()

    async def tick(self, shift=0):
        """Decide and write records, like the scheduler."""
        await self.log.append(self.decide(shift))

    def decide(self, shift):
        state, now = self.log.state, self.clock.now()
        records = self.orders.drain_records()
        if self.config_at:
            records += membership.domain_records(state, self.document, self.domain)
            free_at = now + RECLAIM_SECONDS + 2 * SKEW_SECONDS
            records += membership.endpoint_records(state, self.vms, now, free_at)
        records += membership.expired_records(state, now, SKEW_SECONDS)
        records += membership.release_records(state)
        records += self.binds(state, now, shift)
        other = [d for d in DOMAINS if d != self.domain]
        nonce = f"{self.name}{self.incarnation}-{state.index}"
        # The capacity of targets is unknown, so only a domain that is out moves tasks.
        targets = {d: State() for d in other if not self.document.domain_out(d)}
        return records + balance.move_records(state, targets, nonce, now)

    def binds(self, state, now, shift):
        """Bind all waiting tasks to endpoints in turn, ignoring free capacity."""
        deadline = min(self.config_at, self.list_at) + GRACE_SECONDS
        names = sorted(state.endpoints)
        if not names or deadline <= now or self.document.domain_out(self.domain):
            return
        for job in state.jobs.values():
            waiting = [t for t in job.tasks.values() if t.phase == Phase.WAITING]
            ready = [(task.index, task.attempt + 1) for task in waiting]
            ready += [(i, 1) for i in range(job.next_index, job.end_index)]
            for index, attempt in ready:
                shift += 1
                name = names[shift % len(names)]
                bind = wire.Bind(job.spec.id, index, attempt, name, deadline, now)
                yield wire.Record(bind=bind)

    async def truncate_log(self):
        """Write a snapshot and delete the batches that it covers."""
        await self.log.write_snapshot()
        await self.log.truncate(self.clock.now())

    async def deliver(self):
        other = DOMAINS[1 - DOMAINS.index(self.domain)]
        await transfer.deliver(self.log, self.logs[other], self.domain)

    async def submit(self, spec):
        """Submit a job unless it was closed, like the job service."""
        await self.log.catch_up()
        after = self.log.state.index
        await next_outcome("read")
        if spec.id not in self.world.closed_jobs:
            await self.log.append([wire.Record(submit=wire.Submit(spec))], after)

    async def cancel(self, origin):
        """Cancel a job in both shards."""
        for log in self.logs.values():
            await log.catch_up()
            cancel = wire.Cancel("", self.clock.now(), [origin])
            await log.append([wire.Record(cancel=cancel)])

    async def forget(self):
        """Remove one ended part that can no longer be submitted again."""
        after = self.log.state.index
        for name, job in list(self.log.state.jobs.items()):
            if job.ended:
                source = self.logs[job.source or self.domain]
                if job.source and not await transfer.may_forget(source, name):
                    continue
                self.world.closed_jobs.add(name)
                forget = wire.Forget(jobs=[name])
                await self.log.append([wire.Record(forget=forget)], after)
                return

    async def claim(self, key):
        claimant = f"{self.name}/{self.incarnation}/{next(self.world.claimants)}"
        await self.claims.claim(key, claimant, self.clock.now() + 9)
        self.world.record_claim(key)

    def renew(self, name):
        """Send a renewal to an endpoint."""
        known = self.log.state.endpoints.get(name)
        if known is None or known.lost or not self.log.confirmed_at:
            return
        since = self.versions.get(name, 0)
        expected = () if since else attempts.running(self.log.state, name)
        deadline = attempts.renewal_deadline(
            self.clock.now(), self.log.confirmed_at, LEASE_SECONDS, RECLAIM_SECONDS
        )
        message = Message(self, name, known.seen.address, "renew")
        message.call = lambda endpoint: endpoint.renew(deadline, since)
        message.on_report = lambda report: self.process_renewal(
            name, report, since, expected
        )
        self.world.network.append(message)

    def process_renewal(self, name, report, since, expected):
        if report.version < since:
            self.versions[name] = 0
        elif self.orders.process_reports(name, report.tasks, expected):
            self.versions[name] = report.version


class Message:
    """A call in transit to an endpoint; may arrive late, more than once, or never."""

    def __init__(self, daemon, endpoint, address, kind):
        self.daemon = daemon
        self.kind = kind
        self.sender_incarnation = daemon.incarnation
        self.endpoint = endpoint
        self.address = address
        self.call = None
        self.on_report = None
