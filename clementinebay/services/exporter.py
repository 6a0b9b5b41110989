"""Service "exporter": the daemon's metrics as text over HTTP."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from clementinebay.service import Service
from clementinebay.web.server import Response, Server

OK = 200
NOT_FOUND = 404
PATH = "/metrics"


class Exporter(Service):
    """Serves `PATH` at the deployment's metrics address, if it has one."""

    name = "exporter"
    requires = ("eventlog",)

    async def start(self):
        """Listen."""
        self.server = None
        if self.settings.metrics is None:
            return
        log = self.kernel.find("eventlog").log
        server = Server(self.answer, *self.settings.metrics, log)
        try:
            self.server = await server.__aenter__()
        except OSError as error:
            # The daemon serves without metrics rather than not at all.
            log.error("metrics.not_served", error=repr(error))

    async def stop(self):
        """Close."""
        if self.server is not None:
            await self.server.__aexit__()

    async def answer(self, request):
        """Answer with all metrics."""
        if request.path != PATH:
            return Response(NOT_FOUND)
        return Response(OK, generate_latest(), content_type=CONTENT_TYPE_LATEST)
