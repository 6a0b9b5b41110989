"""The clients' HTTP interface: a POST per request, answered with a typed outcome.

The path is ``/v1/services/SERVICE/requests``.  Request headers: ``X-Client``,
``X-Deadline`` (seconds since the Unix epoch), ``Idempotency-Key`` for a request that
runs at most once, ``X-Repeatable: true`` for one that may be retried (ignored if there
is a key), and ``traceparent``.  The ``X-Outcome`` header of the response is done,
not-run or unknown.

A POST to ``/v1/services/SERVICE/tickets`` returns a once-only key that works even while
the platform is down.
"""

import math
import secrets

import msgspec

from clementinebay import errors, metrics, model, tracing

#: HTTP status of each error class; the most specific classes come first.
STATUSES = (
    (errors.SlowBodyError, 408),
    (errors.BadRequestError, 400),
    (errors.DuplicateKeyError, 409),
    (errors.NotRunError, 503),
    (errors.OutcomeUnknownError, 504),
)


#: Request headers that are evaluated.
HEADERS = frozenset(
    (b"x-client", b"x-deadline", b"idempotency-key", b"x-repeatable", b"traceparent")
)
OUTCOMES = {
    name: metrics.REQUESTS.labels(name) for name in ("done", "not-run", "unknown")
}


class Ticket(msgspec.Struct):
    """Response to a request for a ticket; ``deadline`` in seconds since the epoch."""

    key: str
    deadline: float


class Failure(msgspec.Struct):
    """Body of an error response."""

    outcome: str
    code: str
    message: str


#: Response to a client with too many requests in progress, and its counter.
CLIENT_LIMIT_BODY = msgspec.json.encode(
    Failure("not-run", errors.OverloadedError.code, "too many requests of this client")
)
CLIENT_LIMIT_REFUSALS = metrics.REFUSALS.labels(errors.OverloadedError.code)


def status_of(error):
    """Return the HTTP status for a `RequestError`."""
    return next((s for kind, s in STATUSES if isinstance(error, kind)), 504)


class RequestApi:
    """ASGI application for the clients' paths; bypasses the web framework's routing."""

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
            # Refused as cheaply as possible: no body is read, and no span or exception
            # is created.
            OUTCOMES["not-run"].inc()
            CLIENT_LIMIT_REFUSALS.inc()
            await respond(send, 503, CLIENT_LIMIT_BODY, "not-run", request_id, "")
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
        """Return the status and body of the response; raise a `RequestError`."""
        request = await self.read_request(scope, receive, headers, request_id)
        if scope["path"].endswith("/tickets"):
            return 200, self.issue_ticket()
        answer = await self.router.route(request)
        return answer.status, answer.body

    def issue_ticket(self):
        """Issue a once-only key; return it as JSON."""
        now = self.clock.now()
        deadline = now + self.settings.router_ticket_seconds
        key = self.router.tickets.issue(deadline, now)
        return msgspec.json.encode(Ticket(key, deadline))

    async def read_request(self, scope, receive, headers, request_id):
        """Return the `model.Request`.

        Raises `BadRequestError` if it is malformed, `DeadlinePassedError` if it is
        already late.
        """
        body = await self.read_body(receive)
        now = self.clock.now()
        service = scope["path"].split("/")[3]
        deadline = now + self.default_timeout(service)
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
            # A key guarantees that the request runs at most once, so it overrides
            # X-Repeatable.
            repeatable=not key and headers.get(b"x-repeatable", "") == "true",
            key=key,
            body=body,
        )

    def default_timeout(self, service):
        """Return the timeout of requests without a deadline, in seconds."""
        section = self.config.document.values.get(f"service:{service}")
        if section is None:
            return self.settings.router_default_deadline_seconds
        return section["deadline_seconds"]

    async def read_body(self, receive):
        """Return the complete body.

        Raises `BadRequestError` if it is too large or the client disconnects.
        """
        parts = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise errors.BadRequestError("the client disconnected")
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > self.settings.front_max_body_bytes:
                raise errors.BadRequestError("the body is too large")
            if not message.get("more_body"):
                return b"".join(parts)


def slow_body_answer():
    """Return the raw response to a request whose body does not arrive in time."""
    error = errors.SlowBodyError("the body did not arrive in time")
    metrics.REFUSALS.labels(error.code).inc()
    body = msgspec.json.encode(Failure(error.outcome, error.code, str(error)))
    head = (
        f"HTTP/1.1 {status_of(error)} Request Timeout\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"X-Outcome: {error.outcome}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


async def respond(send, status, body, outcome, request_id, trace):
    """Send a response with its outcome, request id and, if traced, traceparent."""
    headers = [
        (b"content-length", str(len(body)).encode()),
        (b"x-outcome", outcome.encode()),
        (b"x-request-id", request_id.encode()),
    ]
    if trace:
        headers.append((b"traceparent", trace.encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
