"""Limits interference: batch tasks are throttled, then moved, then evicted.

Usage is reported with a lag.  The model predicts the slowdown of a new mix at once.
Slowdown that reports show beyond the prediction counts only once the reports can
include the effect of the last action.  The thresholds for throttling and for relaxing
differ, so that decisions do not oscillate.
"""

import math
from collections import Counter

from clementinebay.policy import eviction
from clementinebay.policy.placement import FreeCapacity
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: Slowdown of a service above which its neighbours are throttled.
ACTION_SLOWDOWN = 1.25
#: Slowdown that throttling aims at, and below which throttles are relaxed.
TARGET_SLOWDOWN = 1.18
RELAX_SLOWDOWN = 1.12
#: Share of its processors that a throttled task keeps at least.
MIN_SHARE = 0.3
#: Smaller changes of a share are not ordered.
MIN_SHARE_CHANGE = 0.1
#: Time after an action, in addition to the lag, until reports show its effect.
SETTLE_SECONDS = 1.0
#: Reports needed before they correct the model, and the excess that counts as noise.
MIN_REPORTS = 3
NOISE_SLOWDOWN = 0.15
#: Weight of a new report in the moving average.
SMOOTHING_FACTOR = 0.4
#: Tasks that slow services by less than this are placed beside services, so that
#: endpoints without services stay free for harmful kinds.
HARMLESS_SLOWDOWN = 0.05
#: Limit of tasks that one decision releases from one endpoint.
MAX_RELEASES_PER_ENDPOINT = 2

MOVE = "interference-move"
EVICT = "interference"


class Throttle:
    """An order to limit an attempt to ``share`` of its processors."""

    __slots__ = ("job", "index", "attempt", "endpoint", "share")

    def __init__(self, job, index, attempt, endpoint, share):
        self.job = job
        self.index = index
        self.attempt = attempt
        self.endpoint = endpoint
        self.share = share


class SlowdownTracker:
    """Moving average of the slowdown on one endpoint beyond the model's prediction.

    Reports count from ``settled_at``, when they can show the effect of the last action.
    """

    __slots__ = ("excess", "reports", "settled_at")

    def __init__(self):
        self.excess = 0.0
        self.reports = 0
        self.settled_at = 0.0

    def follow(self, excess, now):
        """Add the difference between a measured and the predicted slowdown."""
        if now < self.settled_at:
            return
        self.reports += 1
        self.excess += max(SMOOTHING_FACTOR, 1 / self.reports) * (excess - self.excess)

    def unexpected_slowdown(self):
        """Return the average excess without the noise, 0 after too few reports."""
        return (
            max(0.0, self.excess - NOISE_SLOWDOWN)
            if self.reports >= MIN_REPORTS
            else 0.0
        )

    def reset_after_action(self, now, lag):
        """Discard the reports from before an action at ``now``."""
        self.excess, self.reports = 0.0, 0
        self.settled_at = now + lag + SETTLE_SECONDS


class Mix:
    """The services and batch tasks on one endpoint.

    ``services`` are kinds; ``tasks`` are (job, task, cores) of the batch tasks that
    run, ``cores`` the total by kind.  ``throttled`` says whether any task is throttled.
    """

    __slots__ = ("services", "tasks", "cores", "throttled")

    def __init__(self):
        self.services = set()
        self.tasks = []
        self.cores = Counter()
        self.throttled = False


def mix(state, endpoint, usage):
    """Return the `Mix` of an `EndpointState`, from measured `Usage` where available."""
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


class MixCache:
    """Cache of the `Mix` of each endpoint, computed again only after a change."""

    def __init__(self):
        self.cached = {}
        self.versions = {}

    def get(self, state, endpoint, usage):
        """Return the `Mix` of ``endpoint``."""
        name = endpoint.seen.id
        version = (state.index, usage.versions[name])
        entry = self.cached.get(name)
        if entry is None or self.versions.get(name) != version:
            key = (frozenset(endpoint.held), usage.versions[name])
            if entry is None or entry[0] != key:
                entry = self.cached[name] = (key, mix(state, endpoint, usage))
            self.versions[name] = version
        return entry[1]


def expected(model, mix):
    """Return (kind, expected slowdown) of the most slowed service, or ``None``."""
    found = [(model.slowdown(kind, mix.cores), kind) for kind in mix.services]
    return max(found)[::-1] if found else None


class Decision:
    """Throttles to order and records to write to the log."""

    __slots__ = ("throttles", "records")

    def __init__(self):
        self.throttles = []
        self.records = []


def decide(state, model, mixes, usage, trackers, now, lag):
    """Return the `Decision` for all endpoints that run services and batch tasks.

    ``lag`` is the age of measured usage in seconds.  ``trackers`` maps endpoints to
    their `SlowdownTracker` and is updated.
    """
    decision = Decision()
    for name, endpoint in state.endpoints.items():
        found = mixes.get(state, endpoint, usage)
        if not endpoint.usable or not found.services or not found.tasks:
            continue
        tracker = trackers.setdefault(name, SlowdownTracker())
        before = len(decision.throttles) + len(decision.records)
        Mitigation(state, endpoint, found, model, usage, tracker).plan(decision)
        if len(decision.throttles) + len(decision.records) > before:
            tracker.reset_after_action(now, lag)
    return decision


class Mitigation:
    """Plans throttles and releases on one endpoint, for the most slowed service."""

    def __init__(self, state, endpoint, mix, model, usage, tracker):
        self.state = state
        self.endpoint = endpoint
        self.mix = mix
        self.model = model
        self.usage = usage
        self.kind, self.expected = expected(model, mix)
        self.unexpected = tracker.unexpected_slowdown()

    def plan(self, decision):
        """Add throttles and releases to ``decision``."""
        worst = self.expected + self.unexpected
        if worst > ACTION_SLOWDOWN or (self.mix.throttled and worst < RELAX_SLOWDOWN):
            self.assign_shares(decision)

    def share(self, job, task):
        """Return the share of its processors that a task has now."""
        return self.usage.share((job.spec.id, task.index, task.attempt))

    def assign_shares(self, decision):
        """Assign shares, the least harmful tasks first, up to the target slowdown.

        If even the minimum shares of all tasks exceed it, the most harmful tasks are
        released.
        """
        tasks = sorted(self.mix.tasks, key=self.harm)
        budget = TARGET_SLOWDOWN - 1.0 - self.unexpected
        budget -= sum(MIN_SHARE * self.harm(item) for item in tasks)
        if budget < 0.0:
            self.release_tasks(tasks[::-1][:MAX_RELEASES_PER_ENDPOINT], decision)
        for item in tasks:
            harm = self.harm(item)
            added_slowdown = (1.0 - MIN_SHARE) * harm
            fraction = (
                1.0
                if added_slowdown <= 0.0
                else min(1.0, max(0.0, budget) / added_slowdown)
            )
            budget -= fraction * added_slowdown
            self.assign_share(item, MIN_SHARE + (1.0 - MIN_SHARE) * fraction, decision)

    def harm(self, item):
        """Return the slowdown that a task causes at its full share."""
        job, _task, cores = item
        return self.model.weight(self.kind, job.spec.kind) * cores

    def assign_share(self, item, share, decision):
        """Throttle a task, or relax its throttle, if the share changes enough."""
        job, task, _cores = item
        before = self.share(job, task)
        if abs(share - before) >= MIN_SHARE_CHANGE or before < share == 1.0:
            key = (job.spec.id, task.index, task.attempt)
            name = self.endpoint.seen.id
            decision.throttles.append(Throttle(*key, name, share))

    def release_tasks(self, tasks, decision):
        """Release those of ``tasks`` that cannot be throttled further."""
        for job, task, _cores in tasks:
            if self.share(job, task) > MIN_SHARE + MIN_SHARE_CHANGE:
                continue
            movable = fits_elsewhere(self.state, self.endpoint, job)
            candidate = eviction.EvictionCandidate(job, task, 0.0)
            decision.records.append(
                eviction.release(candidate, MOVE if movable else EVICT)
            )


def fits_elsewhere(state, endpoint, job):
    """Return whether a task of ``job`` fits on another endpoint without services."""
    return any(
        other.usable
        and other is not endpoint
        and FreeCapacity(other).fits(job.spec.size)
        and not any(
            state.jobs[name].spec.workload == wire.Workload.SERVICE
            for name, _index in other.held
        )
        for other in state.endpoints.values()
    )


class Pressure:
    """Predicts the slowdown of services by one more task, within one decision.

    Tasks bound by the decision are counted.
    """

    def __init__(self, state, model, mixes, usage):
        self.state = state
        self.model = model
        self.mixes = mixes
        self.usage = usage
        self.cores = {}
        self.slowdowns = {}

    def service_slowdowns(self, name):
        """Return {service kind: slowdown} on an endpoint, new bindings included."""
        found = self.slowdowns.get(name)
        if found is None:
            endpoint = self.state.endpoints[name]
            mix = self.mixes.get(self.state, endpoint, self.usage)
            found = self.set_mix(name, mix.services, mix.cores)
        return found

    def set_mix(self, name, services, cores):
        """Set what runs on an endpoint; return the slowdowns of its services."""
        self.cores[name] = cores
        found = {kind: self.model.slowdown(kind, cores) for kind in services}
        self.slowdowns[name] = found
        return found

    def slowdown(self, job, capacity):
        """Return the slowdown that a task of ``job`` adds on an endpoint.

        It is infinite if the sum would exceed the target.  On endpoints without
        services, harmless tasks get a penalty instead.
        """
        spec = job.spec
        slowdowns = self.service_slowdowns(capacity.id)
        if spec.workload == wire.Workload.SERVICE:
            return self.model.slowdown(spec.kind, self.cores[capacity.id]) - 1.0
        task_cores = spec.size.processors_milli / 1000.0
        if not slowdowns:
            return max(0.0, HARMLESS_SLOWDOWN - self.model.harm(spec.kind) * task_cores)
        worst = 0.0
        for kind, slowdown in slowdowns.items():
            added_slowdown = self.model.weight(kind, spec.kind) * task_cores
            if slowdown + added_slowdown > TARGET_SLOWDOWN and added_slowdown > 0.0:
                return math.inf
            worst = max(worst, added_slowdown)
        return worst

    def record_binding(self, job, capacity):
        """Count a task of ``job`` that was bound to an endpoint."""
        services = set(self.service_slowdowns(capacity.id))
        cores = Counter(self.cores[capacity.id])
        if job.spec.workload == wire.Workload.SERVICE:
            services.add(job.spec.kind)
        else:
            cores[job.spec.kind] += job.spec.size.processors_milli / 1000.0
        self.set_mix(capacity.id, services, cores)
