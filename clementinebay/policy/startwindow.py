"""Limits the start orders in progress so that the event loop keeps up.

Load pattern: hundreds of tasks fall due at once on a daemon whose processor serves some
fifty starts a second.  Orders that are all sent at once make the loop late by seconds:
the lease of the term and the leases of endpoints are renewed too late, and answers are
read after their time.  Tasks that wait in the queue cost nothing.
"""

#: Starts in progress at the begin of a term, and the limits of that number.
INITIAL_STARTS = 32
MIN_STARTS = 4
MAX_STARTS = 200
#: Lag above which fewer starts are sent, in seconds: a third of what the renewal of the
#: term's lease can bear.
MAX_LAG_SECONDS = 0.15
#: Lag up to which more starts may be sent, in seconds.
LOW_LAG_SECONDS = 0.05
#: Factors by which the window changes with an observation.
DECREASE_FACTOR = 0.6
INCREASE_FACTOR = 1.15


class StartWindow:
    """The greatest number of start orders in progress, by the lag of the event loop.

    ``in_progress`` is the number of orders that were sent and not answered.
    """

    __slots__ = ("size", "in_progress")

    def __init__(self):
        self.size = float(INITIAL_STARTS)
        self.in_progress = 0

    @property
    def is_full(self):
        """Whether no further start may be sent before another has ended."""
        return self.in_progress >= int(self.size)

    def allowance(self):
        """Return how many more starts may be sent now."""
        return max(0, int(self.size) - self.in_progress)

    def observe(self, lag_seconds):
        """Adapt the window to a delay of a timer of the loop, in seconds."""
        if lag_seconds > MAX_LAG_SECONDS:
            # From what was in progress: an unused window says nothing of the load.
            used = min(self.size, max(self.in_progress, MIN_STARTS))
            self.size = max(MIN_STARTS, used * DECREASE_FACTOR)
        elif lag_seconds <= LOW_LAG_SECONDS:
            self.size = min(MAX_STARTS, max(self.size * INCREASE_FACTOR, self.size + 1))
