"""Leases and clocks of endpoints as the scheduler sees them."""

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
