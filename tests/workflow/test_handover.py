"""Replicas while endpoints go and schedulers follow each other in series."""

import asyncio

import pytest

from clementinebay.workflow.job import TaskState
from clementinebay.workflow.model import Step
from tests.workflow import virtualtime
from tests.workflow.model import CAPACITY
from tests.workflow.testbed import TestBed

#: More than one endpoint can hold.
REPLICAS = [Step(count=10, processors_milli=500, replica=True)]
#: Time from the end of a term to the next one on a small daemon, in seconds.
ELECTION_SECONDS = 0.65
#: Time between two daemons that are told to stop, and between two endpoints that
#: announce that they leave, in seconds.
STOP_GAP_SECONDS = 2.0
RELEASE_GAP_SECONDS = 0.7
#: Time from the announcement of an endpoint until it goes, in seconds.
NOTICE_SECONDS = 9.0


async def end_terms(bed, count, how):
    """End ``count`` terms in series: schedulers "stop" or are "killed"."""
    for _number in range(count):
        ending = bed.stop_scheduler() if how == "stop" else bed.kill_scheduler()
        await asyncio.gather(ending, bed.run(STOP_GAP_SECONDS))


async def release(bed, count):
    """Replace ``count`` endpoints one after the other."""
    leaving = []
    for model in bed.endpoints[:count]:
        bed.add_endpoint()
        leaving.append(asyncio.create_task(bed.leave(model, NOTICE_SECONDS)))
        await asyncio.sleep(RELEASE_GAP_SECONDS)
    await asyncio.gather(*leaving)


@pytest.mark.parametrize("how", ["stop", "kill"])
@pytest.mark.parametrize("delay", [4.5, 6.5, 8.5])
def test_replicas_of_endpoints_that_leave_run_again_in_time_beside_ends_of_terms(
    how, delay
):
    """The last term ends soon after the first endpoints have gone."""

    async def main():
        async with TestBed(
            endpoints=8, daemons=4, max_lease=10.0, election_seconds=ELECTION_SECONDS
        ) as bed:
            await bed.run(2.0)
            bed.submit("a", REPLICAS)
            bed.submit("b", REPLICAS)
            await bed.run(1.0)
            releasing = asyncio.create_task(release(bed, 4))
            await bed.run(delay)
            await end_terms(bed, 4, how)
            await bed.run(16.0)
            await releasing

    virtualtime.run(main())


@pytest.mark.parametrize("how", ["stop", "kill"])
@pytest.mark.parametrize("terms", [1, 2, 3])
@pytest.mark.parametrize("delay", [0.0, 1.0, 2.0, 3.0])
def test_replicas_of_lost_endpoints_run_again_in_time_after_ends_of_terms(
    how, terms, delay
):
    """No term begins the wait for the leases of an earlier one anew."""

    async def main():
        async with TestBed(
            endpoints=8, daemons=4, max_lease=10.0, election_seconds=ELECTION_SECONDS
        ) as bed:
            await bed.run(2.0)
            bed.submit("a", REPLICAS)
            await bed.run(1.0)
            lost = next(model for model in bed.endpoints if model.runs)
            losing = asyncio.create_task(bed.lose(lost, "silent"))
            await bed.run(delay)
            await end_terms(bed, terms, how)
            await bed.run(16.0)
            await losing

    virtualtime.run(main())


SMALL = [Step(count=1, processors_milli=500)]


@pytest.mark.parametrize("way", ["unlisted", "leaving"])
@pytest.mark.parametrize("how", ["stop", "kill"])
def test_restarted_scheduler_uses_an_endpoint_that_has_left_and_still_answers(way, how):
    async def main():
        async with TestBed(
            endpoints=4, daemons=2, election_seconds=ELECTION_SECONDS
        ) as bed:
            await bed.run(2.0)
            gone = bed.endpoints[0]
            if way == "unlisted":
                bed.unlist(gone)
            else:
                bed.leaving.add(gone.id)
                bed.list(gone)
            await bed.run(1.0)
            for _restart in range(2):
                ending = bed.stop_scheduler() if how == "stop" else bed.kill_scheduler()
                await asyncio.gather(ending, bed.run(4.0))
                tasks = {bed.submit("a", SMALL) for _job in range(12)}
                await bed.run(2.0)
                assert not gone.runs
                assert bed.scheduler.engine.find_task(min(tasks)).last_run
            assert gone.fence
            assert not gone.ended

    virtualtime.run(main())


def test_paused_scheduler_goes_on_with_starts_after_its_successor_has_begun():
    """Its permission ran out in the pause; the monitor looks for tasks that run twice.

    It may send one order to each endpoint, which refuses it by its fence.
    """

    async def main():
        async with TestBed(endpoints=4, daemons=2) as bed:
            await bed.run(2.0)
            paused = bed.scheduling_daemons()[0]
            scheduler = paused.scheduler
            for _job in range(6):
                bed.submit("a", SMALL)
            freezing = asyncio.create_task(bed.freeze_scheduler(6.0))
            await bed.run(5.0)
            assert bed.scheduler is not scheduler
            started = scheduler.sender.started
            for _job in range(6):
                bed.submit("a", SMALL)
            await bed.run(4.0)
            await freezing
            assert scheduler.sender.started == started
            assert scheduler.sender.start_allowance() == 0
            assert paused.scheduler is not scheduler

    virtualtime.run(main())


def test_new_term_replaces_the_count_of_pending_jobs_at_once():
    """The count of the term before stayed for a second, or for good if none waits."""

    async def main():
        async with TestBed(endpoints=1, daemons=2, election_seconds=1.0) as bed:
            await bed.run(1.0)
            too_large = [Step(processors_milli=2 * CAPACITY)]
            bed.submit("a", too_large)
            await bed.run(2.0)
            assert bed.pending_counts() == {"q": 1}
            await bed.stop_scheduler()
            for _job in range(3):
                bed.submit("a", too_large)
            await bed.run(1.6)
            assert bed.pending_counts() == {"q": 4}
            await bed.stop_scheduler()
            for job_id in bed.specs:
                bed.cancel(job_id)
            await bed.run(4.0)
            assert bed.pending_counts() == {}

    virtualtime.run(main())


async def fail_replica(bed, model):
    """Let a replica at an endpoint fail, which is started again at once."""
    model.end(next(iter(model.runs)), "failed")
    await bed.run(0.12)


async def lose_start(bed, model, other):
    """Let a replica fail whose next start is unanswered for 1.2 s, not at ``other``."""
    model.end(next(iter(model.runs)), "failed")
    endpoints = bed.scheduler.engine.endpoints
    while not any(
        task.state is TaskState.STARTING
        for endpoint in endpoints.values()
        for task in endpoint.tasks.values()
    ):
        await bed.run(0.001)
    for endpoint in endpoints.values():
        if endpoint.id != other.id and endpoint.tasks:
            bed.cuts[endpoint.id] = "silent"
    await bed.run(1.2)
    bed.cuts.clear()
    await bed.run(0.8)


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.2, 0.3, 0.5, 3.0])
@pytest.mark.parametrize("fault", ["failed", "unanswered"])
def test_replicas_run_again_in_time_though_another_was_being_started(fault, delay):
    """The start is at another endpoint than the one that is lost with the scheduler."""

    async def main():
        async with TestBed(endpoints=6, daemons=2, max_lease=10.0) as bed:
            await bed.run(12.0)
            bed.submit(steps=[Step(count=6, processors_milli=1400, replica=True)])
            await bed.run(3.0)
            first, second, lost = [model for model in bed.endpoints if model.runs][:3]
            async with bed.disturbance(0.0):
                if fault == "failed":
                    await fail_replica(bed, first)
                else:
                    await lose_start(bed, second, lost)
                await bed.run(delay)
                losing = asyncio.create_task(bed.lose(lost, "silent"))
                await bed.kill_scheduler()
            await bed.run(14.0)
            await losing

    virtualtime.run(main())
