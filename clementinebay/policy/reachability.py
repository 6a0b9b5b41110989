"""Which endpoints have stopped answering, though the live list still shows them."""


class Reachability:
    """Remembers since when each endpoint has not answered; pure.

    An endpoint is silent when its calls have failed for ``silence`` seconds with no
    answer between.  If more than half of the endpoints that were called are silent, the
    fault is more likely on this side, so none is reported and ``isolated`` is true.
    """

    __slots__ = ("silence", "failing_since")

    def __init__(self, silence):
        self.silence = silence
        self.failing_since = {}

    def answered(self, endpoint):
        """Note an answer of ``endpoint``."""
        self.failing_since[endpoint] = None

    def failed(self, endpoint, now):
        """Note a call of ``endpoint`` that failed at ``now``."""
        if self.failing_since.get(endpoint) is None:
            self.failing_since[endpoint] = now

    def keep_only(self, endpoints):
        """Forget endpoints that are not in ``endpoints``."""
        for endpoint in [e for e in self.failing_since if e not in endpoints]:
            del self.failing_since[endpoint]

    def unanswering(self, now):
        """Return the endpoints that have failed for long enough."""
        return {
            endpoint
            for endpoint, since in self.failing_since.items()
            if since is not None and now - since >= self.silence
        }

    def isolated(self, now):
        """Return whether most endpoints are silent."""
        return 2 * len(self.unanswering(now)) > len(self.failing_since)

    def silent(self, now):
        """Return the endpoints to give up, none if this side looks isolated."""
        return set() if self.isolated(now) else self.unanswering(now)
