"""Another writer's entry names a worker's address; then the scheduler is killed."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import CannotRunError, Deployment, main

#: Tasks of the job, at most one on each of the workers, and their work in seconds.
TASKS = 6
WORKERS = 8
WORK_SECONDS = 20.0
#: An entry is removed after three check-in intervals of silence, of 1.5 s each.
SILENCE_SECONDS = 4.5
#: Time from the removal of the entry to the kill of the scheduler, in seconds.
LATER_SECONDS = 1.0
#: Time for which the killed daemon is away, in seconds; the site files have 3.5.
DOWN_SECONDS = 3.0


async def case(trouble):
    """Hand in one job; let the foreign entry come and go, and the scheduler die."""
    deployment = Deployment(
        Path(__file__).parent,
        workers=WORKERS,
        plan=lambda worker, task, run: (WORK_SECONDS, "done"),
    )
    async with deployment as d:
        step = {"count": TASKS, "cpu": 20000, "mem_mb": 4096, "estimate_ms": 20000}
        job_id, statuses = await d.submit({"spec": "nightly", "steps": [step]})
        if statuses[-1] != 200:
            raise CannotRunError(f"the job was not accepted: {statuses}")
        deadline = time.monotonic() + 15.0
        while sum(len(worker.running) for worker in d.workers) < TASKS:
            if time.monotonic() > deadline:
                raise CannotRunError("the tasks were not started")
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        if trouble:
            worker = next(worker for worker in d.workers if worker.running)
            entry = worker.entry() | {
                "service": "agent-7f3",
                "born": int(time.time() * 1000),
            }
            key = "servers/a-7f3a91c2"
            d.record("trouble", event="an entry of another writer", entry=entry)
            await d.store.put(key, entry)
            await asyncio.sleep(SILENCE_SECONDS)
            d.record("trouble", event="it is removed")
            await d.store.remove(key)
            await asyncio.sleep(LATER_SECONDS)
            holder = d.holder()
            holder.send(signal.SIGKILL)
            await holder.process.wait()
            await asyncio.sleep(DOWN_SECONDS)
            await holder.start()
        state = await d.wait_state(job_id, ("completed", "failed"), 50)
        await asyncio.sleep(2.0)
        again = d.twice()
        print(f"job {state}; {len(again)} breaches of TWICE", *again[:3], sep="\n")
        return 1 if again else 0


if __name__ == "__main__":
    main(case)
