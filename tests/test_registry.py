import asyncio

import pytest

from clementinebay import errors
from clementinebay.registry import JobRegistry, Part, Plan

NAMES = ["minutes@a", "minutes@b"]


@pytest.fixture
async def registry(store):
    made = JobRegistry(store)
    parts = [Part(name, name[-1], 5 * n, 5) for n, name in enumerate(NAMES)]
    await made.claim(Plan("minutes", "digest", parts))
    return made


def read_together(store, count):
    """Have the next ``count`` reads of ``store`` end only when all have begun."""
    get = store.get
    barrier = asyncio.Barrier(count)
    left = [None] * count

    async def waiting(key):
        entry = await get(key)
        if left:
            left.pop()
            await barrier.wait()
        return entry

    store.get = waiting


async def test_two_domains_that_close_their_parts_at_once(store, registry):
    """A part whose closing was lost could be submitted, and run, again."""
    read_together(store, 2)
    await asyncio.gather(*(registry.close("minutes", [name]) for name in NAMES))
    assert (await registry.find("minutes")).closed == NAMES


async def test_a_part_and_the_whole_closed_at_once(store, registry):
    read_together(store, 2)
    await asyncio.gather(
        registry.close("minutes", [NAMES[1]]), registry.close("minutes", None)
    )
    assert (await registry.find("minutes")).closed == NAMES


async def test_a_plan_that_is_deleted_while_it_is_closed(store, registry):
    get = store.get

    async def deleting(key):
        entry = await get(key)
        await store.commit([], [], [(key, key + "\0")])
        return entry

    store.get = deleting
    await registry.close("minutes", None)
    store.get = get
    with pytest.raises(errors.UnknownJobError):
        await registry.find("minutes")


async def test_a_plan_that_is_closed_and_submitted_again_stays_closed(registry):
    await registry.close("minutes", [NAMES[0]])
    plan = await registry.claim(Plan("minutes", "digest", []))
    assert plan.closed == [NAMES[0]]
