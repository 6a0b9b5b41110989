"""Translates clients' HTTP requests into calls of the service "jobgate"."""

import asyncio
import re
from typing import Annotated

import msgspec

from clementinebay import decoding, errors
from clementinebay.web.server import Response
from clementinebay.workflow.model import Step

JOB_ID = re.compile(r"[0-9a-f]{16}")
#: Largest payload of a job, in bytes.
MAX_PAYLOAD_BYTES = 4_000
#: Greatest number of tasks in a job.  The scheduler takes 0.5 s and 50 MB to create
#: 100,000.
MAX_TASKS = 100_000
#: Assumed timeout of a client that states none, in milliseconds.
DEFAULT_WAIT_MS = 3_000
#: Longest timeout of a client that is taken into account, in milliseconds.
MAX_WAIT_MS = 60_000
#: Number of digits that tell whether a timeout is longer.
MAX_WAIT_DIGITS = 20
#: Share of the client's timeout for which an unknown outcome is waited for.
WAIT_SHARE = 0.8

OK = 200
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
NOT_ALLOWED = 405
CONFLICT = 409
GONE = 410
TOO_MANY = 429
UNAVAILABLE = 503
TIMEOUT = 504

_encode = msgspec.json.Encoder().encode

Text = Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_BYTES)]


class WireStep(msgspec.Struct):
    """A step in a client's request; fields that are 0, false or empty are left out.

    ``cpu`` is in thousandths of a processor.  ``max_per_server`` limits the tasks of
    the step on one endpoint, ``may_miss`` the replicas that the scheduler may make
    unavailable at a time.
    """

    count: decoding.WholeNumber = 1
    cpu: decoding.WholeNumber = 0
    mem_mb: decoding.WholeNumber = 0
    gpu: decoding.WholeNumber = 0
    estimate_ms: decoding.WholeNumber = 0
    after: list[int] = []
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: Text = ""
    data_rack: Text = ""
    max_per_server: decoding.WholeNumber = 0
    speculative: bool = False
    long_running: bool = False
    image: Text = ""
    target_ms: Annotated[float, msgspec.Meta(ge=0, le=decoding.MAX_WHOLE_NUMBER)] = 0
    fills: bool = False
    may_miss: decoding.WholeNumber = 0


class WireJob(msgspec.Struct):
    """A job in a client's request; ``spec`` is passed to its tasks."""

    spec: str = ""
    steps: list[WireStep] = []
    times: int = 0


_decoder = decoding.Decoder(WireJob)


def decode_job(body):
    """Return (payload, steps) of a submission; raise `JobInvalidError` if invalid."""
    try:
        job = _decoder.decode(body)
    except errors.UnreadableError as error:
        raise errors.JobInvalidError(error.reason) from error
    if not job.steps:
        raise errors.JobInvalidError("a job has at least one step")
    if len(job.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise errors.JobInvalidError(f"spec: more than {MAX_PAYLOAD_BYTES} bytes")
    if sum(step.count for step in job.steps) > MAX_TASKS:
        raise errors.JobInvalidError(f"steps: more than {MAX_TASKS} tasks")
    if job.times:
        raise errors.JobInvalidError("times: jobs with a timetable are not supported")
    steps = tuple(decode_step(number, step) for number, step in enumerate(job.steps))
    return job.spec, steps


def decode_step(number, step):
    """Return the `Step` of a client's step; raise `JobInvalidError` if invalid."""
    if step.count < 1:
        raise errors.JobInvalidError(f"steps[{number}].count: less than 1")
    if step.gang:
        raise errors.JobInvalidError(f"steps[{number}].gang: not supported")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise errors.JobInvalidError(f"steps[{number}].after: not an earlier step")
    return Step(
        count=step.count,
        processors_milli=step.cpu,
        memory_mb=step.mem_mb,
        accelerators=step.gpu,
        estimate_ms=step.estimate_ms,
        after=tuple(step.after),
        checkpoints=step.saves_progress,
        required_label=step.required_label,
        data_rack=step.data_rack,
        max_per_endpoint=step.max_per_server,
        speculative=step.speculative,
        replica=step.long_running,
        image=step.image,
        latency_ms=step.target_ms,
        filler=step.fills,
        max_unavailable=step.may_miss,
    )


def error_response(status, text, headers=()):
    """Return an error response with a message."""
    return Response(status, _encode({"error": text}), headers)


def retry_later(seconds, text, status=UNAVAILABLE):
    """Return the response to a request that has had no effect and may be retried."""
    return error_response(status, text, (("retry-after", str(seconds)),))


class Gateway:
    """Answers clients' requests by calls of the service "jobgate"."""

    async def answer(self, request, table, job_gate):
        """Return the `Response` to one request."""
        if table is None:
            return retry_later(1, "no configuration yet")
        queue = table.find(request.headers.get("host", ""), request.path)
        if queue is None:
            return error_response(NOT_FOUND, "no such queue")
        job_id = request.path[len(queue.prefix) :]
        method = METHODS.get((request.method, bool(job_id)))
        if method is None:
            return error_response(NOT_ALLOWED, "method not allowed")
        if job_id and not JOB_ID.fullmatch(job_id):
            return error_response(BAD_REQUEST, "an id has 16 hexadecimal digits")
        try:
            caller = job_gate.authenticate(request, queue, table)
            if caller is None:
                return error_response(UNAUTHORIZED, "no valid API key")
            return await method(self, request, queue, job_id, caller, job_gate)
        except errors.JobInvalidError as error:
            return error_response(BAD_REQUEST, error.problem)
        except errors.JobUnknownError:
            return error_response(GONE, "no such job")
        except errors.JobOwnedError:
            return error_response(CONFLICT, "the id is in use")
        except errors.JobBacklogError as error:
            # Another status than that of a failed store, which would be relayed.
            return retry_later(error.retry_after, error.reason, TOO_MANY)
        except errors.JobRefusedError as error:
            return retry_later(error.retry_after, error.reason)
        except errors.PlatformOutcomeUnknownError as error:
            return error_response(TIMEOUT, error.code)
        except (errors.PlatformError, errors.EntryInvalidError) as error:
            return retry_later(1, error.code)

    async def submit(self, request, queue, job_id, caller, job_gate):
        """Accept a job; log the error if it is not accepted."""
        try:
            await self.accept(request, queue, job_id, caller, job_gate)
        except errors.ClementineError as error:
            job_gate.log.info(
                "job.not_accepted",
                job=job_id,
                queue=queue.name,
                organisation=caller.organisation,
                version=job_gate.queues.table.version,
                error=error.code,
                why=str(error),
                ms=elapsed_ms(request),
            )
            raise
        return Response(OK)

    async def accept(self, request, queue, job_id, caller, job_gate):
        """Decode and store a job."""
        payload, steps = decode_job(request.body)
        deadline = request.received_at + wait_seconds(request) * WAIT_SHARE
        new = await job_gate.submit(queue, job_id, payload, steps, deadline, caller)
        job_gate.log.info(
            "job.accepted",
            job=job_id,
            queue=queue.name,
            organisation=caller.organisation,
            tasks=sum(step.count for step in steps),
            new=new,
            version=job_gate.queues.table.version,
            ms=elapsed_ms(request),
        )

    async def show(self, request, queue, job_id, caller, job_gate):
        """Return a job's state."""
        progress = await job_gate.progress(job_id, caller)
        return Response(OK, _encode({"state": progress.state.value}))

    async def cancel(self, request, queue, job_id, caller, job_gate):
        """Cancel a job."""
        await job_gate.cancel(job_id, caller)
        job_gate.log.info("job.cancel_stored", job=job_id, queue=queue.name)
        return Response(OK)

    async def count(self, request, queue, job_id, caller, job_gate):
        """Return the number of jobs of a queue without a started task."""
        return Response(OK, _encode({"pending": await job_gate.pending(queue)}))


#: Handlers by (HTTP method, whether the path names a job).
METHODS = {
    ("POST", True): Gateway.submit,
    ("GET", True): Gateway.show,
    ("DELETE", True): Gateway.cancel,
    ("GET", False): Gateway.count,
}


def elapsed_ms(request):
    """Return the time since the request was received, in milliseconds."""
    return round((asyncio.get_running_loop().time() - request.received_at) * 1000)


def wait_seconds(request):
    """Return the client's timeout for the request, in seconds."""
    text = request.headers.get("deadline-ms", "")
    if not text.isdecimal():
        return DEFAULT_WAIT_MS / 1000
    # Numbers with thousands of digits cannot be converted.
    return min(int(text[:MAX_WAIT_DIGITS]), MAX_WAIT_MS) / 1000
