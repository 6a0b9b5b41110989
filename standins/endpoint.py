"""Stand-in for endpoints: serves requests and runs tasks, and records violations.

It does not guard the system's promises: it takes what it is told and records an
over-commit.  ``GET /control/runs`` lists every run with its times, so that a test can
look for runs of one task that overlap.  Faults are set by ``POST /control/faults``:
``service_seconds`` (mean time of a request), ``fail_tasks`` (kinds whose tasks fail, or
``["*"]``), ``fail_requests`` (refuse every request at once), ``hang_requests`` (take
requests and answer none), ``cross_answers`` (give each answer to another request),
``answer_factor`` (the answer repeats the body so many
times), ``run_factor`` (real over declared run time),
``wrong_factor`` (bound of the factor by which real sizes and run times are wrong),
``lag_seconds`` (age of measured usage), ``checkpoint_seconds`` (time between two
checkpoints; 0 makes one at any time), ``interference`` (weights of pairs of kinds).
"""

import argparse
import asyncio
import hashlib
import random
from collections import Counter

from clementinebay.clock import SystemClock
from standins import web
from standins.workload import Interference, Run, UsageMeter, service_time

#: Time between two steps of running tasks, in seconds.
STEP_SECONDS = 0.05


class Endpoint:
    """One worker with its tasks, slots and faults."""

    def __init__(
        self, name, processors_milli, memory_mb, accelerators, slots, seed, boot_bar
    ):
        self.name = name
        self.limits = (processors_milli, memory_mb, accelerators)
        self.slots = asyncio.Semaphore(slots)
        self.clock = SystemClock()
        self.rng = random.Random(f"{name}/{seed}")
        self.seed = seed
        self.interference = Interference(seed)
        self.meter = UsageMeter()
        self.runs = {}
        self.refused = set()
        self.barred_until = self.clock.now() + boot_bar
        self.barred = []
        self.version = 0
        self.violations = []
        self.requests = []
        self.crossed = None
        self.ended = asyncio.Event()
        self.faults = {
            "service_seconds": 0.0,
            "fail_tasks": [],
            "fail_requests": False,
            "hang_requests": False,
            "cross_answers": False,
            "answer_factor": 1,
            "run_factor": 1.0,
            "wrong_factor": 1.0,
            "lag_seconds": 2.0,
            "checkpoint_seconds": 0.0,
            "interference": {},
        }

    def app(self):
        """Return the ASGI application."""
        return web.App(
            {
                "/v1/requests/": self.request,
                "/v1/tasks/start": self.start,
                "/v1/tasks/stop": self.stop,
                "/v1/tasks/throttle": self.throttle,
                "/v1/renew": self.renew,
                "/control/faults": self.control_faults,
                "/control/runs": self.control_runs,
                "/control/requests": self.control_requests,
            }
        )

    # Requests

    def serves(self, service):
        """Return whether a replica of ``service`` runs here."""
        return any(
            run.state == "running"
            and run.order["service"]
            and run.order["origin"] == service
            for run in self.runs.values()
        )

    async def request(self, call):
        """Answer a request by echoing its body."""
        service = call.path.rsplit("/", 1)[1]
        request_id = call.headers.get("x-request-id", "")
        not_run = [("X-Outcome", "not-run"), ("X-Request-Id", request_id)]
        if self.faults["fail_requests"]:
            return web.Reply(b"fault", 500, not_run)
        if not self.serves(service):
            return web.Reply(b"no replica", 503, not_run)
        while self.faults["hang_requests"]:
            await asyncio.sleep(STEP_SECONDS)
        async with self.slots:
            self.requests.append(request_id)
            await self.spend_service_time(service)
        answer = (request_id, call.body * self.faults["answer_factor"])
        if self.faults["cross_answers"]:
            answer, self.crossed = self.crossed or answer, answer
        request_id, body = answer
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        return web.Reply(
            body, headers=[("X-Request-Id", request_id), ("X-Digest", digest)]
        )

    async def spend_service_time(self, service):
        """Take as long as the service's kind and what runs beside it ask for."""
        mean = self.faults["service_seconds"]
        if not mean:
            return
        kinds = (
            run.order["kind"]
            for run in self.running()
            if run.order["service"] and run.order["origin"] == service
        )
        kind = next(kinds, service)
        seconds = service_time(self.rng, mean) * self.slowdown(kind)
        await asyncio.sleep(seconds)
        self.meter.note(self.clock.now(), service, seconds)

    def running(self):
        """Return the attempts that run."""
        return [run for run in self.runs.values() if run.state == "running"]

    def slowdown(self, kind):
        """Return by what factor ``kind`` is slowed here now."""
        cores = Counter()
        for run in self.running():
            if not run.order["service"]:
                cores[run.order["kind"]] += run.cores
        return self.interference.slowdown(kind, cores)

    # Tasks

    async def start(self, call):
        """Start an attempt unless it is late, was stopped before, or may have been.

        A worker that was started lately has forgotten what was stopped.
        """
        order = call.json()
        key = (order["job"], order["index"], order["attempt"])
        now = self.clock.now()
        if key in self.runs:
            return web.Reply(self.runs[key].report())
        if key in self.refused:
            return web.Reply({"code": "stopped-before"}, 409)
        if now > order["lease_deadline"]:
            return web.Reply({"code": "lease-passed"}, 409)
        if order["lease_deadline"] < self.barred_until:
            self.barred.append(order["origin"])
            return web.Reply({"code": "before-boot"}, 409)
        run = Run(order, now, self.seed, self.faults["wrong_factor"])
        self.runs[key] = run
        self.touch(run)
        self.check_commitment()
        return web.Reply(run.report())

    def check_commitment(self):
        """Record a violation if what runs exceeds the capacity."""
        names = ("processors_milli", "memory_mb", "accelerators")
        used = [sum(run.order[name] for run in self.running()) for name in names]
        if any(u > limit for u, limit in zip(used, self.limits, strict=True)):
            self.violations.append(
                {"kind": "over-commit", "at": self.clock.now(), "used": used}
            )

    async def stop(self, call):
        """Stop an attempt; one that never started is refused from now on."""
        order = call.json()
        key = (order["job"], order["index"], order["attempt"])
        self.refused.add(key)
        run = self.runs.get(key)
        if run is None:
            job, index, attempt = key
            report = {
                "job": job,
                "index": index,
                "attempt": attempt,
                "state": "stopped",
            }
            return web.Reply(report)
        if run.state == "running":
            self.end(run, "stopped")
        return web.Reply(run.report())

    async def throttle(self, call):
        """Limit an attempt to a share of its processors."""
        body = call.json()
        order = body["order"]
        run = self.runs.get((order["job"], order["index"], order["attempt"]))
        if run is None:
            return web.Reply({"code": "unknown"}, 409)
        run.share = body["share"]
        self.touch(run)
        return web.Reply(run.report())

    async def renew(self, call):
        """Extend leases and report what changed."""
        body = call.json()
        for run in self.running():
            run.deadline = max(run.deadline, body["lease_deadline"])
        await self.wait_for_end(body["since"], body.get("wait_seconds", 0.0))
        tasks = [r.report() for r in self.runs.values() if r.version > body["since"]]
        services = self.meter.take(self.clock.now() - self.faults["lag_seconds"])
        report = {"version": self.version, "tasks": tasks, "services": services}
        return web.Reply(report)

    async def wait_for_end(self, since, seconds):
        """Wait until an attempt ends, for ``seconds`` at most."""
        if any(run.version > since and run.ended for run in self.runs.values()):
            return
        try:
            async with asyncio.timeout(seconds):
                await self.ended.wait()
        except TimeoutError:
            pass

    def touch(self, run):
        """Note that an attempt changed."""
        self.version += 1
        run.version = self.version

    def end(self, run, state, reason=""):
        """End an attempt."""
        run.state = state
        run.reason = reason
        run.ended = self.clock.now()
        self.touch(run)
        self.ended.set()
        self.ended = asyncio.Event()

    async def work(self):
        """Advance running tasks and end those whose lease has run out."""
        before = self.clock.now()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            now = self.clock.now()
            for run in self.running():
                self.measure(run, now)
                if not run.order["service"]:
                    self.advance(run, now, now - before)
            before = now

    def measure(self, run, now):
        """Have the usage of an attempt reported once it was measured."""
        if not run.measured and now > run.started + self.faults["lag_seconds"]:
            run.measured = True
            self.touch(run)

    def save(self, run, now):
        """Make a checkpoint of an attempt if it is time."""
        every = self.faults["checkpoint_seconds"]
        if every and now < run.saved_at + every:
            return
        run.saved, run.saved_at = run.progress, now
        if every:
            self.touch(run)

    def advance(self, run, now, seconds):
        """Advance one task."""
        if now > run.deadline:
            self.end(run, "stopped", "lease-passed")
        elif {"*", run.order["kind"]} & set(self.faults["fail_tasks"]):
            self.end(run, "failed", "fault")
        else:
            declared = run.order["run_seconds"] * self.faults["run_factor"]
            needed = declared * run.time_factor
            run.progress += seconds * run.share / max(needed, STEP_SECONDS)
            self.save(run, now)
            if run.progress >= 1.0:
                self.end(run, "done")

    # Control

    async def control_faults(self, call):
        """Set faults."""
        self.faults.update(call.json())
        self.interference = Interference(self.seed, self.faults["interference"])
        return web.Reply(self.faults)

    async def control_runs(self, _call):
        """Return all runs and violations."""
        runs = [run.record() for run in self.runs.values()]
        return web.Reply(
            {"runs": runs, "violations": self.violations, "barred": self.barred}
        )

    async def control_requests(self, _call):
        """Return the ids of all requests that ran."""
        return web.Reply(self.requests)


async def serve(arguments):
    """Serve endpoints on consecutive ports."""
    endpoints = {
        arguments.port + number: Endpoint(
            f"{arguments.name}-{number}",
            arguments.processors * 1000,
            arguments.memory_mb,
            arguments.accelerators,
            arguments.slots,
            arguments.seed,
            arguments.boot_bar_seconds,
        )
        for number in range(arguments.count)
    }
    working = [asyncio.create_task(e.work()) for e in endpoints.values()]
    await web.serve({port: e.app() for port, e in endpoints.items()})
    for task in working:
        task.cancel()


def main():
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True, help="first port")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--processors", type=int, default=32)
    parser.add_argument("--memory-mb", type=int, default=125_000)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--boot-bar-seconds",
        type=float,
        default=0.0,
        help="refuse starts whose deadline lies within so long of this one's start",
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
