"""Service "jobgate": accepts, shows and cancels jobs for clients."""

import asyncio
import time

from clementinebay import errors, metrics
from clementinebay.service import Service
from clementinebay.services import relay
from clementinebay.web.server import Response, Server
from clementinebay.workflow import jobstore
from clementinebay.workflow.job import ENDED
from clementinebay.workflow.model import JobSpec

#: Ended jobs whose state is remembered, so that it need not be read again.
REMEMBERED = 2_000
#: A daemon without contact to the service for so long says that it is not ready.
READY_SECONDS = 3.5
#: Wait before a write whose answer was lost is repeated, in seconds.
SETTLE_SECONDS = 0.15
#: Longest wait for one attempt to store a job, in seconds: the store at sixty times its
#: usual 4 ms, and the way there and back.
ATTEMPT_SECONDS = 0.45
#: While the store fails, one job is let try to reach it in so long, in seconds.
TRIAL_SECONDS = 0.3
#: When a client that was refused may come again, in seconds.
RETRY_AFTER_SECONDS = 1
#: How old counts of pending jobs may be when they are shown again, in seconds.
PENDING_SECONDS = 0.5

#: Methods that metrics name.
METHODS = frozenset(("GET", "POST", "DELETE"))

OK = 200
UNAVAILABLE = 503


class JobGate(Service):
    """Serves clients through the deployment's gateway.

    The gateway is called with each request and calls `submit`, `progress`, `cancel` and
    `pending` here.
    """

    name = "jobgate"
    requires = ("eventlog", "queues", "term")

    async def start(self):
        """Listen for clients."""
        self.log = self.kernel.find("eventlog").log
        self.queues = self.kernel.find("queues")
        self.jobs = jobstore.JobStore(self.settings.store)
        self.relay = relay.Relay(self.settings.client, self.settings.node, self.log)
        self.ended = {}
        self.counts = {}
        self.counted_at = float("-inf")
        self.stopping = False
        self.away_since = 0.0
        self.tried_at = 0.0
        front, ready = self.settings.front, self.settings.ready
        self.front = Server(self.answer, *front, self.log)
        self.ready = Server(self.answer_ready, *ready, self.log)
        await self.front.__aenter__()
        await self.ready.__aenter__()

    async def stop(self):
        """Finish the requests in progress and close."""
        await self.drain()
        await self.front.__aexit__()
        await self.ready.__aexit__()

    async def drain(self):
        """Say that this daemon is not ready, and serve on until clients have left."""
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
        """Whether new clients are served here."""
        mirror = self.queues.mirror
        silence = mirror.clock.now() - mirror.confirmed_at
        return (
            not self.stopping
            and self.queues.table is not None
            and silence < READY_SECONDS
        )

    async def answer_ready(self, request):
        """Answer the check of this daemon's readiness."""
        return Response(OK if self.is_ready else UNAVAILABLE)

    # Clients

    async def answer(self, request):
        """Answer one request of a client."""
        table = self.queues.table
        if table is not None:
            self.front.max_body_bytes = table.max_body_bytes
            self.front.max_header_bytes = table.max_header_bytes
        response = await self.settings.gateway.answer(request, table, self)
        if response.status in relay.UNSERVED and table is not None:
            holder = self.kernel.find("term").last_holder
            response = await self.relay.answer(request, response, holder)
        method = request.method if request.method in METHODS else "other"
        seconds = asyncio.get_running_loop().time() - request.received_at
        metrics.JOB_REQUESTS.labels(method, str(response.status)).inc()
        metrics.JOB_REQUEST_SECONDS.labels(method).observe(seconds)
        return response

    def home_domain(self):
        """Return the failure domain in which a new job may run from the start."""
        out = self.queues.out
        if self.settings.failure_domain not in out:
            return self.settings.failure_domain
        left = sorted(set(self.settings.domains) - out)
        return left[0] if left else self.settings.failure_domain

    async def submit(self, queue, job_id, payload, steps, deadline):
        """Store a job; return when it is accepted.

        ``deadline`` is in seconds of the loop.  Raises `JobRefusedError` if the job
        surely never runs, and `PlatformOutcomeUnknownError` if that is not known.
        """
        spec = JobSpec(
            id=job_id,
            queue=queue.name,
            service=queue.service,
            payload=payload,
            steps=steps,
            accepted_at=time.time(),
            domain=self.home_domain(),
            attempts=queue.attempts,
        )
        self.refuse_while_away()
        lost = False
        while True:
            try:
                return await self.attempt(spec)
            except errors.PlatformOutcomeUnknownError:
                lost = True
                if asyncio.get_running_loop().time() + SETTLE_SECONDS > deadline:
                    raise
            except errors.PlatformUnavailableError as error:
                if not lost:
                    raise errors.JobRefusedError(
                        error.code, RETRY_AFTER_SECONDS
                    ) from error
                if asyncio.get_running_loop().time() + SETTLE_SECONDS > deadline:
                    raise errors.PlatformOutcomeUnknownError(job_id) from error
            await asyncio.sleep(SETTLE_SECONDS)

    def refuse_while_away(self):
        """Refuse a job at once if the store failed just now; some are let try."""
        now = asyncio.get_running_loop().time()
        if not self.away_since:
            return
        if now < self.tried_at + TRIAL_SECONDS:
            raise errors.JobRefusedError("store-away", RETRY_AFTER_SECONDS)
        self.tried_at = now

    async def attempt(self, spec):
        """Try once to store a job, and note whether the store answers."""
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                accepted = await self.jobs.submit(spec)
        except TimeoutError as error:
            self.note_store(False)
            raise errors.PlatformOutcomeUnknownError(spec.id) from error
        except errors.PlatformError:
            self.note_store(False)
            raise
        self.note_store(True)
        return accepted

    def note_store(self, answers):
        """Note whether the store answered a submission."""
        now = asyncio.get_running_loop().time()
        if answers and self.away_since:
            seconds = round(now - self.away_since, 2)
            self.log.info("store.regained", seconds=seconds)
            self.away_since = 0.0
        elif not answers:
            if not self.away_since:
                self.log.warning("store.lost")
                self.away_since = now
            self.tried_at = now

    async def progress(self, job_id):
        """Return the stored `Progress` of a job; raise `JobUnknownError` if none."""
        known = self.ended.get(job_id)
        if (
            known is not None
            and known.ended_at + self.settings.status_seconds > time.time()
        ):
            return known
        progress = await self.jobs.progress(job_id)
        if progress.state in ENDED:
            while len(self.ended) >= REMEMBERED:
                del self.ended[next(iter(self.ended))]
            self.ended[job_id] = progress
        return progress

    async def cancel(self, job_id):
        """Store that a job is cancelled; raise `JobUnknownError` if there is none."""
        await self.jobs.cancel(job_id)

    async def pending(self, queue):
        """Return how many jobs of a queue have begun no task, seconds ago at most."""
        now = asyncio.get_running_loop().time()
        if now - self.counted_at > PENDING_SECONDS:
            self.counts = await self.jobs.pending()
            self.counted_at = now
        return self.counts.get(queue.name, 0)
