"""OpenTelemetry tracing: a span for each hop and filter, not exported by default."""

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.sdk.trace.sampling import ALWAYS_OFF, ALWAYS_ON
from opentelemetry.trace import Span, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from plantainwood.settings import Exporter

_propagator = TraceContextTextMapPropagator()


def make_tracer(node: str, exporter: Exporter) -> Tracer:
    """Return the tracer of a daemon; without an exporter no span is sampled."""
    span_exporter = _make_exporter(exporter)
    provider = TracerProvider(
        sampler=ALWAYS_ON if span_exporter is not None else ALWAYS_OFF,
        resource=Resource({"service.name": "plantainwood", "host.name": node}),
    )
    if span_exporter is not None:
        provider.add_span_processor(BatchSpanProcessor(span_exporter))
    return provider.get_tracer("plantainwood")


def _make_exporter(exporter: Exporter) -> SpanExporter | None:
    if exporter is Exporter.CONSOLE:
        return ConsoleSpanExporter()
    return None


def read_context(traceparent: str | None) -> Context:
    """Return the context in a W3C traceparent header, or an empty one without it."""
    return _propagator.extract({"traceparent": traceparent} if traceparent else {})


def make_traceparent(span: Span) -> str:
    """Return the traceparent header for a request sent within a span.

    It is empty if the span has no valid context.
    """
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, context=set_span_in_context(span))
    return carrier.get("traceparent", "")
