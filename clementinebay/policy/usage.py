"""What endpoints reported of attempts, and what ran beside a service at that time."""

import math
from collections import Counter, deque

#: Shares of a throttled attempt that this process did not throttle.
ASSUMED_SHARE = 0.3
#: Changes of one endpoint that are remembered.
HISTORY = 50


class Usage:
    """Measured use, checkpoints and throttles by (job, index, attempt).

    ``versions`` counts the changes of each endpoint; ``saved_at`` holds the time of the
    newest checkpoint that was reported.
    """

    def __init__(self):
        self.used = {}
        self.shares = {}
        self.saved_at = {}
        self.checkpoints = {}
        self.versions = Counter()

    def cores(self, key, size):
        """Return the cores of an attempt at its full share."""
        return self.used.get(key, size.processors_milli) / 1000.0

    def share(self, key):
        """Return the share of its processors that an attempt keeps."""
        return self.shares.get(key, 1.0)

    def throttled(self, endpoint, key, share):
        """Note that an attempt was limited to ``share``."""
        self.shares[key] = share
        self.versions[endpoint] += 1

    def report(self, endpoint, report, now):
        """Take in a `TaskReport` of a running attempt."""
        key = (report.job, report.index, report.attempt)
        if report.throttled and key not in self.shares:
            self.throttled(endpoint, key, ASSUMED_SHARE)
        if report.processors_milli and report.throttled == (self.share(key) < 1.0):
            full = report.processors_milli / self.share(key)
            if self.used.get(key) != full:
                self.used[key] = full
                self.versions[endpoint] += 1
        if report.checkpoint and self.checkpoints.get(key) != report.checkpoint:
            self.checkpoints[key] = report.checkpoint
            self.saved_at[key] = now

    def forget(self, state):
        """Drop attempts that hold nothing any more."""
        held = {
            (name, index, state.jobs[name].tasks[index].attempt)
            for endpoint in state.endpoints.values()
            for name, index in endpoint.held
        }
        for table in (self.used, self.shares, self.saved_at, self.checkpoints):
            for key in [key for key in table if key not in held]:
                del table[key]


class History:
    """The cores by kind on each endpoint over the last changes."""

    def __init__(self):
        self.changes = {}

    def record_cores(self, endpoint, cores, now):
        """Note what runs on ``endpoint`` if it changed."""
        changes = self.changes.setdefault(endpoint, deque(maxlen=HISTORY))
        if not changes or changes[-1][1] != cores:
            changes.append((now, dict(cores)))

    def mean(self, endpoint, since, until):
        """Return the mean cores by kind from ``since`` to ``until``.

        ``None`` if it is not known what ran at the beginning.
        """
        changes = self.changes.get(endpoint, ())
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
