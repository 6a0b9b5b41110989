"""Lasting tasks that fill are all stopped while they may miss only one."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import CannotRunError, Deployment, main

#: Target of the serving task, and its tail in calm times and in the burst, in ms.
TARGET_MS = 100
CALM_MS = 40
BURST_MS = 300
#: Length of the burst, in seconds, as in the site files.
BURST_SECONDS = 6.0
#: Time for which a task that lasts starts up, in seconds.
START_SECONDS = 0.4


async def case(trouble):
    """Run a serving job beside one that fills and lasts; let its users burst."""
    deployment = Deployment(
        Path(__file__).parent,
        workers=4,
        kinds="abaa",
        plan=lambda worker, task, run: (START_SECONDS, "lasts"),
    )
    async with deployment as d:
        worker = d.workers[1]
        serving = {
            "count": 1,
            "cpu": 16000,
            "mem_mb": 4096,
            "estimate_ms": 400,
            "long_running": True,
            "image": "serve",
            "target_ms": TARGET_MS,
            "may_miss": 1,
            "required_label": "b",
        }
        filling = {
            "count": 2,
            "cpu": 2000,
            "mem_mb": 1024,
            "estimate_ms": 400,
            "long_running": True,
            "image": "fill",
            "fills": True,
            "saves_progress": True,
            "may_miss": 1,
            "required_label": "b",
        }
        serving_id, first = await d.submit({"spec": "s", "steps": [serving]})
        filling_id, second = await d.submit({"spec": "f", "steps": [filling]})
        if first[-1] != 200 or second[-1] != 200:
            raise CannotRunError("the jobs were not accepted")
        tail = CALM_MS

        def measure(worker, run):
            return tail if run.task.startswith(serving_id) else 2000

        worker.measure = measure
        deadline = time.monotonic() + 15.0
        while len(worker.running) < 3:
            if time.monotonic() > deadline:
                raise CannotRunError("the tasks were not started")
            await asyncio.sleep(0.05)
        await asyncio.sleep(6.0)
        if trouble:
            tail = BURST_MS
            d.record("trouble", event="burst")
            await asyncio.sleep(BURST_SECONDS)
            tail = CALM_MS
            d.record("trouble", event="over")
        await asyncio.sleep(8.0)
        broken, away = [], set()
        for at, kind, fields in d.lines:
            if not fields.get("task", "").startswith(filling_id):
                continue
            if kind == "start":
                away.discard(fields["task"])
            elif kind == "end" and fields["how"] == "stopped":
                if len(away - {fields["task"]}) >= filling["may_miss"]:
                    broken.append(f"{at:.3f} {fields['task']} stopped beside {away}")
                away.add(fields["task"])
        print(f"{len(broken)} breaches of AVAIL:")
        print("\n".join(broken))
        return 1 if broken else 0


if __name__ == "__main__":
    main(case)
