"""Service "tracing": records spans and keeps the recent ones."""

from clementinebay.service import Service
from clementinebay.tracing import Tracer


class Tracing(Service):
    """Owns ``tracer``, the daemon's `Tracer`."""

    name = "tracing"

    async def start(self):
        """Create the tracer."""
        self.tracer = Tracer(
            self.settings.daemon_name,
            self.settings.trace_sample_percent,
            self.settings.trace_spans,
        )

    async def stop(self):
        """Shut the tracer down."""
        self.tracer.provider.shutdown()
