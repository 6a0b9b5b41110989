"""Chooses the daemons that adopt a failure domain without live entry VMs."""

import hashlib

from clementinebay.shard.entities import HOLDING_PHASES, Phase
from clementinebay.shard.wire import ttypes as wire

#: Number of daemons that compete for the leader lease of an adopted domain.
CANDIDATES = 2


class Absence:
    """Tracks since when each domain has had no live entry VM."""

    __slots__ = ("since",)

    def __init__(self):
        self.since = {}

    def observe(self, domains, served, now):
        """Record that of ``domains``, those in ``served`` have entry VMs at ``now``."""
        for domain in domains:
            if domain in served:
                self.since.pop(domain, None)
            else:
                self.since.setdefault(domain, now)

    def absent(self, now, seconds):
        """Return the domains that have had no entry VM for ``seconds``."""
        return sorted(d for d, since in self.since.items() if now - since >= seconds)


def candidates(domain, daemons):
    """Return the names of the ``daemons`` that may adopt ``domain``."""

    def rank(name):
        return hashlib.sha256(f"{domain}/{name}".encode()).digest()

    return sorted(daemons, key=rank)[:CANDIDATES]


def release_records(state):
    """Return releases of all replicas, since no daemon routes requests to them."""
    records = []
    for name, job in state.jobs.items():
        if job.spec.workload != wire.Workload.SERVICE:
            continue
        for task in job.tasks.values():
            if task.phase in HOLDING_PHASES and task.phase != Phase.STOPPING:
                release = wire.Release(name, task.index, task.attempt, "no-entry-vm")
                records.append(wire.Record(release=release))
    return records
