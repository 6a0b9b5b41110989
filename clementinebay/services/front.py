"""Service "front": the HTTP interface for clients and operators."""

import asyncio
import contextlib
import gc

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from clementinebay import operatorapi, requestapi
from clementinebay.log import Log
from clementinebay.service import Service

#: New requests are still taken for so long after /ready says no, in seconds.
NOTICE_SECONDS = 0.5
#: Largest head of a request, in bytes, and longest time of the first one, in seconds.
MAX_HEAD_BYTES = 65_536
HEAD_SECONDS = 10.0

log = Log("front")


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture none."""
        yield


class BoundedProtocol(HttpToolsProtocol):
    """Refuses the head of a request that is too large or comes too slowly."""

    def connection_made(self, transport):
        """Begin to wait for the head of the first request."""
        super().connection_made(transport)
        self.head_bytes = 0
        self.head_timer = self.loop.call_later(HEAD_SECONDS, self.refuse_head)

    def data_received(self, data):
        """Parse ``data`` and count it if the head is not complete."""
        self.in_head = True
        super().data_received(data)
        self.head_bytes = self.head_bytes + len(data) if self.in_head else 0
        if self.head_bytes > MAX_HEAD_BYTES:
            self.refuse_head()

    def on_headers_complete(self):
        """Note that the head is complete."""
        self.in_head = False
        self.head_timer.cancel()
        super().on_headers_complete()

    def on_body(self, body):
        """Note that this is no head."""
        self.in_head = False
        super().on_body(body)

    def connection_lost(self, exc):
        """Stop waiting."""
        self.head_timer.cancel()
        super().connection_lost(exc)

    def refuse_head(self):
        """Answer 400 and close."""
        if not self.transport.is_closing():
            self.send_400_response("The head is too large or too slow.")


class Front(Service):
    """Owns the HTTP server; ``ready`` is what /ready answers."""

    name = "front"
    requires = ("router", "jobs", "config", "scheduler", "peers", "tracing")

    async def start(self):
        """Open the server."""
        settings = self.settings
        self.ready = True
        self.requests = requestapi.RequestApi(self.kernel)
        self.app = operatorapi.build(self.kernel, self, self.requests)
        self.server = QuietServer(
            uvicorn.Config(
                self.answer,
                host=settings.front_address,
                port=settings.front_port,
                loop="asyncio",
                http=BoundedProtocol,
                ws="none",
                lifespan="off",
                interface="asgi3",
                access_log=False,
                proxy_headers=False,
                server_header=False,
                date_header=False,
                log_config=None,
                timeout_graceful_shutdown=int(settings.daemon_drain_seconds) + 1,
            )
        )
        self.serving = asyncio.create_task(self.server.serve())
        while not self.server.started and not self.serving.done():
            await asyncio.sleep(0.01)
        if self.serving.done():
            await self.serving
        # What start-up made stays; looking through it again stalls requests.
        gc.collect()
        gc.freeze()
        log.info("Listening on %s:%d.", settings.front_address, settings.front_port)

    async def answer(self, scope, receive, send):
        """Answer one call; once not ready, as the last one of its connection."""

        async def send_last(message):
            if message["type"] == "http.response.start" and not self.ready:
                message["headers"] = [*message["headers"], (b"connection", b"close")]
            await send(message)

        await self.app(scope, receive, send_last)

    async def stop(self):
        """Say not ready, finish what is in progress, close."""
        self.ready = False
        peers = self.kernel.find("peers")
        await asyncio.gather(peers.leave(), asyncio.sleep(NOTICE_SECONDS))
        deadline = self.clock.now() + self.settings.daemon_drain_seconds
        await self.kernel.find("router").drain(deadline)
        self.server.should_exit = True
        await self.serving
        log.info("Closed.")
