"""Suspicion of tasks under which endpoints crash."""

from hypothesis import given
from hypothesis import strategies as st

from clementinebay.policy import crashes

counts = st.integers(0, 10)


def test_two_crashes_alone_do_not_suffice_and_three_do():
    assert not crashes.is_given_up(2, alone=True)
    assert crashes.is_given_up(3, alone=True)


def test_three_crashes_beside_others_allow_one_more_run_at_most():
    assert not crashes.is_given_up(3, alone=False)
    assert crashes.is_given_up(4, alone=False)


@given(counts, st.booleans())
def test_only_suspects_are_given_up(count, alone):
    assert crashes.is_suspect(count) or not crashes.is_given_up(count, alone)


@given(counts, st.booleans())
def test_more_crashes_never_acquit(count, alone):
    if crashes.is_given_up(count, alone):
        assert crashes.is_given_up(count + 1, alone)
        assert crashes.is_given_up(count, alone=True)


@given(st.integers(1, 200))
def test_crash_of_all_endpoints_at_a_time_is_a_mass_crash(endpoints):
    times = [10.0 + number / endpoints for number in range(endpoints)]
    expected = endpoints > crashes.MAX_SEPARATE_CRASHES
    assert crashes.is_mass_crash(10.0, times, endpoints) is expected


@given(st.lists(st.floats(0.0, 100.0), max_size=50), st.integers(1, 200))
def test_crashes_far_apart_are_no_mass_crash(times, endpoints):
    far = [time for time in times if abs(time - 50.0) > crashes.MASS_WINDOW_SECONDS]
    assert not crashes.is_mass_crash(50.0, [50.0, *far], endpoints)


@given(st.integers(0, 200))
def test_most_endpoints_of_a_service_stay_open_to_other_tasks(endpoints):
    assert crashes.max_isolated(endpoints) <= endpoints / 2
