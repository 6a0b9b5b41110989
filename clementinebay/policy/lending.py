"""How a team's quota is lent to failure domains, in parts that follow its work.

Every domain has a part of the quota, and binds no more than that.  Only the domain
itself lowers its part, and never below what its tasks hold; it raises the part only by
what no domain has.  So the parts never add up to more than the quota, whatever each
domain knows of the others.
"""

import msgspec

from clementinebay.policy import planner, quota
from clementinebay.shard.entities import HOLDING_PHASES

NOTHING = (0, 0, 0)
#: A part is raised to so many times what is wanted while no other domain lacks.
SPARE = 2
#: Most steps in which a quota is split.
MAX_STEPS = 64


class Need(msgspec.Struct, frozen=True):
    """One domain's part of a team's quota, and what it would use if it could.

    Amounts are (milli-processors, MB, accelerators).  ``step`` is its largest waiting
    task, ``since`` the time from which the oldest waits in seconds since the Unix
    epoch, 0 if none does.
    """

    part: tuple[int, int, int] = NOTHING
    wanted: tuple[int, int, int] = NOTHING
    step: tuple[int, int, int] = NOTHING
    since: float = 0.0

    @property
    def lacking(self):
        """Whether the domain wants more than its part."""
        return any(w > p for w, p in zip(self.wanted, self.part, strict=True))


class Use:
    """What a team holds in one domain and what waits there."""

    __slots__ = ("held", "waiting", "step", "since")

    def __init__(self):
        self.held = NOTHING
        self.waiting = NOTHING
        self.step = NOTHING
        self.since = 0.0

    def add(self, job, leaving):
        """Add the tasks of ``job``; those that wait do not count if ``leaving``."""
        holding = sum(task.phase in HOLDING_PHASES for task in job.tasks.values())
        count = 0 if leaving else planner.waiting_count(job)
        if not holding and not count:
            return
        size = quota.resource_vector(job.spec.size)
        if holding:
            self.held = plus(self.held, times(size, holding))
        if count:
            self.waiting = plus(self.waiting, times(size, count))
            self.step = tuple(map(max, self.step, size))
            at = job.spec.submitted_at
            self.since = min(self.since or at, at)


def team_usage(state, teams, leaving=False):
    """Return the {team: `Use`} of ``teams`` in a shard's state."""
    found = {team: Use() for team in teams}
    for job in state.jobs.values():
        if job.spec.team in found and not job.cancelled:
            found[job.spec.team].add(job, leaving or state.out)
        elif job.spec.team in found:
            found[job.spec.team].add(job, True)
    return found


def plus(one, other):
    """Return the sum of two amounts."""
    return one[0] + other[0], one[1] + other[1], one[2] + other[2]


def times(resource_vector, count):
    """Return ``count`` times ``resource_vector``."""
    return (
        resource_vector[0] * count,
        resource_vector[1] * count,
        resource_vector[2] * count,
    )


def within(resource_vector, total):
    """Return whether ``resource_vector`` stay within a quota; ``None`` is no limit."""
    return all(t is None or a <= t for a, t in zip(resource_vector, total, strict=True))


class Split:
    """Splits a quota over domains by whole tasks, so that large ones run somewhere.

    The next task goes to the domain whose largest share of a resource is the smallest
    (dominant resource fairness), then to the one that has waited longest.
    """

    def __init__(self, total, needs):
        self.total = total
        self.needs = needs
        self.given = dict.fromkeys(needs, NOTHING)

    def run(self):
        """Return {domain: amounts}."""
        least = tuple((most or 0) // MAX_STEPS for most in self.total)
        open_domains = set(self.needs)
        while open_domains:
            domain = min(open_domains, key=self.order)
            need, given = self.needs[domain], self.given[domain]
            step = tuple(map(max, need.step, least))
            after = tuple(map(min, need.wanted, plus(given, step)))
            if after == given or not self.fits(domain, after):
                open_domains.discard(domain)
            else:
                self.given[domain] = after
        self.give_rest()
        return self.given

    def order(self, domain):
        """Return the key by which domains take turns."""
        shares = [
            given / most
            for given, most in zip(self.given[domain], self.total, strict=True)
            if most
        ]
        return max(shares, default=0.0), self.needs[domain].since, domain

    def fits(self, domain, resource_vector):
        """Return whether ``domain`` may be given ``resource_vector``."""
        for name, given in self.given.items():
            if name != domain:
                resource_vector = plus(resource_vector, given)
        return within(resource_vector, self.total)

    def give_rest(self):
        """Give what is left, though no further largest task fits into it."""
        for domain in sorted(self.needs, key=self.order):
            free = remaining(self.total, self.given.values())
            wanted = self.needs[domain].wanted
            self.given[domain] = tuple(
                max(g, min(w, g + f))
                for g, w, f in zip(self.given[domain], wanted, free, strict=True)
            )


def remaining(total, parts):
    """Return what ``parts`` leave of a quota, nothing of what has no limit."""
    left = [most or 0 for most in total]
    for part in parts:
        left = [a - b for a, b in zip(left, part, strict=True)]
    return tuple(max(0, amount) for amount in left)


def next_need(domain, total, needs, use):
    """Return (the `Need` that ``domain`` should have, what it should hold at most).

    ``needs`` are {domain: `Need`}.  A part that is larger than fair is kept while no
    other domain lacks anything; otherwise what ends is not replaced, and the part
    follows what is still held.
    """
    old = needs.get(domain, Need())
    held = capped(use.held, total, beyond=True)
    wanted = capped(plus(use.held, use.waiting), total)
    step = capped(use.step, total)
    new = Need(old.part, wanted, step, use.since)
    needs = {**needs, domain: new}
    contended = others_lack(domain, needs)
    if contended:
        target = Split(total, needs).run()[domain]
    elif new.lacking:
        target = capped(times(wanted, SPARE), total)
    else:
        target = old.part
    free = remaining(total, [need.part for need in needs.values()])
    part = tuple(
        max(h, change(p, t, more, contended))
        for h, p, t, more in zip(held, old.part, target, free, strict=True)
    )
    return Need(part, wanted, step, use.since), target if contended else part


def others_lack(domain, needs):
    """Return whether a domain other than ``domain`` wants more than its part."""
    return any(need.lacking for name, need in needs.items() if name != domain)


def capped(resource_vector, total, beyond=False):
    """Return ``resource_vector`` within a quota, 0 where it has no limit.

    With ``beyond``, they may exceed it.
    """
    return tuple(
        0 if most is None else amount if beyond else min(amount, most)
        for amount, most in zip(resource_vector, total, strict=True)
    )


def change(part, target, free, contended):
    """Return the new amount of a part: raised as far as is free, or lowered."""
    if target > part:
        return min(target, part + free)
    return target if contended else part


def should_publish(domain, needs, new):
    """Return whether other domains should learn the ``new`` need of ``domain``."""
    old = needs.get(domain, Need())
    if new.part != old.part:
        return True
    changed = (new.wanted, new.step) != (old.wanted, old.step)
    return changed and (new.lacking or others_lack(domain, needs))


def limit(total, part):
    """Return what a domain with ``part`` may hold; ``None`` is no limit."""
    return tuple(
        None if most is None else amount
        for most, amount in zip(total, part, strict=True)
    )
