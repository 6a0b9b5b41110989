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
    """Answers renewals and keeps them."""

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
def taken():
    return []


@pytest.fixture
async def renewals(clock, taken):
    kernel = FakeKernel(clock, scheduler_poll_seconds=0.01)
    kernel.services.update(
        shard=Fake(state=running_task(), log=Fake(confirmed_at=clock.now())),
        driver=Fake(driver=Endpoints()),
        dispatcher=Fake(process_reports=lambda *report: taken.append(report)),
        peers=PeerLink(),
        platform=Fake(schedules=False),
    )
    async with contextlib.AsyncExitStack() as stack:
        yield await stack.enter_async_context(Renewals(kernel))


async def calls(renewals, count):
    """Wait until the endpoint was renewed ``count`` more times."""
    wanted = len(renewals.driver.renewals) + count
    async with asyncio.timeout(5.0):
        while len(renewals.driver.renewals) < wanted:
            await asyncio.sleep(0.005)
    return renewals.driver.renewals


def finish(renewals):
    finished = wire.Finish("job", 0, 1, wire.Outcome.DONE, "", 2.0)
    renewals.shard.state.apply(wire.Record(finish=finished))


async def test_report_is_acknowledged_only_once_the_log_has_it(renewals):
    renewals.active = True
    assert {r.since for r in await calls(renewals, 3)} == {0}
    finish(renewals)
    assert (await calls(renewals, 3))[-1].since == 3


async def test_report_goes_to_the_daemon_that_schedules(renewals, taken):
    renewals.peers.scheduling = Fake(id="d-1")
    await calls(renewals, 2)
    name, message = renewals.peers.sent[0]
    assert (name, message.endpoint, not taken) == ("d-1", "e", True)
    on_report = renewals.peers.handlers[peer_wire.Kind.REPORTS]
    assert not (await on_report(message, None)).taken
    renewals.active = True
    assert (await on_report(message, None)).taken
    ((endpoint, tasks, expected),) = taken
    assert (endpoint, expected) == ("e", set())
    assert [msgspec.structs.astuple(task) for task in tasks] == [
        msgspec.structs.astuple(DONE)
    ]


async def test_what_a_full_report_does_not_mention_is_told(renewals):
    renewals.peers.scheduling = Fake(id="d-1")
    renewals.driver.report = Report(3, [])
    await calls(renewals, 2)
    _name, message = renewals.peers.sent[0]
    assert message.expected == [peer_wire.Attempt("job", 0, 1)]


async def test_what_the_scheduler_knows_is_not_told_again(renewals):
    renewals.peers.scheduling = Fake(id="d-1")
    running = TaskReport("job", 0, 1, "running", processors_milli=700)
    renewals.driver.report = Report(3, [running])
    await calls(renewals, 5)
    assert len(renewals.peers.sent) == 1
    renewals.peers.scheduling = Fake(id="d-2")
    await calls(renewals, 3)
    assert [name for name, _message in renewals.peers.sent] == ["d-1", "d-2"]


async def test_renewal_goes_on_without_anybody_that_schedules(renewals, clock):
    before = (await calls(renewals, 1))[-1].lease_deadline
    clock.advance(50.0)
    after = (await calls(renewals, 2))[-1].lease_deadline
    limit = renewals.shard.log.confirmed_at + 30.0
    assert before <= limit and after == limit


async def test_share_of_a_silent_daemon_is_taken_over(renewals):
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
    await calls(renewals, 1)


async def test_worker_that_was_restarted_is_asked_for_all(renewals):
    finish(renewals)
    assert (await calls(renewals, 2))[-1].since == 3
    renewals.driver.report = Report(1, [])
    await calls(renewals, 2)
    assert {0, 1} >= {r.since for r in (await calls(renewals, 2))[-2:]}


async def test_unreachable_endpoint_is_called_again(renewals):
    renewals.driver.unreachable = True
    await calls(renewals, 3)
