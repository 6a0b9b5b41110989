"""Endpoints, a store and jobs in memory for `bench.term`, in simulated time.

The processor time of these models is counted apart, in ``ModelTime.seconds``.
"""

import asyncio
import heapq
import math
import random
import time

import msgspec

from clementinebay.store.base import Entry, KeyValueStore, Put
from clementinebay.web.client import Client, ClientConnection
from clementinebay.workflow import jobstore
from clementinebay.workflow.model import Endpoint, JobSpec, Step

SERVICE = "actas"
DOMAINS = ("stgo-norte", "stgo-sur", "vina-costa", "rancagua-valle")
#: Time of a message in one direction, in seconds.
DELAY_SECONDS = 0.002
#: Rounds of the work by which the machine's speed is measured, and the processor time
#: that it takes at the nominal speed, in seconds.
CALIBRATION_ROUNDS = 4000
NOMINAL_SECONDS = 0.001
#: Time after its start at which a replica is at work, in seconds.
WARM_SECONDS = 0.6

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder().decode


class ModelTime:
    """A stopwatch for the processor time of the models."""

    seconds = 0.0

    def __enter__(self):
        self.started_at = time.process_time()

    def __exit__(self, *exc):
        ModelTime.seconds += time.process_time() - self.started_at


class SkippingSelector:
    """Advances the loop's time instead of waiting."""

    def __init__(self, selector, loop):
        self.selector = selector
        self.loop = loop

    def select(self, timeout=None):
        """Skip ``timeout`` seconds."""
        self.loop.skipped_seconds += timeout or 0.0
        return []

    def __getattr__(self, name):
        return getattr(self.selector, name)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop that skips idle time.

    Its time also advances by the processor time used outside the models divided by
    ``processors``, unless that is 0.  Processor time is normalized: `calibrate` adapts
    ``factor`` to the speed that the machine has at the moment.
    """

    def __init__(self, processors=0.0):
        super().__init__()
        self._selector = SkippingSelector(self._selector, self)
        self.processors = processors
        self.skipped_seconds = 0.0
        self.factor = 1.0
        self.normalized_seconds = 0.0
        self.read_at = time.process_time() - ModelTime.seconds

    def calibrate(self):
        """Measure the machine's speed by a fixed piece of work."""
        self.used_seconds()
        with ModelTime():
            started_at = time.process_time()
            values = {}
            for number in range(CALIBRATION_ROUNDS):
                values[number & 255] = max(number, values.get(number & 255, 0))
            seconds = time.process_time() - started_at
        # A mean over about ten calibrations evens out their own noise.
        self.factor += (NOMINAL_SECONDS / seconds - self.factor) / 10

    def used_seconds(self):
        """Return the normalized processor time used outside the models."""
        used = time.process_time() - ModelTime.seconds
        self.normalized_seconds += (used - self.read_at) * self.factor
        self.read_at = used
        return self.normalized_seconds

    def time(self):
        """Return the simulated time in seconds."""
        if not self.processors:
            return self.skipped_seconds
        return self.skipped_seconds + self.used_seconds() / self.processors


class Run:
    """A run at an endpoint; ``work`` is what is left of it, in seconds."""

    __slots__ = ("task", "number", "step", "job", "work", "seconds", "pace", "read_at")

    def __init__(self, task, number, job, step, seconds, now):
        self.task = task
        self.number = number
        self.job = job
        self.step = step
        self.work = self.seconds = seconds
        self.pace = 100
        self.read_at = now

    def advance(self, now):
        """Do the work of the time since the last call."""
        self.work -= (now - self.read_at) * self.pace / 100
        self.read_at = now

    def row(self, endpoint, now):
        """Return the run as reported."""
        if self.step.replica:
            percent = 100 if now > self.read_at + WARM_SECONDS else 0
            return [self.task, self.number, "", percent, endpoint.tail(self, now)]
        self.advance(now)
        percent = min(99, int(100 - 100 * self.work / self.seconds))
        used = self.step.processors_milli * self.pace / 100
        return [self.task, self.number, "", percent, used]


class ModelEndpoint:
    """An endpoint with the platform's protocol; ``fleet`` knows the jobs."""

    def __init__(self, info, fleet, loop):
        self.info = info
        self.fleet = fleet
        self.loop = loop
        self.runs = {}
        self.ended = []
        self.last_end = 0
        self.held = None

    def tail(self, run, now):
        """Return the tail of a replica in whole milliseconds."""
        number = int(run.job.id[:4], 16)
        level = 2.2 + math.sin(now / 3 + number)
        used = sum(
            (1.0 + 4.0 * ((hash_of(run.step.image + other.step.image)) % 5 == 0))
            * other.step.processors_milli
            * other.pace
            / 100
            for other in self.runs.values()
            if other.step.filler
        )
        headroom = max(0.2, level - used / self.info.processors_milli)
        return max(1, round(run.step.latency_ms / headroom))

    def receive(self, connection, path, body):
        """Execute an order and answer it."""
        now = self.loop.time()
        if path == "/hold":
            self.hold(connection, body, now)
            return
        if path == "/run-start":
            self.start(body, now)
        elif path == "/run-stop":
            self.end(self.runs.get(body["task"]), "stopped")
        elif body["task"] in self.runs:
            run = self.runs[body["task"]]
            run.advance(now)
            run.pace = body["percent"]
            self.watch(run, now)
        connection.answer({"clock_ms": int(now * 1000), "born": 1})

    def start(self, body, now):
        """Start a run."""
        job_id, _occurrence, step, index = body["task"].split(".")
        job = self.fleet.jobs[job_id]
        factor = 0.5 + (hash_of(body["task"]) % 1000) / 1000
        seconds = job.steps[int(step)].estimate_ms / 1000 * factor
        run = Run(body["task"], body["run"], job, job.steps[int(step)], seconds, now)
        self.runs[run.task] = run
        self.fleet.starts += 1
        self.fleet.waits.append((now, now - self.fleet.due_at(run)))
        if not run.step.replica:
            self.watch(run, now)

    def watch(self, run, now):
        """Wait for the end of a run."""
        if run.pace and not run.step.replica:
            self.loop.call_at(now + run.work * 100 / run.pace, self.finish, run)

    def finish(self, run):
        """End a run if its work is done."""
        with ModelTime():
            now = self.loop.time()
            run.advance(now)
            if run.work <= 1e-6 and self.runs.get(run.task) is run:
                self.end(run, "done")

    def end(self, run, outcome):
        """Record the end of a run and answer the held call."""
        if run is None:
            return
        del self.runs[run.task]
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, outcome, ""])
        self.fleet.record_end(run, outcome, self.loop.time())
        if self.held is not None:
            self.report(*self.held)

    def hold(self, connection, body, now):
        """Answer at once if there are ends, else later."""
        self.ended = [end for end in self.ended if end[0] > body["seen_upto"]]
        self.held = (connection, object())
        if self.ended or not body.get("wait_ms"):
            self.report(*self.held)
        else:
            wait = body["wait_ms"] / 1000
            self.loop.call_at(now + wait, self.time_out, *self.held)

    def time_out(self, connection, call):
        """Answer a held call whose wait is over."""
        with ModelTime():
            self.report(connection, call)

    def report(self, connection, call):
        """Answer a held call."""
        if self.held != (connection, call):
            return
        self.held = None
        now = self.loop.time()
        running = [run.row(self, now) for run in self.runs.values()]
        connection.answer(
            {
                "clock_ms": int(now * 1000),
                "born": 1,
                "running": running,
                "ended": self.ended,
            }
        )


class FakeTransport:
    """Passes calls to an endpoint and answers back to the connection."""

    def __init__(self, endpoint, connection, loop):
        self.endpoint = endpoint
        self.connection = connection
        self.loop = loop

    def write(self, data):
        """Deliver a call after the delay."""
        self.loop.call_later(DELAY_SECONDS, self.deliver, data)

    def deliver(self, data):
        """Parse and execute a call."""
        with ModelTime():
            head, _blank, body = data.partition(b"\r\n\r\n")
            path = head.split(b" ", 2)[1].decode()
            self.endpoint.fleet.count_call(path, self.loop.time())
            self.endpoint.receive(self, path, _decode(body))

    def answer(self, document):
        """Send a response after the delay."""
        body = _encode(document)
        head = (
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        self.loop.call_later(DELAY_SECONDS, self.connection.data_received, data)

    def is_closing(self):
        """Return whether the connection is closed."""
        return False

    def abort(self):
        """Ignore the end of the connection."""

    close = abort


class FakeClient(Client):
    """A client whose connections lead to model endpoints."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet = fleet

    async def connect(self, address, deadline):
        """Return an idle connection or a new one."""
        if self.idle.get(address):
            return self.idle[address].pop()
        connection = ClientConnection()
        endpoint = self.fleet.by_address[address]
        loop = asyncio.get_running_loop()
        connection.transport = FakeTransport(endpoint, connection, loop)
        return connection


class Fleet:
    """The endpoints and what they have done; ``waits`` are (time, seconds)."""

    def __init__(self, count, loop):
        self.jobs = {}
        self.steps_due = {}
        self.left = {}
        self.again = {}
        self.starts = 0
        self.waits = []
        self.calls = []
        self.endpoints = [
            ModelEndpoint(endpoint_info(number), self, loop) for number in range(count)
        ]
        self.by_address = {model.info.address: model for model in self.endpoints}

    def add_job(self, spec, now):
        """Record a job submitted at ``now``."""
        self.jobs[spec.id] = spec
        self.left[spec.id] = [step.count for step in spec.steps]
        self.steps_due[spec.id, 0] = now

    def due_at(self, run):
        """Return when the run became due."""
        if run.task in self.again:
            return self.again[run.task]
        return self.steps_due[run.job.id, int(run.task.split(".")[2])]

    def record_end(self, run, outcome, now):
        """Record the end of a run."""
        if outcome != "done":
            self.again[run.task] = now
            return
        left = self.left[run.job.id]
        number = int(run.task.split(".")[2])
        left[number] -= 1
        if not left[number]:
            self.steps_due[run.job.id, number + 1] = now

    def count_call(self, path, now):
        """Count a call."""
        self.calls.append((now, path))


class MemoryStore(KeyValueStore):
    """A key-value store in memory."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Condition()

    async def get(self, key):
        """Return the entry at ``key``."""
        await asyncio.sleep(DELAY_SECONDS)
        return self.items.get(key)

    async def scan(self, start, end, limit=0):
        """Return the entries of a range."""
        entries = [item for key, item in self.items.items() if start <= key < end]
        return entries, self.revision

    async def commit(self, compares, puts=(), deletes=()):
        """Write without regard to ``compares``."""
        await asyncio.sleep(2 * DELAY_SECONDS)
        return await self.write(puts, deletes)

    async def write(self, puts, deletes=()):
        """Write and notify the watches."""
        with ModelTime():
            self.revision += 1
            for put in puts:
                entry = Entry(put.key, put.value, self.revision)
                self.items[put.key] = entry
                self.events.append(entry)
            for key, _end in deletes:
                if self.items.pop(key, None) is not None:
                    self.events.append(Entry(key, None, self.revision))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def watch(self, start, end, revision):
        """Yield changes."""
        seen = len(self.events)
        while True:
            async with self.changed:
                while len(self.events) == seen:
                    await self.changed.wait()
            events, seen = self.events[seen:], len(self.events)
            found = [entry for entry in events if start <= entry.key < end]
            if found:
                yield found, self.revision

    async def grant(self, ttl):
        """Return a lease."""
        return 1

    async def keep_alive(self, lease):
        """Renew a lease."""
        return 1

    async def revoke(self, lease):
        """Ignore the end of a lease."""


def hash_of(text):
    """Return a number that depends on ``text`` only."""
    return sum(ord(letter) * (i + 7) for i, letter in enumerate(text)) * 2654435761 >> 4


def endpoint_info(number):
    """Return the registry's view of an endpoint."""
    return Endpoint(
        f"e{number}",
        born_ms=1,
        service=SERVICE,
        address=f"10.0.{number // 250}.{number % 250}:80",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        leaving=False,
        cold_ms=0,
        processors_milli=32_000,
        memory_mb=128_000,
        accelerators=0,
        labels=("a", f"r{number // 20}"),
        rack=f"r{number // 20}",
    )


class JobMaker:
    """Draws jobs of the three kinds."""

    def __init__(self, seed, clock):
        self.random = random.Random(seed)
        self.clock = clock

    def drawn(self, mean, spread, most):
        """Draw from a log-normal distribution with a mean and a relative spread."""
        sigma = math.sqrt(math.log(1 + spread**2))
        mu = math.log(mean) - sigma**2 / 2
        return min(most, self.random.lognormvariate(mu, sigma))

    def make(self, queue, steps):
        """Return the `JobSpec` of a job with ``steps``."""
        job_id = f"{self.random.getrandbits(64):016x}"
        domain = self.random.choice(DOMAINS)
        return JobSpec(
            job_id, queue, SERVICE, "{}", steps, self.clock.now(), domain, attempts=4
        )

    def chain(self, count, step):
        """Return ``count`` steps, drawn by ``step(after)``, one after the other."""
        return tuple(step((n - 1,) if n else ()) for n in range(max(1, round(count))))

    def sintesis(self):
        """Return a job of short tasks."""
        return self.make(
            "sintesis",
            self.chain(
                self.drawn(1.6, 0.4, 4),
                lambda after: Step(
                    count=max(1, round(self.drawn(9.5, 0.8, 57))),
                    processors_milli=int(self.drawn(5300, 0.45, 16000)),
                    memory_mb=int(self.drawn(11000, 0.3, 21000)),
                    estimate_ms=int(self.drawn(640, 0.5, 1600)),
                    after=after,
                ),
            ),
        )

    def acta(self):
        """Return a job of fillers."""
        image = f"f{self.random.randrange(18)}"
        return self.make(
            "acta-firmada",
            self.chain(
                self.drawn(2.0, 0.4, 5),
                lambda after: Step(
                    count=max(1, round(self.drawn(20, 0.6, 80))),
                    processors_milli=int(self.drawn(3500, 0.3, 7000)),
                    memory_mb=int(self.drawn(6400, 0.3, 13000)),
                    estimate_ms=int(self.drawn(2200, 0.5, 5400)),
                    after=after,
                    image=image,
                    filler=True,
                    checkpoints=True,
                ),
            ),
        )

    def voto(self):
        """Return a job of replicas."""
        step = Step(
            count=max(1, round(self.drawn(14, 0.4, 28))),
            processors_milli=int(self.drawn(6400, 0.25, 10000)),
            memory_mb=int(self.drawn(13000, 0.3, 26000)),
            replica=True,
            image=f"r{self.random.randrange(10)}",
            latency_ms=45.0,
        )
        return self.make("voto-directo", (step,))


def arrivals(maker, rates, seconds, burst):
    """Return a heap of (time, number, kind) of submissions.

    ``rates`` are jobs per second by kind; fillers' jobs arrive ``burst[2]`` times as
    often from ``burst[0]`` until ``burst[1]``.
    """
    rows = []
    for kind, rate in rates.items():
        at = 0.0
        while at < seconds:
            in_burst = kind == "acta" and burst[0] <= at < burst[1]
            at += maker.random.expovariate(rate * (burst[2] if in_burst else 1))
            rows.append((at, len(rows), kind))
    heapq.heapify(rows)
    return rows


def put_of(spec):
    """Return the write that submits a job."""
    return Put(jobstore.JOBS + spec.id, _encode(spec))
