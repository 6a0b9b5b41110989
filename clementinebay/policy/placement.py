"""How good an endpoint is for a task: policies that score what is free on it.

Declared sizes are reserved as declared.
"""

import copy
import math
from abc import ABC, abstractmethod
from collections import Counter

from clementinebay.shard.wire import ttypes as wire

#: Score of a room that must not be used.
FORBIDDEN = -math.inf
#: Score per task of the same job in a rack and on an endpoint.
RACK_WEIGHT = 1.0
ENDPOINT_WEIGHT = 10.0
#: Score per unit of expected slowdown of services.
SLOWDOWN_WEIGHT = 20.0
#: Score of an endpoint whose accelerators a task does not need.
ACCELERATOR_WEIGHT = 5.0


class Room:
    """What is free on an endpoint while one decision is made."""

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
        """Return a room that is as free as this one."""
        return copy.copy(self)

    def fits(self, size):
        """Return whether a task of ``size`` fits."""
        return (
            size.processors_milli <= self.processors
            and size.memory_mb <= self.memory
            and size.accelerators <= self.accelerators
        )

    def take(self, size):
        """Reserve ``size``."""
        self.processors -= size.processors_milli
        self.memory -= size.memory_mb
        self.accelerators -= size.accelerators

    def give(self, size):
        """Add ``size`` to what is free."""
        self.processors += size.processors_milli
        self.memory += size.memory_mb
        self.accelerators += size.accelerators


class Neighbours:
    """How many tasks of a service's job run on each endpoint and rack."""

    __slots__ = ("endpoints", "racks")

    def __init__(self, state, job):
        self.endpoints = Counter()
        self.racks = Counter()
        for task in job.tasks.values():
            if task.endpoint:
                self.add(task.endpoint, state.endpoints[task.endpoint].seen.rack)

    def add(self, endpoint, rack):
        """Count one more task."""
        self.endpoints[endpoint] += 1
        self.racks[rack] += 1


class Placement(ABC):
    """Scores rooms for the tasks of one job; the highest score wins."""

    @abstractmethod
    def score(self, job, room, neighbours):
        """Return the score of ``room`` for the next task of ``job``.

        Minus infinity forbids the room.
        """

    def took(self, job, room):
        """Note that a task of ``job`` was bound in ``room``."""


class LeastDeclared(Placement):
    """First fit on the endpoint with the least declared; the baseline."""

    def score(self, job, room, neighbours):
        """See `Placement`."""
        return room.processors - room.size.processors_milli


class Spread(Placement):
    """The endpoint with most free processors."""

    def score(self, job, room, neighbours):
        """See `Placement`."""
        return room.processors


class Balanced(Placement):
    """Spreads services, keeps accelerators free, and avoids pairs that interfere.

    ``pressure`` has the methods ``slowdown(job, room)`` and ``took(job, room)``; see
    `colocation.Pressure`.
    """

    def __init__(self, pressure=None):
        self.pressure = pressure

    def score(self, job, room, neighbours):
        """See `Placement`."""
        size = job.spec.size
        score = room.processors / max(1, room.size.processors_milli)
        if room.size.accelerators and not size.accelerators:
            score -= ACCELERATOR_WEIGHT
        if job.spec.workload == wire.Workload.SERVICE:
            score -= ENDPOINT_WEIGHT * neighbours.endpoints[room.id]
            score -= RACK_WEIGHT * neighbours.racks[room.rack]
        if self.pressure is not None:
            score -= SLOWDOWN_WEIGHT * self.pressure.slowdown(job, room)
        return score

    def took(self, job, room):
        """See `Placement`."""
        if self.pressure is not None:
            self.pressure.took(job, room)


#: Name -> class of `Placement`.
POLICIES = {"least-declared": LeastDeclared, "spread": Spread, "balanced": Balanced}
