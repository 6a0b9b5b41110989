from hypothesis import given
from hypothesis import strategies as st

from clementinebay.policy import sharing

ENDPOINTS = [f"a-{number}" for number in range(146)]
names = st.sets(st.sampled_from([f"entry-{n}" for n in range(8)]), min_size=1)


@given(names)
def test_every_endpoint_falls_to_exactly_one_daemon(daemons):
    shares = [sharing.share(d, daemons - {d}, ENDPOINTS) for d in daemons]
    assert sorted(name for share in shares for name in share) == sorted(ENDPOINTS)


@given(names, names)
def test_endpoint_is_renewed_however_views_differ(alive, heard):
    # Each daemon may lack some that are alive; the one with the highest rank acts.
    covered = set()
    for daemon in alive:
        covered |= sharing.share(daemon, (alive & heard) - {daemon}, ENDPOINTS)
    assert covered == set(ENDPOINTS)


def test_interval_bounds_calls_and_leaves_room_for_lost_ones():
    assert sharing.renewal_interval(4, 8, 1.0, 30.0) == 1.0
    assert sharing.renewal_interval(40, 8, 1.0, 30.0) == 5.0
    assert sharing.renewal_interval(146, 8, 1.0, 30.0) == 10.0
