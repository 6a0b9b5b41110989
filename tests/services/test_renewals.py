import asyncio
import contextlib

import msgspec
import pytest

from clementinebay import errors
from clementinebay.endpoint.base import Report, TaskReport
from clementinebay.peer.wire import ttypes as peer_wire
from clementinebay.services.renewals import Renewals
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from tests.services.fakes import Fake, FakeKernel

DONE = TaskReport("job", 0, 1, "done")


class Endpoints:
    """Endpoint driver that answers renewals and records them."""

    def __init__(self):
        self.renewals = []
        self.report = Report(3, [DONE])
        self.unreachable = False

    async def renew(self, _address, renewal):
        self.renewals.append(renewal)
        if self.unreachable:
            raise errors.EndpointUnreachableError("away")
        return self.report


class PeerLink:
    def __init__(self):
        self.leading = False
        self.handlers = {}
        self.sent = []
        self.others = set()
        self.scheduling = None

    def handle(self, kind, _message, handler):
        self.handlers[kind] = handler

    def domain_peers(self):
        return self.others

    def scheduler(self):
        return self.scheduling

    async def query(self, vm, _kind, message, _reply):
        self.sent.append((vm.id, message))
        return peer_wire.ReportTaken(True)


def running_task():
    state = State()
    size = wire.Resources(1000, 100, 0)
    spec = wire.JobSpec("job", wire.Workload.BATCH, "t", 0, "k", 0, 1, size)
    for record in (
        wire.Record(endpoint_seen=wire.EndpointSeen("e", "e:1", "r", size)),
        wire.Record(submit=wire.Submit(spec)),
        wire.Record(bind=wire.Bind("job", 0, 1, "e", 9e9, 1.0)),
        wire.Record(started=wire.Started("job", 0, 1)),
    ):
        state.apply(record)
    return state


@pytest.fixture
def processed():
    return []


@pytest.fixture
async def renewals(clock, processed):
    kernel = FakeKernel(clock, scheduler_poll_seconds=0.01)
    kernel.services.update(
        shard=Fake(state=running_task(), log=Fake(confirmed_at=clock.now())),
        driver=Fake(driver=Endpoints()),
        dispatcher=Fake(process_reports=lambda *report: processed.append(report)),
        peers=PeerLink(),
        platform=Fake(schedules=False),
    )
    async with contextlib.AsyncExitStack() as stack:
        yield await stack.enter_async_context(Renewals(kernel))


async def wait_for_renewals(renewals, count):
    """Wait for ``count`` more renewals and return all renewals so far."""
    wanted = len(renewals.driver.renewals) + count
    async with asyncio.timeout(5.0):
        while len(renewals.driver.renewals) < wanted:
            await asyncio.sleep(0.005)
    return renewals.driver.renewals


def finish(renewals):
    finished = wire.Finish("job", 0, 1, wire.Outcome.DONE, "", 2.0)
    renewals.shard.state.apply(wire.Record(finish=finished))


async def test_report_is_acknowledged_once_it_is_recorded_in_the_log(renewals):
    renewals.active = True
    assert {r.since for r in await wait_for_renewals(renewals, 3)} == {0}
    finish(renewals)
    assert (await wait_for_renewals(renewals, 3))[-1].since == 3


async def test_report_is_passed_to_the_scheduling_daemon(renewals, processed):
    renewals.peers.scheduling = Fake(id="d-1")
    await wait_for_renewals(renewals, 2)
    name, message = renewals.peers.sent[0]
    assert (name, message.endpoint, not processed) == ("d-1", "e", True)
    on_report = renewals.peers.handlers[peer_wire.Kind.REPORTS]
    assert not (await on_report(message, None)).taken
    renewals.active = True
    assert (await on_report(message, None)).taken
    ((endpoint, tasks, expected),) = processed
    assert (endpoint, expected) == ("e", set())
    assert [msgspec.structs.astuple(task) for task in tasks] == [
        msgspec.structs.astuple(DONE)
    ]


async def test_attempts_missing_from_a_full_report_are_passed_on(renewals):
    renewals.peers.scheduling = Fake(id="d-1")
    renewals.driver.report = Report(3, [])
    await wait_for_renewals(renewals, 2)
    _name, message = renewals.peers.sent[0]
    assert message.expected == [peer_wire.Attempt("job", 0, 1)]


async def test_unchanged_report_is_passed_once_per_scheduler(renewals):
    renewals.peers.scheduling = Fake(id="d-1")
    running = TaskReport("job", 0, 1, "running", processors_milli=700)
    renewals.driver.report = Report(3, [running])
    await wait_for_renewals(renewals, 5)
    assert len(renewals.peers.sent) == 1
    renewals.peers.scheduling = Fake(id="d-2")
    await wait_for_renewals(renewals, 3)
    assert [name for name, _message in renewals.peers.sent] == ["d-1", "d-2"]


async def test_renewals_continue_without_a_scheduler(renewals, clock):
    before = (await wait_for_renewals(renewals, 1))[-1].lease_deadline
    clock.advance(50.0)
    after = (await wait_for_renewals(renewals, 2))[-1].lease_deadline
    limit = renewals.shard.log.confirmed_at + 30.0
    assert before <= limit and after == limit


async def test_endpoints_of_a_silent_daemon_are_reassigned(renewals):
    from clementinebay.policy import sharing

    other = next(
        name
        for name in map("d-{}".format, range(1, 50))
        if not sharing.share("d-0", [name], ["e"])
    )
    renewals.peers.others = {other}
    async with asyncio.timeout(5.0):
        while renewals.loops:
            await asyncio.sleep(0.005)
    renewals.peers.others = set()
    await wait_for_renewals(renewals, 1)


async def test_restarted_worker_is_asked_for_a_full_report(renewals):
    finish(renewals)
    assert (await wait_for_renewals(renewals, 2))[-1].since == 3
    renewals.driver.report = Report(1, [])
    await wait_for_renewals(renewals, 2)
    assert {0, 1} >= {r.since for r in (await wait_for_renewals(renewals, 2))[-2:]}


async def test_unreachable_endpoint_is_retried(renewals):
    renewals.driver.unreachable = True
    await wait_for_renewals(renewals, 3)
