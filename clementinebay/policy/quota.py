"""Quotas of teams, and the shares of them that may be bound in one domain."""

from clementinebay.shard.entities import HOLDING_PHASES

#: Configuration keys of a team's section, in the order of `resource_vector`.
KEYS = ("processors", "memory_mb", "accelerators")


def resource_vector(size):
    """Return a `wire.Resources` as (milli-processors, MB, accelerators)."""
    return size.processors_milli, size.memory_mb, size.accelerators


def share(quota, domain, domains):
    """Return the share of the integer ``quota`` that ``domain`` may use.

    The shares of all ``domains`` add up to the quota.
    """
    order = sorted(domains)
    rank = order.index(domain)
    return quota * (rank + 1) // len(order) - quota * rank // len(order)


def totals(document):
    """Return {team: resource vector} of the quotas; ``None`` means no limit."""
    found = {}
    for team in document.section_names("team"):
        quota = [document.get(f"team:{team}", key) for key in KEYS]
        quota[0] = round(quota[0] * 1000)
        found[team] = tuple(amount or None for amount in quota)
    return found


def limits(document, domain, domains):
    """Return {team: resource vector} that ``domain`` may use; ``None`` means no limit.

    ``domains`` are those that are in; quotas are split equally over them.
    """
    return {
        team: tuple(amount and share(amount, domain, domains) for amount in quota)
        for team, quota in totals(document).items()
    }


class Ledger:
    """Resources that each team holds within one decision, and their limits."""

    __slots__ = ("limits", "held")

    def __init__(self, limits=None, held=None):
        self.limits = limits or {}
        self.held = held or {}

    def allows(self, team, size):
        """Return whether ``team`` may hold ``size`` more."""
        limit = self.limits.get(team)
        if limit is None:
            return True
        held = self.held.get(team, (0, 0, 0))
        return all(
            maximum is None or used + more <= maximum
            for maximum, used, more in zip(
                limit, held, resource_vector(size), strict=True
            )
        )

    def reserve(self, team, size, count=1):
        """Reserve ``count`` times ``size`` for ``team``."""
        held = self.held.get(team, (0, 0, 0))
        self.held[team] = tuple(
            used + more * count
            for used, more in zip(held, resource_vector(size), strict=True)
        )


def ledger(state, limits):
    """Return the `Ledger` of a shard's state, for teams that have a limit."""
    found = Ledger(limits)
    if not limits:
        return found
    for job in state.jobs.values():
        if job.spec.team not in limits:
            continue
        holding = sum(task.phase in HOLDING_PHASES for task in job.tasks.values())
        found.reserve(job.spec.team, job.spec.size, holding)
    return found
