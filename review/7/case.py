"""A task that lasts ends as done and has to be started again."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import CannotRunError, Deployment, main

#: Time for which a task that lasts starts up, in seconds.
START_SECONDS = 0.4
#: Tasks of the job.
TASKS = 3
#: A task that lasts has to run again by then, in seconds: 6 s after its last run, and
#: then the 3 s for which nothing runs.
AGAIN_SECONDS = 9.0
#: Time for which the task is watched after its end, in seconds.
WATCH_SECONDS = 20.0


async def case(trouble):
    """Hand in a job of lasting tasks; let one of them end."""
    deployment = Deployment(
        Path(__file__).parent,
        workers=8,
        plan=lambda worker, task, run: (START_SECONDS, "lasts"),
    )
    async with deployment as d:
        step = {
            "count": TASKS,
            "cpu": 4000,
            "mem_mb": 2048,
            "estimate_ms": 400,
            "long_running": True,
            "image": "watch",
        }
        job_id, statuses = await d.submit({"spec": "watch", "steps": [step]})
        if statuses[-1] != 200:
            raise CannotRunError(f"the job was not accepted: {statuses}")
        deadline = time.monotonic() + 15.0
        while sum(len(worker.running) for worker in d.workers) < TASKS:
            if time.monotonic() > deadline:
                raise CannotRunError("the tasks were not started")
            await asyncio.sleep(0.05)
        await asyncio.sleep(4.0)
        worker = next(worker for worker in d.workers if worker.running)
        run = next(iter(worker.running.values()))
        if trouble:
            d.record("trouble", event="a lasting task exits", task=run.task)
            await worker.end(run, "done")
        ended_at = time.monotonic()
        again = None
        while time.monotonic() < ended_at + WATCH_SECONDS:
            runs = [r for w in d.workers for r in w.running.values()]
            if again is None and any(r.task == run.task for r in runs):
                again = time.monotonic() - ended_at
            await asyncio.sleep(0.05)
        state = await d.state(job_id)
        broken = again is None or again > AGAIN_SECONDS or state != "running"
        print(f"job {state}; {run.task} runs again after {again}")
        return 1 if broken else 0


if __name__ == "__main__":
    main(case)
