"""The number of start orders in progress, by the lag of the event loop."""

from clementinebay.policy.startwindow import (
    ANSWERS,
    INITIAL_STARTS,
    MAX_ANSWER_SECONDS,
    MAX_LAG_SECONDS,
    MAX_STARTS,
    MIN_STARTS,
    StartWindow,
)

#: Interval of the timer whose delay is observed, in seconds.
INTERVAL_SECONDS = 0.05


def play(seconds_per_start, other_lag, seconds):
    """Send starts for ``seconds``; return the window and the lags observed.

    Each iteration of the loop processes all starts in progress.
    """
    window, lags, now = StartWindow(), [], 0.0
    while now < seconds:
        window.in_progress += window.allowance()
        lag = other_lag + window.in_progress * seconds_per_start
        window.observe(lag)
        window.in_progress = 0
        lags.append(lag)
        now += INTERVAL_SECONDS + lag
    return window, lags


def test_burst_of_starts_makes_a_weak_daemon_late_for_its_lease():
    """A start takes 1.4 ms of 0.069 processors."""
    _window, lags = play(0.02, 0.01, 20.0)
    late = [lag for lag in lags if lag > 0.5]
    assert len(late) <= 1
    assert sum(lags[5:]) / len(lags[5:]) < MAX_LAG_SECONDS


def test_strong_daemon_sends_as_many_starts_as_ever():
    window, _lags = play(0.0001, 0.001, 5.0)
    assert int(window.size) == MAX_STARTS


def test_window_is_never_shut_by_lag_that_starts_do_not_cause():
    window, _lags = play(0.0, 0.6, 20.0)
    assert window.allowance() == MIN_STARTS


def test_window_opens_again_after_the_load():
    window = StartWindow()
    for _number in range(20):
        window.observe(1.0)
    for _number in range(60):
        window.observe(0.0)
    assert window.size > INITIAL_STARTS


def test_orders_wait_in_the_queue_of_a_narrow_link():
    """A start takes 1.2 kB of a link with 250 kB a second."""
    window, most = StartWindow(), 0.0
    for step in range(200):
        window.in_progress += window.allowance()
        seconds = 0.01 + window.in_progress * 0.005
        for _number in range(window.in_progress):
            window.record_answer(seconds)
        window.observe(0.0)
        window.in_progress = 0
        if step > 5:
            most = max(most, seconds)
    assert most < 2 * MAX_ANSWER_SECONDS


def test_few_slow_endpoints_do_not_hold_up_all_starts():
    window = StartWindow()
    for _step in range(60):
        window.in_progress = 30
        for number in range(3 * ANSWERS):
            window.record_answer(0.8 if number % ANSWERS else 0.01)
        window.observe(0.0)
    assert window.size == MAX_STARTS
