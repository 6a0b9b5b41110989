"""Service "jobs": submits, shows and cancels jobs and services of all domains."""

import asyncio
import hashlib

from clementinebay import errors, registry, thriftcodec
from clementinebay.peer.wire import ttypes as peer_wire
from clementinebay.service import Service
from clementinebay.services.shard import submit
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire


class Jobs(Service):
    """Serves operators; any daemon may."""

    name = "jobs"
    requires = ("shard", "platform", "peers", "livelist")

    async def start(self):
        """Begin to answer peers."""
        self.shard = self.kernel.find("shard")
        self.peers = self.kernel.find("peers")
        self.registry = registry.JobRegistry(self.kernel.find("platform").store)
        self.peers.handle(peer_wire.Kind.JOBS, peer_wire.JobsQuery, self.on_jobs_query)

    async def submit(self, spec):
        """Submit `wire.JobSpec` ``spec``, whose id is the job's name.

        Submitting the same again changes nothing; other contents under the same name
        raise `RecordRefusedError`.
        """
        domains = self.kernel.find("livelist").domains()
        if not domains:
            raise errors.PlatformUnavailableError("the live list was not read yet")
        digest = hashlib.sha256(thriftcodec.encode(spec)).hexdigest()
        parts = registry.split(spec.id, spec.count, domains)
        plan = await self.registry.claim(registry.Plan(spec.id, digest, parts))
        spec.submitted_at = self.clock.now()
        for part in plan.parts:
            await self.submit_part(registry.part_spec(spec, part), part.domain)
        return plan

    async def submit_part(self, spec, domain):
        """Append one part to its domain's log unless it is there."""
        shard_log = self.shard.open(domain)
        await shard_log.load()
        if spec.id not in shard_log.state.jobs:
            await submit(shard_log, [wire.Record(submit=wire.Submit(spec))])

    async def cancel(self, name):
        """Cancel job ``name`` wherever its parts are."""
        await self.registry.find(name)
        for domain in self.kernel.find("livelist").domains():
            shard_log = self.shard.open(domain)
            await shard_log.load()
            now = self.clock.now()
            records = [
                wire.Record(cancel=wire.Cancel(part, now))
                for part, job in shard_log.state.jobs.items()
                if (job.spec.origin or part) == name and not job.cancelled
            ]
            if records:
                await submit(shard_log, records)

    async def standings(self, names):
        """Return `JobStanding`s of parts in all domains; no names stand for all."""
        query = peer_wire.JobsQuery(names)
        found = list((await self.on_jobs_query(query, None)).jobs)
        asked = {self.settings.daemon_failure_domain}
        vms = []
        for vm in self.kernel.find("livelist").daemons():
            if vm.failure_domain not in asked and not vm.leaving:
                asked.add(vm.failure_domain)
                vms.append(vm)
        replies = await asyncio.gather(
            *(
                self.peers.query(vm, peer_wire.Kind.JOBS, query, peer_wire.JobsReply)
                for vm in vms
            ),
            return_exceptions=True,
        )
        for reply in replies:
            if isinstance(reply, peer_wire.JobsReply):
                found += reply.jobs
        return found

    async def on_jobs_query(self, message, _envelope):
        """Answer with the standing of this domain's parts."""
        domain = self.settings.daemon_failure_domain
        return peer_wire.JobsReply(
            [
                standing(job, domain)
                for name, job in self.shard.state.jobs.items()
                if not message.names or (job.spec.origin or name) in message.names
            ]
        )


def standing(job, domain):
    """Return the `JobStanding` of one part."""
    counts = dict.fromkeys(Phase, 0)
    reasons = set()
    for task in job.tasks.values():
        counts[task.phase] += 1
        if task.reason:
            reasons.add(task.reason)
    return peer_wire.JobStanding(
        name=job.spec.id,
        origin=job.spec.origin or job.spec.id,
        domain=domain,
        count=job.spec.count,
        waiting=counts[Phase.WAITING] + job.untouched,
        bound=counts[Phase.BOUND],
        running=counts[Phase.RUNNING],
        stopping=counts[Phase.STOPPING],
        parked=counts[Phase.PARKED],
        done=job.done,
        cancelled=job.cancelled,
        reasons=sorted(reasons),
        team=job.spec.team,
        is_service=job.spec.workload == wire.Workload.SERVICE,
    )
