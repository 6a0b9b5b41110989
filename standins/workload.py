"""Model of the tasks at an endpoint: progress, interference and usage.

Each pair of kinds has a weight: the relative slowdown of the first kind by one core
that a neighbour of the second kind uses.  Weights, and the actual sizes and run times
of tasks, are derived from the seed and the names, so they are the same at all endpoints
and in all runs of a benchmark.
"""

import math
import random
from collections import deque

#: Share of the pairs of kinds that interfere.
INTERFERING_SHARE = 0.5
#: Maximum slowdown by one core of a neighbour.
MAX_WEIGHT = 0.25
#: Standard deviation of the logarithm of a request's service time.
SERVICE_SIGMA = 0.4


def named_rng(seed, *names):
    """Return a random number generator that is seeded with ``seed`` and ``names``."""
    return random.Random("/".join(map(str, (seed, *names))))


class Interference:
    """Weights of pairs of kinds; ``fixed`` maps "KIND|NEIGHBOUR" to given weights."""

    def __init__(self, seed, fixed=()):
        self.seed = seed
        self.weights = dict(fixed)

    def weight(self, kind, neighbour):
        """Return the slowdown of ``kind`` by one core of ``neighbour``."""
        pair = f"{kind}|{neighbour}"
        if pair not in self.weights:
            rng = named_rng(self.seed, pair)
            interferes = rng.random() < INTERFERING_SHARE
            self.weights[pair] = rng.uniform(0.0, MAX_WEIGHT) if interferes else 0.0
        return self.weights[pair]

    def slowdown(self, kind, neighbours):
        """Return the factor by which ``neighbours``, a {kind: cores}, slow ``kind``."""
        return 1.0 + sum(self.weight(kind, n) * c for n, c in neighbours.items())


class Run:
    """An attempt of a task.

    ``max_deviation`` bounds the factors by which the actual size and run time deviate
    from the declared ones.
    """

    def __init__(self, order, now, seed=1, max_deviation=1.0):
        self.order = order
        self.key = (order["job"], order["index"], order["attempt"])
        self.started = now
        self.ended = None
        self.state = "running"
        self.reason = ""
        self.deadline = max(order["lease_deadline"], order.get("renewed_until", 0.0))
        self.progress = float(order.get("checkpoint") or 0.0)
        self.initial_progress = self.progress
        self.saved = self.progress
        self.saved_at = now
        self.share = 1.0
        self.version = 0
        self.measured = False
        rng = named_rng(seed, order["origin"], order["index"])
        spread = math.log(max_deviation)
        self.size_factor = math.exp(rng.uniform(-spread, spread))
        self.time_factor = math.exp(rng.uniform(-spread, spread))

    @property
    def cores(self):
        """Processors that the attempt actually uses."""
        declared = self.order["processors_milli"] / 1000.0
        return declared * self.size_factor * self.share

    def report(self):
        """Return the attempt's report; it has no usage until that is measured."""
        job, index, attempt = self.key
        used = round(self.cores * 1000) if self.measured else 0
        memory = self.order["memory_mb"] * self.size_factor if self.measured else 0
        return {
            "job": job,
            "index": index,
            "attempt": attempt,
            "state": self.state,
            "kind": self.order["kind"],
            "reason": self.reason,
            "checkpoint": f"{self.saved:.4f}" if self.saved else "",
            "processors_milli": used,
            "memory_mb": round(memory),
            "throttled": self.share < 1.0,
        }

    def record(self):
        """Return the run's data for checks by tests and benchmarks."""
        job, index, attempt = self.key
        return {
            "job": job,
            "origin": self.order["origin"],
            "kind": self.order["kind"],
            "index": index,
            "attempt": attempt,
            "service": self.order["service"],
            "started": self.started,
            "ended": self.ended,
            "state": self.state,
            "begun_with": self.initial_progress,
            "progress": self.progress,
            "seconds": self.order["run_seconds"] * self.time_factor,
        }


class UsageMeter:
    """Latencies of finished requests, until they are reported."""

    def __init__(self):
        self.finished = deque()

    def record(self, at, service, seconds):
        """Record a finished request."""
        self.finished.append((at, service, seconds))

    def drain(self, until):
        """Remove the latencies up to the time ``until``; return them by service."""
        found = {}
        while self.finished and self.finished[0][0] <= until:
            _at, service, seconds = self.finished.popleft()
            found.setdefault(service, []).append(seconds)
        return [
            {
                "service": service,
                "count": len(times),
                "p50_seconds": quantile(times, 0.5),
                "p99_seconds": quantile(times, 0.99),
            }
            for service, times in found.items()
        ]


def quantile(values, fraction):
    """Return the value below which ``fraction`` of ``values`` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def service_time(rng, mean):
    """Return a random service time in seconds, lognormal with mean ``mean``."""
    return rng.lognormvariate(math.log(mean) - SERVICE_SIGMA**2 / 2, SERVICE_SIGMA)
