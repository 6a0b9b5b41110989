"""The stored leases from term to term."""

import msgspec
import pytest

from clementinebay import errors
from clementinebay.store.base import Put
from clementinebay.workflow import jobstore
from clementinebay.workflow.jobstore import JobStore, StoredAddress, TermNumber
from clementinebay.workflow.leases import EndpointLeases, LeaseRecord
from clementinebay.workflow.starting import StartingRecord

JOB = "a" * 16


def make_record(term, clock_ms=1000):
    """Return a `LeaseRecord` with final leases of one endpoint."""
    final = {"e1": EndpointLeases([("w", 1, 500)], ["a" * 16])}
    return LeaseRecord(term, [("w", 1, clock_ms)], final)


async def acquire(store, name):
    """Become the scheduler as daemon ``name``; return the `TermWriter` and lease."""
    return await jobstore.acquire_term(store, name, "h:1", name, 30)


async def stored_term(store):
    """Return the number of the term of the stored record, or ``None``."""
    entry = await store.get(jobstore.LEASES)
    return entry and msgspec.json.decode(entry.value)["term"]


async def test_first_term_inherits_no_leases(store):
    await acquire(store, "d1")
    assert await JobStore(store).lease_record(0) is None
    assert await stored_term(store) is None


async def test_record_is_read_by_the_next_term(store):
    first, lease = await acquire(store, "d1")
    await first.save([], leases=make_record(0))
    assert await JobStore(store).lease_record(0) == make_record(0)
    await store.revoke(lease)
    second, _lease = await acquire(store, "d2")
    assert await JobStore(store).lease_record(second.number) == make_record(1)


async def test_term_that_ends_before_its_first_write_hands_the_record_on(store):
    first, lease = await acquire(store, "d1")
    await first.save([], leases=make_record(0))
    for name in ("d2", "d3", "d4"):
        await store.revoke(lease)
        writer, lease = await acquire(store, name)
    assert writer.number == 3
    assert await JobStore(store).lease_record(3) == make_record(3)


async def test_service_of_an_endpoint_in_use_is_read_by_the_next_term(store):
    writer, _lease = await acquire(store, "d1")
    address = StoredAddress("h:1", 7, "s")
    await writer.save([], {"e1": "a"}, {"e1": address})
    found = await JobStore(store).used_endpoints()
    assert found == ({"e1": "a"}, {"e1": address})


async def test_address_stored_by_an_earlier_build_has_no_service(store):
    """It stored the address and the start only."""
    puts = [
        Put(jobstore.ENDPOINTS, b'{"e1":"a"}'),
        Put(jobstore.ADDRESSES, b'{"e1":["h:1",7]}'),
    ]
    await store.commit((), puts)
    _domains, addresses = await JobStore(store).used_endpoints()
    assert addresses == {"e1": StoredAddress("h:1", 7, "")}


async def test_starting_jobs_are_handed_on_by_terms_without_a_write(store):
    first, lease = await acquire(store, "d1")
    assert await JobStore(store).starting_record(0) is None
    await first.save([], starting=StartingRecord(0, {JOB: ["e1"]}))
    for number, name in enumerate(("d2", "d3"), 1):
        await store.revoke(lease)
        _writer, lease = await acquire(store, name)
        found = await JobStore(store).starting_record(number)
        assert found == StartingRecord(number, {JOB: ["e1"]})


@pytest.mark.parametrize("value", [b"{", b'{"term": 0}', b'{"term": 7, "jobs": {}}'])
async def test_unreadable_starting_jobs_and_those_of_another_term_are_unknown(
    store, space, value
):
    await acquire(store, "d1")
    space.commit((), [Put(jobstore.STARTING, value)])
    assert await JobStore(store).starting_record(0) is None


async def test_record_of_an_older_term_is_ignored(store, space):
    """The term in between was one of a build that stores none."""
    first, lease = await acquire(store, "d1")
    await first.save([], leases=make_record(0))
    await store.revoke(lease)
    number = msgspec.json.encode(TermNumber(1, "d2", 5))
    space.commit((), [Put(jobstore.NUMBER, number)])
    third, lease = await acquire(store, "d3")
    assert third.number == 2
    assert await JobStore(store).lease_record(2) is None
    assert await stored_term(store) == 0
    # Nor does a later term take it for that of the term before.
    await store.revoke(lease)
    await acquire(store, "d4")
    assert await JobStore(store).lease_record(3) is None


async def test_record_is_not_changed_once_the_term_is_over(store):
    first, lease = await acquire(store, "d1")
    await first.save([], leases=make_record(0))
    await store.revoke(lease)
    await acquire(store, "d2")
    with pytest.raises(errors.NotLeaderError):
        await first.save([], leases=make_record(0, clock_ms=9000))
    assert await JobStore(store).lease_record(1) == make_record(1)
