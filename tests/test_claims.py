import asyncio

import pytest

from clementinebay import claims, errors

DAY = claims.DAY_SECONDS


def count_commits(store):
    """Make ``store`` count its commits in ``store.commits``; return the store."""
    store.commits = 0
    commit = store.commit

    async def counting(*args):
        store.commits += 1
        await asyncio.sleep(0.001)
        return await commit(*args)

    store.commit = counting
    return store


async def test_only_one_of_concurrent_claims_of_a_key_succeeds(store, clock):
    one, other = claims.SharedClaims(store, clock), claims.SharedClaims(store, clock)
    results = await asyncio.gather(
        one.claim("crew", "r1", clock.now() + 9),
        other.claim("crew", "r2", clock.now() + 9),
        other.claim("crew", "r3", clock.now() + 9),
        return_exceptions=True,
    )
    refused = [r for r in results if isinstance(r, errors.DuplicateKeyError)]
    assert len(refused) == 2


async def test_concurrent_claims_are_written_in_batches(store, clock):
    keys = claims.SharedClaims(count_commits(store), clock)
    await asyncio.gather(
        *(keys.claim(f"k{n}", f"r{n}", clock.now() + 9) for n in range(30))
    )
    assert store.commits <= 2


async def test_used_key_does_not_fail_other_claims_of_its_batch(store, clock):
    keys = claims.SharedClaims(store, clock)
    await keys.claim("k1", "old", clock.now() + 9)
    results = await asyncio.gather(
        *(keys.claim(f"k{n}", f"r{n}", clock.now() + 9) for n in range(3)),
        return_exceptions=True,
    )
    kinds = [type(result) for result in results]
    assert kinds == [claims.Claim, errors.DuplicateKeyError, claims.Claim]


async def test_lost_response_is_resolved_by_retrying_the_write(store, clock):
    commit = store.commit
    lost = []

    async def lose_first_response(*args):
        version = await commit(*args)
        if not lost:
            lost.append(version)
            raise errors.PlatformOutcomeUnknownError("lost")
        return version

    store.commit = lose_first_response
    keys = claims.SharedClaims(store, clock)
    claim = await keys.claim("crew", "r1", clock.now() + 9)
    assert claim.version == lost[0]
    with pytest.raises(errors.DuplicateKeyError):
        await keys.claim("crew", "r2", clock.now() + 9)


async def test_released_key_can_be_claimed_again_and_late_release_is_ignored(
    store, clock
):
    keys = claims.SharedClaims(store, clock)
    claim = await keys.claim("crew", "r1", clock.now() + 9)
    await keys.release(claim)
    again = await keys.claim("crew", "r2", clock.now() + 9)
    await keys.release(claim)
    with pytest.raises(errors.DuplicateKeyError):
        await keys.claim("crew", "r3", clock.now() + 9)
    assert again.version > claim.version


async def test_key_cannot_be_claimed_again_on_the_next_day(store, clock):
    keys = claims.SharedClaims(store, clock)
    await keys.claim("crew", "r1", clock.now() + 9)
    clock.advance(DAY)
    with pytest.raises(errors.DuplicateKeyError):
        await keys.claim("crew", "r2", clock.now() + 9)
