"""Service "dispatcher": carries out what the shard's state says at endpoints.

Everything it does is idempotent by job, index and attempt, so any daemon of the domain
may do it, and do it again.  What endpoints answer becomes records for the scheduler.
"""

import asyncio

from clementinebay import errors
from clementinebay.endpoint.base import TaskStart, TaskStop
from clementinebay.log import Log
from clementinebay.service import Service
from clementinebay.shard.state import HOLDING, Phase
from clementinebay.shard.wire import ttypes as wire

#: Orders to endpoints in progress at once.
ORDERS = 64

log = Log("dispatcher")


class Dispatcher(Service):
    """Drives the endpoints of one domain; ``records`` are for the log."""

    name = "dispatcher"
    requires = ("shard", "driver")

    async def start(self):
        """Begin to take orders."""
        self.shard = self.kernel.find("shard")
        self.driver = self.kernel.find("driver").driver
        self.records = []
        self.orders = {}
        self.slots = asyncio.Semaphore(ORDERS)

    async def stop(self):
        """Abandon orders in progress; they are idempotent."""
        for task in list(self.orders.values()):
            task.cancel()

    def take_records(self):
        """Return and forget the records for the log."""
        records, self.records = self.records, []
        return records

    # Starting and stopping

    def reconcile(self):
        """Order what the state asks for and no order in progress covers."""
        state = self.shard.state
        now = self.clock.now()
        for endpoint in state.endpoints.values():
            if endpoint.lost:
                continue
            for name, index in endpoint.held:
                job = state.jobs[name]
                task = job.tasks[index]
                if task.phase == Phase.STOPPING or (
                    task.phase == Phase.BOUND and task.lease_deadline <= now
                ):
                    self.order(self.stop_task, job, task)
                elif task.phase == Phase.BOUND:
                    self.order(self.start_task, job, task)

    def order(self, action, job, task):
        """Run ``action`` for an attempt unless it is in progress."""
        key = (action.__name__, job.spec.id, task.index, task.attempt)
        if key in self.orders:
            return
        address = self.shard.state.endpoints[task.endpoint].seen.address
        running = asyncio.create_task(
            self.carry_out(action, address, job.spec, task.index, task.attempt)
        )
        self.orders[key] = running
        running.add_done_callback(lambda _task: self.orders.pop(key, None))

    async def carry_out(self, action, address, spec, index, attempt):
        """Run one action and log its failure; the next reconcile repeats it."""
        async with self.slots:
            try:
                await action(address, spec, index, attempt)
            except errors.EndpointError as error:
                log.debug("%s/%d: %s.", spec.id, index, error)
                await asyncio.sleep(self.settings.scheduler_tick_seconds)

    async def start_task(self, address, spec, index, attempt):
        """Start an attempt at its endpoint."""
        task = self.shard.state.jobs[spec.id].tasks[index]
        report = await self.driver.start(
            address,
            TaskStart(
                job=spec.id,
                index=index,
                attempt=attempt,
                origin=spec.origin or spec.id,
                kind=spec.kind,
                service=spec.workload == wire.Workload.SERVICE,
                urgency=spec.urgency,
                processors_milli=spec.size.processors_milli,
                memory_mb=spec.size.memory_mb,
                accelerators=spec.size.accelerators,
                run_seconds=spec.run_seconds,
                lease_deadline=task.lease_deadline,
                checkpoint=task.checkpoint,
            ),
        )
        started = wire.Started(spec.id, index, attempt)
        self.add(wire.Record(started=started))
        self.take_report(report)

    async def stop_task(self, address, spec, index, attempt):
        """Stop an attempt at its endpoint."""
        report = await self.driver.stop(address, TaskStop(spec.id, index, attempt))
        self.take_report(report)

    def add(self, record):
        """Keep ``record`` for the log."""
        self.records.append(record)

    # Reports

    def take_report(self, report):
        """Turn a report of an attempt into a record, if it says something new."""
        job = self.shard.state.jobs.get(report.job)
        task = job.tasks.get(report.index) if job else None
        if task is None or task.attempt != report.attempt or task.phase not in HOLDING:
            return
        identity = (report.job, report.index, report.attempt)
        now = self.clock.now()
        if report.state == "done":
            finish = wire.Finish(*identity, wire.Outcome.DONE, "", now)
            self.add(wire.Record(finish=finish))
        elif report.state == "failed":
            finish = wire.Finish(*identity, wire.Outcome.FAILED, report.reason, now)
            self.add(wire.Record(finish=finish))
        elif report.state == "stopped":
            released = wire.Released(
                *identity, wire.Evidence.STOPPED, now, report.checkpoint
            )
            self.add(wire.Record(released=released))
