"""How many retries are allowed: a share of the request rate, never a count each."""


class RetryBudget:
    """A bucket that each request fills by ``percent`` of a retry.

    The bucket holds ``burst`` retries at most, so that a long quiet time does not pay
    for a retry storm.
    """

    __slots__ = ("percent", "burst", "tokens")

    def __init__(self, percent, burst=10.0):
        self.percent = percent
        self.burst = burst
        self.tokens = burst if percent else 0.0

    def earn(self):
        """Note a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.percent / 100.0)

    def spend(self):
        """Take a retry and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
