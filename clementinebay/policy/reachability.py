"""Which endpoints have stopped answering, though the live list still shows them."""


class Reachability:
    """Remembers since when each endpoint has not answered; pure.

    An endpoint is silent when its calls have failed for ``silence`` seconds with no
    answer between.
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

    def answers(self, endpoint):
        """Return whether the last call of ``endpoint`` was answered."""
        return self.failing_since.get(endpoint, 0.0) is None

    def any_failing(self):
        """Return whether the last call of any endpoint failed."""
        return any(since is not None for since in self.failing_since.values())

    def silent(self, now, total):
        """Return the silent ones of ``total`` endpoints.

        None is given up while more than half are silent: the fault is then more likely
        on this side.
        """
        found = {
            endpoint
            for endpoint, since in self.failing_since.items()
            if since is not None and now - since >= self.silence
        }
        return found if 2 * len(found) <= total else set()

    def trusted(self, state, vms, now):
        """Return those of the listed ``vms`` that take part in the shard ``state``.

        A lost endpoint takes part again only after it has answered.
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
