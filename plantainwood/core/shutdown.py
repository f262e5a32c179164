"""Planned stop of a node: which requests it still takes, and how it ends the others."""

from plantainwood.core import events as ev
from plantainwood.core.admission import refuse_unservable
from plantainwood.core.arrivalchecks import RETRY_DRAINING_MS
from plantainwood.core.dispatcherstate import DispatcherState, find_outcome
from plantainwood.core.endcauses import EndCause
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.requests import Request
from plantainwood.core.scheduling import stop_request


def handle_stop_planned(
    state: DispatcherState, event: ev.StopPlanned, now_ms: int, decisions: list
) -> None:
    """Take only requests that end, at the latest, before the node stops."""
    state.stops_at_ms = event.stops_at_ms


def handle_drained(
    state: DispatcherState, event: ev.Drained, now_ms: int, decisions: list
) -> None:
    """Refuse new requests, and at once those that wait; running ones go on."""
    state.draining = True
    state.refuses_waiting = True
    refuse_unservable(state, now_ms, decisions)


def handle_stopping(
    state: DispatcherState, event: ev.Stopping, now_ms: int, decisions: list
) -> None:
    """End every request with an error, which callers get in place of an answer.

    A VM that sent a running one here for its caller gets none: it goes on elsewhere, if
    that is safe, once its connection ends.
    """
    for request in list(state.requests.values()):
        if request.from_vm and request.is_running:
            continue
        error = _make_stop_error(request)
        stop_request(state, request.id, now_ms, decisions)
        decisions.append(ev.Refuse(request.id, error))


def _make_stop_error(request: Request) -> RequestError:
    message = "this VM stops before the answer came"
    if find_outcome(request) is Outcome.NOT_RUN:
        return RequestError(
            ErrorCode.DRAINING, message, Outcome.NOT_RUN, RETRY_DRAINING_MS
        )
    error = RequestError(ErrorCode.UPSTREAM_TIMEOUT, message, Outcome.UNKNOWN)
    error.end_cause = EndCause.VM_STOPS
    return error
