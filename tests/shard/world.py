"""A model of the whole system around the real shard code, stepped call by call."""

import itertools
import types

from clementinebay import config, errors
from clementinebay.claims import Claims
from clementinebay.clock import Clock
from clementinebay.endpoint.base import Report, TaskReport
from clementinebay.platform.base import KeyValueStore, Vm
from clementinebay.platform.keyspace import KeySpace
from clementinebay.policy import attempts, balance, membership
from clementinebay.policy.attempts import Action
from clementinebay.services.dispatcher import EndpointOrders
from clementinebay.shard import snapshot, transfer
from clementinebay.shard.leader import LeaderLease
from clementinebay.shard.log import ShardLog
from clementinebay.shard.state import Phase, State
from clementinebay.shard.wire import ttypes as wire

DOMAINS = ("a", "b")
CAPACITY = 2000
GRACE, LEASE, RECLAIM, SKEW = 3.0, 10.0, 30.0, 0.5
#: Most changes of an endpoint's attempts between two restarts.
VERSIONS_LIMIT = 2.0**20


class SkewedClock(Clock):
    """The world's time and a constant."""

    def __init__(self, world, offset):
        self.world = world
        self.offset = offset

    def now(self):
        return self.world.time + self.offset

    async def sleep(self, seconds):
        await ask("sleep")


@types.coroutine
def ask(kind):
    """Suspend the operation until the machine says how its next call ends."""
    return (yield kind)


class FaultyStore(KeyValueStore):
    """A store whose every call waits for a word: do, refuse, lose, late or hold.

    A call that is lost took effect, one that is late may do so at any time.  The answer
    of one that is held waits for another word.
    """

    def __init__(self, world):
        self.world = world
        self.space = world.space

    async def call(self, kind, action):
        word = await ask(kind)
        if word == "refuse":
            raise errors.PlatformUnavailableError("refused")
        if word == "late":
            self.world.late.append(action)
            raise errors.PlatformOutcomeUnknownError("late")
        answer = action()
        if word == "hold":
            await ask("answer")
        if word == "lose":
            raise errors.PlatformOutcomeUnknownError("lost")
        return answer

    async def get(self, key):
        return await self.call("read", lambda: self.space.get(key))

    async def scan(self, start, end, limit=0):
        space = self.space
        return await self.call(
            "read", lambda: (space.range(start, end, limit), space.revision)
        )

    async def commit(self, compares, puts=(), deletes=()):
        write = (compares, puts, deletes)
        return await self.call("write", lambda: self.space.commit(*write))

    async def grant(self, ttl):
        return await self.call("write", lambda: self.space.grant(ttl))

    async def keep_alive(self, lease):
        return await self.call("write", lambda: self.space.keep_alive(lease))

    async def revoke(self, lease):
        return await self.call("write", lambda: self.space.revoke(lease))

    def watch(self, start, end, revision):
        raise NotImplementedError


class Run:
    """One attempt at a model endpoint."""

    def __init__(self, order, deadline):
        self.order = order
        self.deadline = deadline
        self.state = "running"
        self.progress = int(order.checkpoint or 0)
        self.version = 0


class ModelEndpoint:
    """Does what docs/policy/shard.md asks of a worker, and no more."""

    def __init__(self, world, name, offset):
        self.world = world
        self.name = name
        self.domain = name[0]
        self.clock = SkewedClock(world, offset)
        self.address = f"{name}:1"
        self.processors = CAPACITY
        # What may run: a smaller capacity counts once the shard has adapted to it.
        self.granted = CAPACITY
        self.runs = {}
        self.refused = set()
        self.version = 0
        self.version_step = 1.0
        self.boot_until = 0.0

    def vm(self):
        return Vm(
            self.name,
            "endpoint",
            self.address,
            self.domain,
            processors_milli=self.processors,
            memory_mb=10_000,
            leaving=self.name in self.world.leaving,
        )

    def report(self, key):
        run = self.runs.get(key)
        if run is None:
            return TaskReport(*key, "stopped")
        return TaskReport(*key, run.state, checkpoint=str(run.progress))

    def start(self, order):
        key = order.key[2:]
        now = self.clock.now()
        late = now > order.lease_deadline or order.lease_deadline < self.boot_until
        if key not in self.runs:
            if key in self.refused or late:
                raise errors.EndpointRefusedError("late")
            self.world.check_start(self, order)
            self.runs[key] = Run(order, order.lease_deadline)
            self.touch(self.runs[key])
        return self.report(key)

    def stop(self, key):
        self.refused.add(key)
        run = self.runs.get(key)
        if run is not None and run.state == "running":
            self.end(run, "stopped")
        return self.report(key)

    def renew(self, deadline, since):
        for key, run in list(self.runs.items()):
            if run.state == "running":
                run.deadline = max(run.deadline, deadline)
            elif run.version <= since <= self.version:
                # A later version is from before a restart and says nothing.
                self.world.check_acknowledged(self, key)
                del self.runs[key]
                self.refused.add(key)
        reports = [self.report(k) for k, r in self.runs.items() if r.version > since]
        return Report(self.version, reports)

    def expire(self):
        for run in self.runs.values():
            service = run.order.spec.workload == wire.Workload.SERVICE
            late = self.clock.now() > run.deadline
            if run.state == "running" and late and not service:
                self.end(run, "stopped")

    def restart(self):
        self.runs.clear()
        self.refused.clear()
        # Versions must not go up again to what they were.
        self.version = 0
        self.version_step /= VERSIONS_LIMIT
        self.boot_until = self.clock.now() + GRACE + 2 * SKEW

    def touch(self, run):
        self.version += self.version_step
        run.version = self.version

    def end(self, run, word):
        run.state = word
        self.touch(run)

    def running(self):
        return [run for run in self.runs.values() if run.state == "running"]


class ModelOrders(EndpointOrders):
    """Puts orders into the world's network instead of sending them."""

    def order(self, order):
        self.driver.send(self.follower, order)


class Daemon:
    """One daemon's knowledge; it can run one operation at a time."""

    def __init__(self, world, name, offset):
        self.world = world
        self.name = name
        self.domain = name[0]
        self.clock = SkewedClock(world, offset)
        self.lives = 0
        self.crash()

    def crash(self):
        """Lose everything, and the operation in progress."""
        self.lives += 1
        self.operation = None
        self.compared = {}
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
        name = f"{self.name}/{self.lives}"
        return ShardLog(self.store, domain, name, self.clock)

    def begin(self, coroutine):
        """Start an operation unless one is in progress."""
        if self.operation is None:
            self.operation = coroutine
            self.step(None)
        else:
            coroutine.close()

    def step(self, word):
        """Let the operation's call end as ``word`` says, up to its next call."""
        if self.operation is None:
            return
        operation = self.operation
        try:
            operation.send(word)
        except StopIteration:
            self.operation = None
        except (errors.PlatformError, errors.ShardError, errors.RequestError):
            self.operation = None
        self.world.check()

    def finish(self):
        """Let every call of the operation succeed."""
        while self.operation is not None:
            self.step("do")

    def catch_up_aside(self, domain):
        """Have another user of a shard's log read it during the operation."""
        log = self.logs[domain]
        if log.lock.locked():
            return
        reading, word = log.catch_up(), None
        try:
            while True:
                reading.send(word)
                word = "do"
        except StopIteration:
            self.world.check()

    def look(self):
        """Read the configuration and the live list."""
        self.document = self.world.document
        self.config_at = self.list_at = self.clock.now()
        self.vms = self.world.listed(self.domain)

    async def read(self):
        await self.log.load()

    async def tick(self, shift=0):
        """Decide and write, as the scheduler does."""
        await self.log.append(self.decide(shift))

    def decide(self, shift):
        state, now = self.log.state, self.clock.now()
        records = self.orders.take_records()
        if self.config_at:
            records += membership.domain_records(state, self.document, self.domain)
            free_at = now + RECLAIM + 2 * SKEW
            records += membership.endpoint_records(state, self.vms, now, free_at)
        records += membership.expired_records(state, now, SKEW)
        records += membership.release_records(state)
        records += self.binds(state, now, shift)
        other = [d for d in DOMAINS if d != self.domain]
        nonce = f"{self.name}{self.lives}-{state.index}"
        # The targets' room is not read, so only a domain that is out moves anything.
        targets = {d: State() for d in other if not self.document.domain_out(d)}
        return records + balance.move_records(state, targets, nonce, now)

    def binds(self, state, now, shift):
        """Bind whatever waits anywhere, without a look at what is free."""
        deadline = min(self.config_at, self.list_at) + GRACE
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

    async def shorten(self):
        """Write a snapshot and delete what it covers."""
        await self.log.write_snapshot()
        await self.log.truncate(self.clock.now())

    async def deliver(self):
        other = DOMAINS[1 - DOMAINS.index(self.domain)]
        await transfer.deliver(self.log, self.logs[other], self.domain)

    async def submit(self, spec):
        """Submit unless the job was closed, as the job service does."""
        await self.log.catch_up()
        after = self.log.state.index
        await ask("read")
        if spec.id not in self.world.closed:
            await self.log.append([wire.Record(submit=wire.Submit(spec))], after)

    async def cancel(self, origin):
        """Cancel a job in both shards."""
        for log in self.logs.values():
            await log.catch_up()
            cancel = wire.Cancel("", self.clock.now(), [origin])
            await log.append([wire.Record(cancel=cancel)])

    async def forget(self):
        """Forget ended parts that nobody can submit again."""
        after = self.log.state.index
        for name, job in list(self.log.state.jobs.items()):
            if job.ended:
                source = self.logs[job.source or self.domain]
                if job.source and not await transfer.may_forget(source, name):
                    continue
                self.world.closed.add(name)
                forget = wire.Forget(jobs=[name])
                await self.log.append([wire.Record(forget=forget)], after)
                return

    async def claim(self, key):
        claimant = f"{self.name}/{self.lives}/{next(self.world.claimants)}"
        await self.claims.claim(key, claimant, self.clock.now() + 9)
        self.world.claimed(key)

    def renew(self, name):
        """Send a renewal to an endpoint."""
        known = self.log.state.endpoints.get(name)
        if known is None or known.lost or not self.log.confirmed_at:
            return
        since = self.versions.get(name, 0)
        expected = () if since else attempts.running(self.log.state, name)
        deadline = attempts.renewal_deadline(
            self.clock.now(), self.log.confirmed_at, LEASE, RECLAIM
        )
        message = Message(self, name, known.seen.address, "renew")
        message.call = lambda endpoint: endpoint.renew(deadline, since)
        message.take = lambda report: self.take_renewal(name, report, since, expected)
        self.world.network.append(message)

    def take_renewal(self, name, report, since, expected):
        if report.version < since:
            self.versions[name] = 0
        elif self.orders.take_reports(name, report.tasks, expected):
            self.versions[name] = report.version


class Message:
    """A call on its way to an endpoint; it may arrive twice, late or not at all."""

    def __init__(self, daemon, endpoint, address, kind):
        self.daemon = daemon
        self.kind = kind
        self.life = daemon.lives
        self.endpoint = endpoint
        self.address = address
        self.call = None
        self.take = None


class World:
    """Everything, and what must hold of it."""

    def __init__(self):
        self.time = 1_000_000.0
        self.space = KeySpace(self)
        self.late = []
        self.network = []
        self.closed = set()
        self.keys = set()
        self.claimants = itertools.count()
        self.hidden = set()
        self.leaving = set()
        self.document = config.Document(config.Head(), {})
        self.out_since = {}
        self.totals = {}
        self.submissions = {}
        self.cancelled = set()
        self.best = {}
        self.forgotten = {}
        self.texts = {}
        self.images = {}
        names = [f"{d}{n}" for d in DOMAINS for n in range(2)]
        self.endpoints = {
            name: ModelEndpoint(self, name, SKEW * (number % 2))
            for number, name in enumerate(names)
        }
        self.observers = {domain: Observer(self, domain) for domain in DOMAINS}
        self.daemons = [
            Daemon(self, f"{name}-entry", SKEW * (1 - number % 2))
            for number, name in enumerate(names)
        ]

    def now(self):
        return self.time

    def listed(self, domain):
        return [
            endpoint.vm()
            for endpoint in self.endpoints.values()
            if endpoint.domain == domain and endpoint.name not in self.hidden
        ]

    def change_domain(self, domain, out):
        revision = self.document.revision + 1
        sections = dict(self.document.head.sections)
        sections[f"domain:{domain}"] = config.SectionRef("d", revision)
        texts = dict(self.document.texts)
        texts[f"domain:{domain}"] = f"state = {'out' if out else 'in'}\n"
        self.document = config.Document(config.Head(revision, sections), texts)
        self.out_since.pop(domain, None)
        if out:
            self.out_since[domain] = self.time

    def send(self, daemon, order):
        """Take an order of a daemon into the network."""
        start = order.action == Action.START
        kind = "start" if start else "stop"
        message = Message(daemon, order.endpoint, order.address, kind)
        if start:
            message.call = lambda endpoint: endpoint.start(order)
        else:
            message.call = lambda endpoint: endpoint.stop(order.key[2:])
        message.take = lambda report: daemon.orders.take_report(order.endpoint, report)
        self.network.append(message)

    def deliver(self, message, answered=True):
        """Let a message arrive, and its answer if the sender still lives."""
        endpoint = self.endpoints[message.endpoint]
        if endpoint.address != message.address:
            return
        try:
            report = message.call(endpoint)
        except errors.EndpointRefusedError:
            report = None
        if answered and report and message.life == message.daemon.lives:
            message.take(report)
        self.check()

    def advance(self, seconds):
        self.time += seconds
        for endpoint in self.endpoints.values():
            endpoint.expire()
        self.check()

    # What must hold

    def claimed(self, key):
        assert key not in self.keys, f"key {key} was claimed twice"
        self.keys.add(key)

    def check_start(self, endpoint, order):
        since = self.out_since.get(endpoint.domain)
        late = since is not None and self.time > since + GRACE + 2 * SKEW
        assert not late, f"{order.key} starts in a domain that is out"
        task = (order.spec.origin or order.spec.id, order.index)
        checkpoint = int(order.checkpoint or 0)
        assert checkpoint >= self.best.get(task, 0), f"{task} lost its checkpoint"
        self.best[task] = checkpoint

    def check_acknowledged(self, endpoint, key):
        state = self.observers[endpoint.domain].state
        over = key[0] not in state.jobs or attempts.is_over(state, key)
        assert over, f"the end of {key} was acknowledged and is not in the log"

    def check(self):
        for observer in self.observers.values():
            observer.observe()
        self.check_endpoints()
        for daemon in self.daemons:
            for domain, log in daemon.logs.items():
                index = log.state.index
                if index and daemon.compared.get(domain) != index:
                    daemon.compared[domain] = index
                    found = snapshot.take(log.state)
                    image = self.images[(domain, index)]
                    assert found == image, f"{daemon.name} differs in {domain}"
        for origin, total in self.totals.items():
            self.check_total(origin, total)

    def check_endpoints(self):
        seen = {}
        for endpoint in self.endpoints.values():
            running = endpoint.running()
            used = sum(run.order.spec.size.processors_milli for run in running)
            known = self.observers[endpoint.domain].state.endpoints.get(endpoint.name)
            size = known.seen.size.processors_milli if known else CAPACITY
            if size == endpoint.processors and not (known and known.shrunk):
                endpoint.granted = size
            assert used <= endpoint.granted, f"{endpoint.name} is over-committed"
            for run in running:
                spec = run.order.spec
                if spec.workload == wire.Workload.BATCH:
                    task = (spec.origin or spec.id, run.order.index)
                    assert task not in seen, f"{task} runs twice"
                    seen[task] = endpoint.name

    def check_total(self, origin, total):
        """Every task is in one place, and is counted as done at most once."""
        count = self.forgotten.get(origin, 0)
        for observer in self.observers.values():
            state = observer.state
            for part in state.parts.get(origin, ()):
                job = state.jobs[part]
                count += job.done + len(job.tasks) + job.untouched
            for part, parcel in state.outbox.items():
                there = self.observers[parcel.target].submitted
                if parcel.spec.origin == origin and part not in there:
                    count += parcel.spec.count
        if origin in self.cancelled:
            assert count <= total, f"{origin} has too many tasks"
        else:
            assert count == total, f"{origin} has {count} tasks of {total}"


class Observer:
    """Follows a shard in the platform itself, batch by batch."""

    def __init__(self, world, domain):
        self.world = world
        self.domain = domain
        self.log = ShardLog(None, domain, "observer", world)
        self.submitted = set()

    @property
    def state(self):
        return self.log.state

    def observe(self):
        world, prefix = self.world, self.log.prefix
        for entry in world.space.range(prefix, prefix + "~"):
            index = int(entry.key.rpartition("/")[2])
            key = (self.domain, index)
            assert world.texts.setdefault(key, entry.value) == entry.value, (
                f"batch {key} was written twice"
            )
            if index > self.state.index:
                jobs = dict(self.state.jobs)
                begun = {name: job.next_index for name, job in jobs.items()}
                self.log.apply([entry])
                self.state.check()
                self.note_jobs(jobs)
                for name in begun.keys() & self.state.jobs.keys():
                    again = self.state.jobs[name].next_index < begun[name]
                    assert not again, f"tasks of {name} begin again"
                world.images[key] = snapshot.take(self.state)

    def note_jobs(self, before):
        self.submitted.update(self.state.jobs)
        for name in before.keys() - self.state.jobs.keys():
            origin, done = before[name].origin, before[name].done
            forgotten = self.world.forgotten
            forgotten[origin] = forgotten.get(origin, 0) + done
