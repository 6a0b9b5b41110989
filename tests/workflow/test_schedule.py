"""Terms of the real scheduler under disturbances, in virtual time."""

import asyncio

import pytest

from clementinebay.workflow.model import Step
from tests.workflow import virtualtime
from tests.workflow.testbed import TestBed


async def submit_jobs(bed, interval):
    """Submit jobs of one or two steps at random times."""
    while True:
        await asyncio.sleep(bed.random.expovariate(1 / interval))
        steps = [Step(count=bed.random.randint(1, 2), processors_milli=1000)]
        if bed.random.random() < 0.5:
            steps.append(Step(count=1, processors_milli=1500, after=(0,)))
        bed.submit(bed.random.choice("ab"), steps)


@pytest.mark.parametrize("seed", range(2))
def test_tasks_run_in_time_without_disturbances(seed):
    async def main():
        async with TestBed(seed, endpoints=6, daemons=2) as bed:
            clients = asyncio.create_task(submit_jobs(bed, 0.7))
            await bed.run(20.0)
            clients.cancel()
            assert len(bed.done) > 20

    virtualtime.run(main())
