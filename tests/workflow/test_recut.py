"""Endpoints that restart under their ids and are cut off soon after, in series."""

import asyncio
import contextvars

import pytest

from clementinebay.workflow.model import Step
from tests.workflow import absence, virtualtime
from tests.workflow.test_restarts import order_starts, restart_and_cut
from tests.workflow.testbed import TestBed

ENDPOINTS = 8
REPLICA_JOBS = 2
#: Mean time between two jobs, and the longest duration of a run, in seconds.
JOB_SECONDS = 2.0
MAX_RUN_SECONDS = 12.0
STORMS = 2
#: Longest time between the starts of two series, in seconds.
MAX_GAP_SECONDS = 4.0
#: Time for which an endpoint is down, from its return until a request for the
#: incarnation before arrives, and from there until its entry is listed, in seconds.
DOWN_SECONDS = 0.6
MAX_UNDER_WAY_SECONDS = 0.5
MAX_UNLISTED_SECONDS = 2.0
#: Time from the return to the cut, and length of the cut, in seconds.
RECUT_SECONDS = (1.0, 3.0)
CUT_SECONDS = (2.0, 9.0)
#: Longest time from the cut to the end of a scheduler, in seconds.
MAX_END_SECONDS = 2.0
SCHEDULER_ENDS = (
    "killed",
    "killed",
    "told-to-stop",
    "frozen",
    "cut-from-store",
    "store-away-2s",
    "store-away-5s",
)


async def submit_jobs(bed):
    """Submit jobs of long tasks at random times."""
    while True:
        await asyncio.sleep(bed.random.expovariate(1 / JOB_SECONDS))
        steps = [Step(count=bed.random.randint(1, 2), processors_milli=1000)]
        bed.submit(bed.random.choice("ab"), steps)


def leave_request(bed, model, delay):
    """Let a request for a report reach the endpoint's next incarnation."""
    scheduler = bed.scheduler
    endpoint = scheduler and scheduler.engine.endpoints.get(model.id)
    if not endpoint:
        return
    now = bed.now()
    deadline_ms = endpoint.extend(now, scheduler.sender.lease_seconds(endpoint, now))
    fence = endpoint.fence(scheduler.writer.fence)

    def execute():
        model.report(bed.now(), deadline_ms, 0, fence)

    # The request is in transit, so it arrives though its sender may be frozen.
    in_transit = contextvars.Context()
    asyncio.get_running_loop().call_later(delay, execute, context=in_transit)


async def restart(bed, model):
    """Restart an endpoint under its id; half of them are listed late."""
    under_way = bed.random.uniform(0.0, MAX_UNDER_WAY_SECONDS)
    unlisted = bed.random.choice((0.0, bed.random.uniform(0.0, MAX_UNLISTED_SECONDS)))
    leave_request(bed, model, DOWN_SECONDS + under_way)
    async with bed.disturbance(DOWN_SECONDS):
        bed.crash(model, "silent")
    async with bed.disturbance(unlisted):
        model.up = True
        model.restart(bed.now())
    bed.list(model)


async def recut(bed, busy):
    """Restart endpoints of a domain, cut them off again, and end a scheduler.

    ``busy`` has the endpoints of the series under way.
    """
    random = bed.random
    domain = random.choice("ab")
    models = [e for e in bed.endpoints if e.domain == domain and e not in busy]
    models = models[: random.randint(1, 4)]
    busy.update(models)
    gap = random.uniform(*RECUT_SECONDS)
    end = absence.SCHEDULER_ENDS[random.choice(SCHEDULER_ENDS)]
    end_at = random.uniform(0.0, DOWN_SECONDS + gap + MAX_END_SECONDS)
    cut = bed.cut(
        models,
        random.choice(("refused", "silent", "reset")),
        random.uniform(*CUT_SECONDS),
    )

    async def cut_later():
        await asyncio.sleep(DOWN_SECONDS + gap)
        await cut

    async def end_later():
        await asyncio.sleep(end_at)
        await end.play(bed)

    await asyncio.gather(
        *(restart(bed, model) for model in models), cut_later(), end_later()
    )
    busy.difference_update(models)


async def run_storms(seed):
    """Play storms of series that overlap, each with a calm after it."""
    async with absence.make_bed(seed, ENDPOINTS) as bed:
        bed.max_run_seconds = MAX_RUN_SECONDS
        await bed.run(1.0)
        for _job in range(REPLICA_JOBS):
            bed.submit(bed.random.choice("ab"), absence.REPLICAS)
        clients = asyncio.create_task(submit_jobs(bed))
        await bed.run(absence.WARM_UP_SECONDS)
        for _storm in range(STORMS):
            storm, busy = [], set()
            for _series in range(bed.random.randint(2, 3)):
                storm.append(asyncio.create_task(recut(bed, busy)))
                await bed.run(bed.random.uniform(0.0, MAX_GAP_SECONDS))
            while not all(series.done() for series in storm):
                await bed.run(absence.SETTLED_SECONDS)
            await asyncio.gather(*storm)
            await bed.run(absence.STORM_CALM_SECONDS)
        clients.cancel()


@pytest.mark.parametrize("seed", [*range(8), 13, 28, 34, 471, 543])
def test_tasks_run_once_and_in_time_though_restarted_endpoints_are_cut_off(seed):
    virtualtime.run(run_storms(seed))


@pytest.mark.parametrize("how", ["reset", "refused", "silent"])
@pytest.mark.parametrize("delay", [0.5, 4.0, 8.0])
def test_late_request_after_a_start_at_the_next_incarnation_is_reckoned_with(
    delay, how
):
    """The clock in the answer to the start showed the restart; then came the cut."""

    async def main():
        async with TestBed(endpoints=6, max_lease=10.0) as bed:
            await bed.run(8.0)
            model = bed.endpoints[0]
            async with bed.disturbance(0.0):
                await order_starts(bed, model)
                leave_request(bed, model, delay)
                await restart_and_cut(bed, model, how)
                await bed.run(0.3)
                bed.add_endpoint()
                await bed.run(24.0)

    virtualtime.run(main())
