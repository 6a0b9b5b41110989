"""What is done about interference: throttle, then checkpoint and move, then evict.

Usage is reported with a lag.  The model answers to a new mix at once; what reports show
beyond the model counts only once they can show the effect of the last action.  Limits
for acting and for relaxing lie apart, so the decisions do not swing.
"""

import math
from collections import Counter

from clementinebay.policy import eviction
from clementinebay.policy.placement import Room
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Slowdown of a service above which something is done.
ACT_ABOVE = 1.25
#: Slowdown that an action aims at, and below which throttles are relaxed.
AIM = 1.18
RELAX_BELOW = 1.12
#: Least share of its processors that a throttled task keeps.
MIN_SHARE = 0.3
#: Least change of a share that is ordered.
SHARE_STEP = 0.1
#: Time after an action, beyond the lag, from which reports show its effect, in seconds.
SETTLE_SECONDS = 1.0
#: Reports needed before they count beside the model, and the excess that is noise.
MIN_REPORTS = 3
NOISE = 0.15
#: Part by which smoothed slowdowns follow a report.
SMOOTHING = 0.4
#: Slowdown below which a task had better run beside services, so that endpoints
#: without any stay free for kinds that do harm.
HARMLESS = 0.05
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


class SlowdownTracker:
    """What was measured on one endpoint since reports can show the last action."""

    __slots__ = ("excess", "reports", "settled_at")

    def __init__(self):
        self.excess = 0.0
        self.reports = 0
        self.settled_at = 0.0

    def follow(self, excess, now):
        """Smooth by how much a measured slowdown is above the expected one."""
        if now < self.settled_at:
            return
        self.reports += 1
        self.excess += max(SMOOTHING, 1 / self.reports) * (excess - self.excess)

    def beyond_model(self):
        """Return the measured excess that is no noise."""
        return max(0.0, self.excess - NOISE) if self.reports >= MIN_REPORTS else 0.0

    def acted(self, now, lag):
        """Forget what was measured; it tells of the time before an action."""
        self.excess, self.reports = 0.0, 0
        self.settled_at = now + lag + SETTLE_SECONDS


class Mix:
    """What runs on one endpoint: kinds of services, and batch tasks with cores.

    ``throttled`` tells whether any of the tasks is.
    """

    __slots__ = ("services", "tasks", "cores", "throttled")

    def __init__(self):
        self.services = set()
        self.tasks = []
        self.cores = Counter()
        self.throttled = False


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
        cores, share = usage.cores(key, job.spec.size), usage.share(key)
        found.cores[job.spec.kind] += cores * share
        if task.phase == Phase.RUNNING:
            found.tasks.append((job, task, cores))
            found.throttled |= share < 1.0
    return found


class Mixes:
    """The `Mix` of each endpoint, made again only when it changed."""

    def __init__(self):
        self.made = {}
        self.seen = {}

    def get(self, state, endpoint, usage):
        """Return the `Mix` of ``endpoint``."""
        name = endpoint.seen.id
        seen = (state.index, usage.versions[name])
        known = self.made.get(name)
        if known is None or self.seen.get(name) != seen:
            key = (frozenset(endpoint.held), usage.versions[name])
            if known is None or known[0] != key:
                known = self.made[name] = (key, mix(state, endpoint, usage))
            self.seen[name] = seen
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
    their `SlowdownTracker` and is updated.
    """
    decision = Decision()
    for name, endpoint in state.endpoints.items():
        found = mixes.get(state, endpoint, usage)
        if not endpoint.usable or not found.services or not found.tasks:
            continue
        standing = standings.setdefault(name, SlowdownTracker())
        before = len(decision.throttles) + len(decision.records)
        Treatment(state, endpoint, found, model, usage, standing).treat(decision)
        if len(decision.throttles) + len(decision.records) > before:
            standing.acted(now, lag)
    return decision


class Treatment:
    """What one endpoint needs, for the service that suffers most."""

    def __init__(self, state, endpoint, found, model, usage, standing):
        self.state = state
        self.endpoint = endpoint
        self.found = found
        self.model = model
        self.usage = usage
        self.kind, self.expected = expected(model, found)
        self.beyond = standing.beyond_model()

    def treat(self, decision):
        """Add throttles and releases to ``decision``."""
        worst = self.expected + self.beyond
        if worst > ACT_ABOVE or (self.found.throttled and worst < RELAX_BELOW):
            self.set_shares(decision)

    def share(self, job, task):
        """Return the share that a task keeps now."""
        return self.usage.share((job.spec.id, task.index, task.attempt))

    def set_shares(self, decision):
        """Give the least harmful tasks their full share as far as the aim allows.

        Where the least shares of all are too much, the most harmful are sent away.
        """
        tasks = sorted(self.found.tasks, key=self.harm)
        budget = AIM - 1.0 - self.beyond
        budget -= sum(MIN_SHARE * self.harm(item) for item in tasks)
        if budget < 0.0:
            self.send_away(tasks[::-1][:MOVES_PER_ENDPOINT], decision)
        for item in tasks:
            harm = self.harm(item)
            more = (1.0 - MIN_SHARE) * harm
            part = 1.0 if more <= 0.0 else min(1.0, max(0.0, budget) / more)
            budget -= part * more
            self.set_share(item, MIN_SHARE + (1.0 - MIN_SHARE) * part, decision)

    def harm(self, item):
        """Return the slowdown that a task causes at its full share."""
        job, _task, cores = item
        return self.model.weight(self.kind, job.spec.kind) * cores

    def set_share(self, item, share, decision):
        """Throttle a task, or relax its throttle, if that is a change."""
        job, task, _cores = item
        before = self.share(job, task)
        if abs(share - before) >= SHARE_STEP or before < share == 1.0:
            key = (job.spec.id, task.index, task.attempt)
            name = self.endpoint.seen.id
            decision.throttles.append(Throttle(*key, name, share))

    def send_away(self, tasks, decision):
        """Release tasks that are throttled as far as they can be."""
        for job, task, _cores in tasks:
            if self.share(job, task) > MIN_SHARE + SHARE_STEP:
                continue
            room = elsewhere(self.state, self.endpoint, job)
            victim = eviction.Victim(job, task, 0.0)
            decision.records.append(eviction.release(victim, MOVE if room else EVICT))


def elsewhere(state, endpoint, job):
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


class Pressure:
    """Slowdown of services that one more task would cause, during one decision."""

    def __init__(self, state, model, mixes, usage):
        self.state = state
        self.model = model
        self.mixes = mixes
        self.usage = usage
        self.cores = {}
        self.slowdowns = {}

    def look(self, name):
        """Return {service's kind: slowdown} on an endpoint as now decided."""
        found = self.slowdowns.get(name)
        if found is None:
            endpoint = self.state.endpoints[name]
            mix = self.mixes.get(self.state, endpoint, self.usage)
            found = self.note(name, mix.services, mix.cores)
        return found

    def note(self, name, services, cores):
        """Keep what runs on an endpoint; return its services' slowdowns."""
        self.cores[name] = cores
        found = {kind: self.model.slowdown(kind, cores) for kind in services}
        self.slowdowns[name] = found
        return found

    def slowdown(self, job, room):
        """Return the slowdown that a task of ``job`` adds in ``room``.

        It is infinite where that were too much.  Where no
        service runs, the room is dear to harmless work.
        """
        spec = job.spec
        slowdowns = self.look(room.id)
        if spec.workload == wire.Workload.SERVICE:
            return self.model.slowdown(spec.kind, self.cores[room.id]) - 1.0
        own = spec.size.processors_milli / 1000.0
        if not slowdowns:
            return max(0.0, HARMLESS - self.model.harm(spec.kind) * own)
        worst = 0.0
        for kind, slowdown in slowdowns.items():
            more = self.model.weight(kind, spec.kind) * own
            if slowdown + more > AIM and more > 0.0:
                return math.inf
            worst = max(worst, more)
        return worst

    def took(self, job, room):
        """Count a task that was bound in ``room``."""
        services = set(self.look(room.id))
        cores = Counter(self.cores[room.id])
        if job.spec.workload == wire.Workload.SERVICE:
            services.add(job.spec.kind)
        else:
            cores[job.spec.kind] += job.spec.size.processors_milli / 1000.0
        self.note(room.id, services, cores)
