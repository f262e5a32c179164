"""Outcomes of attempts: progress, completion, crashes and retries."""

from plantainwood.core import events as ev
from plantainwood.core.crashes import record_crash
from plantainwood.core.customershares import WORK_PER_GENERATED_TOKEN
from plantainwood.core.dispatcherstate import DispatcherState, find_outcome
from plantainwood.core.errors import RequestError
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.requests import Request
from plantainwood.core.retries import RetryObstacle
from plantainwood.core.retryrules import (
    avoid_upstream,
    find_retry_obstacle,
    make_retry_error,
)
from plantainwood.core.scheduling import dispatch_waiting, stop_request
from plantainwood.core.servingvms import is_serving_vm
from plantainwood.core.silentattempts import return_to_held

UNREACHED_MS = 2_000
"""How long an upstream counts as out of reach after a failed connection or probe."""
BRITTLE_PAUSE_MS = 1_000
"""How long a brittle upstream that rejected a request gets none from this node."""


def handle_started(
    state: DispatcherState, event: ev.AttemptStarted, now_ms: int, decisions: list
) -> None:
    """Record an attempt's time to first token, and clear the parts of its prompt."""
    request = state.find_running(event.request_id, event.attempt)
    if request is None or request.first_token_ms:
        return
    request.first_token_ms = now_ms
    request.held = None
    load = state.loads[request.upstream]
    load.record_heard(now_ms)
    load.unstarted_attempts -= 1
    # The time of a standstill of this process says nothing of the upstream.
    is_timed = request.stood_still_ms == state.stood_still_ms
    request.stood_still_ms = state.stood_still_ms
    if is_timed:
        took_ms = now_ms - request.dispatched_ms
        load.record_first_token(took_ms, state.router.find_prefill_tokens(request))
    state.router.record_started(request, load, is_timed)
    _record_stream(state, request, load, event.served_by, now_ms)
    if not request.shared_parts:
        return
    cleared = state.part_quarantine.record_start(request.shared_parts, now_ms)
    if cleared:
        decisions.append(ev.BroadcastPartsCleared(cleared))


def _record_stream(
    state: DispatcherState,
    request: Request,
    load: UpstreamLoad,
    served_by: str,
    now_ms: int,
) -> None:
    """Record which version began a stream, so that only this one continues it.

    If another VM serves the stream, that VM tells the others of it.
    """
    if not request.stream:
        return
    if is_serving_vm(load):
        served = state.loads.get(served_by)
        request.version_unknown = served is None
        if served is not None:
            request.version = served.entry.software_version
        return
    request.version = load.entry.software_version
    if request.version:
        state.stream_versions.record_start(
            request.stream, request.pool, request.version, now_ms
        )


def handle_tokens(
    state: DispatcherState, event: ev.TokensRelayed, now_ms: int, decisions: list
) -> None:
    """Charge the customer for tokens as they are relayed."""
    request = state.find_running(event.request_id, event.attempt)
    if request is None:
        return
    state.loads[request.upstream].record_heard(now_ms)
    request.tokens += event.count
    state.pools[request.pool].update_credits(request, event.count)
    state.counters.charge(request.customer, event.count)
    state.limits[request.customer].charge_tokens(event.count)
    if state.shares is None or not request.prompt.tokens:
        return
    if not is_serving_vm(state.loads[request.upstream]):
        work = event.count * WORK_PER_GENERATED_TOKEN
        state.shares.charge(request.customer, work, now_ms)


def handle_done(
    state: DispatcherState, event: ev.AttemptDone, now_ms: int, decisions: list
) -> None:
    """End a completed request and lift its fingerprint's marks: it crashed nothing."""
    request = state.find_running(event.request_id, event.attempt)
    if request is None:
        return
    load = state.loads[request.upstream]
    load.record_heard(now_ms)
    if request.first_token_ms and request.tokens > 1:
        took_ms = now_ms - request.first_token_ms
        took_ms -= state.stood_still_ms - request.stood_still_ms
        load.record_between_tokens(took_ms / request.tokens)
    pool = state.pools[request.pool]
    state.get_or_create_tier(pool, request.tier).record_answer_length(request.tokens)
    state.detach_attempt(request, now_ms, decisions)
    state.end_request(request)
    marks = state.quarantine.record_completion(request.fingerprint, now_ms)
    state.broadcast_marks(marks, decisions)
    dispatch_waiting(state, pool, now_ms, decisions)


def handle_failed(
    state: DispatcherState, event: ev.AttemptFailed, now_ms: int, decisions: list
) -> None:
    """Retry a failed request where that is safe and within the budget, else end it."""
    request = state.find_running(event.request_id, event.attempt)
    if request is None:
        return
    load = state.loads[request.upstream]
    if (event.broken or event.crashed) and not state.path_lost:
        state.cold_upstreams.record_broken(
            load.name, not event.reached, event.crashed, now_ms
        )
        state.update_cold(now_ms)
    if event.crashed:
        record_crash(state, request, load, now_ms, decisions)
    if event.proved_not_run:
        request.attempts_made -= 1
        request.attempts_not_run += 1
        if event.reached:
            load.record_heard(now_ms)
        pause_ms = event.pause_ms
        if load.room is not None and event.reached:
            pause_ms = max(pause_ms, BRITTLE_PAUSE_MS)
        if event.reached or is_serving_vm(load):
            load.paused_until_ms = now_ms + pause_ms
        else:
            load.unreached_until_ms = now_ms + UNREACHED_MS
    state.detach_attempt(request, now_ms, decisions)
    if event.holds_earlier and return_to_held(state, request, now_ms, decisions):
        dispatch_waiting(state, state.pools[request.pool], now_ms, decisions)
        return
    request.held = None
    obstacle = find_retry_obstacle(state, request, load, now_ms, event.proved_not_run)
    if obstacle is None and event.reached and not state.budget.spend(request.tier):
        obstacle = RetryObstacle.NO_BUDGET
    if obstacle is not None:
        state.end_request(request)
        decisions.append(ev.Refuse(request.id, make_retry_error(request, obstacle)))
    else:
        avoid_upstream(state, request, load)
        state.enqueue(request, now_ms, front=True)
    dispatch_waiting(state, state.pools[request.pool], now_ms, decisions)


def handle_upstream_probed(
    state: DispatcherState, event: ev.UpstreamProbed, now_ms: int, decisions: list
) -> None:
    """Record whether this node reaches an upstream, and dispatch what waits for it."""
    load = state.loads.get(event.upstream)
    if load is None:
        return
    load.unreached_until_ms = 0 if event.reached else now_ms + UNREACHED_MS
    if event.reached:
        state.cold_upstreams.record_response(load.name, None, now_ms)
    for pool in state.pools.values():
        if load in pool.group:
            dispatch_waiting(state, pool, now_ms, decisions)


def handle_caller_left(
    state: DispatcherState, event: ev.CallerLeft, now_ms: int, decisions: list
) -> None:
    """Cancel the request of a caller that closed its connection."""
    stop_request(state, event.request_id, now_ms, decisions)


def handle_authorization_lost(
    state: DispatcherState, event: ev.AuthorizationLost, now_ms: int, decisions: list
) -> None:
    """End a request whose key is withdrawn or can't be confirmed."""
    request = stop_request(state, event.request_id, now_ms, decisions)
    if request is None:
        return
    message = "the key is no longer known to be valid"
    error = RequestError(event.code, message, find_outcome(request))
    decisions.append(ev.Refuse(request.id, error))
