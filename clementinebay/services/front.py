"""Service "front": the HTTP interface for clients and operators."""

import asyncio
import contextlib
import gc

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from clementinebay import errors, operatorapi, requestapi
from clementinebay.log import Log
from clementinebay.service import Service

#: Time for which requests are still accepted after /ready reports 503, in seconds.
READINESS_NOTICE_SECONDS = 0.5
#: Limits for the head of a request: size in bytes and time to receive it in seconds.
MAX_HEAD_BYTES = 65_536
HEAD_TIMEOUT_SECONDS = 10.0
#: Value of ``awaited_part`` once a request is complete: no timeout.
REQUEST_COMPLETE = (0.0, None)

log = Log("front")


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers."""
        yield


class BoundedConfig(uvicorn.Config):
    """A uvicorn configuration with a timeout for request bodies, in seconds."""

    def __init__(self, app, body_seconds, **options):
        super().__init__(app, **options)
        self.body_seconds = body_seconds


class BoundedProtocol(HttpToolsProtocol):
    """Refuses heads that are too large, and heads and bodies that arrive too slowly.

    ``awaited_part`` is (timeout in seconds, method called on timeout), a new pair for
    each head or body.  ``timed_part`` is the one that the timer was started for.
    """

    def connection_made(self, transport):
        """Start the timeout for the head of the first request."""
        super().connection_made(transport)
        self.head_bytes = 0
        self.timer = None
        self.timed_part = REQUEST_COMPLETE
        self.awaited_part = (HEAD_TIMEOUT_SECONDS, self.refuse_head)
        self.start_timer()

    def data_received(self, data):
        """Parse ``data``; count its bytes while the head is incomplete."""
        self.in_head = True
        super().data_received(data)
        self.head_bytes = self.head_bytes + len(data) if self.in_head else 0
        if self.head_bytes > MAX_HEAD_BYTES:
            self.refuse_head()
        if self.awaited_part is not self.timed_part:
            self.start_timer()

    def start_timer(self):
        """Start the timer for the awaited part."""
        self.stop_timer()
        self.timed_part = self.awaited_part
        seconds, refuse = self.awaited_part
        if refuse is not None and not self.transport.is_closing():
            self.timer = self.loop.call_later(seconds, self.on_timeout)

    def stop_timer(self):
        """Cancel the timer, if any."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_timeout(self):
        """Refuse the request; restart the timer while an earlier one is in progress."""
        if self.transport.is_closing():
            return
        _seconds, refuse = self.awaited_part
        if self.has_earlier_request(refuse):
            self.start_timer()
        else:
            refuse()

    def has_earlier_request(self, refuse):
        """Return whether an earlier request of this connection is in progress."""
        if refuse == self.refuse_body:
            return bool(self.pipeline)
        return self.cycle is not None and not self.cycle.response_complete

    def on_message_begin(self):
        """Start the head timeout unless part of a request is already awaited."""
        if self.awaited_part is REQUEST_COMPLETE:
            self.awaited_part = (HEAD_TIMEOUT_SECONDS, self.refuse_head)
        super().on_message_begin()

    def on_headers_complete(self):
        """Await the body: the head is complete."""
        self.in_head = False
        self.awaited_part = (self.config.body_seconds, self.refuse_body)
        super().on_headers_complete()

    def on_body(self, body):
        """Exclude body data from the size of the head."""
        self.in_head = False
        super().on_body(body)

    def on_message_complete(self):
        """Await nothing more: the request is complete."""
        self.awaited_part = REQUEST_COMPLETE
        super().on_message_complete()

    def connection_lost(self, exc):
        """Cancel the timer."""
        self.stop_timer()
        super().connection_lost(exc)

    def refuse_head(self):
        """Answer 400 and close the connection."""
        if not self.transport.is_closing():
            self.send_400_response(
                "The request head is too large or arrived too slowly."
            )

    def refuse_body(self):
        """Answer 408, unless a response has started, and close the connection."""
        if not self.cycle.response_started:
            self.transport.write(requestapi.slow_body_answer())
        self.transport.close()


class CallCounter:
    """Counts calls in progress and cancelled calls; a context manager for each call."""

    __slots__ = ("in_progress", "interrupted")

    def __init__(self):
        self.in_progress = 0
        self.interrupted = 0

    def __enter__(self):
        self.in_progress += 1

    def __exit__(self, kind, *exc):
        self.in_progress -= 1
        self.interrupted += kind is asyncio.CancelledError

    def check(self, forwarded):
        """Raise `InvariantBrokenError` if a graceful stop interrupted any call.

        ``forwarded`` is the number of requests that the router has in progress.
        """
        if self.in_progress or self.interrupted or forwarded:
            raise errors.InvariantBrokenError(
                f"stopped with {self.in_progress} calls and {forwarded} requests "
                f"in progress, {self.interrupted} calls interrupted"
            )


class Front(Service):
    """Owns the HTTP server; ``ready`` is the readiness reported at /ready."""

    name = "front"
    requires = ("router", "jobs", "config", "scheduler", "peers", "tracing")

    async def start(self):
        """Start the HTTP server."""
        settings = self.settings
        self.ready = True
        self.calls = CallCounter()
        self.requests = requestapi.RequestApi(self.kernel)
        self.app = operatorapi.build(self.kernel, self, self.requests)
        self.server = EmbeddedServer(
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
        # Objects created at start-up are never freed; scanning them stalls requests.
        gc.collect()
        gc.freeze()
        log.info("Listening on %s:%d.", settings.front_address, settings.front_port)

    async def answer(self, scope, receive, send):
        """Handle one HTTP call; while not ready, close its connection afterwards."""

        async def send_last(message):
            if message["type"] == "http.response.start" and not self.ready:
                message["headers"] = [*message["headers"], (b"connection", b"close")]
            await send(message)

        with self.calls:
            await self.app(scope, receive, send_last)

    async def stop(self):
        """Report not ready, finish the requests in progress and close the server."""
        self.ready = False
        peers = self.kernel.find("peers")
        await asyncio.gather(peers.leave(), asyncio.sleep(READINESS_NOTICE_SECONDS))
        deadline = self.clock.now() + self.settings.daemon_drain_seconds
        router = self.kernel.find("router")
        await router.drain(deadline)
        self.server.should_exit = True
        await self.serving
        self.calls.check(router.in_progress)
        log.info("HTTP server closed.")
