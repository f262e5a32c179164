"""Log lines of attempts: what decided them, and how they failed."""

from plantainwood.attempterrors import AttemptError
from plantainwood.calls import Call
from plantainwood.core import events as ev
from plantainwood.core.dispatcherstate import DispatcherState
from plantainwood.core.loads import UpstreamLoad
from plantainwood.logs import log_event

MAX_LOGGED_PARTS = 8
"""How many parts of a prompt a log line names at most."""


def log_dispatch(
    call: Call,
    dispatch: ev.Dispatch,
    load: UpstreamLoad,
    state: DispatcherState,
    last_event_id: str,
    now_ms: int,
) -> None:
    """Log an attempt that starts, with the values that its upstream was chosen by."""
    log_event(
        "dispatched",
        request=call.request_id,
        upstream=dispatch.upstream,
        attempt=dispatch.attempt,
        tier=call.tier,
        waited_ms=now_ms - call.arrived_ms,
        left_ms=call.deadline_ms - now_ms,
        source=dispatch.source or "-",
        version=load.entry.software_version or "-",
        resumes=call.resumes or "-",
        last_event=last_event_id or "-",
        registry=state.catalogue.revision,
        **state.router.explain(load, now_ms),
    )


def log_failure(
    call: Call, dispatch: ev.Dispatch, error: AttemptError, began: bool
) -> None:
    """Log a failed attempt; `began` tells whether its upstream began to answer."""
    log_event(
        "attempt_failed",
        request=call.request_id,
        upstream=dispatch.upstream,
        attempt=dispatch.attempt,
        reason=str(error),
        proved_not_run=error.proved_not_run,
        crashed=error.crashed,
        began=began,
        fingerprint=call.fingerprint or "-",
        parts=call.prompt.format_parts(MAX_LOGGED_PARTS),
    )
