"""Admission control: queue, refuse or shed requests, and preempt for overdue ones."""

import heapq

from plantainwood.core import events as ev
from plantainwood.core.arrivalchecks import (
    RETRY_DRAINING_MS,
    RETRY_NO_VERSION_MS,
    check_entry,
    check_limit,
    check_suspicion,
    find_victim_of,
    make_request,
)
from plantainwood.core.dispatcherstate import (
    RETRY_NOT_RUN_MS,
    DispatcherState,
    find_outcome,
    make_failed_error,
)
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.pools import Pool
from plantainwood.core.requests import Request, make_part_names
from plantainwood.core.router import is_allowed
from plantainwood.core.scheduling import dispatch, dispatch_waiting
from plantainwood.core.suspects import record_probe


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
    service_class, customer = check_entry(state, event)
    check_suspicion(state, event, now_ms)
    record_probe(state, event.fingerprint, make_part_names(event), now_ms)
    pool = state.get_or_create_pool(event.pool)
    request = make_request(state, pool, event, service_class, now_ms)
    limit = state.get_or_create_limit(event.customer, customer, now_ms)
    check_limit(state, limit, now_ms)
    state.uses_regions |= request.domains is not None
    try:
        _make_room(state, pool, request, now_ms, decisions)
    except RequestError:
        limit.end_request()
        raise
    return request


def _make_room(
    state: DispatcherState, pool: Pool, request: Request, now_ms: int, decisions: list
) -> None:
    """Shed less urgent work for a request, or refuse the request itself."""
    tier = state.get_or_create_tier(pool, request.tier)
    victim = find_victim_of(
        state, pool, tier, request, pool.group, state.router, now_ms
    )
    if victim is None:
        return
    shed = victim.request
    if shed.is_running:
        state.cancel_attempt(shed, now_ms, decisions, beneficiary=request.id)
    message = "more urgent work takes all the room"
    if victim.is_above_share and state.shares is not None:
        state.shares.record_rejection(shed.customer, now_ms)
        message = "the customer is above its share"
    retry_ms = pool.compute_retry_after_ms(shed, now_ms)
    state.refuse_waiting(shed, ErrorCode.OVERLOADED, retry_ms, decisions, message)


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
