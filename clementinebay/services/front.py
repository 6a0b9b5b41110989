"""Service "front": the HTTP interface for clients and operators."""

import asyncio
import contextlib
import gc

import uvicorn

from clementinebay import operatorapi, requestapi
from clementinebay.log import Log
from clementinebay.service import Service

#: New requests are still taken for so long after /ready says no, in seconds.
NOTICE_SECONDS = 0.5

log = Log("front")


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture none."""
        yield


class Front(Service):
    """Owns the HTTP server; ``ready`` is what /ready answers."""

    name = "front"
    requires = ("router", "jobs", "config", "scheduler", "peers", "tracing")

    async def start(self):
        """Open the server."""
        settings = self.settings
        self.ready = True
        self.requests = requestapi.RequestApi(self.kernel)
        app = operatorapi.build(self.kernel, self, self.requests)
        self.server = QuietServer(
            uvicorn.Config(
                app,
                host=settings.front_address,
                port=settings.front_port,
                loop="asyncio",
                http="httptools",
                ws="none",
                lifespan="off",
                access_log=False,
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

    async def stop(self):
        """Say not ready, finish what is in progress, close."""
        self.ready = False
        await asyncio.sleep(NOTICE_SECONDS)
        deadline = self.clock.now() + self.settings.daemon_drain_seconds
        await self.kernel.find("router").drain(deadline)
        self.server.should_exit = True
        await self.serving
        log.info("Closed.")
