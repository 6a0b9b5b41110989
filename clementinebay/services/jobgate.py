"""Service "jobgate": HTTP servers through which clients submit and query jobs."""

import asyncio
import random
import time

from clementinebay import errors, metrics
from clementinebay.policy import backlog
from clementinebay.service import Service
from clementinebay.services import relay
from clementinebay.services.relaysecret import RelaySecret
from clementinebay.web.server import Response, Server
from clementinebay.workflow import jobstore, organisations
from clementinebay.workflow.job import (
    ENDED,
    critical_path_seconds,
    objective_seconds,
)
from clementinebay.workflow.model import JobSpec
from clementinebay.workflow.organisations import ANYONE

#: Ended jobs whose progress is cached, which saves reads of the store.
MAX_CACHED_ENDED_JOBS = 2_000
#: A daemon without contact to the store for longer is not ready, in seconds.
MAX_STORE_SILENCE_SECONDS = 3.5
#: Delay before a submission whose answer was lost is repeated, in seconds.
RETRY_DELAY_SECONDS = 0.15
#: Timeout of one attempt to store a job, in seconds.  Covers a store that takes sixty
#: times its usual 4 ms, and the round trip.
STORE_TIMEOUT_SECONDS = 0.45
#: While the store fails, one submission per interval tries it, in seconds.
PROBE_INTERVAL_SECONDS = 0.3
#: Value of Retry-After for refused clients, in seconds.
RETRY_AFTER_SECONDS = 1
#: Longest time for which counts of pending jobs are cached, in seconds.
PENDING_CACHE_SECONDS = 0.5

#: HTTP methods with a label of their own in metrics.
METRIC_METHODS = frozenset(("GET", "POST", "DELETE"))

#: Header field with a client's API key.
KEY_HEADER = "authorization"

OK = 200
UNAVAILABLE = 503


class JobGate(Service):
    """Serves clients through the deployment's gateway.

    The gateway handles each request by calling `submit`, `progress`, `cancel` and
    `pending`.
    """

    name = "jobgate"
    requires = ("eventlog", "queues", "term")

    async def start(self):
        """Open the servers for clients and for readiness checks."""
        self.log = self.kernel.find("eventlog").log
        self.queues = self.kernel.find("queues")
        self.jobs = jobstore.JobStore(self.settings.store)
        self.relay = relay.Relay(self.settings.client, self.settings.node, self.log)
        self.secret = RelaySecret(self.jobs, self.log)
        self.ended_jobs = {}
        self.pending_counts = {}
        self.counted_at = float("-inf")
        self.stopping = False
        self.store_failed_since = 0.0
        self.last_attempt_at = 0.0
        front, ready = self.settings.front, self.settings.ready
        limits = self.settings.connection_limits
        self.front = Server(self.answer, *front, self.log, limits)
        self.ready = Server(self.answer_ready, *ready, self.log, limits)
        await self.front.__aenter__()
        await self.ready.__aenter__()

    async def stop(self):
        """Finish the requests in progress and close the servers."""
        await self.drain()
        await self.front.__aexit__()
        await self.ready.__aexit__()

    async def drain(self):
        """Report not ready; serve on until clients have left or the drain time ends."""
        self.stopping = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.drain_seconds
        await self.kernel.find("term").leave()
        await asyncio.sleep(self.settings.drain_seconds / 2)
        self.front.draining = True
        while self.front.busy and loop.time() < deadline:
            await asyncio.sleep(0.05)

    # Readiness

    @property
    def is_ready(self):
        """Whether this daemon accepts new clients."""
        mirror = self.queues.mirror
        silence = mirror.clock.now() - mirror.confirmed_at
        return (
            not self.stopping
            and self.queues.table is not None
            and silence < MAX_STORE_SILENCE_SECONDS
        )

    async def answer_ready(self, request):
        """Answer a readiness check."""
        return Response(OK if self.is_ready else UNAVAILABLE)

    # Clients

    async def answer(self, request):
        """Answer one request of a client."""
        table = self.queues.table
        if table is not None:
            self.front.max_body_bytes = table.max_body_bytes
            self.front.max_header_bytes = table.max_header_bytes
        response = await self.settings.gateway.answer(request, table, self)
        if response.status in relay.STORE_FAILURES and table is not None:
            holder = self.kernel.find("term").last_holder
            proof = ()
            if table.organisations is not None:
                proof = self.relay_proof(request)
            if proof is not None:
                response = await self.relay.answer(request, response, holder, proof)
        method = request.method if request.method in METRIC_METHODS else "other"
        seconds = asyncio.get_running_loop().time() - request.received_at
        metrics.JOB_REQUESTS.labels(method, str(response.status)).inc()
        metrics.JOB_REQUEST_SECONDS.labels(method).observe(seconds)
        return response

    def initial_domain(self):
        """Return the failure domain assigned to a new job."""
        out = self.queues.out
        if self.settings.failure_domain not in out:
            return self.settings.failure_domain
        available = sorted(set(self.settings.domains) - out)
        return available[0] if available else self.settings.failure_domain

    def authenticate(self, request, queue, table):
        """Return the `Caller` of a request for a queue, or ``None`` if it is refused.

        Raises `JobRefusedError` if a relayed request cannot be verified.
        """
        if table.organisations is None:
            return ANYONE
        self.secret.request(self.background)
        digest = self.key_digest(request)
        return organisations.authenticate(table.organisations, queue, digest)

    def relay_proof(self, request):
        """Return headers that prove a relayed request, or ``None`` if there are none.

        A relayed request is not relayed again.
        """
        if relay.RELAYED_HEADER in request.headers or not self.secret.is_known:
            return None
        return self.secret.headers(request, self.key_digest(request))

    def key_digest(self, request):
        """Return the digest of the API key of a request, or ``None`` if it has none.

        A relayed request has the digest instead of the key.
        """
        if relay.RELAYED_HEADER in request.headers:
            return self.secret.verified_digest(request)
        return organisations.digest_of_header(request.headers.get(KEY_HEADER, ""))

    async def submit(self, queue, job_id, payload, steps, deadline, caller=ANYONE):
        """Store a job; return ``False`` if a job with its id was stored before.

        The job belongs to the organisation of the `Caller`.  ``deadline`` is in seconds
        of the event loop's clock.  Raises `JobRefusedError` if the job certainly was
        not stored, and `PlatformOutcomeUnknownError` if it may have been.  A job that
        the backlog leaves no time for is refused at once.
        """
        spec = JobSpec(
            id=job_id,
            queue=queue.name,
            service=queue.service,
            payload=payload,
            steps=steps,
            accepted_at=time.time(),
            domain=self.initial_domain(),
            attempts=queue.attempts,
            organisation=caller.organisation,
        )
        self.refuse_while_store_fails()
        await self.refuse_for_backlog(queue, spec)
        answer_lost = False
        while True:
            try:
                return await self.attempt(spec, caller)
            except errors.BacklogChangedError:
                if not answer_lost:
                    await self.refuse_for_backlog(queue, spec, is_newest=True)
                continue
            except errors.PlatformOutcomeUnknownError:
                answer_lost = True
                if asyncio.get_running_loop().time() + RETRY_DELAY_SECONDS > deadline:
                    raise
            except errors.PlatformUnavailableError as error:
                if not answer_lost:
                    raise errors.JobRefusedError(
                        error.code, RETRY_AFTER_SECONDS
                    ) from error
                if asyncio.get_running_loop().time() + RETRY_DELAY_SECONDS > deadline:
                    raise errors.PlatformOutcomeUnknownError(job_id) from error
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    def refuse_while_store_fails(self):
        """Refuse a job while the store fails, except for one attempt per interval."""
        now = asyncio.get_running_loop().time()
        if not self.store_failed_since:
            return
        if now < self.last_attempt_at + PROBE_INTERVAL_SECONDS:
            raise errors.JobRefusedError("store-away", RETRY_AFTER_SECONDS)
        self.last_attempt_at = now

    async def refuse_for_backlog(self, queue, spec, is_newest=False):
        """Raise `JobBacklogError` if the backlog leaves a new job no time.

        The newest backlog is read first unless it is known, and so is the job, as it
        may be submitted again after its acceptance.
        """
        if self.retry_after(queue, spec) is None:
            return
        try:
            if not is_newest:
                await self.jobs.read_backlog()
            retry_after = self.retry_after(queue, spec)
            is_refused = retry_after is not None and not await self.jobs.find(spec.id)
        except errors.PlatformError as error:
            # The attempt to store the job shows whether the store has failed.
            self.log.warning("backlog.unread", error=error.code, why=str(error))
            return
        if is_refused:
            raise errors.JobBacklogError("backlog", retry_after)

    def retry_after(self, queue, spec):
        """Return when a job should be submitted again, ``None`` to accept it."""
        if any(step.replica for step in spec.steps):
            return None
        return backlog.retry_after(
            self.jobs.backlog,
            queue.priority,
            critical_path_seconds(spec),
            objective_seconds(spec, queue),
            random.random(),
            spec.organisation,
        )

    async def attempt(self, spec, caller=ANYONE):
        """Try once to store a job; record whether the store answered."""
        submission = asyncio.create_task(self.jobs.submit(spec, caller))
        try:
            # Unlike a timeout, this keeps an answer that arrived while the loop was
            # late.
            await asyncio.wait({submission}, timeout=STORE_TIMEOUT_SECONDS)
            if not submission.done():
                raise errors.PlatformOutcomeUnknownError(spec.id)
            accepted = submission.result()
        except (errors.BacklogChangedError, errors.JobOwnedError):
            self.record_store_result(True)
            raise
        except errors.PlatformError:
            self.record_store_result(False)
            raise
        finally:
            submission.cancel()
        self.record_store_result(True)
        return accepted

    def record_store_result(self, answered):
        """Record whether the store answered a submission."""
        now = asyncio.get_running_loop().time()
        if answered and self.store_failed_since:
            seconds = round(now - self.store_failed_since, 2)
            self.log.info("store.regained", seconds=seconds)
            self.store_failed_since = 0.0
        elif not answered:
            if not self.store_failed_since:
                self.log.warning("store.lost")
                self.store_failed_since = now
            self.last_attempt_at = now

    async def progress(self, job_id, caller=ANYONE):
        """Return the stored `Progress` of a job.

        Raises `JobUnknownError` if there is none that the `Caller` may use.
        """
        cached = self.ended_jobs.get(job_id)
        if (
            cached is not None
            and cached.ended_at + self.settings.status_seconds > time.time()
        ):
            if not caller.may_use(cached.organisation):
                raise errors.JobUnknownError(job_id)
            return cached
        progress = await self.jobs.progress(job_id, caller)
        if progress.state in ENDED:
            while len(self.ended_jobs) >= MAX_CACHED_ENDED_JOBS:
                del self.ended_jobs[next(iter(self.ended_jobs))]
            self.ended_jobs[job_id] = progress
        return progress

    async def cancel(self, job_id, caller=ANYONE):
        """Record the cancellation of a job.

        Raises `JobUnknownError` if there is none that the `Caller` may use.
        """
        await self.jobs.cancel(job_id, caller)

    async def pending(self, queue):
        """Return how many jobs of a queue have started no task, from a recent count."""
        now = asyncio.get_running_loop().time()
        if now - self.counted_at > PENDING_CACHE_SECONDS:
            self.pending_counts = await self.jobs.pending()
            self.counted_at = now
        return self.pending_counts.get(queue.name, 0)
