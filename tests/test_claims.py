import asyncio

import pytest

from clementinebay import claims, errors

DAY = claims.DAY_SECONDS


def counted(store):
    """Count the commits of ``store``."""
    store.commits = 0
    commit = store.commit

    async def counting(*args):
        store.commits += 1
        await asyncio.sleep(0.001)
        return await commit(*args)

    store.commit = counting
    return store


async def test_a_key_is_claimed_once_by_any_daemon(store, clock):
    one, other = claims.SharedClaims(store, clock), claims.SharedClaims(store, clock)
    results = await asyncio.gather(
        one.claim("crew", "r1", clock.now() + 9),
        other.claim("crew", "r2", clock.now() + 9),
        other.claim("crew", "r3", clock.now() + 9),
        return_exceptions=True,
    )
    refused = [r for r in results if isinstance(r, errors.DuplicateKeyError)]
    assert len(refused) == 2


async def test_claims_share_writes(store, clock):
    keys = claims.SharedClaims(counted(store), clock)
    await asyncio.gather(
        *(keys.claim(f"k{n}", f"r{n}", clock.now() + 9) for n in range(30))
    )
    assert store.commits <= 2


async def test_one_used_key_does_not_refuse_the_others(store, clock):
    keys = claims.SharedClaims(store, clock)
    await keys.claim("k1", "old", clock.now() + 9)
    results = await asyncio.gather(
        *(keys.claim(f"k{n}", f"r{n}", clock.now() + 9) for n in range(3)),
        return_exceptions=True,
    )
    kinds = [type(result) for result in results]
    assert kinds == [claims.Claim, errors.DuplicateKeyError, claims.Claim]


async def test_a_lost_answer_is_settled_by_writing_again(store, clock):
    commit = store.commit
    lost = []

    async def losing(*args):
        version = await commit(*args)
        if not lost:
            lost.append(version)
            raise errors.PlatformOutcomeUnknownError("lost")
        return version

    store.commit = losing
    keys = claims.SharedClaims(store, clock)
    claim = await keys.claim("crew", "r1", clock.now() + 9)
    assert claim.version == lost[0]
    with pytest.raises(errors.DuplicateKeyError):
        await keys.claim("crew", "r2", clock.now() + 9)


async def test_a_released_key_can_be_claimed_again(store, clock):
    keys = claims.SharedClaims(store, clock)
    claim = await keys.claim("crew", "r1", clock.now() + 9)
    await keys.release(claim)
    again = await keys.claim("crew", "r2", clock.now() + 9)
    await keys.release(claim)
    with pytest.raises(errors.DuplicateKeyError):
        await keys.claim("crew", "r3", clock.now() + 9)
    assert again.version > claim.version


async def test_midnight_does_not_claim_a_key_twice(store, clock):
    keys = claims.SharedClaims(store, clock)
    await keys.claim("crew", "r1", clock.now() + 9)
    clock.advance(DAY)
    with pytest.raises(errors.DuplicateKeyError):
        await keys.claim("crew", "r2", clock.now() + 9)
