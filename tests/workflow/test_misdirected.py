"""Calls that the next incarnation of an endpoint takes in place of the one meant.

An endpoint that restarts under its id has forgotten its runs, fences and leases.  Each
case is a call, what the scheduler knows of the restart, and how its term ends; the
monitor of the bed fails on a second run of a task.
"""

import asyncio
import json

import pytest

from clementinebay.workflow import jobstore
from clementinebay.workflow.model import Step
from clementinebay.workflow.orders import PaceOrder
from tests.workflow import virtualtime
from tests.workflow.test_recut import leave_request
from tests.workflow.testbed import TestBed

MAX_LEASE = 10.0
REPLICAS = [Step(count=10, processors_milli=490, replica=True)]
#: Tasks that end, but mostly later than the longest lease.
LONG_TASKS = [Step(count=10, processors_milli=490)]
MAX_RUN_SECONDS = 90.0
#: Time for which the endpoint is out of reach, more than the longest lease.
CUT_SECONDS = 14.0


def pace_run(bed, model):
    """Send a pace order for a run at an endpoint."""
    scheduler = bed.scheduler
    endpoint = scheduler.engine.endpoints[model.id]
    task = next(iter(endpoint.tasks.values()))
    scheduler.sender.spawn(scheduler.sender.send_pace(PaceOrder(endpoint, task, 50)))


async def take_call(bed, model, call, steps):
    """Restart an endpoint whose next incarnation takes a call to this one.

    A start is that of a task of ``steps``.
    """
    delayed = bed.delay_calls(model, call)
    if call == "stop":
        bed.cancel(next(iter(model.runs)).partition(".")[0])
    for _number in range(8):
        if call == "start":
            bed.submit(steps=steps)
        elif call == "pace":
            pace_run(bed, model)
        for _step in range(300):
            if delayed.calls:
                bed.restart_unlisted(model)
                return
            await bed.run(0.001)
    raise AssertionError("no such call")


async def fill_endpoints(bed):
    """Submit more replicas than there is room for."""
    for _number in range(6):
        bed.submit(steps=REPLICAS)


async def wait_for(bed, condition):
    """Let the bed work until a condition holds."""
    for _step in range(4000):
        if condition():
            return
        await bed.run(0.001)
    raise AssertionError("the condition does not hold")


def has_final_leases(bed, model):
    """Return whether the stored record states the leases of an endpoint."""
    record = json.loads(bed.space.get(jobstore.LEASES).value)
    return model.id in record["final"]


async def let_believe(bed, model, belief):
    """Let the scheduler learn of a restart what ``belief`` names."""
    endpoint = bed.scheduler.engine.endpoints[model.id]
    if belief in ("unreachable", "unreachable-stored", "listed", "listed-stored"):
        bed.cuts[model.id] = "refused"
    if belief == "unreachable":
        await wait_for(bed, lambda: endpoint.unreachable_since is not None)
    elif belief == "unreachable-stored":
        await wait_for(bed, lambda: has_final_leases(bed, model))
    elif belief == "listed":
        bed.list(model)
        await wait_for(bed, lambda: endpoint.restarts)
    elif belief == "listed-stored":
        bed.list(model)
        await wait_for(bed, lambda: endpoint.restarts)
        await wait_for(bed, lambda: has_final_leases(bed, model))
    elif belief in ("reported", "stored"):
        bed.list(model)
        await fill_endpoints(bed)
        await wait_for(bed, lambda: endpoint.restarts and endpoint.has_reported)
    if belief == "reported":
        store = bed.scheduling_daemons()[0].store
        store.away = True
        await bed.run(0.3)
        store.away = False
    elif belief == "stored":
        await bed.run(2.0)
        assert model.runs


async def end_term(bed, end):
    """End the term; return what is to be awaited at the end of the case."""
    daemon = bed.scheduling_daemons()[0]
    if end == "stopped":
        await bed.stop_scheduler()
    elif end == "frozen":
        return asyncio.create_task(bed.freeze_scheduler(4.0))
    elif end == "fenced":
        # Without the store, it learns from endpoints that its term is over.
        daemon.store.away = True
        bed.space.revoke(daemon.lease)
        await bed.run(1.0)
        daemon.store.away = False
    elif end == "store-away":
        daemon.store.away = True
        await bed.run(1.0)
        await daemon.kill()
        daemon.store.away = False
    else:
        await bed.kill_scheduler()
    if end == "twice":
        while not bed.scheduling_daemons():
            await bed.run(0.05)
        await bed.run(1.0)
        await bed.kill_scheduler()
    return None


async def cut_off_and_end_term(bed, model, end):
    """Cut an endpoint off from all daemons, end the term, and wait for the outcome."""
    cutting = asyncio.create_task(bed.cut([model], "silent", CUT_SECONDS))
    await asyncio.sleep(0)
    ending = await end_term(bed, end)
    await bed.run(0.1)
    bed.add_endpoint()
    await bed.run(CUT_SECONDS + 1.0)
    await cutting
    if ending is not None:
        await ending


def lease_left(bed, model):
    """Return how long the leases at an endpoint still last, in seconds."""
    return (model.deadline_ms - model.clock_ms(bed.now())) / 1000


async def play(call, belief, end, request_delay=None, steps=REPLICAS):
    """Play one case; raise an error if a task runs twice.

    The tasks that may run twice are of ``steps``.  A request for a report arrives
    ``request_delay`` seconds late, if that is given.
    """
    async with TestBed(endpoints=6, daemons=2, max_lease=MAX_LEASE) as bed:
        bed.max_run_seconds = MAX_RUN_SECONDS
        await bed.run(12.0)
        async with bed.disturbance(0.0):
            bed.submit(steps=steps)
            await bed.run(2.0)
            model = min(bed.endpoints, key=lambda m: (call == "start") == bool(m.runs))
            if request_delay is not None:
                leave_request(bed, model, request_delay)
            await take_call(bed, model, call, steps)
            if call in ("start", "report"):
                assert lease_left(bed, model) > 9.0
            if call == "start":
                assert model.runs
            await let_believe(bed, model, belief)
            bed.cuts.pop(model.id, None)
            await cut_off_and_end_term(bed, model, end)


CASES = [
    ("start", "unreachable-stored"),
    ("start", "listed"),
    ("start", "listed-stored"),
    ("start", "reported"),
    ("start", "stored"),
    ("report", "reported"),
    ("report", "stored"),
    ("stop", "reported"),
    ("stop", "stored"),
    ("pace", "reported"),
    ("pace", "stored"),
]
ENDS = ["killed", "stopped", "frozen", "fenced", "store-away", "twice"]


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize(("call", "belief"), CASES)
def test_call_taken_by_the_next_incarnation_leads_to_no_second_run(call, belief, end):
    virtualtime.run(play(call, belief, end))


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("belief", ["unaware", "unreachable"])
@pytest.mark.parametrize("steps", [REPLICAS, LONG_TASKS], ids=["replicas", "tasks"])
def test_start_taken_before_anything_of_it_is_stored_leads_to_no_second_run(
    belief, end, steps
):
    virtualtime.run(play("start", belief, end, steps=steps))


async def order_start(bed, model, steps):
    """Submit jobs until a start is under way to an endpoint."""
    delayed = bed.delay_calls(model, "start")
    for _number in range(8):
        bed.submit(steps=steps)
        for _step in range(300):
            if delayed.calls:
                return
            await bed.run(0.001)
    raise AssertionError("no start")


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("steps", [REPLICAS, LONG_TASKS], ids=["replicas", "tasks"])
def test_start_taken_after_a_second_restart_leads_to_no_second_run(end, steps):
    """The leases after the first restart are stored, but not this start."""

    async def main():
        async with TestBed(endpoints=6, daemons=2, max_lease=MAX_LEASE) as bed:
            bed.max_run_seconds = MAX_RUN_SECONDS
            await bed.run(12.0)
            async with bed.disturbance(0.0):
                bed.submit(steps=steps)
                await bed.run(2.0)
                model = max(bed.endpoints, key=lambda m: bool(m.runs))
                bed.restart_unlisted(model)
                bed.list(model)
                await wait_for(bed, lambda: has_final_leases(bed, model))
                await bed.run(2.5)
                await order_start(bed, model, steps)
                assert has_final_leases(bed, model)
                bed.restart_unlisted(model)
                await bed.run(0.01)
                assert model.runs
                await cut_off_and_end_term(bed, model, end)

    virtualtime.run(main())


class DomainCut(dict):
    """A cut between one daemon with one endpoint, and all others.

    ``is_whole`` cuts the endpoint off from that daemon, too.
    """

    def __init__(self, daemon, endpoint_id):
        self.daemon = daemon
        self.endpoint_id = endpoint_id
        self.is_whole = False

    def get(self, endpoint_id, default=None):
        is_inside = virtualtime.PROCESS.get() is self.daemon
        if endpoint_id == self.endpoint_id:
            return "silent" if self.is_whole or not is_inside else default
        return "silent" if is_inside else default

    def __contains__(self, endpoint_id):
        return self.get(endpoint_id) is not None


@pytest.mark.parametrize("seconds", [1.0, 3.0, 4.5, 5.0])
def test_start_sent_after_the_end_of_the_term_leads_to_no_second_run(seconds):
    """The scheduler is cut off with an endpoint, which restarts as the start comes."""

    async def main():
        async with TestBed(endpoints=6, daemons=2, max_lease=MAX_LEASE) as bed:
            bed.max_run_seconds = 900.0
            await bed.run(12.0)
            async with bed.disturbance(0.0):
                bed.submit(steps=[Step(count=200, processors_milli=490)])
                await bed.run(0.25)
                daemon = bed.scheduling_daemons()[0]
                endpoints = daemon.scheduler.engine.endpoints
                model = max(bed.endpoints, key=lambda m: len(m.runs))
                other = next(m for m in bed.endpoints if m is not model)
                other.end(next(iter(other.runs)), "failed")
                tasks = endpoints[other.id].tasks
                await wait_for(
                    bed, lambda: any(t.state == "starting" for t in tasks.values())
                )
                bed.cuts = cut = DomainCut(daemon, model.id)
                daemon.store.away = True
                await bed.run(seconds)
                delayed = bed.delay_calls(model, "start")
                for name in list(model.runs)[:3]:
                    model.end(name, "failed")
                await wait_for(bed, lambda: delayed.calls)
                bed.restart_unlisted(model)
                cut.is_whole = True
                await daemon.kill()
                await bed.run(18.0)

    virtualtime.run(main())


@pytest.mark.parametrize("belief", ["unreachable-stored", "listed", "listed-stored"])
def test_request_taken_seconds_after_the_restart_leads_to_no_second_run(belief):
    """It extends the lease of a run that a start under way had begun."""
    virtualtime.run(play("start", belief, "killed", request_delay=6.0))
