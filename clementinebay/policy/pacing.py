"""How much fillers may work beside replicas whose tail must stay below a bound.

Fillers are slowed as far as the replicas' headroom asks for, those that press the most
first.  Where replicas stay over their bounds all the same, all fillers pause.  A filler
that stays paused is moved to another endpoint.
"""

from clementinebay.policy import pressure as pressures
from clementinebay.policy.pressure import FULL_PACE

#: A replica that is over its bound for so long has all fillers beside it paused, in
#: seconds.  Replicas may be over their bounds for `harm_ms` (4 s) on end at most; a
#: reading and an order take most of a second.
ALL_AFTER_SECONDS = 2.0
#: A filler that was paused for so long is moved away, in seconds, if it keeps a
#: checkpoint, and if it does not.
MOVE_SECONDS = 3.0
MOVE_UNSAVED_SECONDS = 6.0
#: Paces are multiples of this, in percent, and change by at least the second but for a
#: pause and its end.
PACE_UNIT = 10
LEAST_CHANGE = 20

PAUSED = 0


class Pacing:
    """Since when a replica of an endpoint has been over its bound."""

    __slots__ = ("over_since",)

    def __init__(self):
        self.over_since = None

    def follow(self, worst, now):
        """Take the worst tail, as a share of its bound."""
        if worst <= 1.0:
            self.over_since = None
        elif self.over_since is None:
            self.over_since = now


def decide(pacing, endpoint, pressure, now):
    """Return the percent at which each filler is to work, for those to change."""
    by_image = pressures.max_tail_ratio_by_image(endpoint)
    pacing.follow(max(by_image.values(), default=0.0), now)
    fillers = endpoint.filler_tasks()
    if pacing.over_since is not None and now >= pacing.over_since + ALL_AFTER_SECONDS:
        return dict.fromkeys(fillers, PAUSED)
    speeds = fit(fillers, endpoint, pressure)
    return {
        task: percent
        for task, percent in ((t, to_percent(s)) for t, s in speeds.items())
        if notable(task.pace, percent)
    }


def fit(fillers, endpoint, pressure):
    """Return the share of time for each filler that leaves replicas their headroom.

    Those that press a replica most give way first, among alike those that are least
    far.
    """
    speeds = dict.fromkeys(fillers, 1.0)
    shares = {task: pressures.full_share(endpoint, task) for task in fillers}
    for image, room in pressure.headroom_by_image(endpoint):
        weights = {task: pressure.weight(image, task.step.image) for task in fillers}
        excess = sum(weights[t] * shares[t] * speeds[t] for t in fillers) - room
        for task in sorted(fillers, key=lambda t: (-weights[t], t.percent)):
            lost = weights[task] * shares[task]
            if excess <= 0 or lost <= 0:
                break
            cut = min(speeds[task], excess / lost)
            speeds[task] -= cut
            excess -= cut * lost
    return speeds


def to_percent(speed):
    """Return a share of time as a pace, rounded down."""
    return int(speed * FULL_PACE + 0.01) // PACE_UNIT * PACE_UNIT


def notable(before, percent):
    """Return whether a change of pace is worth an order."""
    if before is None:
        return True
    if before == percent:
        return False
    edges = (PAUSED, FULL_PACE)
    return percent in edges or before in edges or abs(before - percent) >= LEAST_CHANGE


def fillers_to_move(endpoint, now):
    """Return the fillers that have been paused for too long."""
    return [
        task
        for task in endpoint.filler_tasks()
        if task.paused_since is not None
        and now
        >= task.paused_since
        + (MOVE_SECONDS if task.step.checkpoints else MOVE_UNSAVED_SECONDS)
    ]
