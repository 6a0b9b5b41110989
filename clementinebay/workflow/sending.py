"""Sends one term's orders to endpoints and reports the outcomes to the engine."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.policy import pressure
from clementinebay.policy.startwindow import StartWindow
from clementinebay.workflow import incarnations, jobstore

#: Wait after an endpoint was unreachable or refused an order, in seconds.
RETRY_SECONDS = 0.25
#: Greatest number of start orders in progress at one endpoint.  Endpoints serve eight
#: calls at a time and accept 64 connections, and each order in progress needs one.
MAX_STARTS_PER_ENDPOINT = 4
#: Wait while no lease may be granted, in seconds.
LEASE_WAIT_SECONDS = 0.1


class Sender:
    """Sends the engine's orders through the driver.

    ``plan_requested`` is set when the engine should plan; ``starts`` limits the start
    orders in progress, and ``lanes`` has a semaphore for those of each endpoint.
    ``started`` is the number of starts that succeeded.
    """

    def __init__(self, engine, writer, deployment, clock, log):
        self.engine = engine
        self.writer = writer
        self.driver = deployment.boundary.driver
        self.default_lease_seconds = deployment.lease_seconds
        self.clock = clock
        self.log = log
        self.term_end = asyncio.get_running_loop().create_future()
        self.plan_requested = asyncio.Event()
        self.tasks = set()
        self.starts = StartWindow()
        self.started = 0
        self.lanes = {}

    def request_plan(self):
        """Request that the engine plans again."""
        self.plan_requested.set()

    def spawn(self, coroutine):
        """Run ``coroutine`` in a task until the term ends; a failure ends the term."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.handle_task_end)
        return task

    def handle_task_end(self, task):
        """End the term if a spawned task has failed."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.end_term(task.exception())

    def end_term(self, error):
        """End the term: `watch` raises ``error``."""
        if not self.term_end.done():
            self.term_end.set_exception(error)

    @property
    def is_over(self):
        """Whether the term has ended, so that no further order may be sent."""
        return self.term_end.done()

    async def watch(self):
        """Wait for the end of the term; raise `NotLeaderError` or a task's failure."""
        await self.term_end

    def stop(self):
        """Cancel all spawned tasks."""
        for task in list(self.tasks):
            task.cancel()

    def check_fenced(self, endpoint, fence, error):
        """End the term if the refusal of an order with ``fence`` shows that it is over.

        A restarted endpoint also refuses orders to its earlier incarnation, so only the
        refusal of an order with the endpoint's current fence ends the term.
        """
        fenced = getattr(error, "reason", "") == errors.OrderRefusedError.FENCED
        if fenced and fence == endpoint.fence(self.writer.fence):
            self.log.warning("term.fenced", endpoint=endpoint.id, fence=fence)
            self.end_term(errors.NotLeaderError(jobstore.HOLDER))

    def check_incarnation(self, endpoint, info, error):
        """Release an endpoint's tasks if a refusal shows that its incarnation is over.

        ``info`` is the `Endpoint` to whose address the order was sent.  Only one
        incarnation at a time can answer at an address.
        """
        reason = getattr(error, "reason", "")
        is_over = reason == errors.OrderRefusedError.OTHER_INCARNATION
        if is_over and endpoint.info.is_same_incarnation(info):
            self.engine.end_incarnation(endpoint, self.clock.now())
            self.request_plan()

    def check_clock(self, endpoint, info, clock_ms, sent_at):
        """Return whether the incarnation that an order was meant for has executed it.

        ``info`` is the `Endpoint` to which the order was sent at ``sent_at``, and
        ``clock_ms`` the clock in the answer, or ``None``.
        """
        now = self.clock.now()
        if (
            clock_ms is None
            or endpoint.clock_ms is None
            or endpoint.has_ended
            or not endpoint.info.is_same_incarnation(info)
        ):
            return False
        if endpoint.may_show(clock_ms, sent_at, now):
            return True
        self.log.warning(
            "endpoint.clock_differs",
            endpoint=endpoint.id,
            clock_ms=clock_ms,
            expected_ms=round(endpoint.earliest_clock(now)),
        )
        incarnations.assume_longest_lease(self.engine, endpoint, now)
        return False

    def lease_seconds(self, endpoint, now):
        """Return the length of a lease that may be granted at ``now``, in seconds."""
        limit = self.engine.leases.grantable_seconds(endpoint, now)
        return min(self.default_lease_seconds, limit)

    def start_allowance(self):
        """Return how many more start orders may be sent now."""
        if self.is_over or self.clock.now() >= self.engine.leases.limit:
            return 0
        return self.starts.allowance()

    def begin_start(self, order):
        """Send a start order in a task of its own."""
        self.starts.in_progress += 1
        self.spawn(self.send_start(order)).add_done_callback(self.finish_start)

    def finish_start(self, _task):
        """Count the end of a start order; plan if others had to wait for it."""
        if self.starts.is_full:
            self.request_plan()
        self.starts.in_progress -= 1

    async def send_start(self, order):
        """Send a start order, after earlier ones to its endpoint."""
        endpoint_id = order.endpoint.id
        lane = self.lanes.get(endpoint_id)
        if lane is None:
            lane = self.lanes[endpoint_id] = asyncio.Semaphore(MAX_STARTS_PER_ENDPOINT)
        async with lane:
            # The wait may have been long enough for the run to be given up.
            if order.is_current():
                await self.make_start(order)

    async def make_start(self, order):
        """Send a start order now and report its outcome to the engine."""
        now = self.clock.now()
        lease_length = self.lease_seconds(order.endpoint, now)
        if lease_length <= 0 or order.endpoint.clock_ms is None or self.is_over:
            self.engine.start_refused(order, now, LEASE_WAIT_SECONDS)
            return
        if order.endpoint.unreachable_since is not None:
            self.engine.start_refused(order, now, RETRY_SECONDS)
            self.request_plan()
            return
        deadline_ms = order.endpoint.grant(now, lease_length)
        fence = order.endpoint.fence(self.writer.fence)
        info = order.endpoint.info
        outcome = "started"
        try:
            clock_ms = await self.driver.start(order, deadline_ms, fence)
            is_located = self.check_clock(order.endpoint, info, clock_ms, now)
            self.engine.start_answered(order, self.clock.now(), is_located)
            self.started += 1
            if order.task.step.filler:
                self.pace(order.endpoint)
        except errors.CallNotSentError as error:
            outcome = "not-sent"
            self.mark_unreachable(order.endpoint, error)
            self.engine.start_refused(order, self.clock.now(), RETRY_SECONDS)
        except errors.CallUnansweredError:
            outcome = "unanswered"
            self.engine.start_unanswered(order, self.clock.now())
        except errors.OrderRefusedError as error:
            outcome = error.reason
            self.start_refused(order, info, fence, error)
        metrics.ORDERS.labels("start", outcome).inc()
        seconds = self.clock.now() - now
        metrics.ORDER_SECONDS.observe(seconds)
        self.starts.record_answer(seconds)
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
            ms=round(seconds * 1000, 1),
        )
        if outcome != "started":
            self.request_plan()

    def start_refused(self, order, info, fence, error):
        """Handle the refusal of a start order."""
        now = self.clock.now()
        if error.reason == errors.OrderRefusedError.UNHEALTHY:
            order.endpoint.health.bar(now)
        self.check_fenced(order.endpoint, fence, error)
        self.engine.start_refused(order, now, RETRY_SECONDS)
        self.check_incarnation(order.endpoint, info, error)

    async def send_stop(self, order):
        """Send a stop order and report its outcome to the engine."""
        fence = order.endpoint.fence(self.writer.fence)
        info = order.endpoint.info
        outcome = "stopped"
        try:
            await self.driver.stop(order, fence)
            self.engine.stop_answered(order, self.clock.now())
        except errors.CallError as error:
            outcome = error.code
        except errors.OrderRefusedError as error:
            outcome = error.reason
            self.check_fenced(order.endpoint, fence, error)
            self.check_incarnation(order.endpoint, info, error)
        metrics.ORDERS.labels("stop", outcome).inc()
        self.log.info(
            "task.stop_ordered",
            task=order.task,
            run=order.run,
            endpoint=order.endpoint.id,
            reason=order.reason,
            outcome=outcome,
        )

    def pace(self, endpoint):
        """Send the pace orders for an endpoint's fillers."""
        for order in self.engine.pace(endpoint, self.clock.now()):
            self.spawn(self.send_pace(order))

    async def send_pace(self, order):
        """Send a pace order and report a failure to the engine."""
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
                [i, round(r, 2)]
                for i, r in self.engine.pressure.headroom_by_image(order.endpoint)
            ],
            replicas=order.endpoint.replicas,
            fillers=order.endpoint.fillers,
        )

    def mark_unreachable(self, endpoint, error):
        """Start no tasks at an endpoint until it answers again."""
        if endpoint.unreachable_since is None:
            endpoint.unreachable_since = self.clock.now()
            self.log.warning(
                "endpoint.lost",
                endpoint=endpoint.id,
                runs=len(endpoint.tasks),
                why=getattr(error, "reason", error.code),
                cause=str(error),
            )
