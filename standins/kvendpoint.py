"""Stand-in for an endpoint of the users' platform, with short runs."""

import asyncio
import time

import msgspec

from clementinebay.eventlog import ERROR, EventLog
from clementinebay.web.server import Response, Server

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder().decode

#: Number of ends that one report lists.
ENDS_PER_REPORT = 500


class EndpointStandIn:
    """An endpoint whose runs end as done after ``seconds``.

    ``starts`` lists all started runs.  The next ``unanswered_starts`` start orders are
    executed without a response.  Runs of tasks in ``fail`` fail.
    """

    def __init__(self, id, port, seconds=0.05, domain="a"):
        self.id = id
        self.address = f"127.0.0.1:{port}"
        self.domain = domain
        self.seconds = seconds
        self.born = int(time.time() * 1000)
        self.server = Server(self.answer, "127.0.0.1", port, EventLog(level=ERROR + 1))
        self.fence = 0
        self.running = {}
        self.ended = []
        self.number = 0
        # Highest run of each task that was ended or stopped; later starts of it fail.
        self.barred = {}
        self.starts = []
        self.unanswered_starts = 0
        self.fail = set()
        self.tasks = set()
        self.changed = asyncio.Condition()

    async def __aenter__(self):
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *exc):
        for task in list(self.tasks):
            task.cancel()
        await self.server.__aexit__()

    def restart(self):
        """Simulate a restart: a new incarnation with the same id and no state."""
        self.born += 1
        self.fence = 0
        self.running = {}
        self.ended = []
        self.number = 0
        self.barred = {}

    def entry(self, state="ready"):
        """Return the endpoint's registry entry."""
        return {
            "service": "s",
            "addr": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "capacity": {"cpu": 8000, "mem_mb": 16000, "gpu": 0},
            "labels": ["k", "r1"],
            "seq": 1,
            "born": self.born,
        }

    @property
    def clock_ms(self):
        """Milliseconds since this incarnation started."""
        return int(time.time() * 1000) - self.born

    async def answer(self, request):
        """Execute an order and return the response."""
        body = decode(request.body)
        if request.headers.get("target-instance", self.id) != self.id:
            return Response(421)
        if body.get("fence", 0) < self.fence:
            return self.reply(409, reason="fence")
        self.fence = body.get("fence", 0)
        handler = getattr(self, "do_" + request.path[1:].replace("-", "_"))
        response = await handler(body)
        if self.unanswered_starts and request.path == "/run-start":
            self.unanswered_starts -= 1
            await asyncio.sleep(60)
        return response

    def reply(self, status=200, **fields):
        """Return a response with ``fields``, the clock and the incarnation."""
        return Response(
            status, encode({"clock_ms": self.clock_ms, "born": self.born} | fields)
        )

    async def do_run_start(self, body):
        """Start a run, unless it is late or superseded."""
        task, run = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms:
            return self.reply(409, reason="late")
        if self.running.get(task) == run:
            return self.reply()
        if run <= self.barred.get(task, 0):
            return self.reply(409, reason="old")
        self.running[task] = run
        self.starts.append((task, run))
        work = asyncio.create_task(self.work(task, run))
        self.tasks.add(work)
        work.add_done_callback(self.tasks.discard)
        return self.reply()

    async def work(self, task, run):
        """End a run after ``seconds``."""
        await asyncio.sleep(self.seconds)
        await self.finish(task, run, "failed" if task in self.fail else "done")

    async def finish(self, task, run, outcome):
        """Record the end of a run and notify waiting calls."""
        if self.running.get(task) != run:
            return
        del self.running[task]
        self.barred[task] = max(run, self.barred.get(task, 0))
        self.number += 1
        self.ended.append([self.number, task, run, outcome, ""])
        async with self.changed:
            self.changed.notify_all()

    async def do_run_stop(self, body):
        """Stop a run; starts of it and of earlier runs are refused from then on."""
        task, run = body["task"], body["run"]
        self.barred[task] = max(run, self.barred.get(task, 0))
        await self.finish(task, run, "stopped")
        return self.reply()

    async def do_pace(self, body):
        """Accept a pace order without any effect."""
        return self.reply()

    async def do_hold(self, body):
        """Return the running and the ended runs; wait for an end if requested."""
        self.ended = [row for row in self.ended if row[0] > body["seen_upto"]]
        if body.get("wait_ms") and not self.ended:
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass
        running = [[task, run, "", 50, 0] for task, run in self.running.items()]
        return self.reply(running=running, ended=self.ended[:ENDS_PER_REPORT])
