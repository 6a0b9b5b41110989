"""Per-service queues: assign requests of one service to slots at its replicas."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.policy import admission, retry, routing


class ServiceQueue:
    """Assigns requests of one service to slots at replicas, fairly between clients."""

    def __init__(self, router, service):
        self.router = router
        self.service = service
        self.clock = router.clock
        self.pending = admission.FairQueue(router.settings.router_queue_limit)
        self.load = routing.Load()
        self.hedges = retry.RetryBudget(0.0, burst=2.0)
        self.table = None
        self.vms = None
        self.limits = []

    def usable(self):
        """Return (replica, limit of requests in flight) for this domain's replicas.

        Leaving and ejected endpoints are left out.
        """
        table = self.router.shard.replicas(self.service)
        vms = self.router.livelist.vms
        if table is not self.table or vms is not self.vms:
            leaving = self.router.livelist.leaving
            staying = [r for r in table if r.endpoint not in leaving]
            self.limits = [(r, self.router.in_flight_limit(r)) for r in staying]
            self.table, self.vms = table, vms
        ejector = self.router.ejector
        if not ejector.ejected_or_probing:
            return self.limits
        now = self.clock.now()
        allowed = [(r, ejector.limit(r.endpoint, now, n)) for r, n in self.limits]
        return [(replica, limit) for replica, limit in allowed if limit]

    def choose(self, usable, excluded):
        """Return a replica with a free slot outside ``excluded``, or ``None``."""
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

    def try_reserve(self, usable, excluded):
        """Reserve a slot and return its replica, ``None`` if the request must wait."""
        choice = None if self.pending else self.choose(usable, excluded)
        if choice is not None:
            self.reserve(choice)
        return choice

    def wait_seconds(self, client, usable):
        """Return the expected wait of a new request of ``client``, in seconds."""
        capacity = sum(limit for _replica, limit in usable)
        requests_ahead = self.pending.requests_ahead(client)
        return admission.expected_wait(requests_ahead, self.load.latency, capacity)

    async def wait(self, request, usable, excluded):
        """Wait for a slot and return its replica.

        Raises `OverloadedError` if the deadline cannot be met or the queue is full,
        `DeadlinePassedError` if the request waits too long, and `NoEndpointError` if no
        replica is left.
        """
        wait = self.wait_seconds(request.client, usable)
        now = self.clock.now()
        if not admission.meets_deadline(request.deadline, now, wait, self.load.latency):
            raise errors.OverloadedError(f"the expected wait is {wait:.3f} s")
        future = asyncio.get_running_loop().create_future()
        waiting = admission.QueuedRequest(
            request.client, request.deadline, future, excluded
        )
        dropped = self.pending.push(waiting)
        metrics.QUEUE_LENGTH.inc()
        if dropped is not None:
            self.refuse(dropped, errors.OverloadedError("too many requests are queued"))
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.release(future.result())
            raise

    def reserve(self, replica):
        """Reserve a slot at ``replica``."""
        self.router.loads[replica.endpoint].in_flight += 1

    def release(self, replica):
        """Release a slot at ``replica`` and dispatch the requests that wait."""
        self.router.loads[replica.endpoint].in_flight -= 1
        self.router.dispatch()

    def refuse(self, waiting, error):
        """End the wait of a queued request with ``error``."""
        metrics.QUEUE_LENGTH.dec()
        if not waiting.item.done():
            waiting.item.set_exception(error)

    def dispatch(self):
        """Assign free slots to queued requests."""
        usable = self.usable()
        while self.pending:
            spare = self.choose(usable, ())
            if spare is None:
                return
            waiting = self.pending.pop()
            metrics.QUEUE_LENGTH.dec()
            if waiting.item.done():
                continue
            now, latency = self.clock.now(), self.load.latency
            if not admission.meets_deadline(waiting.deadline, now, 0.0, latency):
                error = errors.DeadlinePassedError("the deadline is too close")
                waiting.item.set_exception(error)
                continue
            choice = spare
            if waiting.excluded:
                choice = self.choose(usable, waiting.excluded) or spare
            self.reserve(choice)
            waiting.item.set_result(choice)

    def expire(self):
        """Refuse queued requests that have expired, and all if no replica is left."""
        for waiting in self.pending.expire(self.clock.now()):
            error = errors.DeadlinePassedError("no replica was free in time")
            self.refuse(waiting, error)
        if self.pending and not self.usable():
            while (waiting := self.pending.pop()) is not None:
                error = errors.NoEndpointError(f"no replica of {self.service} is left")
                self.refuse(waiting, error)
