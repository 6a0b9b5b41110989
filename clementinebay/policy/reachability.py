"""Detects endpoints that do not answer although they are on the live list."""


class Reachability:
    """Tracks since when calls to each endpoint have failed.

    An endpoint is silent once its calls have failed for ``silence_seconds`` without an
    answer in between.
    """

    __slots__ = ("silence_seconds", "failing_since")

    def __init__(self, silence_seconds):
        self.silence_seconds = silence_seconds
        self.failing_since = {}

    def answered(self, endpoint):
        """Record that a call to ``endpoint`` was answered."""
        self.failing_since[endpoint] = None

    def failed(self, endpoint, now):
        """Record that a call to ``endpoint`` failed at ``now``."""
        if self.failing_since.get(endpoint) is None:
            self.failing_since[endpoint] = now

    def keep_only(self, endpoints):
        """Drop all endpoints except ``endpoints``."""
        for endpoint in [e for e in self.failing_since if e not in endpoints]:
            del self.failing_since[endpoint]

    def answers(self, endpoint):
        """Return whether the last call to ``endpoint`` was answered."""
        return self.failing_since.get(endpoint, 0.0) is None

    def any_failing(self):
        """Return whether the last call to any endpoint failed."""
        return any(since is not None for since in self.failing_since.values())

    def silent(self, now, total):
        """Return the silent endpoints, or none if they are more than half of ``total``.

        In that case the fault is more likely on this side of the connection.
        """
        found = {
            endpoint
            for endpoint, since in self.failing_since.items()
            if since is not None and now - since >= self.silence_seconds
        }
        return found if 2 * len(found) <= total else set()

    def trusted(self, state, vms, now):
        """Return those of the listed ``vms`` that the shard ``state`` should include.

        Silent endpoints are excluded, and lost ones until they have answered.
        """
        known = state.endpoints
        self.keep_only({vm.id for vm in vms})
        silent = self.silent(now, sum(not e.lost for e in known.values()))
        return [
            vm
            for vm in vms
            if vm.id not in silent
            and (vm.id not in known or not known[vm.id].lost or self.answers(vm.id))
        ]
