"""Service "colocation": learns interference from reports and limits it."""

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
DECISION_INTERVAL_SECONDS = 1.0

log = Log("colocation")


class Colocation(Service):
    """Holds the interference model and decides on throttles and evictions."""

    name = "colocation"
    requires = ("shard", "driver", "renewals")

    async def start(self):
        """Create the model and subscribe to reports."""
        self.shard = self.kernel.find("shard")
        self.driver = self.kernel.find("driver").driver
        self.model = InterferenceModel()
        self.usage = Usage()
        self.mixes = colocation.MixCache()
        self.history = History()
        self.slowdown_trackers = {}
        self.reported_at = {}
        self.throttle_orders = set()
        self.next_decision_at = 0.0
        self.forgotten_index = -1
        self.learned_count = 0
        self.idle_key = None
        self.kernel.find("renewals").listeners.append(self.process_report)

    async def stop(self):
        """Cancel throttle orders in progress."""
        for order in list(self.throttle_orders):
            order.cancel()

    # Learning from reports

    def process_report(self, name, report):
        """Update usage and the model from a report of endpoint ``name``."""
        now = self.clock.now()
        before = self.usage.versions[name]
        for task in report.tasks:
            if task.state == "running":
                self.usage.report(name, task, now)
        if report.services or self.usage.versions[name] != before:
            self.learned_count += 1
        since = self.reported_at.get(name)
        self.reported_at[name] = now
        if since is not None and report.services:
            self.learn(name, report.services, since, now)

    def learn(self, name, services, since, now):
        """Update the model from latencies and the mean usage during their interval."""
        lag = self.settings.scheduler_usage_lag_seconds
        cores = self.history.mean(name, since - lag, now - lag)
        if cores is None:
            return
        kinds = self.kinds()
        for usage in services:
            kind = kinds.get(usage.service, usage.service)
            observation = Observation(kind, usage.count, usage.p50_seconds, cores)
            slowdown = self.model.observe(observation)
            for other_kind in cores:
                weight = self.model.weight(kind, other_kind)
                metrics.INTERFERENCE.labels(kind, other_kind).set(weight)
            tracker = self.slowdown_trackers.setdefault(
                name, colocation.SlowdownTracker()
            )
            expected = self.model.slowdown(kind, cores)
            tracker.follow(slowdown - expected, now)

    def kinds(self):
        """Return {service: kind} of the shard's services."""
        return {
            job.spec.origin or name: job.spec.kind
            for name, job in self.shard.state.jobs.items()
            if job.spec.workload == wire.Workload.SERVICE
        }

    # Decisions

    def pressure(self):
        """Return the `Pressure` for one placement decision."""
        return colocation.Pressure(self.shard.state, self.model, self.mixes, self.usage)

    def records(self):
        """Decide if a decision is due, start its throttles and return its records.

        After a decision without actions, the next one waits until the state or the
        learned data change, since time alone does not change the result.
        """
        now = self.clock.now()
        key = (self.shard.state.index, self.learned_count)
        if now < self.next_decision_at or key == self.idle_key:
            return []
        self.next_decision_at = now + DECISION_INTERVAL_SECONDS
        decision = self.decide(now)
        has_actions = decision.throttles or decision.records
        self.idle_key = None if has_actions else key
        return decision.records

    def decide(self, now):
        """Record what runs, decide, start throttle orders; return the `Decision`."""
        state = self.shard.state
        if state.index != self.forgotten_index:
            self.usage.forget(state)
            self.forgotten_index = state.index
        for name, endpoint in state.endpoints.items():
            cores = self.mixes.get(state, endpoint, self.usage).cores
            self.history.record_cores(name, cores, now)
        decision = colocation.decide(
            state,
            self.model,
            self.mixes,
            self.usage,
            self.slowdown_trackers,
            now,
            self.settings.scheduler_usage_lag_seconds,
        )
        for throttle in decision.throttles:
            order = asyncio.create_task(self.throttle(throttle))
            self.throttle_orders.add(order)
            order.add_done_callback(self.throttle_orders.discard)
        metrics.THROTTLED_TASKS.set(sum(s < 1.0 for s in self.usage.shares.values()))
        return decision

    async def throttle(self, throttle):
        """Throttle one attempt; if that fails, a later decision repeats it."""
        address = self.shard.state.endpoints[throttle.endpoint].seen.address
        key = (throttle.job, throttle.index, throttle.attempt)
        try:
            await self.driver.throttle(address, TaskStop(*key), throttle.share)
        except errors.EndpointError as error:
            log.debug("%s: %s.", throttle.endpoint, error)
            return
        self.usage.throttled(throttle.endpoint, key, throttle.share)
        self.learned_count += 1
