"""What is done about interference: throttle, then checkpoint and move, then evict.

Usage is reported with a lag.  After an action an endpoint is left alone until reports
can show its effect, and limits for acting and for relaxing lie apart, so the decisions
do not swing.
"""

import math
from collections import Counter

from clementinebay.policy import eviction
from clementinebay.policy.placement import Room
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Slowdown of a service above which something is done.
ACT_ABOVE = 1.2
#: Slowdown that an action aims at, and below which throttles are relaxed.
AIM = 1.12
RELAX_BELOW = 1.08
#: Least share of its processors that a throttled task keeps.
MIN_SHARE = 0.3
#: Largest step by which a share grows.
RELAX_STEP = 0.2
#: Time for which the endpoint is left alone after an action, beyond the lag, in
#: seconds.
SETTLE_SECONDS = 2.0
#: Part by which smoothed slowdowns follow a report.
SMOOTHING = 0.4
#: Most tasks that one decision sends away from one endpoint.
MOVES_PER_ENDPOINT = 2

MOVE = "interference-move"
EVICT = "interference"


class Throttle:
    """Limits an attempt to ``share`` of its processors."""

    __slots__ = ("job", "index", "attempt", "endpoint", "share")

    def __init__(self, job, index, attempt, endpoint, share):
        self.job = job
        self.index = index
        self.attempt = attempt
        self.endpoint = endpoint
        self.share = share


class Standing:
    """What is remembered of one endpoint between decisions."""

    __slots__ = ("slowdowns", "quiet_until")

    def __init__(self):
        self.slowdowns = {}
        self.quiet_until = 0.0

    def follow(self, kind, slowdown):
        """Smooth the measured slowdown of a service's kind."""
        before = self.slowdowns.get(kind, slowdown)
        self.slowdowns[kind] = before + SMOOTHING * (slowdown - before)


class Mix:
    """What runs on one endpoint: kinds of services, and batch tasks with cores."""

    __slots__ = ("services", "tasks", "cores")

    def __init__(self):
        self.services = set()
        self.tasks = []
        self.cores = Counter()


def mix(state, endpoint, usage):
    """Return the `Mix` of an `EndpointState`, by measured `Usage` where known."""
    found = Mix()
    for name, index in endpoint.held:
        job = state.jobs[name]
        task = job.tasks[index]
        if job.spec.workload == wire.Workload.SERVICE:
            found.services.add(job.spec.kind)
            continue
        key = (name, index, task.attempt)
        cores = usage.cores(key, job.spec.size)
        found.cores[job.spec.kind] += cores * usage.share(key)
        if task.phase == Phase.RUNNING:
            found.tasks.append((job, task, cores))
    return found


class Mixes:
    """The `Mix` of each endpoint, made again only when it changed."""

    def __init__(self):
        self.made = {}

    def get(self, state, endpoint, usage):
        """Return the `Mix` of ``endpoint``."""
        name = endpoint.seen.id
        key = (frozenset(endpoint.held), usage.versions[name])
        known = self.made.get(name)
        if known is None or known[0] != key:
            known = self.made[name] = (key, mix(state, endpoint, usage))
        return known[1]


def expected(model, mix):
    """Return (kind, slowdown) of the service that suffers most, or ``None``."""
    found = [(model.slowdown(kind, mix.cores), kind) for kind in mix.services]
    return max(found)[::-1] if found else None


class Decision:
    """Throttles to set and records to write."""

    __slots__ = ("throttles", "records")

    def __init__(self):
        self.throttles = []
        self.records = []


def decide(state, model, mixes, usage, standings, now, lag):
    """Return the `Decision` for all endpoints that run services and batch work.

    ``lag`` is the age of measured usage in seconds.  ``standings`` maps endpoints to
    their `Standing` and is updated.
    """
    decision = Decision()
    for name, endpoint in state.endpoints.items():
        if not endpoint.usable or not endpoint.held:
            continue
        standing = standings.setdefault(name, Standing())
        if now < standing.quiet_until:
            continue
        before = len(decision.throttles) + len(decision.records)
        found = mixes.get(state, endpoint, usage)
        if found.services and found.tasks:
            treat(state, endpoint, found, model, standing, usage, decision)
        if len(decision.throttles) + len(decision.records) > before:
            standing.quiet_until = now + lag + SETTLE_SECONDS
            standing.slowdowns.clear()
    return decision


def treat(state, endpoint, found, model, standing, usage, decision):
    """Add to ``decision`` what one endpoint needs."""
    kind, slowdown = expected(model, found)
    measured = max(standing.slowdowns.values(), default=slowdown)
    worst = max(slowdown, measured)
    if worst > ACT_ABOVE:
        reduce(state, endpoint, found, model, kind, worst, usage, decision)
    elif worst < RELAX_BELOW:
        relax(endpoint, found, model, kind, slowdown, usage, decision)


def by_harm(found, model, kind):
    """Return the tasks that slow ``kind`` down, those with the most harm first."""
    harmful = [
        (model.weight(kind, job.spec.kind), job, task, cores)
        for job, task, cores in found.tasks
    ]
    harmful.sort(key=lambda h: (-h[0] * h[3], h[1].spec.urgency, h[2].bound_at))
    return [item for item in harmful if item[0] * item[3] > 0]


def reduce(state, endpoint, found, model, kind, worst, usage, decision):
    """Throttle the most harmful tasks; where that is exhausted, send some away."""
    excess = worst - AIM
    for weight, job, task, cores in by_harm(found, model, kind):
        if excess <= 0:
            return
        key = (job.spec.id, task.index, task.attempt)
        share = usage.share(key)
        wanted = max(MIN_SHARE, share - excess / (weight * cores))
        if wanted < share:
            excess -= (share - wanted) * weight * cores
            decision.throttles.append(Throttle(*key, endpoint.seen.id, wanted))
    if excess > 0 and not decision.throttles:
        send_away(state, endpoint, found, model, kind, decision)


def send_away(state, endpoint, found, model, kind, decision):
    """Release the most harmful tasks: to be moved if there is room, else evicted."""
    for _weight, job, task, _cores in by_harm(found, model, kind)[:MOVES_PER_ENDPOINT]:
        reason = MOVE if elsewhere(state, endpoint, job, model) else EVICT
        victim = eviction.Victim(job, task, 0.0)
        decision.records.append(eviction.release(victim, reason))


def elsewhere(state, endpoint, job, model):
    """Return whether another endpoint without a service has room for ``job``."""
    return any(
        other.usable
        and other is not endpoint
        and Room(other).fits(job.spec.size)
        and not any(
            state.jobs[name].spec.workload == wire.Workload.SERVICE
            for name, _index in other.held
        )
        for other in state.endpoints.values()
    )


def relax(endpoint, found, model, kind, slowdown, usage, decision):
    """Give throttled tasks back what keeps the expected slowdown below the aim."""
    spare = AIM - slowdown
    throttled = [
        (job, task, cores, share)
        for job, task, cores in found.tasks
        if (share := usage.share((job.spec.id, task.index, task.attempt))) < 1.0
    ]
    for job, task, cores, share in throttled:
        weight = model.weight(kind, job.spec.kind)
        room = spare / (weight * cores) if weight * cores > 0 else 1.0
        wanted = min(1.0, share + min(RELAX_STEP, room))
        if wanted <= share:
            continue
        spare -= (wanted - share) * weight * cores
        key = (job.spec.id, task.index, task.attempt)
        decision.throttles.append(Throttle(*key, endpoint.seen.id, wanted))


class Pressure:
    """Slowdown of services that one more task would cause, during one decision."""

    def __init__(self, state, model, mixes, usage):
        self.state = state
        self.model = model
        self.mixes = mixes
        self.usage = usage
        self.added = {}

    def mix(self, name):
        """Return the services and cores by kind on an endpoint as now decided."""
        found = self.mixes.get(self.state, self.state.endpoints[name], self.usage)
        return self.added.get(name, (found.services, found.cores))

    def slowdown(self, job, room):
        """Return the slowdown that a task of ``job`` adds in ``room``.

        It is infinite where throttling could not keep it within bounds.
        """
        spec = job.spec
        services, cores = self.mix(room.id)
        if spec.workload == wire.Workload.SERVICE:
            return self.model.slowdown(spec.kind, cores) - 1.0
        own = spec.size.processors_milli / 1000.0
        worst = 0.0
        for kind in services:
            more = self.model.weight(kind, spec.kind) * own
            total = self.model.slowdown(kind, cores) - 1.0 + more
            if 1.0 + MIN_SHARE * total > AIM:
                return math.inf
            worst = max(worst, more)
        return worst

    def took(self, job, room):
        """Count a task that was bound in ``room``."""
        services, cores = self.mix(room.id)
        services, cores = set(services), Counter(cores)
        if job.spec.workload == wire.Workload.SERVICE:
            services.add(job.spec.kind)
        else:
            cores[job.spec.kind] += job.spec.size.processors_milli / 1000.0
        self.added[room.id] = (services, cores)
