"""Service "retention": has the shard forget what ended long ago.

A job is forgotten only when nobody can submit it again: its plan says that the part is
over, or the shard that it was moved from does not have it in its outbox any more.
"""

import asyncio

from clementinebay import errors
from clementinebay.log import Log
from clementinebay.policy import retention
from clementinebay.registry import JobRegistry
from clementinebay.service import Service
from clementinebay.shard import transfer
from clementinebay.shard.wire import ttypes as wire

#: Time between two looks, in seconds.
LOOK_SECONDS = 10.0

log = Log("retention")


class Retention(Service):
    """Works while this daemon's scheduler holds the leader lease."""

    name = "retention"
    requires = ("scheduler", "shard", "platform")

    async def start(self):
        """Begin to look."""
        self.shard = self.kernel.find("shard")
        self.leader = self.kernel.find("scheduler").leader
        self.registry = JobRegistry(self.kernel.find("platform").store)
        self.background.spawn(self.run)

    async def run(self):
        """Forget at every look."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if self.leader.held and self.shard.log.confirmed_at:
                try:
                    await self.forget()
                except errors.ShardError as error:
                    log.debug("Forgetting again: %s.", error)

    async def forget(self):
        """Write one record of all that may be forgotten."""
        state = self.shard.state
        before = self.clock.now() - self.settings.scheduler_job_retention_seconds
        jobs = [
            job.spec.id
            for job in retention.ended_jobs(state, before)
            if await self.is_over(job)
        ]
        origins = retention.old_cancellations(state, before)
        for origin in origins:
            await self.registry.close(origin, None)
        endpoints = retention.lost_endpoints(state, before)
        if jobs or origins or endpoints:
            forget = wire.Forget("", jobs, endpoints, origins)
            await self.shard.append([wire.Record(forget=forget)])
            log.info("Forgot %d jobs, %d endpoints.", len(jobs), len(endpoints))

    async def is_over(self, job):
        """Make sure that nobody submits ``job`` again; return whether that is so."""
        if job.source:
            source = self.shard.log_of(job.source)
            return await transfer.may_forget(source, job.spec.id)
        await self.registry.close(job.origin, [job.spec.id])
        return True
