"""Lanes: the requests of one service, its replicas, and who goes next."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.policy import admission, retry, routing


class Lane:
    """Gives requests of one service places at replicas, in fair order."""

    def __init__(self, router, service):
        self.router = router
        self.service = service
        self.clock = router.clock
        self.queue = admission.FairQueue(router.settings.router_queue_limit)
        self.load = routing.Load()
        self.hedges = retry.RetryBudget(0.0, burst=2.0)
        self.table = None
        self.vms = None
        self.limits = []

    def usable(self):
        """Return (replica, requests allowed in flight) of this domain's replicas."""
        table = self.router.shard.replicas(self.service)
        vms = self.router.livelist.vms
        if table is not self.table or vms is not self.vms:
            leaving = self.router.livelist.leaving
            staying = [r for r in table if r.endpoint not in leaving]
            self.limits = [(r, self.router.share(r)) for r in staying]
            self.table, self.vms = table, vms
        ejector = self.router.ejector
        if not ejector.ejected_or_probing:
            return self.limits
        now = self.clock.now()
        found = [(r, ejector.limit(r.endpoint, now, n)) for r, n in self.limits]
        return [(replica, limit) for replica, limit in found if limit]

    def choose(self, usable, excluded):
        """Return a replica with a free place that is not in ``excluded``."""
        loads = self.router.loads
        free = [
            replica
            for replica, limit in usable
            if loads[replica.endpoint].in_flight < limit
            and replica.endpoint not in excluded
        ]
        if not free:
            return None
        now = self.clock.now()
        return self.router.policy.choose(free, loads, self.router.rng, now)

    def try_place(self, usable, excluded):
        """Return a replica where a place is now held, ``None`` if one must wait."""
        choice = None if self.queue else self.choose(usable, excluded)
        if choice is not None:
            self.take(choice)
        return choice

    def wait_seconds(self, client, usable):
        """Return the expected wait of a new request of ``client``."""
        capacity = sum(limit for _replica, limit in usable)
        requests_ahead = self.queue.requests_ahead(client)
        return admission.expected_wait(requests_ahead, self.load.latency, capacity)

    async def wait(self, request, usable, excluded):
        """Wait for a place and return its replica.

        Raises `OverloadedError` or `DeadlinePassedError`, at once if the deadline
        cannot be met.
        """
        wait = self.wait_seconds(request.client, usable)
        now = self.clock.now()
        if not admission.meets(request.deadline, now, wait, self.load.latency):
            raise errors.OverloadedError(f"the wait would be {wait:.3f} s")
        future = asyncio.get_running_loop().create_future()
        waiting = admission.QueuedRequest(
            request.client, request.deadline, future, excluded
        )
        dropped = self.queue.push(waiting)
        metrics.QUEUE_LENGTH.inc()
        if dropped is not None:
            self.refuse(dropped, errors.OverloadedError("too many requests wait"))
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.free(future.result())
            raise

    def take(self, replica):
        """Count a request in flight."""
        self.router.loads[replica.endpoint].in_flight += 1

    def free(self, replica):
        """Give up a place and let the next one have it."""
        self.router.loads[replica.endpoint].in_flight -= 1
        self.router.dispatch()

    def refuse(self, waiting, error):
        """End a wait with ``error``."""
        metrics.QUEUE_LENGTH.dec()
        if not waiting.item.done():
            waiting.item.set_exception(error)

    def dispatch(self):
        """Give free places to those who wait."""
        usable = self.usable()
        while self.queue:
            spare = self.choose(usable, ())
            if spare is None:
                return
            waiting = self.queue.pop()
            metrics.QUEUE_LENGTH.dec()
            if waiting.item.done():
                continue
            now, latency = self.clock.now(), self.load.latency
            if not admission.meets(waiting.deadline, now, 0.0, latency):
                error = errors.DeadlinePassedError("too little time is left")
                waiting.item.set_exception(error)
                continue
            choice = spare
            if waiting.excluded:
                choice = self.choose(usable, waiting.excluded) or spare
            self.take(choice)
            waiting.item.set_result(choice)

    def expire(self):
        """Refuse those whose deadline has passed while they waited."""
        for waiting in self.queue.expire(self.clock.now()):
            error = errors.DeadlinePassedError("no replica was free in time")
            self.refuse(waiting, error)
        if self.queue and not self.usable():
            while (waiting := self.queue.pop()) is not None:
                error = errors.NoEndpointError(f"no replica of {self.service} is left")
                self.refuse(waiting, error)
