"""Log lines of attempts: what decided them, and how they failed."""

from plantainwood.attempterrors import AttemptError
from plantainwood.calls import Call
from plantainwood.core import events as ev
from plantainwood.core.dispatcherstate import DispatcherState
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.retries import RetryObstacle
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


class SilenceLog:
    """Log the decisions on a call's silent attempts, each once per attempt."""

    __slots__ = ("_call", "_logged")

    def __init__(self, call: Call) -> None:
        self._call = call
        self._logged: set[tuple[int, RetryObstacle | None]] = set()

    def record_return(self, decision: ev.ReturnToHeld) -> None:
        """Log that a silent attempt goes on, since its successor has failed."""
        log_event(
            "attempt_returned",
            request=self._call.request_id,
            upstream=decision.upstream,
            attempt=decision.attempt,
        )

    def record(self, judged: ev.SilenceJudged) -> None:
        """Log a decision, unless it repeats one."""
        obstacle = judged.obstacle
        if (judged.attempt, obstacle) in self._logged:
            return
        self._logged.add((judged.attempt, obstacle))
        log_event(
            "attempt_silent",
            request=self._call.request_id,
            upstream=judged.upstream,
            attempt=judged.attempt,
            silent_ms=judged.silent_ms,
            begun=judged.begun,
            decision="moved" if obstacle is None else "kept",
            why=obstacle.value if obstacle is not None else "-",
        )
