"""Crashes of upstreams: what was lost in them is marked, and marked work refused."""

from plantainwood.core import events as ev
from plantainwood.core.dispatcherstate import (
    DispatcherState,
    find_outcome,
    make_failed_error,
)
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.partquarantine import LostAttempt, PartCrash
from plantainwood.core.probation import Verdict
from plantainwood.core.quarantine import make_blocked_error
from plantainwood.core.requests import Request
from plantainwood.core.scheduling import stop_request
from plantainwood.core.suspects import judge_request

CRASH_PAUSE_MS = 2_000


def record_crash(
    state: DispatcherState,
    request: Request,
    load: UpstreamLoad,
    now_ms: int,
    decisions: list,
) -> None:
    """Mark the fingerprints that ran on a crashed upstream, once per crash."""
    if request.dispatched_ms <= state.last_crash_ms.get(load.name, -1):
        return
    state.last_crash_ms[load.name] = now_ms
    load.paused_until_ms = now_ms + CRASH_PAUSE_MS
    running = state.running_by_upstream.get(load.name, {}).values()
    fingerprints = [other.fingerprint for other in running]
    marks = state.quarantine.record_crash(
        load.name, load.entry.domain, fingerprints, now_ms
    )
    state.broadcast_marks(marks, decisions)
    for mark in marks:
        enforce_mark(state, mark.fingerprint, now_ms, decisions, crashed=load.name)
    _record_part_crash(state, load, now_ms, decisions)


def _record_part_crash(
    state: DispatcherState, load: UpstreamLoad, now_ms: int, decisions: list
) -> None:
    """Mark the parts of the attempts on a crashed upstream that had not begun."""
    attempts: list[LostAttempt] = []
    for request in state.running_by_upstream.get(load.name, {}).values():
        if request.first_token_ms or not request.shared_parts:
            continue
        name = request.fingerprint or request.id
        attempts.append(LostAttempt(name, request.shared_parts))
    if not attempts:
        return
    crash = PartCrash(load.name, attempts)
    state.part_quarantine.record_crash(crash, now_ms)
    decisions.append(ev.BroadcastPartCrash(crash))
    enforce_part_marks(state, crash, now_ms, decisions, crashed=load.name)


def enforce_part_marks(
    state: DispatcherState,
    crash: PartCrash,
    now_ms: int,
    decisions: list,
    crashed: str = "",
) -> None:
    """Apply a crash's marks to the unbegun requests, but not to those on `crashed`.

    Whole requests that were lost with a blocked part are no suspects any more.
    """
    marked = {part for attempt in crash.attempts for part in attempt.parts}
    crashing = set(state.part_quarantine.find_crashing_parts(marked, now_ms))
    if not crashing:
        return
    explained = state.part_quarantine.list_marked_upstreams(crashing)
    state.quarantine.lift_explained(explained)
    for request in list(state.requests.values()):
        if request.first_token_ms or crashing.isdisjoint(request.shared_parts):
            continue
        if crashed and request.upstream == crashed:
            continue
        if state.part_quarantine.is_blocked(request.shared_parts, now_ms):
            _stop_suspect(state, request, now_ms, decisions)


def _stop_suspect(
    state: DispatcherState, request: Request, now_ms: int, decisions: list
) -> None:
    """Refuse a request that is blocked, or one that waits while its like is held.

    On probation, those that run go on: their answers clear the others.
    """
    verdict = judge_request(
        state, request.fingerprint, request.shared_parts, now_ms, request.id
    )
    outcome = find_outcome(request)
    if verdict is Verdict.BLOCK:
        error = make_blocked_error(outcome)
    elif verdict is Verdict.HOLD and not request.is_running:
        error = make_failed_error(outcome)
    else:
        return
    stop_request(state, request.id, now_ms, decisions)
    decisions.append(ev.Refuse(request.id, error))


def enforce_mark(
    state: DispatcherState,
    fingerprint: str,
    now_ms: int,
    decisions: list,
    crashed: str = "",
) -> None:
    """Apply a new mark to the fingerprint's requests, except on the upstream `crashed`.

    Requests of a blocked fingerprint are refused at once, or held. A repeatable
    suspect that runs without a reservation is cancelled and waits for one, so that no
    later crash has two suspects.
    """
    blocked = state.quarantine.is_blocked(fingerprint, now_ms)
    for request in list(state.requests.values()):
        if request.fingerprint != fingerprint:
            continue
        if crashed and request.upstream == crashed:
            continue
        if blocked:
            _stop_suspect(state, request, now_ms, decisions)
            continue
        if not state.options.isolate_suspects:
            continue
        if request.is_running and request.repeatable and not request.reserved_upstream:
            state.cancel_attempt(request, now_ms, decisions)
            state.enqueue(request, now_ms, front=True)
