"""Limits the start orders in progress so that the event loop and the link keep up.

Load pattern: hundreds of tasks fall due at once on a daemon whose processor serves some
fifty starts a second, or whose link carries 250 kB a second.  Orders that are all sent
at once make the loop late, or wait in the link's queue: the lease of the term and the
leases of endpoints are renewed too late, and answers come after their time.  Tasks that
wait in the queue cost nothing.
"""

from collections import deque

#: Starts in progress at the begin of a term, and the limits of that number.
INITIAL_STARTS = 32
MIN_STARTS = 4
MAX_STARTS = 200
#: Lag of the loop above which fewer starts are sent, in seconds: a third of what the
#: renewal of the term's lease can bear, and the lag up to which more may be sent.
MAX_LAG_SECONDS = 0.12
LOW_LAG_SECONDS = 0.05
#: The same for the time that the fastest answers take, which is several iterations of
#: the loop and the queue of the link, in seconds.
MAX_ANSWER_SECONDS = 0.25
LOW_ANSWER_SECONDS = 0.12
#: Number of the last answers of which the fastest shows the delay of the link.  A few
#: slow endpoints do not count.
ANSWERS = 8
#: Factors by which the window changes with an observation.
DECREASE_FACTOR = 0.6
INCREASE_FACTOR = 1.15


class StartWindow:
    """The greatest number of start orders in progress, by the delays observed.

    ``in_progress`` is the number of orders that were sent and not answered, ``answers``
    has the seconds that the last answers took.
    """

    __slots__ = ("size", "in_progress", "answers")

    def __init__(self):
        self.size = float(INITIAL_STARTS)
        self.in_progress = 0
        self.answers = deque(maxlen=ANSWERS)

    @property
    def is_full(self):
        """Whether no further start may be sent before another has ended."""
        return self.in_progress >= int(self.size)

    def allowance(self):
        """Return how many more starts may be sent now."""
        return max(0, int(self.size) - self.in_progress)

    def record_answer(self, seconds):
        """Record how long an order was under way until its answer or failure."""
        self.answers.append(seconds)

    def fastest_answer(self):
        """Return the time of the fastest answer, 0 if there were too few lately."""
        if not self.in_progress:
            self.answers.clear()
        return min(self.answers) if len(self.answers) == ANSWERS else 0.0

    def observe(self, lag_seconds):
        """Adapt the window; ``lag_seconds`` is the delay of a timer of the loop."""
        answer_seconds = self.fastest_answer()
        if lag_seconds > MAX_LAG_SECONDS or answer_seconds > MAX_ANSWER_SECONDS:
            # From what was in progress: an unused window says nothing of the load.
            used = min(self.size, max(self.in_progress, MIN_STARTS))
            self.size = max(MIN_STARTS, used * DECREASE_FACTOR)
            self.answers.clear()
        elif lag_seconds <= LOW_LAG_SECONDS and answer_seconds <= LOW_ANSWER_SECONDS:
            self.size = min(MAX_STARTS, max(self.size * INCREASE_FACTOR, self.size + 1))
