"""MIXED: a worker is lost for good, and jobs that wait for it are not counted."""

import asyncio
import time
from pathlib import Path

import deployment

FOLDER = Path(__file__).parent
WORKERS = 8
#: Workers of the kind that the jobs need.
LABELLED = 2
JOBS_PER_SECOND = 16
TASK_SECONDS = 0.3
#: Time for which jobs are submitted after the loss, in seconds.
SUBMIT_SECONDS = 1.5
#: Age in seconds from which jobs that have not begun must be counted: `visible_ms` and
#: the 2 s for which the count may be old.
COUNTED_SECONDS = 5.0


class Clients:
    """Clients that submit jobs of one task and note when each was accepted."""

    def __init__(self, small, fronts):
        self.small = small
        self.fronts = fronts
        self.accepted = {}

    async def submit(self, front, step):
        """Submit one job."""
        job_id = await self.small.submit(front, [step], TASK_SECONDS)
        self.accepted[job_id] = time.time()

    async def submit_steadily(self):
        """Submit jobs at a steady rate."""
        step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300}
        step["required_label"] = "b"
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                front = self.fronts[number % len(self.fronts)]
                group.create_task(self.submit(front, step))
                await asyncio.sleep(1 / JOBS_PER_SECOND)

    async def waiting(self, asked_at, answered_at):
        """Return the jobs that had to be counted all the while of a request."""
        begun = {
            line["task"].partition(".")[0]
            for line in self.small.worker_events()
            if line["event"] == "start" and line["t"] <= answered_at
        }
        return [
            job_id
            for job_id, at in self.accepted.items()
            if at + COUNTED_SECONDS <= asked_at and job_id not in begun
        ]


async def case():
    """Play the case; return the exit code."""
    async with deployment.Deployment(FOLDER) as small:
        await small.configure()
        for number in range(WORKERS):
            label = "b" if number < LABELLED else "a"
            await small.add_worker(f"w{number}", f"z{number % 2 + 1}", label=label)
        fronts = [
            await small.add_daemon(f"d{number}", f"z{number % 2 + 1}")
            for number in range(3)
        ]
        clients = Clients(small, fronts)
        submitting = asyncio.create_task(clients.submit_steadily())
        await asyncio.sleep(8)
        if deployment.trouble():
            small.workers[0].gate.lose_power()
            small.workers[0].to_store.lose_power()
            small.workers[0].kill()
            small.record("lost-for-good", worker="w0")
        await asyncio.sleep(SUBMIT_SECONDS)
        submitting.cancel()
        await asyncio.wait([submitting])
        broken = 0
        for number in range(80):
            await asyncio.sleep(0.25)
            front = fronts[number % len(fronts)]
            asked_at = time.time()
            status, body = await small.call(front, "GET", "/q/")
            waiting = await clients.waiting(asked_at, time.time())
            if status == 200 and 2 * body["pending"] < len(waiting):
                broken += 1
                small.record(
                    "broken",
                    rule="MIXED",
                    pending=body["pending"],
                    waiting=[
                        [job, round(asked_at - clients.accepted[job], 2)]
                        for job in waiting
                    ],
                )
        print(f"{len(clients.accepted)} jobs; {broken} of 80 counts were too low")
        return deployment.BROKEN if broken else deployment.HELD


deployment.run(case)
