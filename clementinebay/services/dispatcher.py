"""Service "dispatcher": carries out what the shard's state says at endpoints.

Everything it does is idempotent by job, index and attempt, so any daemon of the domain
may do it, and do it again.  What endpoints answer becomes records for the scheduler.
"""

import asyncio

from clementinebay import errors
from clementinebay.endpoint.base import TaskStart, TaskStop
from clementinebay.log import Log
from clementinebay.policy import attempts
from clementinebay.policy.attempts import Action
from clementinebay.service import Service
from clementinebay.shard.wire import ttypes as wire

#: Orders to endpoints in progress at once.
ORDERS = 64
#: Records kept for a log that cannot be written; endpoints repeat what is dropped.
RECORDS_LIMIT = 10_000

log = Log("dispatcher")


class EndpointOrders:
    """Drives the endpoints of one shard; a context manager that ends its orders.

    ``follower`` has the attribute ``log``, a `ShardLog`.  ``again`` is the wait before
    an order that failed is repeated, in seconds.  ``lease_seconds`` and
    ``reclaim_seconds`` are what renewals grant; a start grants it too, since the next
    renewal may be many seconds away.
    """

    def __init__(
        self, follower, driver, clock, again, lease_seconds=0.0, reclaim_seconds=0.0
    ):
        self.follower = follower
        self.driver = driver
        self.clock = clock
        self.again = again
        self.lease_seconds = lease_seconds
        self.reclaim_seconds = reclaim_seconds
        self.records = {}
        self.orders = {}
        self.strays = {}
        self.searched = None
        self.slots = asyncio.Semaphore(ORDERS)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        orders = list(self.orders.values())
        for order in orders:
            order.cancel()
        await asyncio.gather(*orders, return_exceptions=True)

    @property
    def state(self):
        """The shard's state as far as it is known here."""
        return self.follower.log.state

    def drain_records(self):
        """Return and forget the records for the log."""
        records, self.records = list(self.records.values()), {}
        return records

    # Orders

    def reconcile(self):
        """Order what the state asks for and no order in progress covers.

        A state that asks for nothing will not ask later either, so it is not searched
        again.
        """
        key = (id(self.state), self.state.index)
        if key != self.searched:
            due = list(attempts.orders(self.state, self.clock.now()))
            for order in due:
                self.order(order)
            self.searched = None if due else key
        self.stop_strays()

    def order(self, order):
        """Carry out an `Order` unless that is in progress."""
        if order.key in self.orders:
            return
        running = asyncio.create_task(self.carry_out(order))
        self.orders[order.key] = running
        running.add_done_callback(lambda _task: self.orders.pop(order.key, None))

    async def carry_out(self, order):
        """Carry out one order; the next reconcile repeats one that failed."""
        async with self.slots:
            try:
                if order.action == Action.START:
                    report = await self.start(order)
                else:
                    stop = TaskStop(order.job, order.index, order.attempt)
                    report = await self.driver.stop(order.address, stop)
                self.take_report(order.endpoint, report)
                return
            except errors.EndpointError as error:
                log.debug("%s/%d: %s.", order.job, order.index, error)
        await asyncio.sleep(self.again)

    async def start(self, order):
        """Start an attempt and return the `TaskReport`."""
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
        """Return the deadline of a renewal at this time, 0 if none may be granted."""
        # The deadline and the standing of the endpoint are of the same read.
        known = self.state.endpoints.get(order.endpoint)
        if known is None or known.lost or not self.lease_seconds:
            return 0.0
        return attempts.renewal_deadline(
            self.clock.now(),
            self.follower.log.confirmed_at,
            self.lease_seconds,
            self.reclaim_seconds,
        )

    def stop_strays(self):
        """Stop attempts that a read of the log since their report does not know."""
        confirmed_at = self.follower.log.confirmed_at
        for (endpoint, *key), reported_at in list(self.strays.items()):
            known = self.state.endpoints.get(endpoint)
            held = attempts.held_task(self.state, endpoint, key)
            if known is None or known.lost or held is not None:
                del self.strays[(endpoint, *key)]
            elif confirmed_at > reported_at:
                log.warning("%s runs %s/%d unasked.", endpoint, key[0], key[1])
                self.order(attempts.Order(Action.STOP, known, *key))
                del self.strays[(endpoint, *key)]

    # Reports

    def take_report(self, endpoint, report):
        """Turn a report of an attempt into a record, if it says something new."""
        record = attempts.record(self.state, endpoint, report, self.clock.now())
        if record is not None and len(self.records) < RECORDS_LIMIT:
            key = (endpoint, report.job, report.index, report.attempt, report.state)
            self.records[key] = record

    def process_reports(self, endpoint, reports, expected=()):
        """Take what ``endpoint`` reports; return whether to acknowledge it.

        ``expected`` are attempts that a full report has to mention.
        """
        now = self.clock.now()
        for report in reports:
            self.take_report(endpoint, report)
        for key in sorted(attempts.strays(self.state, endpoint, reports)):
            self.strays.setdefault((endpoint, *key), now)
        known = self.state.endpoints.get(endpoint)
        if known is not None and not known.lost:
            for key in sorted(attempts.missing(set(expected), reports)):
                if attempts.held_task(self.state, endpoint, key) is not None:
                    self.order(attempts.Order(Action.STOP, known, *key))
        newer = self.follower.log.confirmed_at > now
        return not attempts.unrecorded(self.state, endpoint, reports, newer)


class Dispatcher(Service):
    """Drives the endpoints of this daemon's domain by ``orders``."""

    name = "dispatcher"
    requires = ("shard", "driver")

    async def start(self):
        """Begin to take orders."""
        self.orders = EndpointOrders(
            self.kernel.find("shard"),
            self.kernel.find("driver").driver,
            self.clock,
            self.settings.scheduler_tick_seconds,
            self.settings.scheduler_lease_seconds,
            self.settings.scheduler_reclaim_after_seconds,
        )

    async def stop(self):
        """Abandon orders in progress; they are idempotent."""
        await self.orders.__aexit__()

    def drain_records(self):
        """Return and forget the records for the log."""
        return self.orders.drain_records()

    def reconcile(self):
        """Order what the state asks for and no order in progress covers."""
        self.orders.reconcile()

    def process_reports(self, endpoint, reports, expected=()):
        """See `EndpointOrders.process_reports`."""
        return self.orders.process_reports(endpoint, reports, expected)
