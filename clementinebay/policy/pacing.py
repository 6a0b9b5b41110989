"""How much fillers may work beside replicas whose tail must stay below a bound.

A replica over its bound has the fillers beside it paused at once, since nothing shows
which of them disturbs it.  While the replicas hold their bounds the fillers are let
work again by steps.  A filler that stays paused is moved to another endpoint.
"""

#: Share of the bound above which a tail counts as about to exceed it.
GUARD_SHARE = 0.85
#: Share of the bound below which paused fillers may work more.
CALM_SHARE = 0.6
#: Percent by which the pace is raised at a time.
RAISE_PERCENT = 25
#: Time between two raises, in seconds; readings cover the last half second.
RAISE_SECONDS = 1.0
#: A filler that was paused for so long is moved away, in seconds, if it keeps a
#: checkpoint, and if it does not.
MOVE_SECONDS = 0.3
MOVE_UNSAVED_SECONDS = 2.5

PAUSED = 0
FULL = 100


class Pacing:
    """What was decided for one endpoint.

    ``percent`` holds for all fillers there; ``changed_at`` is when it was set.
    """

    __slots__ = ("percent", "changed_at", "paused_since")

    def __init__(self):
        self.percent = FULL
        self.changed_at = 0.0
        self.paused_since = None

    def set(self, percent, now):
        """Use another pace from ``now`` on."""
        if percent == PAUSED and self.percent != PAUSED:
            self.paused_since = now
        elif percent != PAUSED:
            self.paused_since = None
        self.percent = percent
        self.changed_at = now


def worst_share(endpoint):
    """Return the greatest tail of a replica as a share of its bound."""
    return max(
        (
            task.figure / task.step.latency_ms
            for task in endpoint.tasks.values()
            if task.step.replica and task.step.latency_ms
        ),
        default=0.0,
    )


def adjust(pacing, endpoint, now):
    """Choose the pace of an endpoint's fillers from its replicas' newest readings."""
    if not endpoint.replicas:
        if pacing.percent != FULL:
            pacing.set(FULL, now)
        return
    share = worst_share(endpoint)
    if share > GUARD_SHARE:
        if pacing.percent != PAUSED:
            pacing.set(PAUSED, now)
        return
    due = now >= pacing.changed_at + RAISE_SECONDS
    if share < CALM_SHARE and pacing.percent < FULL and due:
        pacing.set(min(FULL, pacing.percent + RAISE_PERCENT), now)


def to_move(pacing, endpoint, now):
    """Return the fillers that have been paused for too long."""
    if pacing.paused_since is None:
        return []
    paused = now - pacing.paused_since
    return [
        task
        for task in endpoint.tasks.values()
        if task.step.filler
        and paused >= (MOVE_SECONDS if task.step.checkpoints else MOVE_UNSAVED_SECONDS)
    ]
