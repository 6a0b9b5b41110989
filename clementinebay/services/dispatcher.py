"""Service "dispatcher": starts and stops attempts at endpoints to match the state.

Orders are idempotent by job, index and attempt, so any daemon of the domain may send
and repeat them.  Answers of endpoints become records for the scheduler.
"""

import asyncio

from clementinebay import errors
from clementinebay.endpoint.base import TaskStart, TaskStop
from clementinebay.log import Log
from clementinebay.policy import attempts
from clementinebay.policy.attempts import Action
from clementinebay.service import Service
from clementinebay.shard.wire import ttypes as wire

#: Orders to endpoints that may be in progress at once.
MAX_CONCURRENT_ORDERS = 64
#: Records kept while the log cannot be written; endpoints repeat dropped reports.
MAX_PENDING_RECORDS = 10_000

log = Log("dispatcher")


class EndpointOrders:
    """Sends orders to the endpoints of one shard; a context manager that cancels them.

    ``follower`` has the attribute ``log``, a `ShardLog`.  A failed order is repeated
    after ``retry_seconds`` at the earliest.  ``lease_seconds`` and ``reclaim_seconds``
    determine the lease that renewals grant; a start grants the same, since the next
    renewal may be many seconds away.
    """

    def __init__(
        self,
        follower,
        driver,
        clock,
        retry_seconds,
        lease_seconds=0.0,
        reclaim_seconds=0.0,
    ):
        self.follower = follower
        self.driver = driver
        self.clock = clock
        self.retry_seconds = retry_seconds
        self.lease_seconds = lease_seconds
        self.reclaim_seconds = reclaim_seconds
        self.records = {}
        self.in_progress = {}
        self.unknown_attempts = {}
        self.settled_key = None
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        running = list(self.in_progress.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    @property
    def state(self):
        """The shard's state as far as it is known here."""
        return self.follower.log.state

    def drain_records(self):
        """Return and clear the records to append to the log."""
        records, self.records = list(self.records.values()), {}
        return records

    # Orders

    def reconcile(self):
        """Send the orders due in the state that are not in progress yet.

        Orders become due only when the state changes, so a state without due orders is
        not searched again.
        """
        key = (id(self.state), self.state.index)
        if key != self.settled_key:
            due = list(attempts.orders(self.state, self.clock.now()))
            for order in due:
                self.order(order)
            self.settled_key = None if due else key
        self.stop_unknown_attempts()

    def order(self, order):
        """Start to execute an `Order` unless it is in progress."""
        if order.key in self.in_progress:
            return
        running = asyncio.create_task(self.execute(order))
        self.in_progress[order.key] = running
        running.add_done_callback(lambda _task: self.in_progress.pop(order.key, None))

    async def execute(self, order):
        """Execute one order; if it fails, a later reconcile repeats it."""
        async with self.slots:
            try:
                if order.action == Action.START:
                    report = await self.start(order)
                else:
                    stop = TaskStop(order.job, order.index, order.attempt)
                    report = await self.driver.stop(order.address, stop)
                self.process_report(order.endpoint, report)
                return
            except errors.EndpointError as error:
                log.debug("%s/%d: %s.", order.job, order.index, error)
        await asyncio.sleep(self.retry_seconds)

    async def start(self, order):
        """Start an attempt at its endpoint and return the `TaskReport`."""
        spec = order.spec
        return await self.driver.start(
            order.address,
            TaskStart(
                job=spec.id,
                index=order.index,
                attempt=order.attempt,
                origin=spec.origin or spec.id,
                kind=spec.kind,
                service=spec.workload == wire.Workload.SERVICE,
                urgency=spec.urgency,
                processors_milli=spec.size.processors_milli,
                memory_mb=spec.size.memory_mb,
                accelerators=spec.size.accelerators,
                run_seconds=spec.run_seconds,
                lease_deadline=order.lease_deadline,
                checkpoint=order.checkpoint,
                renewed_until=self.renewed_until(order),
            ),
        )

    def renewed_until(self, order):
        """Return the lease deadline that a renewal would grant now, 0 if none may."""
        # The lease deadline and the endpoint's state come from the same log read.
        known = self.state.endpoints.get(order.endpoint)
        if known is None or known.lost or not self.lease_seconds:
            return 0.0
        return attempts.renewal_deadline(
            self.clock.now(),
            self.follower.log.confirmed_at,
            self.lease_seconds,
            self.reclaim_seconds,
        )

    def stop_unknown_attempts(self):
        """Stop reported attempts that a later read of the log does not contain."""
        confirmed_at = self.follower.log.confirmed_at
        for (endpoint, *key), reported_at in list(self.unknown_attempts.items()):
            known = self.state.endpoints.get(endpoint)
            held = attempts.held_task(self.state, endpoint, key)
            if known is None or known.lost or held is not None:
                del self.unknown_attempts[(endpoint, *key)]
            elif confirmed_at > reported_at:
                log.warning(
                    "%s runs %s/%d, which is not in the log; stopping it.",
                    endpoint,
                    key[0],
                    key[1],
                )
                self.order(attempts.Order(Action.STOP, known, *key))
                del self.unknown_attempts[(endpoint, *key)]

    # Reports

    def process_report(self, endpoint, report):
        """Convert the report of an attempt to a record, if it has new information."""
        record = attempts.record(self.state, endpoint, report, self.clock.now())
        if record is not None and len(self.records) < MAX_PENDING_RECORDS:
            key = (endpoint, report.job, report.index, report.attempt, report.state)
            self.records[key] = record

    def process_reports(self, endpoint, reports, expected=()):
        """Process the reports of ``endpoint``; return whether to acknowledge them.

        ``expected`` are the attempts that a full report must contain; those missing are
        stopped.
        """
        now = self.clock.now()
        for report in reports:
            self.process_report(endpoint, report)
        for key in sorted(attempts.strays(self.state, endpoint, reports)):
            self.unknown_attempts.setdefault((endpoint, *key), now)
        known = self.state.endpoints.get(endpoint)
        if known is not None and not known.lost:
            for key in sorted(attempts.missing(set(expected), reports)):
                if attempts.held_task(self.state, endpoint, key) is not None:
                    self.order(attempts.Order(Action.STOP, known, *key))
        log_is_newer = self.follower.log.confirmed_at > now
        return not attempts.unrecorded(self.state, endpoint, reports, log_is_newer)


class Dispatcher(Service):
    """Sends ``orders`` to the endpoints of this daemon's domain."""

    name = "dispatcher"
    requires = ("shard", "driver")

    async def start(self):
        """Create the `EndpointOrders` of this domain."""
        self.orders = EndpointOrders(
            self.kernel.find("shard"),
            self.kernel.find("driver").driver,
            self.clock,
            self.settings.scheduler_tick_seconds,
            self.settings.scheduler_lease_seconds,
            self.settings.scheduler_reclaim_after_seconds,
        )

    async def stop(self):
        """Cancel orders in progress; being idempotent, they can be repeated."""
        await self.orders.__aexit__()

    def drain_records(self):
        """See `EndpointOrders.drain_records`."""
        return self.orders.drain_records()

    def reconcile(self):
        """See `EndpointOrders.reconcile`."""
        self.orders.reconcile()

    def process_reports(self, endpoint, reports, expected=()):
        """See `EndpointOrders.process_reports`."""
        return self.orders.process_reports(endpoint, reports, expected)
