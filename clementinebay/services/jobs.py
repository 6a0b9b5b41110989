"""Service "jobs": submits, lists and cancels jobs and services of all domains."""

import asyncio
import hashlib

from clementinebay import errors, registry, thriftcodec
from clementinebay.log import Log
from clementinebay.peer.wire import ttypes as peer_wire
from clementinebay.service import Service
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire

#: A part of a plan younger than this cannot have ended and been removed, in seconds.
FRESH_PLAN_SECONDS = 60.0

log = Log("jobs")


class Jobs(Service):
    """Implements the operators' commands for jobs; available at every daemon."""

    name = "jobs"
    requires = ("shard", "platform", "peers", "livelist", "config", "fleet")

    async def start(self):
        """Open the job registry and register the handler for peers."""
        self.shard = self.kernel.find("shard")
        self.peers = self.kernel.find("peers")
        self.fleet = self.kernel.find("fleet")
        self.registry = registry.SharedJobRegistry(self.kernel.find("platform").store)
        self.peers.handle(peer_wire.Kind.JOBS, peer_wire.JobsQuery, self.on_jobs_query)

    async def stop(self):
        """Close the registry, which ends writes in progress."""
        await self.registry.__aexit__()

    async def submit(self, spec):
        """Submit `wire.JobSpec` ``spec``, whose id is the job's name.

        Submitting the same spec again has no effect; a different spec under the same
        name raises `RecordRefusedError`.
        """
        domains = self.submission_domains()
        digest = hashlib.sha256(thriftcodec.encode(spec)).hexdigest()
        parts = registry.split(spec.id, spec.count, domains)
        plan = registry.Plan(spec.id, digest, parts, self.clock.now())
        plan = await self.registry.claim(plan)
        # Same value in every submission, so that the state machine deduplicates them.
        spec.submitted_at = plan.created_at
        await asyncio.gather(*(self.submit_part(spec, plan, p) for p in plan.parts))
        return plan

    def submission_domains(self):
        """Return the domains over which a new job is split."""
        domains = self.kernel.find("livelist").domains()
        if not domains:
            raise errors.PlatformUnavailableError("the live list has not been read yet")
        document = self.kernel.find("config").document
        return [name for name in domains if not document.domain_out(name)] or domains

    async def submit_part(self, spec, plan, part):
        """Submit one part to its domain's log unless it is there or has ended."""
        shard_log = self.shard.log_of(part.domain)

        async def still_due():
            if part.name in shard_log.state.jobs:
                return False
            if self.clock.now() < plan.created_at + FRESH_PLAN_SECONDS:
                return True
            return part.name not in (await self.registry.find(plan.name)).closed

        submit = wire.Submit(registry.part_spec(spec, part))
        records = [wire.Record(submit=submit)]
        writer = self.shard.writer(part.domain)
        raise_first_refusal(await writer.write(records, still_due))

    async def cancel(self, name):
        """Cancel job ``name`` in every domain that has or may receive parts of it."""
        domains = set(self.kernel.find("livelist").domains())
        if not any(name in self.shard.log_of(d).state.parts for d in domains):
            plan = await self.registry.find(name)
            domains.update(part.domain for part in plan.parts)
        cancel = wire.Cancel("", self.clock.now(), [name])
        records = [wire.Record(cancel=cancel)]
        answers = await asyncio.gather(
            *(self.shard.writer(domain).write(records) for domain in domains)
        )
        for refusals in answers:
            raise_first_refusal(refusals)

    async def standings(self, names):
        """Return the `JobStanding`s of parts, and the domains that did not answer.

        Empty ``names`` selects all jobs.
        """
        query = peer_wire.JobsQuery(names)
        found = list((await self.on_jobs_query(query, None)).jobs)
        own = self.settings.daemon_failure_domain
        others = [d for d in self.kernel.find("livelist").domains() if d != own]
        replies = await asyncio.gather(*(self.query_domain(d, query) for d in others))
        for reply in replies:
            found += reply.jobs if reply is not None else ()
        unanswered = [
            domain
            for domain, reply in zip(others, replies, strict=True)
            if reply is None
        ]
        return found, unanswered

    async def query_domain(self, domain, query):
        """Return the `JobsReply` of ``domain``, or ``None`` if it cannot be obtained.

        The domain's daemons are queried in turn.  If none answers, the domain's log is
        read from the platform.
        """
        for vm in self.kernel.find("livelist").daemons():
            if vm.failure_domain != domain:
                continue
            try:
                return await self.peers.query(
                    vm, peer_wire.Kind.JOBS, query, peer_wire.JobsReply
                )
            except errors.PeerError as error:
                log.debug("%s: %s.", vm.id, error)
        try:
            shard_log = self.shard.log_of(domain)
            await shard_log.catch_up()
        except (errors.PlatformError, errors.ShardError) as error:
            log.debug("%s: %s.", domain, error)
            return None
        return await self.jobs_reply(shard_log.state, domain, query.names)

    async def on_jobs_query(self, message, _envelope):
        """Reply with the status of this domain's parts."""
        domain = self.settings.daemon_failure_domain
        return await self.jobs_reply(self.shard.state, domain, message.names)

    async def jobs_reply(self, state, domain, names):
        """Return the `JobsReply` of the parts in ``state``; no names selects all."""
        jobs = [j for j in state.jobs.values() if not names or j.origin in names]
        unplaceable = await self.fleet.find_unplaceable(jobs)
        return peer_wire.JobsReply(
            [job_standing(job, domain, unplaceable.get(job.spec.id)) for job in jobs]
        )


def raise_first_refusal(refusals):
    """Raise the first refusal, if any."""
    for refusal in refusals:
        if refusal is not None:
            raise refusal


def job_standing(job, domain, unplaceable=None):
    """Return the `JobStanding` of one part.

    ``unplaceable`` is the `ParkReason` for which the part can never run, if any; its
    waiting tasks count as parked.
    """
    counts = dict.fromkeys(Phase, 0)
    reasons = set()
    for task in job.tasks.values():
        counts[task.phase] += 1
        if task.reason:
            reasons.add(task.reason)
    waiting = counts[Phase.WAITING] + job.unbound_count
    if unplaceable:
        counts[Phase.PARKED] += waiting
        waiting = 0
        reasons.add(str(unplaceable))
    return peer_wire.JobStanding(
        name=job.spec.id,
        origin=job.spec.origin or job.spec.id,
        domain=domain,
        count=job.spec.count,
        waiting=waiting,
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
