"""Traces: a span for each hop, sampled, the recent ones kept in memory."""

from collections import OrderedDict

import msgspec
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

PROPAGATOR = TraceContextTextMapPropagator()
NANOSECONDS = 1_000_000_000


class SpanImage(msgspec.Struct):
    """A finished span, as ``clementinectl trace`` shows it; times in seconds."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    daemon: str
    start: float
    seconds: float
    attributes: dict[str, str]


class RecentSpans(SpanProcessor):
    """Keeps the newest ``limit`` finished spans by trace."""

    def __init__(self, daemon, limit):
        self.daemon = daemon
        self.limit = limit
        self.count = 0
        self.traces = OrderedDict()

    def on_end(self, span):
        """Keep a finished span; the oldest trace makes room."""
        image = self.image(span)
        self.traces.setdefault(image.trace_id, []).append(image)
        self.count += 1
        while self.count > self.limit:
            _trace, dropped = self.traces.popitem(last=False)
            self.count -= len(dropped)

    def image(self, span):
        """Return the `SpanImage` of an SDK span."""
        context = span.get_span_context()
        return SpanImage(
            trace_id=f"{context.trace_id:032x}",
            span_id=f"{context.span_id:016x}",
            parent_id=f"{span.parent.span_id:016x}" if span.parent else "",
            name=span.name,
            daemon=self.daemon,
            start=span.start_time / NANOSECONDS,
            seconds=(span.end_time - span.start_time) / NANOSECONDS,
            attributes={key: str(value) for key, value in span.attributes.items()},
        )

    def find(self, trace_id):
        """Return the kept spans of a trace."""
        return self.traces.get(trace_id, [])


class Tracer:
    """Makes spans of one daemon."""

    def __init__(self, daemon, sample_percent, limit):
        self.spans = RecentSpans(daemon, limit)
        sampler = ParentBased(TraceIdRatioBased(sample_percent / 100.0))
        self.provider = TracerProvider(
            sampler=sampler, resource=Resource({"service.name": daemon})
        )
        self.provider.add_span_processor(self.spans)
        self.tracer = self.provider.get_tracer("clementinebay")

    def span(self, name, parent=None, **attributes):
        """Return a context manager for span ``name``.

        ``parent`` is a W3C traceparent text, or ``None`` for the current span.
        """
        context = None
        if parent:
            context = PROPAGATOR.extract({"traceparent": parent})
        return self.tracer.start_as_current_span(
            name, context=context, attributes=attributes
        )


def traceparent():
    """Return the W3C traceparent of the current span, or an empty text."""
    if not trace.get_current_span().get_span_context().is_valid:
        return ""
    carrier = {}
    PROPAGATOR.inject(carrier)
    return carrier.get("traceparent", "")
