"""How much fillers may work beside replicas whose tail must stay below a bound.

A replica over its bound has the fillers that are likely to press it paused at once, and
all fillers beside it if that does not help.  A filler that stays paused is moved to
another endpoint; others are let work again when the replicas have been calm.
"""

from clementinebay.policy import pressure as pressures

#: Probability of harm from which a filler is paused beside a replica over its bound.
SUSPECT = 0.3
#: A replica that is over its bound for so long has the fillers that are likely to press
#: it paused, and all fillers beside it, in seconds.  Replicas may be over their bounds
#: for `harm_ms` (4 s) on end at most; a reading and an order take most of a second.
SUSPECTS_AFTER_SECONDS = 1.2
ALL_AFTER_SECONDS = 2.0
#: Share of the bound below which paused fillers may work again.
CALM_SHARE = 0.9
#: Replicas must have been calm for so long, in seconds.
CALM_SECONDS = 0.4
#: A filler that was paused for so long is moved away, in seconds, if it keeps a
#: checkpoint, and if it does not.
MOVE_SECONDS = 3.0
MOVE_UNSAVED_SECONDS = 6.0

PAUSED = 0
FULL = 100


class Pacing:
    """Since when an endpoint's replicas have been over their bounds, or calm."""

    __slots__ = ("over_since", "calm_since")

    def __init__(self):
        self.over_since = None
        self.calm_since = None

    def follow(self, worst, now):
        """Take the worst tail, as a share of its bound."""
        if worst > 1.0:
            if self.over_since is None:
                self.over_since = now
        else:
            self.over_since = None
        if worst >= CALM_SHARE:
            self.calm_since = None
        elif self.calm_since is None:
            self.calm_since = now


def decide(pacing, endpoint, pressure, now):
    """Return the percent at which each filler of ``endpoint`` is to work, by task."""
    by_image = pressures.worst_by_image(endpoint)
    pacing.follow(max(by_image.values(), default=0.0), now)
    fillers = endpoint.filler_tasks()
    if pacing.over_since is not None:
        over = [image for image, share in by_image.items() if share > 1.0]
        if now >= pacing.over_since + ALL_AFTER_SECONDS:
            return dict.fromkeys(fillers, PAUSED)
        if now >= pacing.over_since + SUSPECTS_AFTER_SECONDS:
            return dict.fromkeys(suspects(fillers, over, pressure), PAUSED)
        return {}
    calm = pacing.calm_since is not None and now >= pacing.calm_since + CALM_SECONDS
    if not calm and by_image:
        return {}
    return dict.fromkeys(to_resume(fillers, by_image, pressure), FULL)


def to_resume(fillers, images, pressure):
    """Return the half of the paused fillers that is least likely to press replicas.

    All at once would put the replicas over their bounds again.
    """
    paused = [task for task in fillers if task.pace != FULL]
    paused.sort(key=lambda task: pressure.between(images, task.step.image))
    return paused[: (len(paused) + 1) // 2]


def suspects(fillers, images, pressure):
    """Return the fillers that are likely to press replicas of ``images``."""
    if not fillers:
        return []
    harm = {task: pressure.between(images, task.step.image) for task in fillers}
    limit = min(SUSPECT, max(harm.values()))
    return [task for task in fillers if harm[task] >= limit]


def to_move(endpoint, now):
    """Return the fillers that have been paused for too long."""
    return [
        task
        for task in endpoint.filler_tasks()
        if task.paused_since is not None
        and now
        >= task.paused_since
        + (MOVE_SECONDS if task.step.checkpoints else MOVE_UNSAVED_SECONDS)
    ]
