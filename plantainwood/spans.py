"""Spans for the hops of a call; the tracing library is imported only if it is used."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager, nullcontext

from plantainwood.settings import Exporter


class Spans(ABC):
    """Open spans around the hops of a call."""

    @abstractmethod
    def open(self, name: str, **attributes: str) -> AbstractContextManager:
        """Return a context that lasts as long as the hop."""


class NoSpans(Spans):
    """Record no spans."""

    def open(self, name: str, **attributes: str) -> AbstractContextManager:
        """Return a context that does nothing."""
        return nullcontext()


class TracedSpans(Spans):
    """Record spans with OpenTelemetry."""

    def __init__(self, node: str, exporter: Exporter) -> None:
        # Imported here, since the import costs memory and startup time.
        from plantainwood.traces import make_tracer

        self._tracer = make_tracer(node, exporter)

    def open(self, name: str, **attributes: str) -> AbstractContextManager:
        """Return a context with a new current span."""
        return self._tracer.start_as_current_span(name, attributes=attributes)


def make_spans(node: str, exporter: Exporter) -> Spans:
    """Return spans for an exporter; `none` does not import the tracing library."""
    if exporter is Exporter.NONE:
        return NoSpans()
    return TracedSpans(node, exporter)
