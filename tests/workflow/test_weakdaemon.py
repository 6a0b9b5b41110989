"""A scheduler on a weak processor under a burst, in virtual time.

Load pattern: trouble-1 of the large site's small twin, where a daemon with 0.069 of a
processor lost its lease and its endpoints while hundreds of tasks fell due at once.
"""

import asyncio
import contextvars

from clementinebay.services.term import TTL_SECONDS
from clementinebay.workflow.model import Step
from tests.workflow import virtualtime
from tests.workflow.testbed import TestBed

#: Time that each callback of the daemon takes, in seconds.  A start has about ten.
CALLBACK_SECONDS = 0.0008
ENDPOINTS = 12
TASK = Step(count=40, processors_milli=50, estimate_ms=500)
REPLICAS = Step(count=6, processors_milli=300, replica=True)
BURST_JOBS = 30
#: Interval of the timer whose delay is measured, in seconds.
INTERVAL_SECONDS = 0.05


async def measure_lag(lags):
    """Measure the delay of a timer of the daemon."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + INTERVAL_SECONDS
        await asyncio.sleep(INTERVAL_SECONDS)
        lags.append(loop.time() - due_at)


async def play_burst():
    """Play a burst on a weak daemon; return the bed and the lags of its loop."""
    lags = []
    async with TestBed(1, endpoints=ENDPOINTS) as bed:
        # The burst is more than can be started at once, so jobs wait for their turn.
        bed.active_disturbances += 1
        loop, daemon = asyncio.get_running_loop(), bed.daemons[0]
        bed.submit("a", [REPLICAS])
        await bed.run(3.0)
        loop.costs[daemon] = CALLBACK_SECONDS
        context = contextvars.copy_context()
        context.run(virtualtime.PROCESS.set, daemon)
        measuring = loop.create_task(measure_lag(lags), context=context)
        for _job in range(BURST_JOBS):
            bed.submit("a", [TASK])
        await bed.run(25.0)
        measuring.cancel()
        return bed, lags, daemon.scheduler.writer.number


def test_burst_costs_a_weak_scheduler_its_term():
    """The bounds are a third of the lease for the lag, and no replica that lapses."""
    bed, lags, term = virtualtime.run(play_burst())
    assert term == 0
    assert max(lags) < TTL_SECONDS / 3
    assert bed.absences == []
    assert len(bed.done) == BURST_JOBS * TASK.count
