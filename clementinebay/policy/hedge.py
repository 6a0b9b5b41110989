"""When a second copy of a repeatable request is sent: after an unusual wait."""

#: Latencies that are kept.
SAMPLES = 256
#: Latencies before the first hedge, and between two sorts of them.
LEAST_SAMPLES = 32
#: Share of answers that come sooner than a hedge is sent.
QUANTILE = 0.95


class HedgeDelay:
    """Learns from latencies how long to wait before a copy is sent."""

    __slots__ = ("samples", "count", "seconds")

    def __init__(self):
        self.samples = [0.0] * SAMPLES
        self.count = 0
        self.seconds = None

    def observe(self, seconds):
        """Take in the latency of an answer."""
        self.samples[self.count % SAMPLES] = seconds
        self.count += 1
        if self.count % LEAST_SAMPLES == 0:
            known = sorted(self.samples[: min(self.count, SAMPLES)])
            self.seconds = known[int(len(known) * QUANTILE)]
