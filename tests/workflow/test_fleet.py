"""Leases and clocks of endpoints as the scheduler sees them."""

import pytest

from clementinebay.policy.endpointhealth import Health
from clementinebay.workflow.fleet import EndpointState
from tests.workflow import factory


def test_no_lease_deadline_is_sent_to_an_endpoint_that_does_not_answer():
    """It may have restarted, and hold the longest lease by its new clock."""
    endpoint = EndpointState(factory.make_info(), Health())
    endpoint.read_clock(500_000, 1.0, 1.0)
    assert endpoint.extend(1.0, 5.0) == 505_000
    endpoint.unreachable_since = 1.5
    assert endpoint.extend(2.0, 5.0) is None
    endpoint.unreachable_since = None
    assert endpoint.extend(2.0, 5.0) > 505_000


@pytest.mark.parametrize(
    ("clock_ms", "expected"),
    [(500_977, False), (500_978, True), (501_601, True), (501_603, False), (90, False)],
)
def test_clock_reading_tells_another_incarnation(clock_ms, expected):
    """A clock is at most 2% slow; the reading is between 2.0 and 2.1 s."""
    endpoint = EndpointState(factory.make_info(), Health())
    endpoint.read_clock(500_000, 0.5, 1.0)
    assert endpoint.may_show(clock_ms, 2.0, 2.1) is expected


def test_clock_reading_may_be_older_than_the_last_one():
    endpoint = EndpointState(factory.make_info(), Health())
    endpoint.read_clock(500_000, 0.5, 1.0)
    assert endpoint.may_show(499_600, 0.6, 0.9)
    assert not endpoint.may_show(499_500, 0.6, 0.9)
