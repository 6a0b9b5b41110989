"""More than 500 runs end at a worker while the platform's store is down."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import CannotRunError, Deployment, main

#: Tasks of the job; all fit on the one worker of the kind that they need.
TASKS = 900
#: Time over which the tasks end one after the other, in seconds.
SPREAD_SECONDS = 3.2
#: Time for which the store is down, in seconds; the site files have 4.5.
DOWN_SECONDS = 4.0
#: Time for which the store has been down when the first task ends, in seconds.
LEAD_SECONDS = 0.3
#: Estimate of the tasks' work, in seconds.
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
            "cpu": 30,
            "mem_mb": 120,
            "estimate_ms": int(WORK_SECONDS * 1000),
            "required_label": "b",
        }
        job_id, statuses = await d.submit({"spec": "nightly", "steps": [step]})
        if statuses[-1] != 200:
            raise CannotRunError(f"the job was not accepted: {statuses}")
        deadline = time.monotonic() + 20.0
        while len(worker.running) < TASKS:
            if time.monotonic() > deadline:
                raise CannotRunError(f"only {len(worker.running)} tasks were started")
            await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
        first_end = time.monotonic() + LEAD_SECONDS
        for number, run in enumerate(list(worker.running.values())):
            end = first_end + SPREAD_SECONDS * number / TASKS
            run.seconds = end - run.started_at
        if trouble:
            d.record("trouble", event="the store is down (503)")
            d.store.go_down("busy")
            await asyncio.sleep(DOWN_SECONDS)
            d.record("trouble", event="the store is back")
            d.store.come_back()
        state = await d.wait_state(job_id, ("completed", "failed"), 30)
        await asyncio.sleep(2.0)
        again = d.twice()
        lapsed = sum(f.get("how") == "lapsed" for _at, k, f in d.lines if k == "end")
        print(f"job {state}; {lapsed} runs lapsed; {len(again)} breaches of TWICE:")
        print("\n".join(again[:5]))
        return 1 if again else 0


if __name__ == "__main__":
    main(case)
