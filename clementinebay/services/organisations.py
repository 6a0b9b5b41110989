"""Service "organisations": shows operators what each organisation runs and awaits."""

import msgspec

from clementinebay.service import Service
from clementinebay.web.server import Response

PATH = "/organisations"

OK = 200
UNAVAILABLE = 503

_encode = msgspec.json.Encoder().encode


class OrganisationView(Service):
    """Answers requests at `PATH` of the metrics address while this daemon schedules."""

    name = "organisations"
    requires = ("exporter", "term")

    async def start(self):
        """Add the page to the exporter."""
        self.kernel.find("exporter").pages[PATH] = self.answer

    def answer(self):
        """Return the `Response` with a row for each organisation."""
        term = self.kernel.find("term")
        if term.scheduler is None:
            holder = term.last_holder
            name = "no daemon is known to" if holder is None else f"{holder.node} does"
            message = f"this daemon does not schedule; {name}"
            return Response(UNAVAILABLE, _encode({"error": message}))
        engine = term.scheduler.engine
        return Response(OK, _encode(engine.quotas.rows(engine.active.values())))
