"""How much one kind of work slows down another, learned from lagged latency.

A service's latency on an endpoint is taken as its latency alone times one plus the sum
over the neighbours' kinds of weight times cores.  That is linear, so it is fitted by
least squares over the reports, of which older ones count less; a ridge holds weights of
which little is known near `UNKNOWN_WEIGHT`, and none is negative.
"""

from collections import defaultdict

#: Part of its influence that a report keeps when the next one comes.
KEPT = 0.998
#: Influence of the prior, in reports with one core.
RIDGE = 1.0
#: Requests in a report at which it has half of its influence.
HALF_TRUST_COUNT = 20
#: Weight that is assumed of a pair that was never seen, a core.
UNKNOWN_WEIGHT = 0.02
#: Name of the constant term: the latency alone.
ALONE = ""


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


class Fit:
    """A least-squares fit of one service's latency, improved with each report.

    ``terms`` holds the latency alone and what one core of each kind adds, in units of
    the first report.
    """

    __slots__ = ("unit", "products", "targets", "terms")

    def __init__(self, unit):
        self.unit = unit
        self.products = defaultdict(float)
        self.targets = defaultdict(float)
        self.terms = {ALONE: 1.0}

    @property
    def alone(self):
        """Latency alone, in seconds."""
        return self.unit * self.terms[ALONE]

    def weight(self, neighbour):
        """Return the slowdown by one core of ``neighbour``."""
        if neighbour not in self.terms:
            return UNKNOWN_WEIGHT
        return self.terms[neighbour] / max(self.terms[ALONE], 1e-9)

    def add(self, observation):
        """Take in one report and improve each term once."""
        trust = observation.count / (observation.count + HALF_TRUST_COUNT)
        values = {ALONE: 1.0, **observation.cores}
        target = observation.seconds / self.unit
        for table in (self.products, self.targets):
            for key in table:
                table[key] *= KEPT
        for name, value in values.items():
            self.terms.setdefault(name, UNKNOWN_WEIGHT)
            self.targets[name] += trust * value * target
            for other, number in values.items():
                self.products[name, other] += trust * value * number
        for name in self.terms:
            self.improve(name)

    def improve(self, name):
        """Set one term to what is best beside the others."""
        ridge = 0.0 if name == ALONE else RIDGE
        rest = sum(
            self.products[name, other] * value
            for other, value in self.terms.items()
            if other != name and (name, other) in self.products
        )
        own = self.products[name, name] + ridge
        best = (self.targets[name] - rest + ridge * UNKNOWN_WEIGHT) / own
        self.terms[name] = max(0.0, best)


class InterferenceModel:
    """A `Fit` of each kind of service."""

    def __init__(self):
        self.fits = {}

    def weight(self, kind, neighbour):
        """Return the slowdown of ``kind`` by one core of ``neighbour``."""
        fit = self.fits.get(kind)
        return UNKNOWN_WEIGHT if fit is None else fit.weight(neighbour)

    def slowdown(self, kind, cores):
        """Return the expected slowdown of ``kind`` beside {neighbour: cores}."""
        return 1.0 + sum(self.weight(kind, n) * c for n, c in cores.items())

    def harm(self, neighbour):
        """Return the largest slowdown that one core of a kind causes to any service."""
        return max((fit.weight(neighbour) for fit in self.fits.values()), default=0.0)

    def observe(self, observation):
        """Learn from one `Observation`; return the slowdown that it shows."""
        if not observation.count or observation.seconds <= 0.0:
            return 1.0
        fit = self.fits.get(observation.kind)
        if fit is None:
            fit = self.fits[observation.kind] = Fit(observation.seconds)
        fit.add(observation)
        return observation.seconds / max(fit.alone, 1e-9)
