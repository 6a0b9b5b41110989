"""Service "exporter": serves metrics in Prometheus format, and pages for operators."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from clementinebay.service import Service
from clementinebay.web.server import Response, Server

OK = 200
NOT_FOUND = 404
PATH = "/metrics"


class Exporter(Service):
    """Serves `PATH` at the configured metrics address, if there is one.

    ``pages`` maps further paths to functions that return a `Response`; other services
    add them.
    """

    name = "exporter"
    requires = ("eventlog",)

    async def start(self):
        """Open the server if a metrics address is configured."""
        self.server = None
        self.pages = {}
        if self.settings.metrics is None:
            return
        log = self.kernel.find("eventlog").log
        limits = getattr(self.settings, "connection_limits", None)
        server = Server(self.answer, *self.settings.metrics, log, limits)
        try:
            self.server = await server.__aenter__()
        except OSError as error:
            # Metrics are optional: the daemon runs without them.
            log.error("metrics.not_served", error=repr(error))

    async def stop(self):
        """Close the server."""
        if self.server is not None:
            await self.server.__aexit__()

    async def answer(self, request):
        """Return all metrics or a page, or 404 for another path."""
        if request.path in self.pages:
            return self.pages[request.path]()
        if request.path != PATH:
            return Response(NOT_FOUND)
        return Response(OK, generate_latest(), content_type=CONTENT_TYPE_LATEST)
