"""A worker of the users' platform as one process: python3 worker.py '{JSON}'.

It follows the users' protocol: it enforces leases, fences, run numbers and stops, and
writes its registry entry to the store at each heartbeat.  Every start and end is
written to the record file.  The options are given as one JSON object.
"""

import asyncio
import base64
import json
import os
import sys
import time

from clementinebay.eventlog import ERROR, EventLog
from clementinebay.web.client import Client
from clementinebay.web.server import Response, Server

#: Longest lease in seconds, as `hold_max_ms` in the settings of the daemons.
HOLD_MAX_SECONDS = 6.0
#: Time that a stop takes, in seconds; the settings allow `stop_ms` 400.
STOP_SECONDS = 0.05
#: Share of a run after which a task that lasts is at work.
STARTUP_SECONDS = 0.5
#: Number of ends in one report.
MAX_ENDS = 500


class Worker:
    """One life of a worker; it knows nothing of the one before."""

    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        # The time of day of this machine may be ahead of the true time.
        self.born = int((time.time() + options.get("clock_ahead_s", 0)) * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}
        self.ended = []
        self.number = 0
        self.barred = {}
        self.changed = asyncio.Condition()
        self.tasks = set()
        self.record_file = os.open(options["record"], os.O_WRONLY | os.O_APPEND)

    def record(self, event, **fields):
        """Write one line to the record."""
        line = {"t": round(time.time(), 4), "worker": self.id, "born": self.born}
        text = json.dumps(line | {"event": event} | fields) + "\n"
        os.write(self.record_file, text.encode())

    @property
    def clock_ms(self):
        """The steady clock of this life, in milliseconds."""
        return int((time.monotonic() - self.started_at) * 1000)

    def entry(self):
        """Return the registry entry."""
        options = self.options
        return {
            "service": "s",
            "addr": options["address"],
            "zone": options["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": options["cpu"], "mem_mb": 64000, "gpu": 0},
            "labels": [options["label"], "r1"],
            "seq": self.clock_ms,
            "born": self.born,
        }

    async def beat(self):
        """Write the registry entry at each heartbeat."""
        async with Client() as client:
            while True:
                value = base64.b64encode(json.dumps(self.entry()).encode()).decode()
                key = {"key": f"servers/{self.id}", "value": value, "lease": 0}
                body = {"expected": [], "set_keys": [key], "remove": []}
                try:
                    await client.call(
                        self.options["store"],
                        "POST",
                        "/kv-txn",
                        1.0,
                        json.dumps(body).encode(),
                    )
                except Exception as error:
                    self.record("beat-failed", why=type(error).__name__)
                await asyncio.sleep(self.options["heartbeat_s"])

    async def watch_lease(self):
        """End everything that runs when the lease expires."""
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms > self.deadline_ms:
                for task in list(self.running):
                    await self.finish(task, self.running[task]["run"], "lapsed")

    async def answer(self, request):
        """Carry out an order."""
        if request.headers.get("target-instance", self.id) != self.id:
            return Response(421)
        body = json.loads(request.body)
        if body.get("fence", 0) < self.fence:
            return self.reply(409, reason="fence")
        self.fence = body.get("fence", 0)
        handler = getattr(self, "do_" + request.path[1:].replace("-", "_"))
        return await handler(body)

    def reply(self, status=200, **fields):
        """Return a response with the clock and the start of this life."""
        fields = {"clock_ms": self.clock_ms, "born": self.born} | fields
        return Response(status, json.dumps(fields).encode())

    def extend(self, deadline_ms):
        """Extend the lease; one that is too long is shortened."""
        longest = self.clock_ms + HOLD_MAX_SECONDS * 1000
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    async def do_run_start(self, body):
        """Start a run."""
        task, run = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms:
            return self.reply(409, reason="late")
        self.extend(body["deadline_ms"])
        if task in self.running and self.running[task]["run"] == run:
            return self.reply()
        if run <= self.barred.get(task, 0) or task in self.running:
            return self.reply(409, reason="old")
        self.running[task] = {"run": run, "at": time.monotonic()}
        self.record("start", task=task, run=run, fence=body["fence"])
        spec = json.loads(body["spec"])
        if spec.get("seconds") is not None:
            self.spawn(self.work(task, run, spec["seconds"]))
        return self.reply()

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        work = asyncio.create_task(coroutine)
        self.tasks.add(work)
        work.add_done_callback(self.tasks.discard)

    async def work(self, task, run, seconds):
        """End a run as done after its time."""
        self.running[task]["seconds"] = seconds
        await asyncio.sleep(seconds)
        await self.finish(task, run, "done")

    async def finish(self, task, run, how):
        """List the end of a run."""
        if task not in self.running or self.running[task]["run"] != run:
            return
        del self.running[task]
        self.barred[task] = max(run, self.barred.get(task, 0))
        self.number += 1
        self.ended.append([self.number, task, run, how, ""])
        self.record("end", task=task, run=run, how=how, number=self.number)
        async with self.changed:
            self.changed.notify_all()

    async def do_run_stop(self, body):
        """Stop a run; it and earlier ones are refused from then on."""
        task, run = body["task"], body["run"]
        self.barred[task] = max(run, self.barred.get(task, 0))
        self.record("stop", task=task, run=run)
        if task in self.running and self.running[task]["run"] <= run:
            await asyncio.sleep(STOP_SECONDS)
            if task in self.running:
                await self.finish(task, self.running[task]["run"], "stopped")
        return self.reply()

    async def do_pace(self, body):
        """Accept a pace."""
        return self.reply()

    def percent(self, entry):
        """Return the progress of a run."""
        seconds = time.monotonic() - entry["at"]
        if "seconds" not in entry:
            return 100 if seconds >= STARTUP_SECONDS else 0
        return min(99, int(100 * seconds / entry["seconds"]))

    async def do_hold(self, body):
        """Extend the lease; list what runs and what has ended."""
        if body.get("deadline_ms"):
            self.extend(body["deadline_ms"])
        gone = [row for row in self.ended if row[0] <= body["seen_upto"]]
        self.ended = [row for row in self.ended if row[0] > body["seen_upto"]]
        for number, task, run, how, _saved in gone:
            upto = body["seen_upto"]
            self.record(
                "noted", number=number, task=task, run=run, how=how, seen_upto=upto
            )
        if body.get("wait_ms") and not self.ended:
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass
        running = [
            [task, entry["run"], "", self.percent(entry), 1]
            for task, entry in self.running.items()
        ]
        return self.reply(running=running, ended=self.ended[:MAX_ENDS])


async def main(options):
    """Serve until killed."""
    worker = Worker(options)
    host, _colon, port = options["bind"].rpartition(":")
    log = EventLog(level=ERROR + 1)
    async with Server(worker.answer, host, int(port), log):
        worker.record("born")
        worker.spawn(worker.watch_lease())
        await worker.beat()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
