from hypothesis import given
from hypothesis import strategies as st

from clementinebay.policy import sharing

ENDPOINTS = [f"a-{number}" for number in range(146)]
names = st.sets(st.sampled_from([f"entry-{n}" for n in range(8)]), min_size=1)


@given(names)
def test_every_endpoint_is_assigned_to_exactly_one_daemon(daemons):
    shares = [sharing.share(d, daemons - {d}, ENDPOINTS) for d in daemons]
    assert sorted(name for share in shares for name in share) == sorted(ENDPOINTS)


@given(names, names)
def test_every_endpoint_is_renewed_even_if_daemons_miss_others(alive, heard):
    # A daemon may miss live ones, but the one with the highest weight always acts.
    covered = set()
    for daemon in alive:
        covered |= sharing.share(daemon, (alive & heard) - {daemon}, ENDPOINTS)
    assert covered == set(ENDPOINTS)


def test_interval_bounds_the_call_rate_and_allows_for_lost_renewals():
    assert sharing.renewal_interval(4, 8, 1.0, 30.0) == 1.0
    assert sharing.renewal_interval(40, 8, 1.0, 30.0) == 5.0
    assert sharing.renewal_interval(146, 8, 1.0, 30.0) == 10.0
