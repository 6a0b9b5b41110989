"""How much one kind of work slows down another, learned from lagged latency.

A service's latency on an endpoint is taken as its latency alone times one plus the sum
over the neighbours' kinds of weight times cores.  Weights are learned by a normalized
least-mean-squares step for each report, and are never negative.
"""

#: Part of the error that one large report corrects.
LEARNING_RATE = 0.5
#: Requests in a report at which half of the learning rate applies.
HALF_TRUST_COUNT = 20
#: Slowdown below which a report also tells of the latency alone.
ALONE_SLOWDOWN = 1.05
#: Part by which the latency alone follows a report that is lower or about equal.
BASE_RATE = 0.2
#: Part of the difference by which endpoints' latencies are smoothed.
SMOOTHING = 0.4
#: Weight that is assumed of a pair that was never seen, a core.
UNKNOWN_WEIGHT = 0.02


class Observation:
    """What an endpoint reported of a service, and what ran beside it at that time.

    ``cores`` maps a neighbour's kind to the processors that it used; ``seconds`` is the
    median latency.
    """

    __slots__ = ("kind", "count", "seconds", "cores")

    def __init__(self, kind, count, seconds, cores):
        self.kind = kind
        self.count = count
        self.seconds = seconds
        self.cores = cores


class InterferenceModel:
    """Weights of pairs (service's kind, neighbour's kind) and latencies alone."""

    def __init__(self):
        self.weights = {}
        self.alone = {}
        self.version = 0

    def weight(self, kind, neighbour):
        """Return the slowdown of ``kind`` by one core of ``neighbour``."""
        return self.weights.get((kind, neighbour), UNKNOWN_WEIGHT)

    def slowdown(self, kind, cores):
        """Return the expected slowdown of ``kind`` beside {neighbour: cores}."""
        return 1.0 + sum(self.weight(kind, n) * c for n, c in cores.items())

    def observe(self, observation):
        """Learn from one `Observation`."""
        if not observation.count:
            return
        kind = observation.kind
        trust = observation.count / (observation.count + HALF_TRUST_COUNT)
        expected = self.slowdown(kind, observation.cores)
        self.learn_alone(observation, expected, trust)
        if observation.cores:
            ratio = observation.seconds / self.alone[kind]
            self.learn_weights(observation, ratio - expected, LEARNING_RATE * trust)
        self.version += 1

    def learn_alone(self, observation, expected, trust):
        """Follow the latency of the service alone."""
        kind, seconds = observation.kind, observation.seconds
        base = self.alone.get(kind)
        if base is None:
            self.alone[kind] = seconds / expected
        elif expected < ALONE_SLOWDOWN or seconds < base:
            self.alone[kind] += BASE_RATE * trust * (seconds / expected - base)

    def learn_weights(self, observation, error, rate):
        """Take one step against ``error``, along the cores of the neighbours."""
        norm = sum(cores * cores for cores in observation.cores.values())
        if not norm:
            return
        for neighbour, cores in observation.cores.items():
            pair = (observation.kind, neighbour)
            step = rate * error * cores / norm
            self.weights[pair] = max(0.0, self.weight(*pair) + step)
