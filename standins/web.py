"""A minimal ASGI router for stand-ins, and a way to serve many ports in one loop."""

import asyncio
import contextlib
import signal

import msgspec
import uvicorn


class Reply:
    """An answer: ``body`` is bytes, or anything that JSON can hold."""

    def __init__(self, body=b"", status=200, headers=()):
        self.body = body if isinstance(body, bytes) else msgspec.json.encode(body)
        self.status = status
        self.headers = [
            (name.lower().encode(), str(value).encode()) for name, value in headers
        ]


class Call:
    """A request: path, headers by lower-case name, body."""

    def __init__(self, scope, body):
        self.path = scope["path"]
        self.method = scope["method"]
        self.headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        self.body = body

    def json(self):
        """Return the decoded body, an empty dictionary if there is none."""
        return msgspec.json.decode(self.body) if self.body else {}


class App:
    """Calls the handler whose path is the longest prefix of the request's."""

    def __init__(self, routes):
        self.routes = sorted(routes.items(), key=lambda item: -len(item[0]))

    async def __call__(self, scope, receive, send):
        """Answer one request."""
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
    """Return the whole body of a request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


class Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture none."""
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
