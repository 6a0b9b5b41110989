"""The client of the platform's store."""

import pytest

from clementinebay import errors
from clementinebay.platform.store import PlatformStore
from clementinebay.store.base import Put, prefix_end
from clementinebay.web.client import Client
from clementinebay.workflow import jobstore
from clementinebay.workflow.job import Progress
from standins.kvplatform import PlatformStandIn
from standins.ports import free_range


@pytest.fixture
async def platform_standin():
    async with PlatformStandIn(free_range(1)) as platform:
        yield platform


@pytest.fixture
async def store(platform_standin):
    async with Client() as client:
        yield PlatformStore(client, platform_standin.address)


async def test_get_and_commit_of_a_key(store):
    assert await store.get("k/1") is None
    version = await store.create("k/1", b"one")
    entry = await store.get("k/1")
    assert (entry.value, entry.version) == (b"one", version)
    with pytest.raises(errors.CompareFailedError) as caught:
        await store.create("k/1", b"two")
    assert caught.value.entry.value == b"one"
    await store.commit([("k/1", version)], deletes=[("k/1", "k/1\0")])
    assert await store.get("k/1") is None


async def test_scan_reads_all_pages(store):
    for number in range(8):
        await store.create(f"k/{number}", b"")
    entries, _revision = await store.scan("k/", prefix_end("k/"))
    assert [entry.key for entry in entries] == [f"k/{number}" for number in range(8)]


async def test_watch_reports_changes_and_lost_history(store, platform_standin):
    _entries, revision = await store.scan("k/", prefix_end("k/"))
    await store.create("k/1", b"x")
    await store.commit([], deletes=[("k/1", "k/1\0")])
    watch = store.watch("k/", prefix_end("k/"), revision)
    entries, _revision = await anext(watch)
    assert [(entry.key, entry.value) for entry in entries] == [
        ("k/1", b"x"),
        ("k/1", None),
    ]
    platform_standin.forget_history()
    with pytest.raises(errors.HistoryGoneError):
        await anext(store.watch("k/", prefix_end("k/"), revision))


async def test_lease(store):
    lease = await store.grant(30)
    await store.create("k/1", b"x", lease)
    assert await store.keep_alive(lease) == 30
    await store.revoke(lease)
    assert await store.get("k/1") is None
    assert await store.keep_alive(lease) == 0
    with pytest.raises(errors.LeaseGoneError):
        await store.create("k/1", b"x", lease)


async def test_refusal_and_lost_answer_are_distinguished(
    store, platform_standin, monkeypatch
):
    monkeypatch.setattr("clementinebay.platform.store.CALL_TIMEOUT_SECONDS", 0.2)
    platform_standin.error_status = 429
    with pytest.raises(errors.PlatformUnavailableError):
        await store.create("k/1", b"x")
    platform_standin.error_status = 0
    platform_standin.unanswered_writes = 1
    with pytest.raises(errors.PlatformOutcomeUnknownError):
        await store.commit([("k/1", 0)], [Put("k/1", b"x")])
    assert (await store.get("k/1")).value == b"x"


# The scheduler's term in this store


async def test_one_scheduler_at_a_time_with_increasing_fences(store):
    first, lease = await jobstore.acquire_term(store, "d1", "h:1", "t1", 30)
    with pytest.raises(errors.NotLeaderError):
        await jobstore.acquire_term(store, "d2", "h:2", "t2", 30)
    await first.save([("a" * 16, Progress())])
    await store.revoke(lease)
    second, _lease = await jobstore.acquire_term(store, "d2", "h:2", "t2", 30)
    assert (second.number, first.number) == (1, 0)
    assert second.fence > first.fence
    with pytest.raises(errors.NotLeaderError):
        await first.save([("a" * 16, Progress())])


async def test_lost_answer_when_acquiring_a_term_is_resolved(
    store, platform_standin, monkeypatch
):
    monkeypatch.setattr("clementinebay.platform.store.CALL_TIMEOUT_SECONDS", 0.2)
    lease = await store.grant(30)
    platform_standin.unanswered_writes = 2
    with pytest.raises(errors.PlatformOutcomeUnknownError):
        await jobstore.acquire_term(store, "d1", "h:1", "t1", 30)
    platform_standin.unanswered_writes = 0
    writer, lease = await jobstore.acquire_term(store, "d1", "h:1", "t1", 30)
    await writer.save([("a" * 16, Progress())])
    assert lease


async def test_lost_answer_to_a_write_is_resolved(store, platform_standin, monkeypatch):
    monkeypatch.setattr("clementinebay.platform.store.CALL_TIMEOUT_SECONDS", 0.2)
    writer, _lease = await jobstore.acquire_term(store, "d1", "h:1", "t1", 30)
    platform_standin.unanswered_writes = 1
    await writer.save([("a" * 16, Progress(ended_at=1.0))])
    await writer.save([("a" * 16, Progress(ended_at=2.0))])
    progress = await jobstore.JobStore(store).progress("a" * 16)
    assert progress.ended_at == 2.0
