"""Records of begun answers that end unfinished: one log line and a count each."""

import asyncio
from typing import Any

from plantainwood.calls import Call, CallSummary, Sink
from plantainwood.core.endcauses import EndCause
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.edge import Edge
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics

CAUSES = {
    ErrorCode.UPSTREAM_TIMEOUT: EndCause.DEADLINE,
    ErrorCode.UPSTREAM_FAILED: EndCause.ATTEMPT_FAILED,
    ErrorCode.UPSTREAM_UNAVAILABLE: EndCause.NO_UPSTREAM,
    ErrorCode.NO_UPSTREAM: EndCause.NO_UPSTREAM,
    ErrorCode.QUEUE_TIMEOUT: EndCause.QUEUE_TIMEOUT,
    ErrorCode.OVERLOADED: EndCause.SHED,
    ErrorCode.NO_KEY: EndCause.KEY_LOST,
    ErrorCode.UNKNOWN_KEY: EndCause.KEY_LOST,
    ErrorCode.KEY_WITHDRAWN: EndCause.KEY_LOST,
    ErrorCode.FORBIDDEN_CLASS: EndCause.KEY_LOST,
    ErrorCode.ISOLATED: EndCause.KEY_LOST,
    ErrorCode.CRASH_SUSPECT: EndCause.CRASH_SUSPECT,
    ErrorCode.DRAINING: EndCause.VM_STOPS,
    ErrorCode.CALLER_LEFT: EndCause.CLIENT_LEFT,
    ErrorCode.INTERNAL: EndCause.ROUTER_FAILED,
}
"""What an error means for an answer that has begun, unless the error names a cause."""


def find_cause(error: BaseException) -> EndCause:
    """Return why an error ends a begun answer."""
    if isinstance(error, RequestError):
        return error.end_cause or CAUSES.get(error.code, EndCause.OTHER)
    if isinstance(error, (asyncio.CancelledError, ConnectionError)):
        return EndCause.CLIENT_LEFT
    return EndCause.ROUTER_FAILED


def record_end(metrics: Metrics, cause: EndCause, **fields: Any) -> None:
    """Log and count a begun answer that ends unfinished."""
    metrics.cut_answers.inc({"cause": cause.value})
    log_event("answer_cut", cause=cause.value, **fields)


class EndRecorder:
    """Record the unfinished ends of calls that an edge node forwards."""

    __slots__ = ("_edge",)

    def __init__(self, edge: Edge) -> None:
        self._edge = edge

    def record(
        self,
        call: Call,
        summary: CallSummary,
        sink: Sink,
        via_vm: bool,
        error: BaseException,
    ) -> None:
        """Record how a call ends by an error, if its answer has begun."""
        if not sink.started:
            return
        cause = find_cause(error)
        if cause is EndCause.CLIENT_LEFT:
            cause = sink.find_closing()
        edge = self._edge
        now_ms = edge.clock.now_ms()
        state = edge.broker.dispatcher.state
        record_end(
            edge.metrics,
            cause,
            request=call.request_id,
            vm=call.from_vm or "-",
            upstream=summary.upstream,
            via_vm=via_vm,
            attempt=summary.attempts,
            of=call.route.attempts,
            last_failure=summary.reasons[-1] if summary.reasons else "-",
            events=summary.events,
            since_event_ms=now_ms - (sink.last_event_ms or now_ms),
            took_ms=now_ms - call.arrived_ms,
            left_ms=call.deadline_ms - now_ms,
            budget=round(state.budget.count_left(call.tier), 1),
            config=edge.view.routes.version if edge.view.routes else 0,
            registry=state.catalogue.revision,
        )
