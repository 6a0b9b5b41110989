"""Service "colocation": learns interference from reports and acts against it."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.endpoint.base import TaskStop
from clementinebay.log import Log
from clementinebay.policy import colocation
from clementinebay.policy.interference import InterferenceModel, Observation
from clementinebay.policy.usage import History, Usage
from clementinebay.service import Service
from clementinebay.shard.wire import ttypes as wire

#: Time between two decisions, in seconds.
DECIDE_SECONDS = 1.0

log = Log("colocation")


class Colocation(Service):
    """Holds what was learned; the scheduler asks it for records."""

    name = "colocation"
    requires = ("shard", "driver", "renewals")

    async def start(self):
        """Begin to take reports."""
        self.shard = self.kernel.find("shard")
        self.driver = self.kernel.find("driver").driver
        self.model = InterferenceModel()
        self.usage = Usage()
        self.mixes = colocation.Mixes()
        self.history = History()
        self.standings = {}
        self.reported_at = {}
        self.orders = set()
        self.decide_at = 0.0
        self.forgotten_at = -1
        self.learned = 0
        self.settled = None
        self.kernel.find("renewals").listeners.append(self.take_report)

    async def stop(self):
        """Abandon orders in progress."""
        for order in list(self.orders):
            order.cancel()

    # Learning

    def take_report(self, name, report):
        """Learn from the report of endpoint ``name``."""
        now = self.clock.now()
        before = self.usage.versions[name]
        for task in report.tasks:
            if task.state == "running":
                self.usage.report(name, task, now)
        if report.services or self.usage.versions[name] != before:
            self.learned += 1
        since = self.reported_at.get(name)
        self.reported_at[name] = now
        if since is not None and report.services:
            self.learn(name, report.services, since, now)

    def learn(self, name, services, since, now):
        """Learn from latencies and what ran beside them in the mean."""
        lag = self.settings.scheduler_usage_lag_seconds
        cores = self.history.mean(name, since - lag, now - lag)
        if cores is None:
            return
        kinds = self.kinds()
        for usage in services:
            kind = kinds.get(usage.service, usage.service)
            seen = Observation(kind, usage.count, usage.p50_seconds, cores)
            slowdown = self.model.observe(seen)
            for neighbour in cores:
                weight = self.model.weight(kind, neighbour)
                metrics.INTERFERENCE.labels(kind, neighbour).set(weight)
            standing = self.standings.setdefault(name, colocation.SlowdownTracker())
            expected = self.model.slowdown(kind, cores)
            standing.follow(slowdown - expected, now)

    def kinds(self):
        """Return {service: kind} of the shard's services."""
        return {
            job.spec.origin or name: job.spec.kind
            for name, job in self.shard.state.jobs.items()
            if job.spec.workload == wire.Workload.SERVICE
        }

    # Acting

    def pressure(self):
        """Return the `Pressure` for one decision about placement."""
        return colocation.Pressure(self.shard.state, self.model, self.mixes, self.usage)

    def records(self):
        """Have throttles set if it is time, and return records for the log.

        After a decision that asked for nothing, the next waits for news of the state or
        from a report, since time alone changes nothing.
        """
        now = self.clock.now()
        key = (self.shard.state.index, self.learned)
        if now < self.decide_at or key == self.settled:
            return []
        self.decide_at = now + DECIDE_SECONDS
        decision = self.decide(now)
        asked = decision.throttles or decision.records
        self.settled = None if asked else key
        return decision.records

    def decide(self, now):
        """Note what runs, decide and order throttles; return the `Decision`."""
        state = self.shard.state
        if state.index != self.forgotten_at:
            self.usage.forget(state)
            self.forgotten_at = state.index
        for name, endpoint in state.endpoints.items():
            cores = self.mixes.get(state, endpoint, self.usage).cores
            self.history.record_cores(name, cores, now)
        decision = colocation.decide(
            state,
            self.model,
            self.mixes,
            self.usage,
            self.standings,
            now,
            self.settings.scheduler_usage_lag_seconds,
        )
        for throttle in decision.throttles:
            order = asyncio.create_task(self.throttle(throttle))
            self.orders.add(order)
            order.add_done_callback(self.orders.discard)
        metrics.THROTTLED_TASKS.set(sum(s < 1.0 for s in self.usage.shares.values()))
        return decision

    async def throttle(self, throttle):
        """Limit one attempt; a failure is noticed and repeated by a later decision."""
        address = self.shard.state.endpoints[throttle.endpoint].seen.address
        key = (throttle.job, throttle.index, throttle.attempt)
        try:
            await self.driver.throttle(address, TaskStop(*key), throttle.share)
        except errors.EndpointError as error:
            log.debug("%s: %s.", throttle.endpoint, error)
            return
        self.usage.throttled(throttle.endpoint, key, throttle.share)
        self.learned += 1
