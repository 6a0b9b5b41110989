"""Deadlines on the clocks of endpoints, the witnesses, which every scheduler can read.

The clocks are steady, never fast, and at most `fleet.MAX_CLOCK_DRIFT` slow.  Daemons
share no other clock: the time of day may jump.
"""

from typing import Annotated

import msgspec

from clementinebay.decoding import MAX_WHOLE_NUMBER, WholeNumber

#: Number of witnesses, and the least in each failure domain.  If all are lost with the
#: scheduler, its successor knows no earlier bound than its own.
MAX_WITNESSES = 24
MIN_WITNESSES_PER_DOMAIN = 2

#: A deadline on an endpoint's clock in ms; it is before its start if negative.
ClockReading = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
#: A deadline has the (id, ``born_ms``, clock in ms) of each witness.  It has passed
#: once the clock of any of them shows that.
Deadline = list[tuple[str, WholeNumber, ClockReading]]


def choose(endpoints):
    """Return reachable endpoints of each failure domain, those that stay first."""
    by_domain = {}
    for endpoint in endpoints:
        if (
            endpoint.has_reported
            and not endpoint.has_ended
            and endpoint.unreachable_since is None
        ):
            by_domain.setdefault(endpoint.domain, []).append(endpoint)
    witnesses = []
    share = MAX_WITNESSES // max(1, len(by_domain))
    for members in by_domain.values():
        # The oldest are the first to be replaced.
        members.sort(
            key=lambda e: (e.info.leaving or not e.listed, -e.info.born_ms, e.id)
        )
        witnesses += members[: max(share, MIN_WITNESSES_PER_DOMAIN)]
    return witnesses


def express(witnesses, at):
    """Return the time ``at`` as a deadline on the clocks of ``witnesses``."""
    return [(e.id, e.info.born_ms, int(e.latest_clock(at)) + 1) for e in witnesses]


def earlier(deadline, other):
    """Return the deadline that has passed once either of two has."""
    clocks = {}
    for endpoint_id, born_ms, clock_ms in (*deadline, *other):
        key = (endpoint_id, born_ms)
        clocks[key] = min(clock_ms, clocks.get(key, clock_ms))
    return [(*key, clock_ms) for key, clock_ms in clocks.items()]


def reached_at(deadline, endpoints, now):
    """Return when a stored deadline has certainly passed, or ``None`` if unknown.

    ``endpoints`` are the known endpoints by id.
    """
    times = []
    for endpoint_id, born_ms, clock_ms in deadline:
        endpoint = endpoints.get(endpoint_id)
        if (
            endpoint is not None
            and endpoint.has_reported
            and endpoint.info.born_ms == born_ms
        ):
            times.append(endpoint.time_of_clock(clock_ms, now))
    return min(times, default=None)
