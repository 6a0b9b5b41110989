"""An HTTP/1.1 server with one handler coroutine for all requests.

Requests of one connection are handled one at a time and in order.
"""

import asyncio
import http

import httptools

from clementinebay import errors
from clementinebay.web.limits import FIELD_BYTES, ConnectionLimits

#: Default limit of a request's body, in bytes.
MAX_BODY_BYTES = 262_144
#: Default limit of a request's target and headers, in bytes.
MAX_HEADER_BYTES = 16_384
#: Time within which a request must be received completely, in seconds.
REQUEST_SECONDS = 10.0
#: Maximum number of queued requests of one connection; one more closes it.
MAX_PIPELINED = 32
#: Maximum number of fields in a request's headers.
MAX_FIELDS = 256
#: Bytes of unread answers beyond which a connection's next request waits.
MAX_UNREAD_BYTES = 4_096
#: Time within which a client has to read an answer, in seconds.
ANSWER_SECONDS = 10.0
#: Length of the kernel's queue of connections that are not accepted yet.
LISTEN_QUEUE = 1_024
#: Interval between log lines about closed connections, in seconds.
SHED_LOG_SECONDS = 1.0
#: Value of Retry-After for clients whose connection is closed, in seconds.
RETRY_AFTER_SECONDS = "1"

BAD_REQUEST = 400
TOO_LARGE = 413
INTERNAL_ERROR = 500
UNAVAILABLE = 503

REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class Request:
    """A complete request; ``headers`` maps lower-case names to strings.

    ``received_at`` is the event loop's time, in seconds, at which the last byte was
    read.
    """

    __slots__ = ("method", "path", "query", "headers", "body", "received_at")

    def __init__(self, method, path, query, headers, body, received_at):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.received_at = received_at


class Response:
    """A handler's response; ``headers`` lists (name, value) strings."""

    __slots__ = ("status", "body", "headers", "content_type")

    def __init__(self, status, body=b"", headers=(), content_type="application/json"):
        self.status = status
        self.body = body
        self.headers = headers
        self.content_type = content_type

    def encode(self, close):
        """Return the encoded response, with ``Connection: close`` if ``close``."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, '')}"]
        if self.body:
            lines.append(f"content-type: {self.content_type}")
        lines.append(f"content-length: {len(self.body)}")
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if close:
            lines.append("connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one connection and writes the responses.

    ``held_bytes`` are counted by the server's `ConnectionLimits`: those of requests,
    complete or not, and ``unread_bytes`` of answers that the client does not read.
    ``request_bytes`` is the part for the request that is being received, and
    ``queued_bytes`` that for complete requests without an answer.
    ``changed_at`` is when the connection was opened or its last request began.
    """

    __slots__ = (
        "server",
        "transport",
        "parser",
        "url",
        "headers",
        "body",
        "size",
        "queue",
        "task",
        "timer",
        "fields",
        "held_bytes",
        "request_bytes",
        "queued_bytes",
        "unread_bytes",
        "changed_at",
        "readable",
    )

    def __init__(self, server):
        self.server = server
        self.held_bytes = 0
        self.queued_bytes = 0
        self.unread_bytes = 0
        self.changed_at = 0.0
        self.readable = asyncio.Event()
        self.readable.set()
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.queue = []
        self.task = None
        self.timer = None
        self.on_message_begin()

    # Callbacks of asyncio

    def connection_made(self, transport):
        """Register the connection with the server."""
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        self.changed_at = asyncio.get_running_loop().time()
        self.server.connections.add(self)
        self.server.limits.open(self)

    def connection_lost(self, exc):
        """Unregister the connection; a running handler is not cancelled."""
        self.server.connections.discard(self)
        self.server.limits.forget(self)
        self.stop_timer()
        self.readable.set()

    def pause_writing(self):
        """Count answers that the client does not read."""
        self.readable.clear()
        self.unread_bytes = self.transport.get_write_buffer_size()
        self.hold(self.unread_bytes)

    def resume_writing(self):
        """Go on after the client has read its answers."""
        self.readable.set()
        self.hold(-self.unread_bytes)
        self.unread_bytes = 0

    def data_received(self, data):
        """Feed the parser, and start the timer when a request begins."""
        if self.timer is None:
            self.changed_at = asyncio.get_running_loop().time()
            self.timer = asyncio.get_running_loop().call_later(
                self.server.request_seconds, self.transport.abort
            )
        before = self.request_bytes + self.queued_bytes
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.reject(BAD_REQUEST, str(error))
        self.hold(self.request_bytes + self.queued_bytes - before)

    # What is held for the client

    @property
    def is_receiving(self):
        """Whether a request has begun and is not complete."""
        return self.timer is not None

    @property
    def is_answering(self):
        """Whether a complete request has no answer yet."""
        return self.task is not None

    @property
    def is_ahead(self):
        """Whether the client has sent requests beyond the one that is answered."""
        return bool(self.queue)

    @property
    def is_unread(self):
        """Whether the client does not read its answers."""
        return not self.readable.is_set()

    def hold(self, size):
        """Count ``size`` more bytes, or fewer if negative, as held."""
        if self in self.server.limits.connections:
            self.server.limits.hold(self, size)

    def shed(self, cause):
        """Close the connection because too much is held; drop what was received."""
        self.server.log_shed(cause)
        self.headers, self.body = {}, bytearray()
        if self.is_unread or self.is_ahead:
            self.abort()
        else:
            headers = (("retry-after", RETRY_AFTER_SECONDS),)
            self.reject(UNAVAILABLE, "too many requests at a time", headers)

    # Callbacks of the parser

    def on_message_begin(self):
        """Reset the state for a new request."""
        self.url = b""
        self.headers = {}
        self.body = bytearray()
        self.size = 0
        self.fields = 0
        self.request_bytes = 0

    def on_url(self, url):
        """Collect a part of the request target."""
        self.url += url
        self.add_size(len(url), self.server.max_header_bytes)

    def on_header(self, name, value):
        """Collect one header."""
        self.fields += 1
        if self.fields > MAX_FIELDS:
            raise errors.RequestTooLargeError(MAX_FIELDS)
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self.add_size(len(name) + len(value), self.server.max_header_bytes)
        self.request_bytes += FIELD_BYTES

    def on_headers_complete(self):
        """Reset the size, which then counts the body."""
        self.size = 0

    def on_body(self, data):
        """Collect a part of the body."""
        self.add_size(len(data), self.server.max_body_bytes)
        self.body += data

    def on_message_complete(self):
        """Queue the complete request."""
        self.stop_timer()
        url = httptools.parse_url(self.url)
        request = Request(
            self.parser.get_method().decode(),
            (url.path or b"/").decode("latin-1"),
            (url.query or b"").decode("latin-1"),
            self.headers,
            bytes(self.body),
            asyncio.get_running_loop().time(),
        )
        if len(self.queue) >= MAX_PIPELINED:
            self.abort()
            return
        self.body = bytearray()
        close_after = not self.parser.should_keep_alive()
        self.queue.append((request, close_after, self.request_bytes))
        self.queued_bytes += self.request_bytes
        self.request_bytes = 0
        if self.task is None:
            self.task = asyncio.create_task(self.answer())

    def add_size(self, size, limit):
        """Add to the size read; raise `RequestTooLargeError` if over ``limit``."""
        self.size += size
        if self.size > limit or self.transport.is_closing():
            raise errors.RequestTooLargeError(limit)
        self.request_bytes += size

    # Responses

    async def answer(self):
        """Answer the queued requests in order."""
        try:
            while self.queue:
                request, close_after, held_bytes = self.queue.pop(0)
                response = await self.server.respond(request)
                close_after = close_after or self.server.draining
                if not self.transport.is_closing():
                    self.transport.write(response.encode(close_after))
                    if close_after:
                        self.transport.close()
                self.queued_bytes -= held_bytes
                self.hold(-held_bytes)
                if self.is_unread:
                    await self.wait_read()
        finally:
            self.task = None

    async def wait_read(self):
        """Wait until the client has read its answers; close the connection if late."""
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await self.readable.wait()
        except TimeoutError:
            self.abort()

    def abort(self):
        """Close the connection at once; requests that wait for their turn never run."""
        self.queue.clear()
        self.transport.abort()

    def reject(self, status, reason, headers=()):
        """Answer a request that is not carried out, and close the connection."""
        if not self.transport.is_closing():
            response = Response(status, reason.encode(), headers)
            self.transport.write(response.encode(True))
            self.transport.close()

    def stop_timer(self):
        """Cancel the timer for receiving a request."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Server:
    """An HTTP server on ``host``:``port``; an asynchronous context manager.

    ``handler`` is a coroutine function that takes a `Request` and returns a `Response`.
    ``limits`` are the `ConnectionLimits` of the process, by default those of this
    server alone.
    """

    def __init__(self, handler, host, port, event_log, limits=None):
        self.limits = limits or ConnectionLimits()
        self.shed_logged_at = {}
        self.handler = handler
        self.host = host
        self.port = port
        self.event_log = event_log
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_header_bytes = MAX_HEADER_BYTES
        self.request_seconds = REQUEST_SECONDS
        self.connections = set()
        self.draining = False
        self.listener = None

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self),
            self.host,
            self.port,
            backlog=self.limits.max_accepted,
            reuse_address=True,
        )
        # Asyncio takes one number for what it accepts between polls and for the queue.
        for listening in self.listener.sockets:
            with listening.dup() as duplicate:
                duplicate.listen(LISTEN_QUEUE)
        return self

    async def __aexit__(self, *exc):
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.close()

    @property
    def busy(self):
        """Whether any request is being received or handled."""
        return any(
            connection.task is not None or connection.timer is not None
            for connection in self.connections
        )

    def log_shed(self, cause):
        """Log that a connection is closed, once a second for each cause."""
        now = asyncio.get_running_loop().time()
        if now >= self.shed_logged_at.get(cause, now):
            self.shed_logged_at[cause] = now + SHED_LOG_SECONDS
            self.event_log.warning(
                "http.connections_closed",
                cause=cause,
                port=self.port,
                closed=self.limits.closed[cause],
                connections=len(self.limits.connections),
                held_bytes=self.limits.held,
            )

    async def respond(self, request):
        """Return the handler's response, or status 500 if it raises an exception."""
        try:
            return await self.handler(request)
        except Exception as error:
            self.event_log.error(
                "http.handler_failed", path=request.path, error=repr(error)
            )
            return Response(INTERNAL_ERROR, b"internal error")
