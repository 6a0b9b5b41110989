"""Learns from reported latencies how much one kind of task slows down another.

The model of a service's latency on an endpoint is its latency alone, times one plus the
sum over the kinds of its neighbours of weight times cores.  The model is linear, so it
is fitted by least squares over the reports, with a lower weight for older ones.  Ridge
regularization keeps weights with little evidence near `DEFAULT_WEIGHT`; no weight is
negative.
"""

from collections import defaultdict

#: Factor by which the influence of earlier reports decays with each new one.
DECAY_PER_REPORT = 0.998
#: Strength of the prior, as a number of reports with one core.
RIDGE = 1.0
#: Number of requests at which a report has half of the full influence.
HALF_TRUST_COUNT = 20
#: Weight of a pair before its first report, per core.
DEFAULT_WEIGHT = 0.02
#: Name of the constant term: the latency alone.
ALONE = ""


class Observation:
    """A reported latency of a service, and the load beside it at that time.

    ``kind`` is the kind of the service, ``count`` the number of requests, ``seconds``
    their median latency.  ``cores`` maps kinds of neighbours to the cores they used.
    """

    __slots__ = ("kind", "count", "seconds", "cores")

    def __init__(self, kind, count, seconds, cores):
        self.kind = kind
        self.count = count
        self.seconds = seconds
        self.cores = cores


class Fit:
    """A least-squares fit of one service's latency, updated with each report.

    ``terms`` holds the latency alone and the latency that one core of each kind adds,
    in units of the first reported latency.
    """

    __slots__ = ("unit", "products", "targets", "terms")

    def __init__(self, unit):
        self.unit = unit
        self.products = defaultdict(float)
        self.targets = defaultdict(float)
        self.terms = {ALONE: 1.0}

    @property
    def alone(self):
        """The latency alone, in seconds."""
        return self.unit * self.terms[ALONE]

    def weight(self, neighbour):
        """Return the slowdown per core of ``neighbour``."""
        if neighbour not in self.terms:
            return DEFAULT_WEIGHT
        return self.terms[neighbour] / max(self.terms[ALONE], 1e-9)

    def add(self, observation):
        """Add one report, and update each term once."""
        trust = observation.count / (observation.count + HALF_TRUST_COUNT)
        values = {ALONE: 1.0, **observation.cores}
        target = observation.seconds / self.unit
        for table in (self.products, self.targets):
            for key in table:
                table[key] *= DECAY_PER_REPORT
        for name, value in values.items():
            self.terms.setdefault(name, DEFAULT_WEIGHT)
            self.targets[name] += trust * value * target
            for other, number in values.items():
                self.products[name, other] += trust * value * number
        for name in self.terms:
            self.update_term(name)

    def update_term(self, name):
        """Set one term to its optimum given the others (coordinate descent)."""
        ridge = 0.0 if name == ALONE else RIDGE
        rest = sum(
            self.products[name, other] * value
            for other, value in self.terms.items()
            if other != name and (name, other) in self.products
        )
        own = self.products[name, name] + ridge
        best = (self.targets[name] - rest + ridge * DEFAULT_WEIGHT) / own
        self.terms[name] = max(0.0, best)


class InterferenceModel:
    """A latency `Fit` for each kind of service."""

    def __init__(self):
        self.fits = {}

    def weight(self, kind, neighbour):
        """Return the slowdown of ``kind`` per core of ``neighbour``."""
        fit = self.fits.get(kind)
        return DEFAULT_WEIGHT if fit is None else fit.weight(neighbour)

    def slowdown(self, kind, cores):
        """Return the expected slowdown of ``kind`` beside {neighbour: cores}."""
        return 1.0 + sum(self.weight(kind, n) * c for n, c in cores.items())

    def harm(self, neighbour):
        """Return the largest slowdown that one core of a kind causes to any service."""
        return max((fit.weight(neighbour) for fit in self.fits.values()), default=0.0)

    def observe(self, observation):
        """Update the model with an `Observation`; return the observed slowdown."""
        if not observation.count or observation.seconds <= 0.0:
            return 1.0
        fit = self.fits.get(observation.kind)
        if fit is None:
            fit = self.fits[observation.kind] = Fit(observation.seconds)
        fit.add(observation)
        return observation.seconds / max(fit.alone, 1e-9)
