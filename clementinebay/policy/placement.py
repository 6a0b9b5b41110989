"""Placement policies: each scores the free capacity of an endpoint for a task.

Reservations use declared sizes, not measured usage.
"""

import copy
import math
from abc import ABC, abstractmethod
from collections import Counter

from clementinebay.shard.wire import ttypes as wire

#: Score of an endpoint that must not be used.
FORBIDDEN = -math.inf
#: Penalty per task of the same job in the same rack, and on the same endpoint.
RACK_WEIGHT = 1.0
ENDPOINT_WEIGHT = 10.0
#: Penalty per unit of expected slowdown of services.
SLOWDOWN_WEIGHT = 20.0
#: Penalty of an endpoint with accelerators for a task that needs none.
ACCELERATOR_WEIGHT = 5.0


class FreeCapacity:
    """Resources of an endpoint that are free, kept up to date within one decision."""

    __slots__ = ("id", "rack", "size", "processors", "memory", "accelerators")

    def __init__(self, endpoint):
        size = endpoint.seen.size
        self.id = endpoint.seen.id
        self.rack = endpoint.seen.rack
        self.size = size
        self.processors = size.processors_milli - endpoint.processors
        self.memory = size.memory_mb - endpoint.memory
        self.accelerators = size.accelerators - endpoint.accelerators

    def copy(self):
        """Return an independent copy."""
        return copy.copy(self)

    def fits(self, size):
        """Return whether a task of ``size`` fits."""
        return (
            size.processors_milli <= self.processors
            and size.memory_mb <= self.memory
            and size.accelerators <= self.accelerators
        )

    def reserve(self, size):
        """Reserve ``size``."""
        self.processors -= size.processors_milli
        self.memory -= size.memory_mb
        self.accelerators -= size.accelerators

    def unreserve(self, size):
        """Return ``size`` to the free resources."""
        self.processors += size.processors_milli
        self.memory += size.memory_mb
        self.accelerators += size.accelerators


class TaskCounts:
    """Number of tasks of one job on each endpoint and in each rack."""

    __slots__ = ("endpoints", "racks")

    def __init__(self, state, job):
        self.endpoints = Counter()
        self.racks = Counter()
        for task in job.tasks.values():
            if task.endpoint:
                self.add(task.endpoint, state.endpoints[task.endpoint].seen.rack)

    def add(self, endpoint, rack):
        """Count a new task on ``endpoint`` in ``rack``."""
        self.endpoints[endpoint] += 1
        self.racks[rack] += 1


class Placement(ABC):
    """Scores endpoints for the tasks of a job; the highest score wins."""

    @abstractmethod
    def score(self, job, capacity, task_counts):
        """Return the score of an endpoint for the next task of ``job``.

        ``capacity`` is its `FreeCapacity`, ``task_counts`` the `TaskCounts` of the job.
        The score `FORBIDDEN` excludes the endpoint.
        """

    def record_binding(self, job, capacity):
        """Record that a task of ``job`` was bound to an endpoint."""


class LeastDeclared(Placement):
    """The endpoint with the fewest processors reserved; the baseline."""

    def score(self, job, capacity, task_counts):
        """See `Placement`."""
        return capacity.processors - capacity.size.processors_milli


class Spread(Placement):
    """The endpoint with the most free processors."""

    def score(self, job, capacity, task_counts):
        """See `Placement`."""
        return capacity.processors


class Balanced(Placement):
    """Spreads services, keeps accelerators free, and avoids interference.

    ``pressure`` has the methods ``slowdown(job, capacity)`` and
    ``record_binding(job, capacity)``; see `colocation.Pressure`.
    """

    def __init__(self, pressure=None):
        self.pressure = pressure

    def score(self, job, capacity, task_counts):
        """See `Placement`."""
        size = job.spec.size
        score = capacity.processors / max(1, capacity.size.processors_milli)
        if capacity.size.accelerators and not size.accelerators:
            score -= ACCELERATOR_WEIGHT
        if job.spec.workload == wire.Workload.SERVICE:
            score -= ENDPOINT_WEIGHT * task_counts.endpoints[capacity.id]
            score -= RACK_WEIGHT * task_counts.racks[capacity.rack]
        if self.pressure is not None:
            score -= SLOWDOWN_WEIGHT * self.pressure.slowdown(job, capacity)
        return score

    def record_binding(self, job, capacity):
        """See `Placement`."""
        if self.pressure is not None:
            self.pressure.record_binding(job, capacity)


#: Name -> class of `Placement`.
POLICIES = {"least-declared": LeastDeclared, "spread": Spread, "balanced": Balanced}
