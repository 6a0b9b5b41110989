"""Limits retries to a share of the request rate, instead of a number per request."""


class RetryBudget:
    """A token bucket to which each request adds ``percent`` of a retry.

    It holds at most ``burst`` retries, so that a long time without retries does not
    allow a retry storm.
    """

    __slots__ = ("percent", "burst", "tokens")

    def __init__(self, percent, burst=10.0):
        self.percent = percent
        self.burst = burst
        self.tokens = burst if percent else 0.0

    def earn(self):
        """Add the share of one request."""
        self.tokens = min(self.burst, self.tokens + self.percent / 100.0)

    def spend(self):
        """Use one retry if the budget allows; return whether it did."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
