import asyncio

import pytest

from clementinebay import errors
from clementinebay.registry import JobRegistry, Part, Plan

NAMES = ["minutes@a", "minutes@b"]


@pytest.fixture
async def registry(store):
    jobs = JobRegistry(store)
    parts = [Part(name, name[-1], 5 * n, 5) for n, name in enumerate(NAMES)]
    await jobs.claim(Plan("minutes", "digest", parts))
    return jobs


def synchronize_reads(store, count):
    """Make the next ``count`` reads of ``store`` return only once all are executed."""
    get = store.get
    barrier = asyncio.Barrier(count)
    pending = [None] * count

    async def get_at_barrier(key):
        entry = await get(key)
        if pending:
            pending.pop()
            await barrier.wait()
        return entry

    store.get = get_at_barrier


async def test_parts_closed_concurrently_by_two_domains_stay_closed(store, registry):
    """If one update were lost, its part could be submitted and run again."""
    synchronize_reads(store, 2)
    await asyncio.gather(*(registry.close("minutes", [name]) for name in NAMES))
    assert (await registry.find("minutes")).closed == NAMES


async def test_part_and_whole_job_closed_concurrently(store, registry):
    synchronize_reads(store, 2)
    await asyncio.gather(
        registry.close("minutes", [NAMES[1]]), registry.close("minutes", None)
    )
    assert (await registry.find("minutes")).closed == NAMES


async def test_plan_deleted_while_it_is_being_closed(store, registry):
    get = store.get

    async def get_and_delete(key):
        entry = await get(key)
        await store.commit([], [], [(key, key + "\0")])
        return entry

    store.get = get_and_delete
    await registry.close("minutes", None)
    store.get = get
    with pytest.raises(errors.UnknownJobError):
        await registry.find("minutes")


async def test_closed_part_stays_closed_when_the_job_is_submitted_again(registry):
    await registry.close("minutes", [NAMES[0]])
    plan = await registry.claim(Plan("minutes", "digest", []))
    assert plan.closed == [NAMES[0]]
