"""Divides a team's quota among the failure domains, according to its tasks there.

Each domain has a part of the quota and binds no more than its part.  Only the domain
itself lowers its part, never below what its tasks hold, and it raises the part only by
what belongs to no domain.  So the sum of the parts never exceeds the quota, even if
domains have outdated knowledge of each other.

Vectors are amounts of resources: (milli-processors, MB, accelerators).
"""

import msgspec

from clementinebay.policy import planner, quota
from clementinebay.shard.entities import HOLDING_PHASES

ZERO = (0, 0, 0)
#: While no other domain needs more, a part is raised to this multiple of the demand.
SPARE_FACTOR = 2
#: Limit of the steps in which a resource of a quota is split.
MAX_SPLIT_STEPS = 64


class Need(msgspec.Struct, frozen=True):
    """One domain's part of a team's quota, and its demand, as vectors.

    ``wanted`` is what the team's tasks hold or wait for.  ``step`` is the largest size
    of a waiting task in each resource; ``since`` is the time, in seconds since the Unix
    epoch, at which the oldest of them was submitted, 0 if no task waits.
    """

    part: tuple[int, int, int] = ZERO
    wanted: tuple[int, int, int] = ZERO
    step: tuple[int, int, int] = ZERO
    since: float = 0.0

    @property
    def lacking(self):
        """Whether the domain wants more than its part."""
        return any(w > p for w, p in zip(self.wanted, self.part, strict=True))


class TeamUsage:
    """What a team's tasks in one domain hold and wait for, see `Need`."""

    __slots__ = ("held", "waiting", "step", "since")

    def __init__(self):
        self.held = ZERO
        self.waiting = ZERO
        self.step = ZERO
        self.since = 0.0

    def add(self, job, leaving):
        """Add the tasks of ``job``; waiting ones do not count if ``leaving``."""
        holding = sum(task.phase in HOLDING_PHASES for task in job.tasks.values())
        count = 0 if leaving else planner.waiting_count(job)
        if not holding and not count:
            return
        size = quota.resource_vector(job.spec.size)
        if holding:
            self.held = add_vectors(self.held, scale_vector(size, holding))
        if count:
            self.waiting = add_vectors(self.waiting, scale_vector(size, count))
            self.step = tuple(map(max, self.step, size))
            at = job.spec.submitted_at
            self.since = min(self.since or at, at)


def team_usage(state, teams, leaving=False):
    """Return {team: `TeamUsage`} of ``teams`` from the state of a shard.

    With ``leaving``, waiting tasks do not count, since they will run elsewhere.
    """
    found = {team: TeamUsage() for team in teams}
    for job in state.jobs.values():
        if job.spec.team in found and not job.cancelled:
            found[job.spec.team].add(job, leaving or state.out)
        elif job.spec.team in found:
            found[job.spec.team].add(job, True)
    return found


def add_vectors(one, other):
    """Return the sum of two vectors."""
    return one[0] + other[0], one[1] + other[1], one[2] + other[2]


def scale_vector(vector, count):
    """Return ``count`` times ``vector``."""
    return vector[0] * count, vector[1] * count, vector[2] * count


def fits_within(vector, total):
    """Return whether ``vector`` is within a quota; ``None`` means no limit."""
    return all(t is None or a <= t for a, t in zip(vector, total, strict=True))


class QuotaSplit:
    """Splits a quota over domains in steps of whole tasks, so that large ones can run.

    The next step goes to the domain with the smallest dominant share (dominant resource
    fairness), and among equals to the one that has waited the longest.
    """

    def __init__(self, total, needs):
        self.total = total
        self.needs = needs
        self.allotted = dict.fromkeys(needs, ZERO)

    def run(self):
        """Return {domain: vector}."""
        min_step = tuple((maximum or 0) // MAX_SPLIT_STEPS for maximum in self.total)
        open_domains = set(self.needs)
        while open_domains:
            domain = min(open_domains, key=self.sort_key)
            need, allotted = self.needs[domain], self.allotted[domain]
            step = tuple(map(max, need.step, min_step))
            increased = tuple(map(min, need.wanted, add_vectors(allotted, step)))
            if increased == allotted or not self.fits(domain, increased):
                open_domains.discard(domain)
            else:
                self.allotted[domain] = increased
        self.distribute_rest()
        return self.allotted

    def sort_key(self, domain):
        """Return the sort key of a domain: dominant share, then waiting time."""
        shares = [
            allotted / maximum
            for allotted, maximum in zip(self.allotted[domain], self.total, strict=True)
            if maximum
        ]
        return max(shares, default=0.0), self.needs[domain].since, domain

    def fits(self, domain, vector):
        """Return whether the quota allows ``domain`` to get ``vector``."""
        for name, allotted in self.allotted.items():
            if name != domain:
                vector = add_vectors(vector, allotted)
        return fits_within(vector, self.total)

    def distribute_rest(self):
        """Distribute what is left, even if it is too small for another step."""
        for domain in sorted(self.needs, key=self.sort_key):
            free = remaining(self.total, self.allotted.values())
            wanted = self.needs[domain].wanted
            self.allotted[domain] = tuple(
                max(g, min(w, g + f))
                for g, w, f in zip(self.allotted[domain], wanted, free, strict=True)
            )


def remaining(total, parts):
    """Return what ``parts`` leave of a quota, 0 for resources without a limit."""
    left = [maximum or 0 for maximum in total]
    for part in parts:
        left = [a - b for a, b in zip(left, part, strict=True)]
    return tuple(max(0, amount) for amount in left)


def next_need(domain, total, needs, usage):
    """Return the next `Need` of ``domain``, and the limit of what it should hold.

    ``needs`` are {domain: `Need`}.  A part larger than the fair one is kept while no
    other domain needs more.  Otherwise tasks that end are not replaced beyond the fair
    part, and the part shrinks to what is still held.
    """
    old = needs.get(domain, Need())
    held = clip(usage.held, total, allow_excess=True)
    wanted = clip(add_vectors(usage.held, usage.waiting), total)
    step = clip(usage.step, total)
    new = Need(old.part, wanted, step, usage.since)
    needs = {**needs, domain: new}
    contended = others_lacking(domain, needs)
    if contended:
        target = QuotaSplit(total, needs).run()[domain]
    elif new.lacking:
        target = clip(scale_vector(wanted, SPARE_FACTOR), total)
    else:
        target = old.part
    free = remaining(total, [need.part for need in needs.values()])
    part = tuple(
        max(h, adjust_amount(p, t, more, contended))
        for h, p, t, more in zip(held, old.part, target, free, strict=True)
    )
    return Need(part, wanted, step, usage.since), target if contended else part


def others_lacking(domain, needs):
    """Return whether any other domain wants more than its part."""
    return any(need.lacking for name, need in needs.items() if name != domain)


def clip(vector, total, allow_excess=False):
    """Return ``vector`` clipped to a quota, 0 for resources without a limit.

    With ``allow_excess``, amounts may exceed the quota.
    """
    return tuple(
        0 if maximum is None else amount if allow_excess else min(amount, maximum)
        for amount, maximum in zip(vector, total, strict=True)
    )


def adjust_amount(part, target, free, contended):
    """Return the new amount of a part.

    It is raised by at most ``free``, and lowered only if ``contended``.
    """
    if target > part:
        return min(target, part + free)
    return target if contended else part


def should_publish(domain, needs, new):
    """Return whether the ``new`` need of ``domain`` should be stored for the others."""
    old = needs.get(domain, Need())
    if new.part != old.part:
        return True
    changed = (new.wanted, new.step) != (old.wanted, old.step)
    return changed and (new.lacking or others_lacking(domain, needs))


def limit(total, part):
    """Return what a domain with ``part`` may hold; ``None`` means no limit."""
    return tuple(
        None if maximum is None else amount
        for maximum, amount in zip(total, part, strict=True)
    )
