"""Admission control: queue, refuse or shed requests, and preempt for overdue ones."""

import heapq

from plantainwood.core import events as ev
from plantainwood.core.dispatcherstate import (
    RETRY_NOT_RUN_MS,
    DispatcherState,
    find_outcome,
    make_failed_error,
)
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.pools import Pool
from plantainwood.core.probation import Verdict
from plantainwood.core.quarantine import make_blocked_error
from plantainwood.core.requests import Request, make_part_names
from plantainwood.core.router import is_allowed
from plantainwood.core.scheduling import dispatch, dispatch_waiting
from plantainwood.core.suspects import judge_request, record_probe

RETRY_DRAINING_MS = 1_000
RETRY_NO_UPSTREAM_MS = 5_000
RETRY_NO_VERSION_MS = 500
MAX_PASSING_FACTOR = 2
"""How many times the bound on waiting requests may wait, if those bound to some
failure domains leave slots free for others."""
RETRY_HELD_MS = 500
"""When to come back with a request that was held for the crashes under it."""


def handle_arrival(
    state: DispatcherState, event: ev.Arrival, now_ms: int, decisions: list
) -> None:
    """Queue a request and dispatch what can run now, or refuse the request at once."""
    try:
        request = _admit(state, event, now_ms, decisions)
    except RequestError as error:
        decisions.append(ev.Refuse(event.request_id, error))
        return
    state.requests[request.id] = request
    if not state.path_lost:
        state.budget.earn(request.tier)
    state.enqueue(request, now_ms)
    dispatch_waiting(state, state.pools[request.pool], now_ms, decisions)


def _admit(
    state: DispatcherState, event: ev.Arrival, now_ms: int, decisions: list
) -> Request:
    """Return the admitted request; raise RequestError if it is refused."""
    if state.draining or _outlasts_stop(state, event):
        message = "this VM is leaving; use another"
        raise _make_refusal(ErrorCode.DRAINING, message, RETRY_DRAINING_MS)
    service_class = state.catalogue.classes.get(event.class_name)
    customer = state.catalogue.customers.get(event.customer)
    if service_class is None or customer is None:
        raise _make_refusal(ErrorCode.FORBIDDEN_CLASS, "no such class or customer")
    parts = make_part_names(event)
    _check_suspicion(state, event, parts, now_ms)
    pool = state.get_or_create_pool(event.pool)
    domains = state.regions.find_domains(event.allowed_regions)
    if not pool.list_serving(domains=domains):
        message = "no upstream serves this"
        raise _make_refusal(ErrorCode.NO_UPSTREAM, message, RETRY_NO_UPSTREAM_MS)
    version = ""
    if event.resumed:
        version = _find_version(state, pool, event, domains, now_ms)
    if event.from_vm and state.lacks_path(pool, version, now_ms, domains):
        message = "this VM reaches no upstreams either"
        raise _make_refusal(ErrorCode.UPSTREAM_UNAVAILABLE, message, RETRY_NOT_RUN_MS)
    limit = state.get_or_create_limit(event.customer, customer, now_ms)
    wait_ms = limit.admit(state.limit_floor, now_ms)
    if wait_ms is not None:
        message = "the customer's limit is reached"
        raise _make_refusal(ErrorCode.RATE_LIMITED, message, wait_ms)
    is_engine = event.pool.startswith("model/")
    request = Request(event, service_class, is_engine, now_ms)
    request.version = version
    request.domains = domains
    state.uses_regions |= domains is not None
    try:
        _make_room(state, pool, request, now_ms, decisions)
    except RequestError:
        limit.end_request()
        raise
    return request


def _check_suspicion(
    state: DispatcherState, event: ev.Arrival, parts: tuple[str, ...], now_ms: int
) -> None:
    """Raise RequestError if a request may not run for the crashes under it.

    On probation, the VM that took a request from its caller decides.
    """
    verdict = judge_request(state, event.fingerprint, parts, now_ms)
    if verdict is Verdict.BLOCK:
        raise make_blocked_error(Outcome.NOT_RUN)
    if verdict is Verdict.HOLD and not event.from_vm:
        message = "it is not known yet whether requests like it crash upstreams"
        raise _make_refusal(ErrorCode.UPSTREAM_UNAVAILABLE, message, RETRY_HELD_MS)
    record_probe(state, event.fingerprint, parts, now_ms)


def _outlasts_stop(state: DispatcherState, event: ev.Arrival) -> bool:
    """Tell whether a request may still run when this node stops."""
    if state.stops_at_ms is None:
        return False
    return not 0 < event.queue_deadline_ms <= state.stops_at_ms


def _find_version(
    state: DispatcherState,
    pool: Pool,
    event: ev.Arrival,
    domains: frozenset[str] | None,
    now_ms: int,
) -> str:
    """Return the version that may continue a stream; raise RequestError without one."""
    version = state.stream_versions.find(event.stream, event.pool, now_ms)
    if version is None:
        message = "it is not known which version began the stream"
        raise _make_refusal(ErrorCode.NO_UPSTREAM, message, RETRY_NO_VERSION_MS)
    if not pool.list_serving(version, domains):
        message = "no upstream of the version that began the stream serves"
        raise _make_refusal(ErrorCode.NO_UPSTREAM, message, RETRY_NO_VERSION_MS)
    return version


def _make_room(
    state: DispatcherState, pool: Pool, request: Request, now_ms: int, decisions: list
) -> None:
    """Shed less urgent work for a request, or refuse the request itself."""
    tier = state.get_or_create_tier(pool, request.tier)
    full = pool.count_waiting() >= state.options.max_waiting
    wait_ms = tier.estimate_wait_ms(request.customer, now_ms) or 0
    late = wait_ms > request.compute_remaining_wait_ms(now_ms)
    if not full and not late:
        return
    bounded = pool.count_waiting() < MAX_PASSING_FACTOR * state.options.max_waiting
    if state.uses_regions and bounded and _passes_others(state, pool, request, now_ms):
        return
    victim = pool.find_least_urgent(request.tier)
    above_share = None
    if victim is None:
        victim = above_share = tier.queue.find_request_above_share(request.customer)
    if victim is None and full:
        victim = tier.queue.find_excess_request(request.customer)
    if victim is None:
        retry_ms = pool.compute_retry_after_ms(request, now_ms)
        raise _make_refusal(ErrorCode.OVERLOADED, "too much work waits", retry_ms)
    if not full and above_share is None:
        return
    if above_share is not None and state.shares is not None:
        retry_ms = pool.compute_retry_after_ms(victim, now_ms)
        state.shares.record_rejection(victim.customer, now_ms)
        message = "the customer is above its share"
        code = ErrorCode.OVERLOADED
        state.refuse_waiting(victim, code, retry_ms, decisions, message)
        return
    if victim.is_running:
        state.cancel_attempt(victim, now_ms, decisions, beneficiary=request.id)
    retry_ms = pool.compute_retry_after_ms(victim, now_ms)
    state.refuse_waiting(victim, ErrorCode.OVERLOADED, retry_ms, decisions)


def _passes_others(
    state: DispatcherState, pool: Pool, request: Request, now_ms: int
) -> bool:
    """Tell whether a request finds a slot now that those which wait may not use.

    Only requests that are bound to some failure domains leave such slots free.
    """
    for other in state.requests.values():
        if other.domains is None or other.pool != pool.name or other.is_running:
            continue
        return state.router.choose(request, pool.group, now_ms) is not None
    return False


def _make_refusal(
    code: ErrorCode, message: str, retry_ms: int | None = None
) -> RequestError:
    return RequestError(code, message, Outcome.NOT_RUN, retry_ms)


def handle_path_probed(
    state: DispatcherState, event: ev.PathProbed, now_ms: int, decisions: list
) -> None:
    """Record whether this node reaches upstreams, and dispatch what waits.

    While it does not, requests go to other VMs, and those from other VMs are refused.
    """
    if event.lost == state.path_lost:
        return
    state.path_lost = event.lost
    for request in list(state.requests.values()):
        if event.lost and request.from_vm and not request.is_running:
            _refuse_unservable(state, request, RETRY_NOT_RUN_MS, decisions)
    for pool in state.pools.values():
        if not event.lost:
            for load in pool.group:
                load.paused_until_ms = min(load.paused_until_ms, now_ms)
                load.unreached_until_ms = 0
        dispatch_waiting(state, pool, now_ms, decisions)


def refuse_unservable(state: DispatcherState, now_ms: int, decisions: list) -> None:
    """Refuse the waiting requests that no upstream will take in their time.

    These are the streams whose version has left, the requests that can't outlast the
    pauses which all upstreams of their pool asked for, and all on a node that stops.
    """
    pauses_ms: dict[str, int] = {}
    for name, pool in state.pools.items():
        pauses_ms[name] = pool.compute_pause_ms(now_ms)
    for request in list(state.requests.values()):
        if request.is_running:
            continue
        if state.refuses_waiting:
            _refuse_unservable(state, request, RETRY_DRAINING_MS, decisions)
            continue
        pause_ms = pauses_ms[request.pool]
        if pause_ms and pause_ms > request.compute_remaining_wait_ms(now_ms):
            _refuse_unservable(state, request, pause_ms, decisions)
            continue
        if not request.version:
            continue
        pool = state.pools[request.pool]
        if not pool.list_serving(request.version, request.domains):
            _refuse_unservable(state, request, RETRY_NO_VERSION_MS, decisions)


def _refuse_unservable(
    state: DispatcherState, request: Request, retry_ms: int, decisions: list
) -> None:
    state.remove_waiting(request)
    state.end_request(request)
    error = make_failed_error(find_outcome(request), retry_ms)
    decisions.append(ev.Refuse(request.id, error))


def expire_waiting(state: DispatcherState, now_ms: int, decisions: list) -> None:
    """Refuse overdue requests that can displace no less urgent one; preempt for others.

    A request is overdue once it has waited for its class's queue timeout.
    """
    while state.deadlines and state.deadlines[0][0] <= now_ms:
        request_id = heapq.heappop(state.deadlines)[1]
        request = state.requests.get(request_id)
        if request is None or request.is_running:
            continue
        timeout_ms = request.service_class.queue_timeout_ms
        if now_ms - request.queued_ms < timeout_ms:
            continue
        pool = state.pools[request.pool]
        if pool.has_displaceable(request.tier):
            heapq.heappush(state.deadlines, (now_ms + timeout_ms, request_id))
            _preempt_for_overdue(state, pool, request, now_ms, decisions)
            continue
        retry_ms = pool.compute_retry_after_ms(request, now_ms)
        state.refuse_waiting(request, ErrorCode.QUEUE_TIMEOUT, retry_ms, decisions)


def _preempt_for_overdue(
    state: DispatcherState, pool: Pool, request: Request, now_ms: int, decisions: list
) -> None:
    """Run an overdue request in the slot of a less urgent one, which waits again."""
    victim = pool.find_least_urgent_running(request.tier)
    if victim is None or state.is_suspect(request, now_ms):
        return
    load = state.loads[victim.upstream]
    if not is_allowed(request, load, now_ms):
        return
    state.cancel_attempt(victim, now_ms, decisions, beneficiary=request.id)
    state.enqueue(victim, now_ms, front=True)
    state.remove_waiting(request)
    dispatch(state, pool, request, load, now_ms, decisions)
