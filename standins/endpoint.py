"""Stand-in for endpoints: serves requests, runs tasks and records violations.

It does not enforce the system's guarantees: it accepts tasks beyond its capacity and
records the over-commit.  ``GET /control/runs`` lists all runs with their times, so that
tests can detect overlapping runs of one task.  Faults are set by
``POST /control/faults``:

==================  ================================================================
service_seconds     mean service time of a request
fail_tasks          kinds whose tasks fail, or ``["*"]`` for all
fail_requests       refuse every request immediately
hang_requests       accept requests without responding
cross_answers       swap responses between requests
answer_factor       number of times a response repeats the request's body
run_factor          ratio of actual to declared run time
wrong_factor        maximum factor by which actual sizes and run times deviate
lag_seconds         age of measured usage when it is reported
checkpoint_seconds  interval between checkpoints, 0 for continuous ones
interference        weights of pairs of kinds; see `Interference`
==================  ================================================================
"""

import argparse
import asyncio
import hashlib
import random
from collections import Counter

from clementinebay.clock import SystemClock
from standins import web
from standins.workload import Interference, Run, UsageMeter, service_time

#: Interval at which running tasks are advanced, in seconds.
STEP_SECONDS = 0.05


class Endpoint:
    """An endpoint with its tasks, slots and faults."""

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
        # Attempts that were stopped; they are not started afterwards.
        self.stopped = set()
        self.barred_until = self.clock.now() + boot_bar
        self.barred = []
        self.version = 0
        self.violations = []
        self.requests = []
        self.swapped_answer = None
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
            await self.simulate_service_time(service)
        answer = (request_id, call.body * self.faults["answer_factor"])
        if self.faults["cross_answers"]:
            answer, self.swapped_answer = self.swapped_answer or answer, answer
        request_id, body = answer
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        return web.Reply(
            body, headers=[("X-Request-Id", request_id), ("X-Digest", digest)]
        )

    async def simulate_service_time(self, service):
        """Sleep for a service time, which colocated batch tasks lengthen."""
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
        self.meter.record(self.clock.now(), service, seconds)

    def running(self):
        """Return the running attempts."""
        return [run for run in self.runs.values() if run.state == "running"]

    def slowdown(self, kind):
        """Return the factor by which running batch tasks slow down ``kind``."""
        cores = Counter()
        for run in self.running():
            if not run.order["service"]:
                cores[run.order["kind"]] += run.cores
        return self.interference.slowdown(kind, cores)

    # Tasks

    async def start(self, call):
        """Start an attempt, unless its lease has expired or it may have been stopped.

        A restarted endpoint does not know which attempts were stopped earlier, so it
        refuses those whose lease expires before ``barred_until``.
        """
        order = call.json()
        key = (order["job"], order["index"], order["attempt"])
        now = self.clock.now()
        if key in self.runs:
            return web.Reply(self.runs[key].report())
        if key in self.stopped:
            return web.Reply({"code": "stopped-before"}, 409)
        if now > order["lease_deadline"]:
            return web.Reply({"code": "lease-passed"}, 409)
        if order["lease_deadline"] < self.barred_until:
            self.barred.append(order["origin"])
            return web.Reply({"code": "before-boot"}, 409)
        run = Run(order, now, self.seed, self.faults["wrong_factor"])
        self.runs[key] = run
        self.mark_changed(run)
        self.check_over_commit()
        return web.Reply(run.report())

    def check_over_commit(self):
        """Record a violation if the running tasks exceed the capacity."""
        names = ("processors_milli", "memory_mb", "accelerators")
        used = [sum(run.order[name] for run in self.running()) for name in names]
        if any(u > limit for u, limit in zip(used, self.limits, strict=True)):
            self.violations.append(
                {"kind": "over-commit", "at": self.clock.now(), "used": used}
            )

    async def stop(self, call):
        """Stop an attempt; if it has not started, later starts are refused."""
        order = call.json()
        key = (order["job"], order["index"], order["attempt"])
        self.stopped.add(key)
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
        self.mark_changed(run)
        return web.Reply(run.report())

    async def renew(self, call):
        """Extend all leases and report changes since a version."""
        body = call.json()
        for run in self.running():
            run.deadline = max(run.deadline, body["lease_deadline"])
        await self.wait_for_end(body["since"], body.get("wait_seconds", 0.0))
        tasks = [r.report() for r in self.runs.values() if r.version > body["since"]]
        services = self.meter.drain(self.clock.now() - self.faults["lag_seconds"])
        report = {"version": self.version, "tasks": tasks, "services": services}
        return web.Reply(report)

    async def wait_for_end(self, since, seconds):
        """Wait until an attempt has ended since version ``since``, with a timeout."""
        if any(run.version > since and run.ended for run in self.runs.values()):
            return
        try:
            async with asyncio.timeout(seconds):
                await self.ended.wait()
        except TimeoutError:
            pass

    def mark_changed(self, run):
        """Give an attempt a new version, so that it is reported again."""
        self.version += 1
        run.version = self.version

    def end(self, run, state, reason=""):
        """End an attempt."""
        run.state = state
        run.reason = reason
        run.ended = self.clock.now()
        self.mark_changed(run)
        self.ended.set()
        self.ended = asyncio.Event()

    async def run_tasks(self):
        """Advance running tasks and stop those whose lease has expired."""
        previous = self.clock.now()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            now = self.clock.now()
            for run in self.running():
                self.measure(run, now)
                if not run.order["service"]:
                    self.advance(run, now, now - previous)
            previous = now

    def measure(self, run, now):
        """Include the usage of an attempt in reports once the lag has passed."""
        if not run.measured and now > run.started + self.faults["lag_seconds"]:
            run.measured = True
            self.mark_changed(run)

    def save_checkpoint(self, run, now):
        """Save a checkpoint of an attempt if one is due."""
        interval = self.faults["checkpoint_seconds"]
        if interval and now < run.saved_at + interval:
            return
        run.saved, run.saved_at = run.progress, now
        if interval:
            self.mark_changed(run)

    def advance(self, run, now, seconds):
        """Advance one task by ``seconds``."""
        if now > run.deadline:
            self.end(run, "stopped", "lease-passed")
        elif {"*", run.order["kind"]} & set(self.faults["fail_tasks"]):
            self.end(run, "failed", "fault")
        else:
            declared = run.order["run_seconds"] * self.faults["run_factor"]
            needed = declared * run.time_factor
            run.progress += seconds * run.share / max(needed, STEP_SECONDS)
            self.save_checkpoint(run, now)
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
        """Return the ids of all executed requests."""
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
    loops = [asyncio.create_task(e.run_tasks()) for e in endpoints.values()]
    await web.serve({port: e.app() for port, e in endpoints.items()})
    for task in loops:
        task.cancel()


def main():
    """Serve until SIGTERM or SIGINT."""
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
        help="refuse starts whose lease ends within this time after the process start",
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
