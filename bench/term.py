"""Processor time of one scheduler's term at the size of the grown Chilean site.

    python -m bench.term [--processors N] [--profile] [--seconds S] [--seed N]
                         [--endpoints N] [--load SHARE]

Runs the real `Scheduler`, its driver and HTTP client against endpoints in memory, in
simulated time: 246 endpoints in four domains, replicas that reserve over half of the
processors, and jobs of the three kinds; with ``--load`` a share of both.  Sockets and
the kernel are left out.  Printed for a steady stretch and for a burst of fillers:
processor time per simulated second, calls, how long tasks were due when they started,
and the lag of the loop.  With ``--processors`` simulated
time also passes by the processor time used, as on a VM of that size.  Processor time is
normalized by a fixed piece of work, because other programs slow the machine; *speed* is
the last factor.
"""

import argparse
import asyncio
import contextlib
import cProfile
import gc
import heapq
import os
import pstats
import time
from collections import Counter

from bench import termfleet as fleets
from clementinebay import eventlog
from clementinebay.clock import Clock
from clementinebay.platform.endpoints import PlatformDriver
from clementinebay.store.base import Put
from clementinebay.workflow import jobstore
from clementinebay.workflow.boundary import Boundary
from clementinebay.workflow.model import Queue, QueueTable
from clementinebay.workflow.schedule import Scheduler

ENDPOINTS = 246
#: Jobs of replicas that are submitted at the start.
REPLICA_JOBS = 56
RATES = {"sintesis": 8.9, "acta": 10.7, "voto": 0.45}
WARM_SECONDS = 5.0
BURST_SECONDS = 4.0
BURST_FACTOR = 2.6
RENEW_SECONDS = 0.45
CALIBRATION_INTERVAL_SECONDS = 0.02
LAG_INTERVAL_SECONDS = 0.05

#: Functions listed with their cumulative time by ``--profile``.
PARTS = (
    ("schedule.py", "plan_loop"),
    ("planning.py", "plan"),
    ("engine.py", "expire"),
    ("engine.py", "process_report"),
    ("engine.py", "pace"),
    ("engine.py", "set_orphaned"),
    ("pressure.py", "observe"),
    ("sending.py", "send_start"),
    ("sending.py", "send_pace"),
    ("schedule.py", "request_report"),
    ("endpoints.py", "send_order"),
    ("client.py", "call"),
    ("storing.py", "store_loop"),
    ("eventlog.py", "record"),
    ("load.py", "watch"),
)


class LoopClock(Clock):
    """The simulated time."""

    def __init__(self, loop):
        self.loop = loop
        self.offset = time.time()

    def now(self):
        """Return the simulated time since the Unix epoch."""
        return self.offset + self.loop.time()


class MemoryBoundary(Boundary):
    """Registry entries whose values are numbers of model endpoints."""

    endpoint_prefix = "servers/"
    operator_prefix = "op/"

    def __init__(self, driver, fleet):
        self.driver = driver
        self.fleet = fleet

    def decode_endpoint(self, key, value):
        """Return the `Endpoint` of a model endpoint."""
        return self.fleet.endpoints[int(value)].info

    def decode_operator_item(self, key, value):
        """Return nothing: there are no operators."""


class Settings:
    """What a `Scheduler` reads of its `Deployment` and of the service "queues"."""

    max_lease_seconds = 6.0
    lease_seconds = 5.0
    status_seconds = 120
    out = frozenset()
    listener = None
    table = QueueTable(
        1,
        [
            Queue("sintesis", "h", "/s/", fleets.SERVICE, stretch=1.5, slack_ms=300),
            Queue(
                "acta-firmada",
                "h",
                "/a/",
                fleets.SERVICE,
                priority=2,
                stretch=2.0,
                slack_ms=1000,
            ),
            Queue("voto-directo", "h", "/v/", fleets.SERVICE, stretch=2.2),
        ],
        1,
        1,
    )

    def __init__(self, boundary, processors):
        self.boundary = boundary
        self.processors = processors


class Stretch:
    """The processor time, calls, waits and lags of a stretch of simulated time."""

    def __init__(self, name, fleet, loop):
        self.name = name
        self.fleet = fleet
        self.loop = loop
        self.from_time = loop.time()
        self.used = loop.used_seconds()
        self.lags = []
        self.watching = asyncio.ensure_future(self.watch())

    async def watch(self):
        """Measure the delay of a timer."""
        while True:
            due_at = self.loop.time() + LAG_INTERVAL_SECONDS
            await asyncio.sleep(LAG_INTERVAL_SECONDS)
            self.lags.append(self.loop.time() - due_at)

    def print(self):
        """Print the figures up to now; the stretch ends."""
        self.watching.cancel()
        seconds = self.loop.time() - self.from_time
        used = self.loop.used_seconds() - self.used
        calls = Counter(p for at, p in self.fleet.calls if at >= self.from_time)
        waits = sorted(w for at, w in self.fleet.waits if at >= self.from_time)
        row = {
            "ms/s": used * 1000 / seconds,
            **{f"{path}/s": count / seconds for path, count in sorted(calls.items())},
            "wait p50 ms": quantile(waits, 0.5) * 1000,
            "p95 ms": quantile(waits, 0.95) * 1000,
            "p99 ms": quantile(waits, 0.99) * 1000,
            "lag p99 ms": quantile(sorted(self.lags), 0.99) * 1000,
            "most": max(self.lags, default=0.0) * 1000,
            "speed %": self.loop.factor * 100,
        }
        text = "  ".join(f"{name} {value:.0f}" for name, value in row.items())
        print(f"{self.name:7} {text}", flush=True)


def quantile(values, share):
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


async def submit(store, fleet, maker, options, rows):
    """Submit the jobs that are due, and cancel a replica job for each new one."""
    loop = asyncio.get_running_loop()
    replicas = []
    while rows:
        at, _number, kind = heapq.heappop(rows)
        await asyncio.sleep(max(0.0, at - loop.time()))
        with fleets.ModelTime():
            spec = getattr(maker, kind)()
            fleet.add_job(spec, loop.time())
            puts = [fleets.put_of(spec)]
            if kind == "voto":
                replicas.append(spec.id)
                if len(replicas) > REPLICA_JOBS * options.load:
                    key = jobstore.JOBS + replicas.pop(0) + jobstore.CANCEL
                    puts.append(Put(key, b"{}"))
        await store.write(puts)


async def calibrate(loop):
    """Measure the machine's speed at regular intervals."""
    while True:
        loop.calibrate()
        await asyncio.sleep(CALIBRATION_INTERVAL_SECONDS)


async def renew(scheduler, clock):
    """Confirm the term at the usual interval."""
    while True:
        await asyncio.sleep(RENEW_SECONDS)
        scheduler.confirm(clock.now())


async def run(options, profile):
    """Run the term and print its figures."""
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    fleet = fleets.Fleet(options.endpoints, loop)
    store = fleets.MemoryStore()
    await store.write([Put(f"servers/e{n}", str(n)) for n in range(options.endpoints)])
    driver = PlatformDriver(fleets.FakeClient(fleet))
    settings = Settings(MemoryBoundary(driver, fleet), options.processors or 1.0)
    log = eventlog.EventLog("bench", os.open(os.devnull, os.O_WRONLY), clock=clock.now)
    writer = jobstore.TermWriter(store, "t", 0, 1, 1)
    scheduler = Scheduler(settings, settings, writer, 1.5, clock, log)
    scheduler.engine.wall_clock = clock
    maker = fleets.JobMaker(options.seed, clock)
    burst_at = WARM_SECONDS + options.seconds
    until = burst_at + BURST_SECONDS
    rates = {kind: rate * options.load for kind, rate in RATES.items()}
    rows = fleets.arrivals(
        maker, rates, until + 1, (burst_at, burst_at + BURST_SECONDS, BURST_FACTOR)
    )
    for number in range(int(REPLICA_JOBS * options.load)):
        heapq.heappush(rows, (number * 0.02, -1 - number, "voto"))
    tasks = [
        asyncio.ensure_future(scheduler.run()),
        asyncio.ensure_future(submit(store, fleet, maker, options, rows)),
        asyncio.ensure_future(renew(scheduler, clock)),
        asyncio.ensure_future(calibrate(loop)),
    ]
    await asyncio.sleep(WARM_SECONDS - loop.time())
    print_reserved(scheduler.engine)
    for name, seconds in (("steady", options.seconds), ("burst", BURST_SECONDS)):
        stretch = Stretch(name, fleet, loop)
        with profile or contextlib.nullcontext():
            await asyncio.sleep(seconds)
        stretch.print()
    check_alive(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def check_alive(tasks):
    """Raise the failure of a task that has ended."""
    for task in tasks:
        if task.done():
            task.result()


def print_reserved(engine):
    """Print the share of the processors that is reserved."""
    endpoints = engine.endpoints.values()
    used = sum(endpoint.processors_used for endpoint in endpoints)
    capacity = sum(endpoint.info.processors_milli for endpoint in endpoints)
    print(f"{len(endpoints)} endpoints, {used / max(1, capacity):.0%} reserved")


def print_parts(profile, seconds):
    """Print the cumulative time of the parts, then the most expensive functions."""
    stats = pstats.Stats(profile)
    for file, name in PARTS:
        for (path, _line, found), row in stats.stats.items():
            if found == name and path.endswith("/" + file):
                ms, calls = row[3] * 1000 / seconds, row[1] / seconds
                print(f"{file:13} {name:16} {ms:8.1f} ms/s {calls:8.1f} calls/s")
    stats.sort_stats("tottime").print_stats(45)


def main():
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processors", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--endpoints", type=int, default=ENDPOINTS)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    profile = cProfile.Profile() if options.profile else None
    gc.freeze()
    loop = fleets.SimulatedLoop(options.processors)
    loop.run_until_complete(run(options, profile))
    if profile:
        print_parts(profile, options.seconds + BURST_SECONDS)


if __name__ == "__main__":
    main()
