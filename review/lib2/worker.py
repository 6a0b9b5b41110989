"""Stand-in for a worker, by the page on running tasks."""

import asyncio
import time

from lib2.wire import HttpServer

#: Ends that one response returns.
ENDS_PER_RESPONSE = 500
MAX_WAIT_MS = 2_000
OTHER_INCARNATION = 421


class Run:
    """A run in progress, which ends at ``ends_at`` with ``how``."""

    __slots__ = ("task", "number", "started_at", "seconds", "how", "saved")

    def __init__(self, task, number, started_at, seconds, how, saved):
        self.task = task
        self.number = number
        self.started_at = started_at
        self.seconds = seconds
        self.how = how
        self.saved = saved

    def percent(self, now):
        """Return the progress in percent."""
        done = (now - self.started_at) / max(0.001, self.seconds)
        return max(0, min(100 if self.how == "lasts" else 99, int(100 * done)))


class Worker:
    """One life of a worker.

    ``plan(worker, task, run)`` returns (seconds, how) of a run; "lasts" is a task that
    lasts.  ``measure(worker, run)`` returns the fifth entry of a run's row.
    ``record(worker, event, **fields)`` takes each event.  While it is ``cut``,
    nothing reaches it or leaves it, and it runs on.
    """

    def __init__(self, settings, port, plan, record, store):
        self.id = settings["id"]
        self.service = settings["service"]
        self.zone = settings["zone"]
        self.capacity = settings["capacity"]
        self.labels = settings["labels"]
        self.hold_max_ms = settings["hold_max_ms"]
        self.heartbeat = settings["heartbeat_ms"] / 1000
        self.host, self.port = settings["host"], port
        self.plan = plan
        self.record = record
        self.store = store
        self.uncut = asyncio.Event()
        self.uncut.set()
        self.state = "ready"
        self.tasks = []
        self.server = None
        self.lives = 0
        self.measure = lambda worker, run: 0

    # Life

    async def start(self):
        """Begin a life that knows nothing of earlier ones."""
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}
        self.barred = {}
        self.ended = []
        self.last_end = 0
        self.seq = 0
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.answer, self.host, self.port)
        await self.server.start()
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.work()),
        ]
        self.record(self, "life", born=self.born)

    async def crash(self):
        """End at once: everything here is lost, and connections are reset."""
        self.record(
            self, "crash", runs=[[t, r.number] for t, r in self.running.items()]
        )
        self.running = {}
        for task in self.tasks:
            task.cancel()
        await self.server.stop()
        self.server = None

    async def stop(self):
        """End the stand-in."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            await self.server.stop()

    @property
    def is_up(self):
        """Whether this worker lives."""
        return self.server is not None

    @property
    def clock_ms(self):
        """The steady clock of this life."""
        return int((time.monotonic() - self.began) * 1000)

    def entry(self):
        """Return the registry entry."""
        self.seq += 1
        return {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms,
            "seq": self.seq,
            "born": self.born,
        }

    async def beat(self):
        """Register, and check in again and again."""
        while True:
            await self.uncut.wait()
            await self.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(self.heartbeat)

    async def work(self):
        """End the runs whose work is done or whose lease has ended."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self.clock_ms > self.deadline_ms:
                for run in list(self.running.values()):
                    await self.end(run, "lapsed")
            for run in list(self.running.values()):
                if run.how != "lasts" and now >= run.started_at + run.seconds:
                    await self.end(run, run.how)

    async def end(self, run, how):
        """End a run."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.record(
            self, "end", n=self.last_end, task=run.task, run=run.number, how=how
        )
        async with self.changed:
            self.changed.notify_all()

    # Orders

    async def answer(self, call):
        """Carry out an order."""
        await self.uncut.wait()
        if call.method == "GET":
            return 200, {}
        if call.headers.get("target-instance", self.id) != self.id:
            return OTHER_INCARNATION, None
        body = call.json()
        if body.get("fence", 0) < self.fence:
            return self.reply(409, reason="fence")
        self.fence = body.get("fence", 0)
        handler = getattr(self, "do_" + call.path[1:].replace("-", "_"))
        result = await handler(body)
        await self.uncut.wait()
        return result

    def reply(self, status=200, **fields):
        """Return a response with the clock."""
        return status, {"clock_ms": self.clock_ms, "born": self.born} | fields

    def hold(self, deadline_ms):
        """Extend the lease."""
        most = self.clock_ms + self.hold_max_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, most))

    async def do_run_start(self, body):
        """Start a run."""
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms:
            return self.reply(409, reason="late")
        self.hold(body["deadline_ms"])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return self.reply()
        if number <= self.barred.get(task, 0) or present is not None:
            return self.reply(409, reason="old")
        seconds, how = self.plan(self, task, number)
        saved = body.get("saved", "")
        self.running[task] = Run(task, number, time.monotonic(), seconds, how, saved)
        self.record(self, "start", task=task, run=number, fence=body["fence"])
        return self.reply()

    async def do_run_stop(self, body):
        """Stop a run."""
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        self.barred[task] = max(number, self.barred.get(task, 0))
        if run is not None and run.number <= number:
            await self.end(run, "stopped")
        return self.reply()

    async def do_pace(self, body):
        """Accept a pace."""
        self.record(
            self, "pace", task=body["task"], run=body["run"], percent=body["percent"]
        )
        return self.reply()

    async def do_hold(self, body):
        """Extend the lease and return what runs and what has ended."""
        if body.get("deadline_ms") is not None:
            self.hold(body["deadline_ms"])
        seen = body.get("seen_upto", 0)
        for row in self.ended:
            if row[0] <= seen:
                self.record(
                    self, "noted", n=row[0], task=row[1], run=row[2], how=row[3]
                )
        self.ended = [row for row in self.ended if row[0] > seen]
        if body.get("wait_ms") and not self.ended:
            wait = min(body["wait_ms"], MAX_WAIT_MS) / 1000
            try:
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                run.saved,
                run.percent(now),
                self.measure(self, run),
            ]
            for run in self.running.values()
        ]
        return self.reply(running=running, ended=self.ended[:ENDS_PER_RESPONSE])
