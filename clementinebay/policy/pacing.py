"""Paces fillers so that the tail latency of colocated replicas stays below its bound.

Fillers are slowed until the replicas have enough headroom, beginning with the fillers
that take the most.  If replicas still exceed their bounds, all fillers of the endpoint
are paused.  A filler that stays paused is moved to another endpoint.
"""

from clementinebay.policy import pressure as pressures
from clementinebay.policy.pressure import FULL_PACE

#: All fillers of an endpoint are paused after a replica has exceeded its bound for this
#: long.  Replicas may exceed it for at most `harm_ms` (4 s) without a break, and a
#: reading and an order take almost a second.
PAUSE_ALL_AFTER_SECONDS = 2.0
#: A filler is moved to another endpoint after it has been paused for this long, with
#: and without checkpoints.
MOVE_AFTER_SECONDS = 3.0
MOVE_UNSAVED_AFTER_SECONDS = 6.0
#: Paces are multiples of this, in percent.
PACE_UNIT = 10
#: Smaller changes of a pace are not ordered, except to and from a pause or full pace.
MIN_PACE_CHANGE = 20

PAUSED = 0


class Pacing:
    """Tracks since when a replica of an endpoint has exceeded its bound."""

    __slots__ = ("over_since",)

    def __init__(self):
        self.over_since = None

    def observe(self, max_tail_ratio, now):
        """Record the largest ratio of a replica's tail to its bound."""
        if max_tail_ratio <= 1.0:
            self.over_since = None
        elif self.over_since is None:
            self.over_since = now


def decide(pacing, endpoint, pressure, now):
    """Return {filler: pace in percent} for the fillers whose pace should change."""
    ratios = pressures.max_tail_ratio_by_image(endpoint)
    pacing.observe(max(ratios.values(), default=0.0), now)
    fillers = endpoint.filler_tasks()
    if (
        pacing.over_since is not None
        and now >= pacing.over_since + PAUSE_ALL_AFTER_SECONDS
    ):
        return dict.fromkeys(fillers, PAUSED)
    speeds = fit_speeds(fillers, endpoint, pressure)
    return {
        task: percent
        for task, percent in ((t, to_percent(s)) for t, s in speeds.items())
        if is_significant_change(task.pace, percent)
    }


def fit_speeds(fillers, endpoint, pressure):
    """Return {filler: share of time} that leaves all replicas their headroom.

    Fillers with the largest weight are slowed first, and among equal weights those
    with the least progress.
    """
    speeds = dict.fromkeys(fillers, 1.0)
    shares = {task: pressures.unpaced_share(endpoint, task) for task in fillers}
    for image, headroom in pressure.headroom_by_image(endpoint):
        weights = {task: pressure.weight(image, task.step.image) for task in fillers}
        excess = sum(weights[t] * shares[t] * speeds[t] for t in fillers) - headroom
        if excess <= 0:
            continue
        for task in sorted(fillers, key=lambda t: (-weights[t], t.percent)):
            lost = weights[task] * shares[task]
            if excess <= 0 or lost <= 0:
                break
            reduction = min(speeds[task], excess / lost)
            speeds[task] -= reduction
            excess -= reduction * lost
    return speeds


def to_percent(speed):
    """Return a share of time as a pace in percent, rounded down."""
    return int(speed * FULL_PACE + 0.01) // PACE_UNIT * PACE_UNIT


def is_significant_change(before, percent):
    """Return whether a change of pace is large enough to be ordered."""
    if before is None:
        return True
    if before == percent:
        return False
    edges = (PAUSED, FULL_PACE)
    return (
        percent in edges or before in edges or abs(before - percent) >= MIN_PACE_CHANGE
    )


def fillers_to_move(endpoint, now):
    """Return the fillers that have been paused long enough to be moved."""
    return [
        task
        for task in endpoint.filler_tasks()
        if task.paused_since is not None
        and now
        >= task.paused_since
        + (MOVE_AFTER_SECONDS if task.step.checkpoints else MOVE_UNSAVED_AFTER_SECONDS)
    ]
