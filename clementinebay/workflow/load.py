"""Measures how well the scheduler keeps up, and logs it once a second."""

import asyncio

from clementinebay import metrics
from clementinebay.workflow import planning, waiting

#: Interval of the timer whose delay is measured, in seconds.
LAG_INTERVAL_SECONDS = 0.05
#: Factor by which the recent lag fades with each measurement.
LAG_FADING = 0.85
#: Interval between log lines, in seconds.
LINE_INTERVAL_SECONDS = 1.0
#: Greatest number of endpoints that a log line names.
MAX_NAMED_ENDPOINTS = 5


class TermLoad:
    """The load of the scheduler since the last log line of its term.

    ``starts`` is the `StartWindow` to adapt, and ``processors`` the processor time
    granted to the daemon per second.  ``recent_lag`` is the greatest delay of a timer,
    which fades within a second.
    """

    def __init__(self, engine, starts, processors, clock, log):
        self.engine = engine
        self.starts = starts
        self.recent_lag = 0.0
        self.processors = processors
        self.clock = clock
        self.log = log
        self.reset()

    def reset(self):
        """Start to measure the next interval."""
        self.started_at = self.clock.now()
        self.max_lag_seconds = 0.0
        self.plans = 0
        self.plan_seconds = 0.0
        self.max_plan_seconds = 0.0

    def record_lag(self, seconds):
        """Record the delay of a timer."""
        metrics.LOOP_LAG_SECONDS.observe(seconds)
        self.max_lag_seconds = max(self.max_lag_seconds, seconds)
        self.recent_lag = max(seconds, self.recent_lag * LAG_FADING)
        self.starts.observe(seconds)

    def record_plan(self, seconds):
        """Record the time of one plan."""
        metrics.PLAN_SECONDS.observe(seconds)
        self.plans += 1
        self.plan_seconds += seconds
        self.max_plan_seconds = max(self.max_plan_seconds, seconds)

    async def watch(self):
        """Measure the delay of a timer; log a line at regular intervals."""
        while True:
            due_at = self.clock.now() + LAG_INTERVAL_SECONDS
            await asyncio.sleep(LAG_INTERVAL_SECONDS)
            now = self.clock.now()
            self.record_lag(max(0.0, now - due_at))
            if now >= self.started_at + LINE_INTERVAL_SECONDS:
                fields = self.line(now)
                metrics.DUE_TASKS.set(fields["due"])
                metrics.OLDEST_DUE_SECONDS.set(fields["oldest_ms"] / 1000)
                self.engine.quotas.export_metrics()
                self.log.info("term.load", **fields)
                self.reset()

    def line(self, now):
        """Return the fields of the log line at ``now``."""
        engine = self.engine
        fields = {
            "lag_ms": milliseconds(self.max_lag_seconds),
            "starts": self.starts.in_progress,
            "most_starts": int(self.starts.size),
            "plans": self.plans,
            "plan_ms": milliseconds(self.plan_seconds),
            "max_plan_ms": milliseconds(self.max_plan_seconds),
            "active": len(engine.active),
            "endpoints": len(engine.endpoints),
            "processors": self.processors,
        }
        awaited = engine.inherited_endpoints.awaited()
        if awaited:
            fields["awaited"] = len(awaited)
            fields["awaited_first"] = awaited[:MAX_NAMED_ENDPOINTS]
            ends = map(engine.inherited_endpoints.end_of_leases, awaited)
            fields["awaited_ms"] = milliseconds(max(0.0, max(ends) - now))
        return fields | due_fields(engine, now)


def due_fields(engine, now):
    """Return the log fields about due tasks."""
    tasks = waiting.due_tasks(engine, now)
    oldest = min(tasks, key=lambda task: task.due_at, default=None)
    fields = {
        "usable": len(planning.available_endpoints(engine, now)),
        "due": len(tasks),
        "oldest_ms": 0.0,
    }
    if oldest is not None:
        fields["oldest_ms"] = milliseconds(max(0.0, now - oldest.due_at))
        fields["oldest"] = oldest.name
        fields["reason"] = waiting.reason(engine, oldest, now)
    return fields


def milliseconds(seconds):
    """Return seconds as milliseconds for the log."""
    return round(seconds * 1000, 1)
