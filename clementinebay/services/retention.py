"""Service "retention": removes jobs that ended long ago from the shard.

A job is removed only when it cannot be submitted again.  The plan in the job registry
records that this part of the job is closed.  For a part that was moved here, the outbox
of the source shard must no longer contain it.
"""

import asyncio

from clementinebay import errors
from clementinebay.log import Log
from clementinebay.policy import retention
from clementinebay.registry import JobRegistry
from clementinebay.service import Service
from clementinebay.shard import transfer
from clementinebay.shard.wire import ttypes as wire

#: Time between two searches for jobs to remove, in seconds.
SEARCH_SECONDS = 10.0

log = Log("retention")


class Retention(Service):
    """Removes jobs while this daemon's scheduler holds the leader lease."""

    name = "retention"
    requires = ("scheduler", "shard", "platform")

    async def start(self):
        """Start the loop that removes jobs."""
        self.shard = self.kernel.find("shard")
        self.leader = self.kernel.find("scheduler").leader
        self.registry = JobRegistry(self.kernel.find("platform").store)
        self.background.spawn(self.run)

    async def run(self):
        """Search for jobs to remove periodically."""
        while True:
            await asyncio.sleep(SEARCH_SECONDS)
            # The time is 0 until the log has been read for the first time.
            if self.leader.held and self.shard.log.confirmed_at:
                try:
                    await self.forget()
                except errors.ShardError as error:
                    log.debug("Could not remove ended jobs; retrying: %s.", error)

    async def forget(self):
        """Append one record that removes jobs, endpoints and cancellations.

        They ended, were lost or were made before the retention period.
        """
        state = self.shard.state
        before = self.clock.now() - self.settings.scheduler_job_retention_seconds
        jobs = [
            job.spec.id
            for job in retention.ended_jobs(state, before)
            if await self.prevent_submission(job)
        ]
        origins = retention.old_cancellations(state, before)
        for origin in origins:
            await self.registry.close(origin, None)
        endpoints = retention.lost_endpoints(state, before)
        if jobs or origins or endpoints:
            forget = wire.Forget("", jobs, endpoints, origins)
            await self.shard.append([wire.Record(forget=forget)])
            log.info("Removed %d jobs and %d endpoints.", len(jobs), len(endpoints))

    async def prevent_submission(self, job):
        """Prevent submissions of ``job``; return whether none can arrive any more."""
        if job.source:
            source = self.shard.log_of(job.source)
            return await transfer.may_forget(source, job.spec.id)
        await self.registry.close(job.origin, [job.spec.id])
        return True
