"""A minimal ASGI router for stand-ins, and a server of many ports in one loop."""

import asyncio
import contextlib
import signal

import msgspec
import uvicorn


class Reply:
    """A response; a ``body`` other than bytes is encoded as JSON."""

    def __init__(self, body=b"", status=200, headers=()):
        self.body = body if isinstance(body, bytes) else msgspec.json.encode(body)
        self.status = status
        self.headers = [
            (name.lower().encode(), str(value).encode()) for name, value in headers
        ]


class Call:
    """A request with path, method, headers by lower-case name, and body."""

    def __init__(self, scope, body):
        self.path = scope["path"]
        self.method = scope["method"]
        self.headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        self.body = body

    def json(self):
        """Return the decoded JSON body, or an empty dictionary if there is none."""
        return msgspec.json.decode(self.body) if self.body else {}


class App:
    """Dispatches requests to handlers by the longest matching path prefix."""

    def __init__(self, routes):
        self.routes = sorted(routes.items(), key=lambda item: -len(item[0]))

    async def __call__(self, scope, receive, send):
        """Handle one request.

        A handler may return ``None`` to drop the connection without a response.
        """
        body = await read_body(receive)
        handler = next(h for p, h in self.routes if scope["path"].startswith(p))
        reply = await handler(Call(scope, body))
        if reply is None:
            raise ConnectionAbortedError("the stand-in drops this answer")
        if hasattr(reply, "stream"):
            await reply.stream(receive, send)
            return
        headers = [(b"content-length", str(len(reply.body)).encode()), *reply.headers]
        await send(
            {"type": "http.response.start", "status": reply.status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": reply.body})


async def read_body(receive):
    """Return the complete body of a request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


class Server(uvicorn.Server):
    """A uvicorn server that does not install signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leave the signal handlers unchanged."""
        yield


async def serve(apps):
    """Serve {port: app} on loopback until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    servers = [
        Server(
            uvicorn.Config(
                app,
                host="127.0.0.1",
                port=port,
                loop="asyncio",
                http="httptools",
                ws="none",
                lifespan="off",
                access_log=False,
                log_level="critical",
                timeout_graceful_shutdown=1,
            )
        )
        for port, app in apps.items()
    ]
    running = [asyncio.create_task(server.serve()) for server in servers]
    await stopping.wait()
    for server in servers:
        server.should_exit = True
    await asyncio.gather(*running)
