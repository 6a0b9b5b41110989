"""Stand-in for endpoints: serves requests and runs tasks, and records violations.

It does not guard the system's promises: it takes what it is told and records an
over-commit.  ``GET /control/runs`` lists every run with its times, so that a test can
look for runs of one task that overlap.  Faults are set by ``POST /control/faults``:
``service_seconds`` (mean time of a request), ``fail_tasks`` (kinds whose tasks fail, or
``["*"]``), ``fail_requests`` (refuse every request at once), ``cross_answers`` (give
each answer to another request), ``run_factor`` (real over declared run time).
"""

import argparse
import asyncio
import hashlib
import random

from clementinebay.clock import SystemClock
from standins import web

#: Time between two steps of running tasks, in seconds.
STEP_SECONDS = 0.05


class Run:
    """One attempt of a task."""

    def __init__(self, order, now):
        self.order = order
        self.key = (order["job"], order["index"], order["attempt"])
        self.started = now
        self.ended = None
        self.state = "running"
        self.reason = ""
        self.deadline = order["lease_deadline"]
        self.progress = float(order.get("checkpoint") or 0.0)
        self.share = 1.0
        self.version = 0

    def report(self):
        """Return the attempt's report."""
        job, index, attempt = self.key
        return {
            "job": job,
            "index": index,
            "attempt": attempt,
            "state": self.state,
            "kind": self.order["kind"],
            "reason": self.reason,
            "checkpoint": f"{self.progress:.4f}" if self.progress else "",
            "throttled": self.share < 1.0,
        }

    def record(self):
        """Return the run for the checkers."""
        job, index, attempt = self.key
        return {
            "job": job,
            "origin": self.order["origin"],
            "index": index,
            "attempt": attempt,
            "service": self.order["service"],
            "started": self.started,
            "ended": self.ended,
            "state": self.state,
        }


class Endpoint:
    """One worker with its tasks, slots and faults."""

    def __init__(self, name, processors_milli, memory_mb, accelerators, slots, seed):
        self.name = name
        self.limits = (processors_milli, memory_mb, accelerators)
        self.slots = asyncio.Semaphore(slots)
        self.clock = SystemClock()
        self.rng = random.Random(seed)
        self.runs = {}
        self.refused = set()
        self.version = 0
        self.violations = []
        self.requests = []
        self.crossed = None
        self.ended = asyncio.Event()
        self.faults = {
            "service_seconds": 0.0,
            "fail_tasks": [],
            "fail_requests": False,
            "cross_answers": False,
            "run_factor": 1.0,
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
        not_run = [("X-Outcome", "not-run")]
        if self.faults["fail_requests"]:
            return web.Reply(b"fault", 500, not_run)
        if not self.serves(service):
            return web.Reply(b"no replica", 503, not_run)
        request_id = call.headers.get("x-request-id", "")
        async with self.slots:
            self.requests.append(request_id)
            mean = self.faults["service_seconds"]
            if mean:
                await asyncio.sleep(self.rng.expovariate(1.0 / mean))
        answer = (request_id, call.body)
        if self.faults["cross_answers"]:
            answer, self.crossed = self.crossed or answer, answer
        request_id, body = answer
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        return web.Reply(
            body, headers=[("X-Request-Id", request_id), ("X-Digest", digest)]
        )

    # Tasks

    async def start(self, call):
        """Start an attempt unless it is late or was stopped before."""
        order = call.json()
        key = (order["job"], order["index"], order["attempt"])
        now = self.clock.now()
        if key in self.runs:
            return web.Reply(self.runs[key].report())
        if key in self.refused:
            return web.Reply({"code": "stopped-before"}, 409)
        if now > order["lease_deadline"]:
            return web.Reply({"code": "lease-passed"}, 409)
        run = self.runs[key] = Run(order, now)
        self.touch(run)
        self.check_commitment()
        return web.Reply(run.report())

    def check_commitment(self):
        """Record a violation if what runs exceeds the capacity."""
        names = ("processors_milli", "memory_mb", "accelerators")
        running = [run for run in self.runs.values() if run.state == "running"]
        used = [sum(run.order[name] for run in running) for name in names]
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
        for run in self.runs.values():
            if run.state == "running":
                run.deadline = max(run.deadline, body["lease_deadline"])
        await self.wait_for_end(body["since"], body.get("wait_seconds", 0.0))
        tasks = [r.report() for r in self.runs.values() if r.version > body["since"]]
        return web.Reply({"version": self.version, "tasks": tasks, "services": []})

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
            for run in list(self.runs.values()):
                if run.state == "running" and not run.order["service"]:
                    self.advance(run, now, now - before)
            before = now

    def advance(self, run, now, seconds):
        """Advance one task."""
        if now > run.deadline:
            self.end(run, "stopped", "lease-passed")
        elif {"*", run.order["kind"]} & set(self.faults["fail_tasks"]):
            self.end(run, "failed", "fault")
        else:
            needed = run.order["run_seconds"] * self.faults["run_factor"]
            run.progress += seconds * run.share / max(needed, STEP_SECONDS)
            if run.progress >= 1.0:
                self.end(run, "done")

    # Control

    async def control_faults(self, call):
        """Set faults."""
        self.faults.update(call.json())
        return web.Reply(self.faults)

    async def control_runs(self, _call):
        """Return all runs and violations."""
        runs = [run.record() for run in self.runs.values()]
        return web.Reply({"runs": runs, "violations": self.violations})

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
            arguments.seed + number,
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
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
