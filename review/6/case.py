"""More than 500 runs end at a worker while the platform's store is down."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import CannotRunError, Deployment, main

#: Tasks of the job, and how many of them fit on the one worker that may run them.
TASKS = 1400
ROOM = 1000
#: Time over which the tasks end one after the other, in seconds.
SPREAD_SECONDS = 4.0
#: Time for which the store is down, in seconds; the site files have 4.5.
DOWN_SECONDS = 4.0
#: Time from the first end to the outage, in seconds.
LEAD_SECONDS = 1.0
#: Work of the tasks that are started later, in seconds, and estimate for all.
WORK_SECONDS = 30.0


async def case(trouble):
    """Hand in one job; take the store down while its tasks end."""
    deployment = Deployment(
        Path(__file__).parent,
        workers=4,
        kinds="abaa",
        plan=lambda worker, task, run: (WORK_SECONDS, "done"),
    )
    async with deployment as d:
        worker = d.workers[1]
        step = {
            "count": TASKS,
            "cpu": 32,
            "mem_mb": 100,
            "estimate_ms": int(WORK_SECONDS * 1000),
            "required_label": "b",
        }
        job_id, statuses = await d.submit({"spec": "nightly", "steps": [step]})
        if statuses[-1] != 200:
            raise CannotRunError(f"the job was not accepted: {statuses}")
        deadline = time.monotonic() + 30.0
        while len(worker.running) < ROOM:
            if time.monotonic() > deadline:
                raise CannotRunError(f"only {len(worker.running)} tasks were started")
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        first_end = time.monotonic() + 0.2
        for number, run in enumerate(list(worker.running.values())):
            end = first_end + SPREAD_SECONDS * number / ROOM
            run.seconds = end - run.started_at
        await asyncio.sleep(first_end + LEAD_SECONDS - time.monotonic())
        if trouble:
            d.record("trouble", event="the store is down (503)")
            d.store.go_down("busy")
            await asyncio.sleep(DOWN_SECONDS)
            d.record("trouble", event="the store is back")
            d.store.come_back()
        state = await d.wait_state(job_id, ("completed", "failed"), 50)
        await asyncio.sleep(2.0)
        again = d.twice()
        lapsed = sum(f.get("how") == "lapsed" for _at, k, f in d.lines if k == "end")
        print(
            f"job {state}; {lapsed} runs lapsed; {len(again)} breaches of TWICE",
            *again[:3],
            sep="\n",
        )
        return 1 if again else 0


if __name__ == "__main__":
    main(case)
