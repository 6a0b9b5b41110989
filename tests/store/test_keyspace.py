import pytest

from clementinebay import errors
from clementinebay.store import keyspace
from clementinebay.store.base import Put


def test_failed_comparison_changes_nothing(space):
    space.commit([("a", 0)], [Put("a", b"1")])
    with pytest.raises(errors.CompareFailedError) as failure:
        space.commit([("a", 0)], [Put("a", b"2"), Put("b", b"2")])
    assert failure.value.entry.value == b"1"
    assert space.get("b") is None


def test_keys_are_deleted_when_their_lease_expires(space, clock):
    lease = space.grant(4)
    space.commit([], [Put("a", b"1", lease)])
    clock.advance(3.0)
    assert space.keep_alive(lease) == 4
    clock.advance(3.0)
    assert space.get("a").value == b"1"
    clock.advance(1.0)
    assert space.get("a") is None and space.keep_alive(lease) == 0


def test_put_with_an_unknown_lease_is_refused(space):
    revision = space.revision
    with pytest.raises(errors.LeaseGoneError):
        space.commit([], [Put("a", b"1", 7)])
    assert space.get("a") is None and space.revision == revision


def test_changes_are_in_order_and_a_compacted_start_is_refused(space):
    for number in range(keyspace.HISTORY_LIMIT + 2):
        space.commit([], [Put("a", str(number).encode())])
    newest = space.changes("a", "b", space.revision - 2)
    assert [entry.value for entry in newest] == [b"10000", b"10001"]
    with pytest.raises(errors.LogGapError):
        space.changes("a", "b", 1)
