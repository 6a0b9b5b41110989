"""Sampled traces with a span per hop; recent spans are kept in memory."""

import contextlib
import random
from collections import OrderedDict

import msgspec
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

PROPAGATOR = TraceContextTextMapPropagator()
NANOSECONDS = 1_000_000_000
#: Suffix of a traceparent whose sampled flag is set.
SAMPLED = "-01"
#: Context manager in place of the span of a request that is not traced.
UNTRACED = contextlib.nullcontext()


class SpanImage(msgspec.Struct):
    """A finished span as shown by ``clementinectl trace``; times are in seconds."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    daemon: str
    start: float
    seconds: float
    attributes: dict[str, str]


class RecentSpans(SpanProcessor):
    """Keeps the newest ``limit`` finished spans, grouped by trace."""

    def __init__(self, daemon, limit):
        self.daemon = daemon
        self.limit = limit
        self.count = 0
        self.traces = OrderedDict()

    def on_end(self, span):
        """Store a finished span; the oldest traces are dropped beyond the limit."""
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
        """Return the stored spans of a trace."""
        return self.traces.get(trace_id, [])


class Tracer:
    """Creates the spans of one daemon.

    Whether a request is traced is decided once, where it enters the system; untraced
    requests create no spans anywhere else.
    """

    def __init__(self, daemon, sample_percent, limit):
        self.spans = RecentSpans(daemon, limit)
        self.share = sample_percent / 100.0
        self.rng = random.Random()
        self.provider = TracerProvider(
            sampler=ALWAYS_ON, resource=Resource({"service.name": daemon})
        )
        self.provider.add_span_processor(self.spans)
        self.tracer = self.provider.get_tracer("clementinebay")

    def entry(self, name, parent=""):
        """Return a context manager for the root span of a request from a client.

        The request is traced if the sampled flag is set in ``parent``, the client's
        W3C traceparent.  Without a parent, a random share of requests is traced.
        """
        if parent and parent.endswith(SAMPLED):
            return self.start(name, parent, {})
        if parent or self.rng.random() >= self.share:
            return UNTRACED
        return self.start(name, "", {})

    def remote(self, name, parent):
        """Return a context manager for a child span of another daemon's span.

        It does nothing if the traceparent ``parent`` is empty.
        """
        return self.start(name, parent, {}) if parent else UNTRACED

    def span(self, name, **attributes):
        """Return a context manager for a child span of the current one.

        It does nothing if there is no current span.
        """
        if not trace.get_current_span().get_span_context().is_valid:
            return UNTRACED
        return self.start(name, "", attributes)

    def start(self, name, parent, attributes):
        """Return a context manager for a child span of ``parent``, else of the current.

        ``parent`` is a W3C traceparent.
        """
        context = PROPAGATOR.extract({"traceparent": parent}) if parent else None
        return self.tracer.start_as_current_span(
            name, context=context, attributes=attributes
        )


def traceparent():
    """Return the W3C traceparent of the current span, or an empty string."""
    if not trace.get_current_span().get_span_context().is_valid:
        return ""
    carrier = {}
    PROPAGATOR.inject(carrier)
    return carrier.get("traceparent", "")
