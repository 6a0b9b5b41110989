"""Which endpoints are passed over because they fail, and when they are tried again.

An endpoint is ejected when it fails far more than the others do.  A fault that all
have makes none an outlier, and at most a share of them is ejected at once.
"""

#: Weight that counts keep each second; old attempts fade.
FADE_PER_SECOND = 0.8
#: Attempts, after fading, before an endpoint is judged.
LEAST_ATTEMPTS = 5.0
#: Share of failures at which an endpoint is an outlier.
FAILING_SHARE = 0.5
#: The others' share of failures must be under this part of the endpoint's.
OTHERS_PART = 0.5
#: First ejection and the longest, in seconds; each one doubles.
FIRST_SECONDS = 4.0
LONGEST_SECONDS = 60.0
#: Successful probes that end a probation.
PROBES = 3


class Health:
    """Counts of one endpoint, faded up to ``counted_at``.

    While ``probing`` it takes one request at a time.  ``worked_at`` and ``failed_at``
    are the times of the last success and the last failure.
    """

    __slots__ = (
        "attempts",
        "failures",
        "counted_at",
        "worked_at",
        "failed_at",
        "ejected_until",
        "ejections",
        "probing",
    )

    def __init__(self, now):
        self.attempts = 0.0
        self.failures = 0.0
        self.counted_at = now
        self.worked_at = 0.0
        self.failed_at = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = 0

    def fade(self, now):
        """Fade the counts up to ``now``."""
        factor = FADE_PER_SECOND ** max(0.0, now - self.counted_at)
        self.attempts *= factor
        self.failures *= factor
        self.counted_at = now

    @property
    def share(self):
        """Share of attempts that failed."""
        return self.failures / self.attempts if self.attempts else 0.0


class Ejector:
    """Judges endpoints.

    At most ``most_percent`` of them are ejected at once, at least one unless it is 0.
    """

    def __init__(self, most_percent=25):
        self.most_percent = most_percent
        self.known = {}
        self.ejected_or_probing = set()

    @property
    def most(self):
        """How many endpoints may be ejected at once."""
        if not self.most_percent:
            return 0
        return max(1, len(self.known) * self.most_percent // 100)

    def health(self, endpoint, now):
        """Return the `Health` of ``endpoint``."""
        found = self.known.get(endpoint)
        if found is None:
            found = self.known[endpoint] = Health(now)
        return found

    def observe(self, endpoint, ok, now):
        """Count an attempt; return whether it got the endpoint ejected."""
        health = self.health(endpoint, now)
        if health.ejected_until > now:
            return False
        health.fade(now)
        health.attempts += 1.0
        health.failures += not ok
        if health.probing:
            return self.note_probe(endpoint, ok, now)
        before = health.failed_at
        if ok:
            health.worked_at = now
        else:
            health.failed_at = now
        if not self.is_outlier(health, before, now):
            return False
        self.eject(endpoint, now)
        return True

    def is_outlier(self, health, since, now):
        """Return whether an endpoint, and not all, fails and may be ejected.

        Another one must have worked ``since`` the failure before; when all hang, the
        first whose requests time out would be judged by successes from before.
        """
        return (
            health.attempts >= LEAST_ATTEMPTS
            and health.share >= FAILING_SHARE
            and len(self.ejected_or_probing) < self.most
            and any(h.worked_at > since for h in self.known.values() if h is not health)
            and self.others_work(health, now)
        )

    def note_probe(self, endpoint, ok, now):
        """Count an attempt at an endpoint on probation."""
        health = self.known[endpoint]
        if not ok:
            if not self.others_work(health, now):
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
        """Eject an endpoint for longer than the last time."""
        health = self.known[endpoint]
        seconds = min(LONGEST_SECONDS, FIRST_SECONDS * 2**health.ejections)
        health.ejected_until = now + seconds
        health.ejections += 1
        health.probing = PROBES
        self.ejected_or_probing.add(endpoint)

    def others_work(self, health, now):
        """Return whether the other endpoints fail far less than this one."""
        attempts = failures = 0.0
        for other in self.known.values():
            if other is not health and not other.probing:
                other.fade(now)
                attempts += other.attempts
                failures += other.failures
        return attempts > 0.0 and failures / attempts < OTHERS_PART * health.share

    def limit(self, endpoint, now, limit):
        """Return how many of ``limit`` requests in flight ``endpoint`` may have."""
        health = self.known.get(endpoint)
        if health is None or not health.probing:
            return limit
        return 0 if health.ejected_until > now else 1

    def keep(self, endpoints):
        """Forget all but ``endpoints``."""
        for endpoint in set(self.known) - set(endpoints):
            del self.known[endpoint]
            self.ejected_or_probing.discard(endpoint)
