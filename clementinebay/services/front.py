"""Service "front": the HTTP interface for clients and operators."""

import asyncio
import contextlib
import gc

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from clementinebay import errors, operatorapi, requestapi
from clementinebay.log import Log
from clementinebay.service import Service

#: New requests are still taken for so long after /ready says no, in seconds.
NOTICE_SECONDS = 0.5
#: Largest head of a request, in bytes, and longest time of one, in seconds.
MAX_HEAD_BYTES = 65_536
HEAD_SECONDS = 10.0
#: A request that is whole: nothing of it is waited for.
WHOLE = (0.0, None)

log = Log("front")


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture none."""
        yield


class BoundedConfig(uvicorn.Config):
    """A configuration that bounds the time of bodies, in seconds."""

    def __init__(self, app, body_seconds, **options):
        super().__init__(app, **options)
        self.body_seconds = body_seconds


class BoundedProtocol(HttpToolsProtocol):
    """Refuses heads that are too large, and heads and bodies that come too slowly.

    ``part`` is what is waited for: (longest time in seconds, what ends the wait); a new
    pair for each part of each request.  ``timed`` is the part that the timer is for.
    """

    def connection_made(self, transport):
        """Begin to wait for the head of the first request."""
        super().connection_made(transport)
        self.head_bytes = 0
        self.timer = None
        self.timed = WHOLE
        self.part = (HEAD_SECONDS, self.refuse_head)
        self.time_part()

    def data_received(self, data):
        """Parse ``data`` and count it if the head is not complete."""
        self.in_head = True
        super().data_received(data)
        self.head_bytes = self.head_bytes + len(data) if self.in_head else 0
        if self.head_bytes > MAX_HEAD_BYTES:
            self.refuse_head()
        if self.part is not self.timed:
            self.time_part()

    def time_part(self):
        """Bound the time of the part that is waited for from now on."""
        self.stop_timer()
        self.timed = self.part
        seconds, refuse = self.part
        if refuse is not None and not self.transport.is_closing():
            self.timer = self.loop.call_later(seconds, self.end_wait)

    def stop_timer(self):
        """Stop waiting."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def end_wait(self):
        """Refuse the request, once those before it on the connection are answered."""
        if self.transport.is_closing():
            return
        _seconds, refuse = self.part
        if self.is_behind(refuse):
            self.time_part()
        else:
            refuse()

    def is_behind(self, refuse):
        """Return whether an earlier request of the connection is in progress."""
        if refuse == self.refuse_body:
            return bool(self.pipeline)
        return self.cycle is not None and not self.cycle.response_complete

    def on_message_begin(self):
        """Note that a head has begun."""
        if self.part is WHOLE:
            self.part = (HEAD_SECONDS, self.refuse_head)
        super().on_message_begin()

    def on_headers_complete(self):
        """Note that the head is complete."""
        self.in_head = False
        self.part = (self.config.body_seconds, self.refuse_body)
        super().on_headers_complete()

    def on_body(self, body):
        """Note that this is no head."""
        self.in_head = False
        super().on_body(body)

    def on_message_complete(self):
        """Note that the request is whole."""
        self.part = WHOLE
        super().on_message_complete()

    def connection_lost(self, exc):
        """Stop waiting."""
        self.stop_timer()
        super().connection_lost(exc)

    def refuse_head(self):
        """Answer 400 and close."""
        if not self.transport.is_closing():
            self.send_400_response("The head is too large or too slow.")

    def refuse_body(self):
        """Answer 408, unless there is an answer already, and close."""
        if not self.cycle.response_started:
            self.transport.write(requestapi.slow_body_answer())
        self.transport.close()


class OpenCalls:
    """Counts calls in progress and calls that were cut off; a context manager."""

    __slots__ = ("open", "cut")

    def __init__(self):
        self.open = 0
        self.cut = 0

    def __enter__(self):
        self.open += 1

    def __exit__(self, kind, *exc):
        self.open -= 1
        self.cut += kind is asyncio.CancelledError

    def check(self, forwarded):
        """Raise `InvariantBrokenError` if a planned stop cut anything off.

        ``forwarded`` counts the requests that the router still has in progress.
        """
        if self.open or self.cut or forwarded:
            raise errors.InvariantBrokenError(
                f"stopped with {self.open} calls and {forwarded} requests in progress, "
                f"{self.cut} calls cut off"
            )


class Front(Service):
    """Owns the HTTP server; ``ready`` is what /ready answers."""

    name = "front"
    requires = ("router", "jobs", "config", "scheduler", "peers", "tracing")

    async def start(self):
        """Open the server."""
        settings = self.settings
        self.ready = True
        self.calls = OpenCalls()
        self.requests = requestapi.RequestApi(self.kernel)
        self.app = operatorapi.build(self.kernel, self, self.requests)
        self.server = QuietServer(
            BoundedConfig(
                self.answer,
                settings.front_body_seconds,
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

        with self.calls:
            await self.app(scope, receive, send_last)

    async def stop(self):
        """Say not ready, finish what is in progress, close."""
        self.ready = False
        peers = self.kernel.find("peers")
        await asyncio.gather(peers.leave(), asyncio.sleep(NOTICE_SECONDS))
        deadline = self.clock.now() + self.settings.daemon_drain_seconds
        router = self.kernel.find("router")
        await router.drain(deadline)
        self.server.should_exit = True
        await self.serving
        self.calls.check(router.in_progress)
        log.info("Closed.")
