"""Sends one term's orders to endpoints and tells the engine what became of them."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.policy import pressure
from clementinebay.workflow import jobstore

#: Wait after an endpoint could not be reached or refused an order, in seconds.
RETRY_SECONDS = 0.25
#: Wait while no lease may be granted, in seconds.
LEASE_WAIT_SECONDS = 0.1


class Sender:
    """Carries the engine's orders out through the driver.

    Leases last at most ``max_lease`` seconds from the last confirmation of the term;
    a successor waits for that.  ``kicked`` is set when the engine should plan.
    """

    def __init__(self, engine, writer, deployment, max_lease, clock, log):
        self.engine = engine
        self.writer = writer
        self.driver = deployment.boundary.driver
        self.granted_seconds = deployment.lease_seconds
        self.max_lease = max_lease
        self.clock = clock
        self.log = log
        self.over = asyncio.get_running_loop().create_future()
        self.kicked = asyncio.Event()
        self.tasks = set()
        self.confirm(clock.now())

    def confirm(self, asked_at):
        """Note that the term's lease was confirmed when asked at ``asked_at``."""
        self.confirmed_at = asked_at

    def kick(self):
        """Have the engine plan soon."""
        self.kicked.set()

    def spawn(self, coroutine):
        """Run ``coroutine`` until the term ends; its failure ends the term."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.take_result)
        return task

    def take_result(self, task):
        """Note how a spawned task ended."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.end_term(task.exception())

    def end_term(self, error):
        """Have `watch` raise ``error``."""
        if not self.over.done():
            self.over.set_exception(error)

    async def watch(self):
        """Raise what ends the term: `NotLeaderError` or the failure of a task."""
        await self.over

    def stop(self):
        """End what was spawned."""
        for task in list(self.tasks):
            task.cancel()

    def note_refusal(self, endpoint, fence, error):
        """Look whether a refusal of an order with ``fence`` means the term's end.

        An order to an earlier life of the endpoint is refused by a later one too.
        """
        fenced = getattr(error, "reason", "") == errors.OrderRefusedError.FENCED
        if fenced and fence == endpoint.fence(self.writer.fence):
            self.log.warning("term.fenced", endpoint=endpoint.id, fence=fence)
            self.end_term(errors.NotLeaderError(jobstore.HOLDER))

    def lease_seconds(self, now):
        """Return how far ahead a lease may be granted at ``now``.

        A successor waits for leases that were granted at most ``max_lease`` after this
        term was last confirmed.
        """
        limit = self.confirmed_at + self.max_lease - now
        return min(self.granted_seconds, limit)

    async def send_start(self, order):
        """Send an order to start and report its outcome to the engine."""
        now = self.clock.now()
        ahead = self.lease_seconds(now)
        if ahead <= 0 or order.endpoint.clock_ms is None:
            self.engine.start_refused(order, now, LEASE_WAIT_SECONDS)
            return
        deadline_ms = order.endpoint.grant(now, ahead)
        fence = order.endpoint.fence(self.writer.fence)
        outcome = "started"
        try:
            await self.driver.start(order, deadline_ms, fence)
            self.engine.start_answered(order, self.clock.now())
            if order.task.step.filler:
                self.pace(order.endpoint)
        except errors.CallNotSentError:
            outcome = "not-sent"
            self.fail_endpoint(order.endpoint)
            self.engine.start_refused(order, self.clock.now(), RETRY_SECONDS)
        except errors.CallUnansweredError:
            outcome = "unanswered"
            self.engine.start_unanswered(order, self.clock.now())
        except errors.OrderRefusedError as error:
            outcome = error.reason
            self.start_refused(order, fence, error)
        metrics.ORDERS.labels("start", outcome).inc()
        metrics.ORDER_SECONDS.observe(self.clock.now() - now)
        self.log.info(
            "task.start_ordered",
            task=order.task.name,
            run=order.run,
            endpoint=order.endpoint.id,
            fence=fence,
            filler=order.task.step.filler,
            beside=list(order.endpoint.replica_images),
            fillers=order.endpoint.fillers,
            load=order.endpoint.load,
            outcome=outcome,
            ms=round((self.clock.now() - now) * 1000, 1),
        )
        self.kick()

    def start_refused(self, order, fence, error):
        """Take a refusal of an order to start."""
        now = self.clock.now()
        if error.reason == errors.OrderRefusedError.UNHEALTHY:
            order.endpoint.health.bar(now)
        self.note_refusal(order.endpoint, fence, error)
        self.engine.start_refused(order, now, RETRY_SECONDS)

    async def send_stop(self, order):
        """Send an order to stop and report its outcome to the engine."""
        fence = order.endpoint.fence(self.writer.fence)
        outcome = "stopped"
        try:
            await self.driver.stop(order, fence)
            self.engine.stop_answered(order, self.clock.now())
        except errors.CallError as error:
            outcome = error.code
        except errors.OrderRefusedError as error:
            outcome = error.reason
            self.note_refusal(order.endpoint, fence, error)
        metrics.ORDERS.labels("stop", outcome).inc()
        self.log.info(
            "task.stop_ordered",
            task=order.task,
            run=order.run,
            endpoint=order.endpoint.id,
            reason=order.reason,
            outcome=outcome,
        )
        self.kick()

    def pace(self, endpoint):
        """Send the orders that fit an endpoint's fillers to its replicas."""
        for order in self.engine.pace(endpoint, self.clock.now()):
            self.spawn(self.send_pace(order))

    async def send_pace(self, order):
        """Send an order to pace."""
        try:
            await self.driver.pace(order, order.endpoint.fence(self.writer.fence))
        except (errors.CallError, errors.OrderRefusedError) as error:
            self.engine.pace_failed(order)
            metrics.ORDERS.labels("pace", error.code).inc()
            self.log.warning(
                "task.pace_failed",
                task=order.task.name,
                run=order.run,
                error=error.code,
            )
            return
        metrics.ORDERS.labels("pace", "paced").inc()
        self.log.info(
            "task.paced",
            task=order.task.name,
            run=order.run,
            endpoint=order.endpoint.id,
            percent=order.percent,
            tails=pressure.max_tail_ratio_by_image(order.endpoint),
            rooms=[
                [i, round(r, 2)] for i, r in self.engine.pressure.rooms(order.endpoint)
            ],
            replicas=order.endpoint.replicas,
            fillers=order.endpoint.fillers,
        )

    def fail_endpoint(self, endpoint):
        """Give an endpoint nothing new until it answers again."""
        if endpoint.failing_since is None:
            endpoint.failing_since = self.clock.now()
            self.log.warning(
                "endpoint.lost", endpoint=endpoint.id, runs=len(endpoint.tasks)
            )
