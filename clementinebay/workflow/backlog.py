"""Measures the backlog of a term and states it for the daemons that accept jobs."""

import asyncio

from clementinebay import metrics
from clementinebay.policy import backlog as policy
from clementinebay.workflow import jobstore
from clementinebay.workflow.published import PublishedValue

#: Interval between measurements, in seconds.
INTERVAL_SECONDS = 1.0
#: Interval between writes of a backlog that has changed, in seconds.  Each write makes
#: the next submission at every daemon read it.
WRITE_SECONDS = 2.0
#: Backlog below which there is nothing to state, in seconds.
MIN_STATED_SECONDS = 2.0

NO_BACKLOG = policy.Backlog()


class BacklogMeter:
    """The backlog of one term; ``stated`` is the `PublishedValue` of it."""

    def __init__(self, engine, sender, writer, clock, log):
        self.engine = engine
        self.sender = sender
        self.lease = writer.lease
        self.clock = clock
        self.log = log
        self.rate = policy.StartRate()
        self.starts_seen = 0
        self.measured_at = clock.now()
        self.stated = PublishedValue(jobstore.BACKLOG, writer, log)
        # That of the term before was deleted with its lease.
        self.stated.value = NO_BACKLOG
        self.stated_at = float("-inf")

    async def run(self):
        """Measure and state the backlog until the term ends."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            now = self.clock.now()
            backlog = self.measure(now)
            metrics.BACKLOG_SECONDS.set(backlog.seconds)
            if self.is_due(backlog, now):
                await self.state(backlog, now)

    def measure(self, now):
        """Return the `Backlog`, empty as long as the rate of starts is not known."""
        jobs = self.engine.active.values()
        waits = any(any(job.waiting) for job in jobs if not job.replica)
        starts, self.starts_seen = (
            self.sender.started - self.starts_seen,
            self.sender.started,
        )
        seconds, self.measured_at = now - self.measured_at, now
        self.rate.observe(starts, seconds, waits)
        self.engine.start_seconds = 0.0
        if not waits:
            return NO_BACKLOG
        held = self.engine.quotas.backlogs(jobs)
        stated = {n: s for n, s in held.items() if s >= MIN_STATED_SECONDS}
        found = NO_BACKLOG
        if self.rate.value:
            found = policy.measure(jobs, self.rate.value, now, held)
        if found.seconds < MIN_STATED_SECONDS:
            return policy.Backlog(organisations=stated)
        self.engine.start_seconds = 1 / self.rate.value
        return policy.Backlog(found.seconds, found.waits, stated)

    def is_due(self, backlog, now):
        """Return whether a backlog is to be written now."""
        if backlog == self.stated.value:
            return False
        return backlog == NO_BACKLOG or now >= self.stated_at + WRITE_SECONDS

    async def state(self, backlog, now):
        """Write the backlog, which lasts as long as the term's lease."""
        put = jobstore.backlog_put(backlog, self.lease)
        if await self.stated.publish(backlog, put):
            self.stated_at = now
            self.log.info(
                "term.backlog",
                seconds=backlog.seconds,
                waits=backlog.waits,
                starts_per_second=round(self.rate.value, 1),
            )
