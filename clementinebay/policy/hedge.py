"""The delay after which a hedged copy of a repeatable request is sent."""

#: Number of latencies kept.
MAX_SAMPLES = 256
#: The delay is computed after this number of new latencies.
UPDATE_INTERVAL = 32
#: Share of requests that are answered before a copy is sent.
QUANTILE = 0.95


class HedgeDelay:
    """A quantile of recent latencies.

    ``seconds`` is ``None`` until enough latencies are known.
    """

    __slots__ = ("samples", "count", "seconds")

    def __init__(self):
        self.samples = [0.0] * MAX_SAMPLES
        self.count = 0
        self.seconds = None

    def observe(self, seconds):
        """Record the latency of a response."""
        self.samples[self.count % MAX_SAMPLES] = seconds
        self.count += 1
        if self.count % UPDATE_INTERVAL == 0:
            ordered = sorted(self.samples[: min(self.count, MAX_SAMPLES)])
            self.seconds = ordered[int(len(ordered) * QUANTILE)]
