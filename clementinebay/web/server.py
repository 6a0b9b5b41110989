"""An HTTP/1.1 server: one handler coroutine answers every request.

Requests of one connection are answered in order, one at a time.
"""

import asyncio
import http

import httptools

from clementinebay import errors

#: Longest request body, in bytes, unless the owner sets another.
MAX_BODY_BYTES = 262_144
#: Longest head of a request, in bytes, unless the owner sets another.
MAX_HEADER_BYTES = 16_384
#: Longest time in which a request must arrive whole, in seconds.
REQUEST_SECONDS = 10.0
#: Requests of one connection that may wait unanswered; later ones close it.
MAX_PIPELINED = 32

BAD_REQUEST = 400
TOO_LARGE = 413
INTERNAL_ERROR = 500

REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class Request:
    """One whole request; ``headers`` maps lower-case names to texts.

    ``received_at`` is the loop's time, in seconds, at which its last byte was read.
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
    """What a handler returns; ``headers`` lists (name, value) texts."""

    __slots__ = ("status", "body", "headers", "content_type")

    def __init__(self, status, body=b"", headers=(), content_type="application/json"):
        self.status = status
        self.body = body
        self.headers = headers
        self.content_type = content_type

    def encode(self, close):
        """Return the bytes; ``close`` announces the end of the connection."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, '')}"]
        if self.body:
            lines.append(f"content-type: {self.content_type}")
        lines.append(f"content-length: {len(self.body)}")
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if close:
            lines.append("connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one connection and writes their answers."""

    __slots__ = (
        "server",
        "transport",
        "parser",
        "url",
        "headers",
        "body",
        "size",
        "waiting",
        "task",
        "deadline",
    )

    def __init__(self, server):
        self.server = server
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting = []
        self.task = None
        self.deadline = None
        self.on_message_begin()

    # Callbacks of asyncio

    def connection_made(self, transport):
        """Remember the connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc):
        """Forget the connection; a handler at work goes on."""
        self.server.connections.discard(self)
        self.stop_timer()

    def data_received(self, data):
        """Feed the parser."""
        if self.deadline is None:
            self.deadline = asyncio.get_running_loop().call_later(
                self.server.request_seconds, self.transport.abort
            )
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.refuse(BAD_REQUEST, str(error))

    # Callbacks of the parser

    def on_message_begin(self):
        """Begin a request."""
        self.url = b""
        self.headers = {}
        self.body = []
        self.size = 0

    def on_url(self, url):
        """Collect the target."""
        self.url += url
        self.count(len(url), self.server.max_header_bytes)

    def on_header(self, name, value):
        """Collect one header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self.count(len(name) + len(value), self.server.max_header_bytes)

    def on_headers_complete(self):
        """Count the body from here."""
        self.size = 0

    def on_body(self, data):
        """Collect a part of the body."""
        self.body.append(data)
        self.count(len(data), self.server.max_body_bytes)

    def on_message_complete(self):
        """Queue the request."""
        self.stop_timer()
        url = httptools.parse_url(self.url)
        request = Request(
            self.parser.get_method().decode(),
            (url.path or b"/").decode("latin-1"),
            (url.query or b"").decode("latin-1"),
            self.headers,
            b"".join(self.body),
            asyncio.get_running_loop().time(),
        )
        if len(self.waiting) >= MAX_PIPELINED:
            self.transport.abort()
            return
        self.waiting.append((request, not self.parser.should_keep_alive()))
        if self.task is None:
            self.task = asyncio.create_task(self.answer())

    def count(self, size, limit):
        """Raise `RequestTooLargeError` if what is read grows beyond ``limit``."""
        self.size += size
        if self.size > limit:
            raise errors.RequestTooLargeError(limit)

    # Answers

    async def answer(self):
        """Answer the requests that wait, in order."""
        try:
            while self.waiting:
                request, last = self.waiting.pop(0)
                response = await self.server.respond(request)
                last = last or self.server.draining
                if not self.transport.is_closing():
                    self.transport.write(response.encode(last))
                    if last:
                        self.transport.close()
        finally:
            self.task = None

    def refuse(self, status, reason):
        """Answer a request that cannot be read, and close."""
        if not self.transport.is_closing():
            self.transport.write(Response(status, reason.encode()).encode(True))
            self.transport.close()

    def stop_timer(self):
        """Stop waiting for the rest of a request."""
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None


class Server:
    """Listens on ``host``:``port``; a context manager.

    ``handler`` is a coroutine function from `Request` to `Response`.
    """

    def __init__(self, handler, host, port, event_log):
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
            backlog=1024,
            reuse_address=True,
        )
        return self

    async def __aexit__(self, *exc):
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.close()

    @property
    def busy(self):
        """Whether a request is being read or answered."""
        return any(
            connection.task is not None or connection.deadline is not None
            for connection in self.connections
        )

    async def respond(self, request):
        """Return the handler's response; an unexpected error becomes a 500."""
        try:
            return await self.handler(request)
        except Exception as error:
            self.event_log.error(
                "http.handler_failed", path=request.path, error=repr(error)
            )
            return Response(INTERNAL_ERROR, b"internal error")
