"""Components work without a daemon, given only a store and a clock."""

import asyncio

import pytest

from clementinebay import errors, registry
from clementinebay.claims import DAY_SECONDS, Claims
from clementinebay.configstore import ConfigStore
from clementinebay.policy.retry import RetryBudget
from clementinebay.registry import JobRegistry, Plan, SharedJobRegistry, split
from clementinebay.shard.leader import LeaderLease
from tests.shard.test_log import LosingStore


async def test_key_is_claimed_once(store, clock):
    claims = Claims(store, clock)
    await claims.claim("crew", "first", clock.now() + 5)
    with pytest.raises(errors.DuplicateKeyError):
        await claims.claim("crew", "second", clock.now() + 5)


async def test_key_is_claimed_once_around_midnight(store, clock):
    claims = Claims(store, clock)
    clock.time = 100 * DAY_SECONDS + 0.1
    await claims.claim("crew", "ahead", clock.now() + 5)
    clock.advance(-0.5)
    with pytest.raises(errors.DuplicateKeyError):
        await claims.claim("crew", "behind", clock.now() + 5)


async def test_claim_succeeds_although_its_response_was_lost(space, clock):
    store = LosingStore(space)
    store.lost = 1
    await Claims(store, clock).claim("crew", "first", clock.now() + 5)


async def test_one_leader_at_a_time(store, clock):
    one = LeaderLease(store, "a", "one", 4, clock)
    two = LeaderLease(store, "a", "two", 4, clock)
    assert await one.hold()
    assert not await two.hold()
    clock.advance(5)
    assert not one.held
    assert await two.hold()
    assert not await one.hold()


async def test_leader_can_resign_before_its_lease_expires(store, clock):
    one = LeaderLease(store, "a", "one", 4, clock)
    two = LeaderLease(store, "a", "two", 4, clock)
    await one.hold()
    await one.resign()
    assert await two.hold()


async def test_first_stored_plan_is_used(store):
    jobs = JobRegistry(store)
    plan = Plan("minutes", "d", split("minutes", 10, ["a", "b", "c"]))
    await jobs.claim(plan)
    later = Plan("minutes", "d", split("minutes", 10, ["a", "b"]))
    assert await jobs.claim(later) == plan
    with pytest.raises(errors.RecordRefusedError):
        await jobs.claim(Plan("minutes", "other", []))


async def test_concurrent_plans_are_stored_in_one_write(store, space):
    await JobRegistry(store).claim(Plan("job-1", "d", []))
    await JobRegistry(store).claim(Plan("job-2", "other", []))
    before = space.revision
    plans = [Plan(f"job-{number}", "d", [], created_at=1.0) for number in range(50)]
    async with SharedJobRegistry(store) as jobs:
        found = await asyncio.gather(
            *map(jobs.claim, [*plans, plans[7]]), return_exceptions=True
        )
    assert type(found.pop(2)) is errors.RecordRefusedError
    assert found.pop(1).created_at == 0.0
    assert found == [plans[0], *plans[3:], plans[7]]
    assert space.revision == before + 1


async def test_single_plans_are_stored_without_delay(store, monkeypatch):
    monkeypatch.setattr(registry, "GATHER_SECONDS", 3600.0)
    async with SharedJobRegistry(store) as shared, asyncio.timeout(5.0):
        for number in range(3):
            await shared.claim(Plan(f"job-{number}", "d", []))


async def test_failed_write_of_plans_is_reported_to_every_caller(store):
    async def fail(*_arguments):
        raise errors.PlatformUnavailableError("down")

    store.commit = fail
    async with SharedJobRegistry(store) as jobs:
        claims = (jobs.claim(Plan(name, "d", [])) for name in "ab")
        found = await asyncio.gather(*claims, return_exceptions=True)
    assert {type(error) for error in found} == {errors.PlatformUnavailableError}


def test_split_covers_every_task_once():
    parts = split("minutes", 10, ["c", "a", "b"])
    indexes = [i for p in parts for i in range(p.first_index, p.first_index + p.count)]
    assert sorted(indexes) == list(range(10))
    assert {part.domain for part in parts} == {"a", "b", "c"}


async def test_document_is_merged_by_section(store, clock):
    documents = ConfigStore(store, clock)
    base = await documents.apply({"team:x": "processors = 1\n"}, 0, "ann")
    await documents.apply({"team:y": "processors = 2\n"}, base, "ben")
    await documents.apply({"team:z": "processors = 3\n"}, base, "eva")
    with pytest.raises(errors.ConfigConflictError) as caught:
        await documents.apply({"team:y": "processors = 9\n"}, base, "eva")
    assert (caught.value.expected, caught.value.found) == (1, 2)
    document = await documents.document()
    assert document.revision == 3
    assert document.get("team:y", "processors") == 2.0


def test_retries_are_a_share_of_requests():
    budget = RetryBudget(10, burst=5)
    retries = 0
    for _request in range(1000):
        budget.earn()
        retries += budget.spend()
    assert retries <= 5 + 100
