"""Writes of a term: what counts as stored during a write and after a failed one."""

import asyncio

import pytest

from clementinebay import errors
from clementinebay.clock import ManualClock
from clementinebay.workflow import storing
from clementinebay.workflow.jobstore import RECORDS_PER_WRITE, StoredAddress
from clementinebay.workflow.storing import ChangeWriter
from tests.workflow import factory


class BlockingWriter:
    """A writer that blocks until ``unblocked`` is set, then raises ``error`` if set."""

    def __init__(self):
        self.unblocked = asyncio.Event()
        self.saved = []
        self.leases = []
        self.error = None

    async def save(
        self, records, endpoints=None, addresses=None, leases=None, starting=None
    ):
        """Block until ``unblocked`` is set, then save or raise ``error``."""
        await self.unblocked.wait()
        if self.error is not None:
            raise self.error
        self.saved.append((records, endpoints))
        self.leases.append(leases)


def make_change_writer():
    """Return a `ChangeWriter` with a blocking writer."""
    engine = factory.make_engine()
    return ChangeWriter(
        engine,
        BlockingWriter(),
        120.0,
        lambda: None,
        ManualClock(),
        factory.quiet_log(),
    )


async def store_endpoint():
    """Return a `ChangeWriter` that does not block, and an endpoint that it stored."""
    changes = make_change_writer()
    changes.writer.unblocked.set()
    endpoint = factory.connect_endpoint(changes.engine, factory.make_info())
    changes.record_endpoint(endpoint)
    await changes.store_changes()
    return changes, endpoint


async def test_endpoint_recorded_during_a_write_is_not_marked_as_stored():
    changes = make_change_writer()
    first = changes.engine.register_endpoint(factory.make_info("e1"), 0.0)
    changes.record_endpoint(first)
    pending_write = asyncio.create_task(changes.store_changes())
    await asyncio.sleep(0)
    second = changes.engine.register_endpoint(factory.make_info("e2"), 0.0)
    changes.record_endpoint(second)
    changes.writer.unblocked.set()
    await pending_write
    assert (first.recorded, second.recorded) == (True, False)
    await changes.store_changes()
    assert second.recorded
    assert changes.writer.saved[-1][1] == {"e1": "a", "e2": "a"}


async def test_failed_write_is_repeated():
    changes = make_change_writer()
    changes.writer.unblocked.set()
    changes.writer.error = errors.PlatformUnavailableError("away")
    job = changes.engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    changes.engine.mark_changed(job)
    endpoint = changes.engine.register_endpoint(factory.make_info("e1"), 0.0)
    changes.record_endpoint(endpoint)
    with pytest.raises(errors.PlatformUnavailableError):
        await changes.store_changes()
    assert not endpoint.recorded
    changes.writer.error = None
    await changes.store_changes()
    [(records, endpoints)] = changes.writer.saved
    assert [job_id for job_id, _progress in records] == [job.id]
    assert endpoints == {"e1": "a"}
    assert endpoint.recorded


async def test_limit_of_leases_holds_once_its_write_has_succeeded():
    changes = make_change_writer()
    limits = changes.engine.leases
    limits.limit = float("-inf")
    endpoint = factory.connect_endpoint(changes.engine, factory.make_info("e1"))
    changes.writer.error = errors.PlatformUnavailableError("away")
    pending_write = asyncio.create_task(changes.store_changes())
    await asyncio.sleep(0)
    assert limits.grantable_seconds(endpoint, changes.clock.now()) <= 0
    changes.writer.unblocked.set()
    with pytest.raises(errors.PlatformUnavailableError):
        await pending_write
    assert limits.grantable_seconds(endpoint, changes.clock.now()) <= 0
    changes.writer.error = None
    changes.clock.advance(1.0)
    await changes.store_changes()
    assert limits.grantable_seconds(endpoint, changes.clock.now()) > 0


async def test_endpoint_listed_again_while_its_removal_is_written_is_written_again():
    changes = make_change_writer()
    changes.load_endpoints({"e1": "a"})
    changes.check_changes()
    pending_write = asyncio.create_task(changes.store_changes())
    await asyncio.sleep(0)
    endpoint = changes.engine.register_endpoint(factory.make_info("e1"), 0.0)
    changes.record_endpoint(endpoint)
    assert not endpoint.recorded
    changes.writer.unblocked.set()
    await pending_write
    assert not endpoint.recorded
    await changes.store_changes()
    assert endpoint.recorded
    assert [endpoints for _records, endpoints in changes.writer.saved] == [
        {},
        {"e1": "a"},
    ]


async def test_only_writes_that_open_something_request_a_plan():
    changes = make_change_writer()
    changes.writer.unblocked.set()
    plans = []
    changes.request_plan = lambda: plans.append(1)
    endpoint = changes.engine.register_endpoint(factory.make_info("e1"), 0.0)
    changes.record_endpoint(endpoint)
    await changes.store_changes()
    assert len(plans) == 1
    job = changes.engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    changes.engine.mark_changed(job)
    await changes.store_changes()
    assert len(plans) == 1
    job.requested_domains.add("b")
    changes.engine.mark_changed(job)
    await changes.store_changes()
    assert len(plans) == 2
    assert "b" in job.domains


async def test_endpoint_that_moved_is_not_used_before_its_address_is_stored():
    changes = make_change_writer()
    changes.writer.unblocked.set()
    for info in (factory.make_info(), factory.make_info(born_ms=2, address="h:2")):
        endpoint = factory.connect_endpoint(changes.engine, info, born_ms=info.born_ms)
        endpoint.recorded = False
        changes.record_endpoint(endpoint)
        assert not endpoint.recorded
        await changes.store_changes()
        assert endpoint.recorded
        stored = StoredAddress(info.address, info.born_ms, info.service)
        assert changes.recorded[endpoint.id] == (info.failure_domain, stored)


async def test_restarted_endpoint_is_stored_as_such_with_the_leases_found_there():
    """A successor takes the stored start as that of the incarnation it waits for."""
    changes, endpoint = await store_endpoint()
    endpoint.granted_ms = 500_000
    changes.engine.register_endpoint(factory.make_info(born_ms=2), 0.0)
    changes.record_endpoint(endpoint)
    await changes.store_changes()
    assert changes.recorded["e1"][1].born_ms == 1
    now = changes.clock.now()
    changes.engine.process_report(endpoint, factory.report(born_ms=2), now, now)
    changes.record_endpoint(endpoint)
    # Soon after the write before, which carried the limits of leases, too.
    await changes.store_changes()
    assert changes.recorded["e1"][1].born_ms == 2
    assert changes.writer.leases[-1].of("e1").longest


async def test_start_of_an_incarnation_is_not_stored_without_the_leases_found_there():
    """All endpoints fell silent between its first report and the write."""
    changes, endpoint = await store_endpoint()
    changes.clock.advance(2.0)
    endpoint.granted_ms = 10**12
    now = changes.clock.now()
    factory.connect_endpoint(
        changes.engine, factory.make_info(born_ms=2), now, born_ms=2
    )
    changes.record_endpoint(endpoint)
    endpoint.mark_silent(now)
    await changes.store_changes()
    assert changes.stored_endpoints["e1"][1].born_ms == 1 or changes.writer.leases[-1]


@pytest.mark.parametrize("writing", [False, True])
async def test_endpoint_listed_again_before_its_removal_is_written_stays_stored(
    writing,
):
    """A successor must wait for every endpoint that was used."""
    changes = make_change_writer()
    changes.load_endpoints({"e1": "a"})
    stored = {"e1": "a"}
    pending_write = None
    if writing:
        job = changes.engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
        changes.engine.mark_changed(job)
        pending_write = asyncio.create_task(changes.store_changes())
        await asyncio.sleep(0)
    changes.check_changes()
    endpoint = changes.engine.register_endpoint(factory.make_info("e1"), 0.0)
    changes.record_endpoint(endpoint)
    changes.writer.unblocked.set()
    if pending_write is not None:
        await pending_write
    await changes.store_changes()
    for _records, endpoints in changes.writer.saved:
        stored = stored if endpoints is None else endpoints
    assert endpoint.recorded == ("e1" in stored)


async def test_urgent_change_ends_the_wait_for_further_changes(monkeypatch):
    """A change that is not urgent was waiting already."""
    monkeypatch.setattr(storing, "BATCH_DELAY_SECONDS", 60.0)
    changes = make_change_writer()
    changes.writer.unblocked.set()
    loop = asyncio.create_task(changes.store_loop())
    first = changes.engine.add_job(factory.make_spec("1" * 16), factory.QUEUE, 0.0)
    changes.engine.mark_changed(first)
    changes.check_changes()
    await asyncio.sleep(0)
    second = changes.engine.add_job(factory.make_spec("2" * 16), factory.QUEUE, 0.0)
    changes.engine.mark_changed(second, urgent=True)
    changes.check_changes()
    async with asyncio.timeout(5.0):
        while not changes.writer.saved:
            await asyncio.sleep(0.01)
    loop.cancel()
    ((records, _endpoints),) = changes.writer.saved
    assert [job_id for job_id, _progress in records] == [first.id, second.id]


class SlowWriter(BlockingWriter):
    """A writer that takes ``seconds`` of the change writer's clock for each write."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds
        self.clock = None

    async def save(
        self, records, endpoints=None, addresses=None, leases=None, starting=None
    ):
        """Save after ``seconds``; note whether the limit of leases is renewed."""
        self.clock.advance(self.seconds)
        self.saved.append((records, leases))


async def test_limit_of_leases_is_renewed_during_a_write_of_many_jobs():
    changes = make_change_writer()
    changes.writer = SlowWriter(0.25)
    changes.writer.clock = changes.clock
    factory.connect_endpoint(changes.engine, factory.make_info())
    for number in range(40 * RECORDS_PER_WRITE):
        job = changes.engine.add_job(
            factory.make_spec(f"{number:016x}"), factory.QUEUE, 0.0
        )
        changes.engine.mark_changed(job)
    await changes.store_changes()
    assert len(changes.writer.saved) == 40
    assert all(leases is not None for _records, leases in changes.writer.saved)
    assert changes.engine.leases.limit > changes.clock.now() + 5.0


async def test_slow_writes_of_the_limit_alone_do_not_follow_each_other_for_ever():
    changes = make_change_writer()
    changes.writer = SlowWriter(1.0)
    changes.writer.clock = changes.clock
    factory.connect_endpoint(changes.engine, factory.make_info())
    await changes.store_changes()
    assert len(changes.writer.saved) == 1


async def test_ends_reported_during_a_write_are_asked_for_again_before_their_own():
    """The write does not include them, so the next report lists them once more."""
    changes = make_change_writer()
    endpoint = factory.connect_endpoint(changes.engine, factory.make_info())
    changes.record_endpoint(endpoint)
    earlier_write = asyncio.create_task(changes.store_changes())
    await asyncio.sleep(0)
    endpoint.last_processed_end = 1
    waiting = asyncio.create_task(changes.wait_stored(endpoint))
    await asyncio.sleep(0)
    changes.writer.unblocked.set()
    await earlier_write
    await asyncio.sleep(0.01)
    assert not waiting.done()
    await changes.store_changes()
    await asyncio.wait_for(waiting, 0.1)
