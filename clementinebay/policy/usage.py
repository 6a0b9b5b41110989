"""Measured usage of attempts, and the history of the load on each endpoint."""

import math
from collections import Counter, deque

#: Share assumed of an attempt that is throttled, but not by this process.
DEFAULT_THROTTLED_SHARE = 0.3
#: Number of changes kept for each endpoint.
MAX_CHANGES = 50


class Usage:
    """Measured usage, throttles and checkpoints by (job, index, attempt).

    ``versions`` counts the changes on each endpoint; ``saved_at`` has the time of the
    last reported checkpoint.
    """

    def __init__(self):
        self.measured_milli = {}
        self.shares = {}
        self.saved_at = {}
        self.checkpoints = {}
        self.versions = Counter()

    def cores(self, key, size):
        """Return the cores that an attempt uses without a throttle."""
        return self.measured_milli.get(key, size.processors_milli) / 1000.0

    def share(self, key):
        """Return the share of its processors to which an attempt is limited."""
        return self.shares.get(key, 1.0)

    def throttled(self, endpoint, key, share):
        """Record that an attempt was limited to ``share``."""
        self.shares[key] = share
        self.versions[endpoint] += 1

    def report(self, endpoint, report, now):
        """Record a `TaskReport` of a running attempt."""
        key = (report.job, report.index, report.attempt)
        if report.throttled and key not in self.shares:
            self.throttled(endpoint, key, DEFAULT_THROTTLED_SHARE)
        if report.processors_milli and report.throttled == (self.share(key) < 1.0):
            full = report.processors_milli / self.share(key)
            if self.measured_milli.get(key) != full:
                self.measured_milli[key] = full
                self.versions[endpoint] += 1
        if report.checkpoint and self.checkpoints.get(key) != report.checkpoint:
            self.checkpoints[key] = report.checkpoint
            self.saved_at[key] = now

    def forget(self, state):
        """Drop attempts that no longer hold resources in ``state``."""
        held = {
            (name, index, state.jobs[name].tasks[index].attempt)
            for endpoint in state.endpoints.values()
            for name, index in endpoint.held
        }
        for table in (
            self.measured_milli,
            self.shares,
            self.saved_at,
            self.checkpoints,
        ):
            for key in [key for key in table if key not in held]:
                del table[key]


class History:
    """Recent history of the cores used by each kind of task, by endpoint."""

    def __init__(self):
        self.changes_by_endpoint = {}

    def record_cores(self, endpoint, cores, now):
        """Record the ``cores`` by kind on ``endpoint`` if they changed."""
        changes = self.changes_by_endpoint.setdefault(
            endpoint, deque(maxlen=MAX_CHANGES)
        )
        if not changes or changes[-1][1] != cores:
            changes.append((now, dict(cores)))

    def mean(self, endpoint, since, until):
        """Return the mean cores by kind from ``since`` to ``until``.

        Return ``None`` if the history does not reach back to ``since``.
        """
        changes = self.changes_by_endpoint.get(endpoint, ())
        if not changes or changes[0][0] > since or until <= since:
            return None
        total = Counter()
        ends = [at for at, _cores in changes][1:] + [math.inf]
        for (at, cores), end in zip(changes, ends, strict=True):
            seconds = min(end, until) - max(at, since)
            if seconds > 0:
                for kind, number in cores.items():
                    total[kind] += number * seconds / (until - since)
        return total
