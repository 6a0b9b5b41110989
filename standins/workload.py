"""Model of what runs at an endpoint: progress, pressure on neighbours, usage.

Each pair of kinds has a weight: the part by which one core of a neighbour of the second
kind slows down the first.  Weights and the real sizes and run times of tasks follow
from the seed and the names, so every endpoint and every run of the bench agrees.
"""

import math
import random
from collections import deque

#: Part of the pairs of kinds that interfere at all.
INTERFERING = 0.5
#: Largest slowdown by one core of a neighbour.
MAX_WEIGHT = 0.25
#: Standard deviation of the logarithm of a request's service time.
SERVICE_SIGMA = 0.4


def draw(seed, *names):
    """Return the random numbers that belong to ``names``."""
    return random.Random("/".join(map(str, (seed, *names))))


class Interference:
    """Weights of pairs of kinds; ``given`` maps "KIND|NEIGHBOUR" to set ones."""

    def __init__(self, seed, given=()):
        self.seed = seed
        self.weights = dict(given)

    def weight(self, kind, neighbour):
        """Return the slowdown of ``kind`` by one core of ``neighbour``."""
        pair = f"{kind}|{neighbour}"
        if pair not in self.weights:
            rng = draw(self.seed, pair)
            interferes = rng.random() < INTERFERING
            self.weights[pair] = rng.uniform(0.0, MAX_WEIGHT) if interferes else 0.0
        return self.weights[pair]

    def slowdown(self, kind, neighbours):
        """Return by what factor ``kind`` is slowed by {neighbour: cores}."""
        return 1.0 + sum(self.weight(kind, n) * c for n, c in neighbours.items())


class Run:
    """One attempt of a task.

    ``wrong`` bounds the factor by which real size and run time differ from what was
    declared.
    """

    def __init__(self, order, now, seed=1, wrong=1.0):
        self.order = order
        self.key = (order["job"], order["index"], order["attempt"])
        self.started = now
        self.ended = None
        self.state = "running"
        self.reason = ""
        self.deadline = max(order["lease_deadline"], order.get("renewed_until", 0.0))
        self.progress = float(order.get("checkpoint") or 0.0)
        self.begun_with = self.progress
        self.saved = self.progress
        self.saved_at = now
        self.share = 1.0
        self.version = 0
        self.measured = False
        rng = draw(seed, order["origin"], order["index"])
        spread = math.log(wrong)
        self.size_factor = math.exp(rng.uniform(-spread, spread))
        self.time_factor = math.exp(rng.uniform(-spread, spread))

    @property
    def cores(self):
        """Processors that the attempt really uses."""
        declared = self.order["processors_milli"] / 1000.0
        return declared * self.size_factor * self.share

    def report(self):
        """Return the attempt's report; usage only after it was measured."""
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
        """Return the run for the checkers."""
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
            "begun_with": self.begun_with,
            "progress": self.progress,
            "seconds": self.order["run_seconds"] * self.time_factor,
        }


class UsageMeter:
    """Latencies of requests, told only after a lag."""

    def __init__(self):
        self.finished = deque()

    def note(self, at, service, seconds):
        """Note a request that finished."""
        self.finished.append((at, service, seconds))

    def take(self, until):
        """Return and forget the usage of services up to the time ``until``."""
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


def quantile(values, part):
    """Return the value below which ``part`` of ``values`` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def service_time(rng, mean):
    """Return one service time in seconds, lognormal about ``mean``."""
    return rng.lognormvariate(math.log(mean) - SERVICE_SIGMA**2 / 2, SERVICE_SIGMA)
