"""Outlier ejection: endpoints that fail requests are excluded from routing for a time.

An endpoint is ejected if it fails far more often than the others.  A fault of all
endpoints makes none an outlier, and only a limited share is ejected at the same time.
"""

#: Factor by which counts decay each second.
DECAY_PER_SECOND = 0.8
#: Attempts, after decay, that are needed to detect an outlier.
MIN_ATTEMPTS = 5.0
#: Failure rate from which an endpoint can be an outlier.
OUTLIER_FAILURE_RATE = 0.5
#: The failure rate of the others must be below this fraction of the endpoint's rate.
MAX_OTHERS_RATIO = 0.5
#: Duration of the first ejection, doubled with each further one, and its limit.
EJECTION_SECONDS = 4.0
MAX_EJECTION_SECONDS = 60.0
#: Number of successful probes after an ejection that readmit an endpoint.
PROBES_TO_RECOVER = 3


class Health:
    """Attempts and failures of one endpoint, decayed up to ``decayed_at``.

    While ``probing``, the number of probes still needed, is not 0, the endpoint gets
    one request at a time.  ``succeeded_at`` and ``failed_at`` are the times of the last
    success and failure.
    """

    __slots__ = (
        "attempts",
        "failures",
        "decayed_at",
        "succeeded_at",
        "failed_at",
        "ejected_until",
        "ejections",
        "probing",
    )

    def __init__(self, now):
        self.attempts = 0.0
        self.failures = 0.0
        self.decayed_at = now
        self.succeeded_at = 0.0
        self.failed_at = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = 0

    def decay(self, now):
        """Decay the counts up to ``now``."""
        factor = DECAY_PER_SECOND ** max(0.0, now - self.decayed_at)
        self.attempts *= factor
        self.failures *= factor
        self.decayed_at = now

    @property
    def failure_rate(self):
        """The share of attempts that failed."""
        return self.failures / self.attempts if self.attempts else 0.0


class Ejector:
    """Ejects endpoints that are outliers, and readmits them after successful probes.

    At most ``max_percent`` of the endpoints are ejected at the same time, but always
    one unless ``max_percent`` is 0.
    """

    def __init__(self, max_percent=25):
        self.max_percent = max_percent
        self.known = {}
        self.ejected_or_probing = set()

    @property
    def max_ejected(self):
        """The number of endpoints that may be ejected at the same time."""
        if not self.max_percent:
            return 0
        return max(1, len(self.known) * self.max_percent // 100)

    def health(self, endpoint, now):
        """Return the `Health` of ``endpoint``."""
        found = self.known.get(endpoint)
        if found is None:
            found = self.known[endpoint] = Health(now)
        return found

    def observe(self, endpoint, ok, now):
        """Record an attempt; return whether the endpoint is ejected for it."""
        health = self.health(endpoint, now)
        if health.ejected_until > now:
            return False
        health.decay(now)
        health.attempts += 1.0
        health.failures += not ok
        if health.probing:
            return self.observe_probe(endpoint, ok, now)
        before = health.failed_at
        if ok:
            health.succeeded_at = now
        else:
            health.failed_at = now
        if not self.is_outlier(health, before, now):
            return False
        self.eject(endpoint, now)
        return True

    def is_outlier(self, health, since, now):
        """Return whether an endpoint, unlike the others, fails and may be ejected.

        Another endpoint must have succeeded ``since`` the previous failure.  Otherwise,
        if all hang, the first one whose requests time out would be compared with
        successes from before.
        """
        return (
            health.attempts >= MIN_ATTEMPTS
            and health.failure_rate >= OUTLIER_FAILURE_RATE
            and len(self.ejected_or_probing) < self.max_ejected
            and any(
                h.succeeded_at > since for h in self.known.values() if h is not health
            )
            and self.others_succeed(health, now)
        )

    def observe_probe(self, endpoint, ok, now):
        """Record a probe; return whether the endpoint is ejected again for it."""
        health = self.known[endpoint]
        if not ok:
            if not self.others_succeed(health, now):
                health.ejections = 0
            self.eject(endpoint, now)
            return True
        health.probing -= 1
        if not health.probing:
            health.ejections = 0
            health.attempts = health.failures = 0.0
            self.ejected_or_probing.discard(endpoint)
        return False

    def eject(self, endpoint, now):
        """Eject an endpoint; the duration doubles each time, up to a limit."""
        health = self.known[endpoint]
        seconds = min(MAX_EJECTION_SECONDS, EJECTION_SECONDS * 2**health.ejections)
        health.ejected_until = now + seconds
        health.ejections += 1
        health.probing = PROBES_TO_RECOVER
        self.ejected_or_probing.add(endpoint)

    def others_succeed(self, health, now):
        """Return whether the other endpoints fail far less than this one."""
        attempts = failures = 0.0
        for other in self.known.values():
            if other is not health and not other.probing:
                other.decay(now)
                attempts += other.attempts
                failures += other.failures
        return (
            attempts > 0.0
            and failures / attempts < MAX_OTHERS_RATIO * health.failure_rate
        )

    def limit(self, endpoint, now, limit):
        """Return the limit of requests in flight to ``endpoint``.

        It is ``limit``, 0 for an ejected endpoint and 1 for one that is being probed.
        """
        health = self.known.get(endpoint)
        if health is None or not health.probing:
            return limit
        return 0 if health.ejected_until > now else 1

    def keep(self, endpoints):
        """Drop all endpoints except ``endpoints``."""
        for endpoint in set(self.known) - set(endpoints):
            del self.known[endpoint]
            self.ejected_or_probing.discard(endpoint)
