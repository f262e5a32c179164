"""Spans for each hop of a call; the tracing library is loaded only where it is used."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager, nullcontext

from plantainwood.settings import Exporter


class Spans(ABC):
    """Open spans around the hops of a call."""

    @abstractmethod
    def open(self, name: str, **attributes: str) -> AbstractContextManager:
        """Return a context that lasts as long as the hop."""


class NoSpans(Spans):
    """Open nothing."""

    def open(self, name: str, **attributes: str) -> AbstractContextManager:
        """Return a context that does nothing."""
        return nullcontext()


class TracedSpans(Spans):
    """Open spans of the tracing library."""

    def __init__(self, node: str, exporter: Exporter) -> None:
        # Imported here, since it takes memory and time at the start.
        from plantainwood.traces import make_tracer

        self._tracer = make_tracer(node, exporter)

    def open(self, name: str, **attributes: str) -> AbstractContextManager:
        """Return a context with a new current span."""
        return self._tracer.start_as_current_span(name, attributes=attributes)


def make_spans(node: str, exporter: Exporter) -> Spans:
    """Return the spans that the settings ask for."""
    if exporter is Exporter.NONE:
        return NoSpans()
    return TracedSpans(node, exporter)
