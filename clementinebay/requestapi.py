"""Clients' requests over HTTP: one POST, one typed outcome.

The path is ``/v1/services/SERVICE/requests``.  Request headers: ``X-Client``,
``X-Deadline`` (seconds since the Unix epoch), ``Idempotency-Key`` for a request that
runs at most once, ``X-Repeatable: true`` for one that may be sent again (a key
outweighs it), and ``traceparent``.  The answer's ``X-Outcome`` is done, not-run or
unknown.

A POST to ``/v1/services/SERVICE/tickets`` answers with a once-only key that also works
while the platform is down.
"""

import math
import secrets

import msgspec

from clementinebay import errors, metrics, model, tracing

#: Status of an answer that carries an error, by error class, most special first.
STATUSES = (
    (errors.SlowBodyError, 408),
    (errors.BadRequestError, 400),
    (errors.DuplicateKeyError, 409),
    (errors.NotRunError, 503),
    (errors.OutcomeUnknownError, 504),
)


#: Request headers that are read.
HEADERS = frozenset(
    (b"x-client", b"x-deadline", b"idempotency-key", b"x-repeatable", b"traceparent")
)
OUTCOMES = {
    name: metrics.REQUESTS.labels(name) for name in ("done", "not-run", "unknown")
}


class Ticket(msgspec.Struct):
    """Body of the answer to a request for a ticket; the deadline in epoch seconds."""

    key: str
    deadline: float


class Failure(msgspec.Struct):
    """Body of an answer that carries an error."""

    outcome: str
    code: str
    message: str


#: Answer to a client that has too many requests in progress, and its counter.
CROWDED_BODY = msgspec.json.encode(
    Failure("not-run", errors.OverloadedError.code, "too many requests of this client")
)
CROWDED = metrics.REFUSALS.labels(errors.OverloadedError.code)


def status_of(error):
    """Return the HTTP status that stands for a `RequestError`."""
    return next((s for kind, s in STATUSES if isinstance(error, kind)), 504)


class RequestApi:
    """An ASGI application for the path of requests, beside the framework's routing."""

    def __init__(self, kernel):
        self.router = kernel.find("router")
        self.config = kernel.find("config")
        self.tracer = kernel.find("tracing").tracer
        self.clock = kernel.clock
        self.settings = kernel.settings

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        headers = {
            name: value.decode("latin-1")
            for name, value in scope["headers"]
            if name in HEADERS
        }
        request_id = secrets.token_hex(16)
        if self.router.clients.refuses(headers.get(b"x-client", "")):
            # As cheap as it can be: without body, span or exception.
            OUTCOMES["not-run"].inc()
            CROWDED.inc()
            await respond(send, 503, CROWDED_BODY, "not-run", request_id, "")
            return
        start = self.clock.now()
        with self.tracer.entry("client", headers.get(b"traceparent", "")):
            trace = tracing.traceparent()
            try:
                status, body = await self.answer(scope, receive, headers, request_id)
                outcome = "done"
            except errors.RequestError as error:
                status, outcome = status_of(error), error.outcome
                failure = Failure(outcome, error.code, str(error))
                body = msgspec.json.encode(failure)
                metrics.REFUSALS.labels(error.code).inc()
        OUTCOMES[outcome].inc()
        metrics.REQUEST_SECONDS.observe(self.clock.now() - start)
        await respond(send, status, body, outcome, request_id, trace)

    async def answer(self, scope, receive, headers, request_id):
        """Return status and body of the answer or raise a `RequestError`."""
        request = await self.read(scope, receive, headers, request_id)
        if scope["path"].endswith("/tickets"):
            return 200, self.ticket()
        answer = await self.router.route(request)
        return answer.status, answer.body

    def ticket(self):
        """Return a new once-only key in JSON."""
        now = self.clock.now()
        deadline = now + self.settings.router_ticket_seconds
        key = self.router.tickets.issue(deadline, now)
        return msgspec.json.encode(Ticket(key, deadline))

    async def read(self, scope, receive, headers, request_id):
        """Return the `model.Request`; raise `BadRequestError` if it is malformed."""
        body = await self.read_body(receive)
        now = self.clock.now()
        service = scope["path"].split("/")[3]
        deadline = now + self.default_seconds(service)
        if b"x-deadline" in headers:
            try:
                deadline = float(headers[b"x-deadline"])
            except ValueError as error:
                raise errors.BadRequestError("X-Deadline is not a number") from error
        if math.isinf(deadline):
            raise errors.BadRequestError("X-Deadline is not finite")
        if not deadline > now:
            raise errors.DeadlinePassedError("the deadline has passed")
        key = headers.get(b"idempotency-key", "")
        return model.Request(
            service=service,
            client=headers.get(b"x-client", ""),
            id=request_id,
            deadline=deadline,
            # The promise of a key outweighs the leave to send again.
            repeatable=not key and headers.get(b"x-repeatable", "") == "true",
            key=key,
            body=body,
        )

    def default_seconds(self, service):
        """Return the time of a request that gives no deadline, in seconds."""
        section = self.config.document.values.get(f"service:{service}")
        if section is None:
            return self.settings.router_default_deadline_seconds
        return section["deadline_seconds"]

    async def read_body(self, receive):
        """Return the whole body; raise `BadRequestError` if it is too large or cut."""
        parts = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise errors.BadRequestError("the client left")
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > self.settings.front_max_body_bytes:
                raise errors.BadRequestError("the body is too large")
            if not message.get("more_body"):
                return b"".join(parts)


def slow_body_answer():
    """Return the bytes of the answer to a request whose body comes too slowly."""
    error = errors.SlowBodyError("the body comes too slowly")
    metrics.REFUSALS.labels(error.code).inc()
    body = msgspec.json.encode(Failure(error.outcome, error.code, str(error)))
    head = (
        f"HTTP/1.1 {status_of(error)} Request Timeout\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"X-Outcome: {error.outcome}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


async def respond(send, status, body, outcome, request_id, trace):
    """Send the answer."""
    headers = [
        (b"content-length", str(len(body)).encode()),
        (b"x-outcome", outcome.encode()),
        (b"x-request-id", request_id.encode()),
    ]
    if trace:
        headers.append((b"traceparent", trace.encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
