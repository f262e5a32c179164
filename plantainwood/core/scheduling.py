"""Scheduling: which waiting request runs next, and on which upstream."""

from plantainwood.core import events as ev
from plantainwood.core.customershares import PLAIN_REQUEST_WORK
from plantainwood.core.dispatcherstate import TOP_TIER, DispatcherState
from plantainwood.core.fairness import REQUEST_CHARGE_TOKENS
from plantainwood.core.loads import TIERS, UpstreamLoad
from plantainwood.core.pools import Pool, TierQueue, find_victim
from plantainwood.core.requests import Request
from plantainwood.core.router import is_allowed
from plantainwood.core.servingvms import (
    choose_serving_vm,
    is_serving_vm,
    list_usable_vms,
)

MAX_SKIPPED = 4
MAX_SKIPPED_BY_DOMAIN = 400
RESERVATION_RETRY_MS = 500
MAX_MOVES = 2
MIN_MOVE_MS = 250


def dispatch_waiting(
    state: DispatcherState, pool: Pool, now_ms: int, decisions: list
) -> None:
    """Dispatch waiting requests while slots are free.

    A request that may have no upstream only because of its own constraints is skipped,
    up to MAX_SKIPPED of them; skipped requests return to the front of their queues.
    Those that are bound to failure domains where another request has just found no slot
    are skipped beyond that, up to MAX_SKIPPED_BY_DOMAIN in all.
    """
    skipped: list[tuple[TierQueue, Request]] = []
    full: set[frozenset[str]] = set()
    tried = 0
    while tried < MAX_SKIPPED and len(skipped) < MAX_SKIPPED_BY_DOMAIN:
        found = pool.choose_tier(now_ms, state.options.guard_starvation)
        if found is None:
            break
        tier, on_min_share = found
        request = tier.queue.pop()
        if request is None:
            break
        if request.domains in full:
            skipped.append((tier, request))
            continue
        request.on_min_share = on_min_share
        if state.shares is not None:
            request.backlog_share = find_backlog_share(state, pool, request)
        load = _choose(state, pool.group, request, now_ms)
        if load is None:
            if state.shares is not None and request.backlog_share < 1.0:
                state.shares.record_limited(request.customer, now_ms)
            request.on_min_share = False
            skipped.append((tier, request))
            if _is_constrained(state, pool, request, now_ms):
                tried += 1
                continue
            if request.domains is None:
                break
            full.add(request.domains)
            continue
        if state.is_suspect(request, now_ms):
            _request_reservation(pool, request, load, decisions)
            continue
        dispatch(state, pool, request, load, now_ms, decisions)
        tier.record_dispatch(request, now_ms)
    for tier, request in reversed(skipped):
        tier.queue.push(request, front=True)


def find_backlog_share(state: DispatcherState, pool: Pool, request: Request) -> float:
    """Return the part of the bound on backlogs that counts for a request.

    It holds back a customer above its share while many prompts wait, but only
    in the least urgent tier of the pool: from a more urgent one, a request that is held
    back here could be overtaken by a less urgent one on another VM.
    """
    if state.shares is None or request.was_passed_over or request.on_min_share:
        return 1.0
    if state.least_urgent_tiers.get(pool.name) != request.tier:
        return 1.0
    return state.shares.compute_backlog_share(request.customer)


def _is_constrained(
    state: DispatcherState, pool: Pool, request: Request, now_ms: int
) -> bool:
    """Tell whether others of its domains may find a slot where it found none."""
    if request.avoid_upstream or request.avoid_domain or request.version:
        return True
    if any(not load.admits(request.id, now_ms) for load in pool.group):
        return True
    return state.is_suspect(request, now_ms)


def _choose(
    state: DispatcherState, group: list[UpstreamLoad], request: Request, now_ms: int
) -> UpstreamLoad | None:
    """Return the best upstream of a group for a request, or None if it must wait."""
    if now_ms < request.retry_at_ms:
        return None
    usable = list_vms_instead(state, state.pools[request.pool], request, now_ms)
    if usable:
        return choose_serving_vm(request, usable, now_ms)
    if state.is_suspect(request, now_ms):
        group = _filter_suspect_free(state, request, group, now_ms)
    return state.router.choose(request, group, now_ms)


def choose_elsewhere(
    state: DispatcherState, request: Request, now_ms: int
) -> UpstreamLoad | None:
    """Return what can take a running request now, other than what runs it, or None.

    What is silent towards this node is no better.
    """
    pool = state.pools[request.pool]
    vms = list_vms_instead(state, pool, request, now_ms)
    others: list[UpstreamLoad] = []
    for load in vms or pool.group:
        if load.name != request.upstream and not load.is_silent(now_ms):
            others.append(load)
    if vms:
        return choose_serving_vm(request, others, now_ms)
    return state.router.choose(request, others, now_ms)


def list_vms_instead(
    state: DispatcherState, pool: Pool, request: Request, now_ms: int
) -> list[UpstreamLoad]:
    """Return the VMs that may serve a request; none while this node has a path."""
    if not request.from_vm and state.lacks_path(
        pool, request.version, now_ms, request.domains
    ):
        own_domains = state.regions.list_own()
        return list_usable_vms(state.list_serving_vms(), request, own_domains)
    return []


def _filter_suspect_free(
    state: DispatcherState, request: Request, group: list[UpstreamLoad], now_ms: int
) -> list[UpstreamLoad]:
    """Return the allowed upstreams without a suspect; only cheap ones if any are."""
    free: list[UpstreamLoad] = []
    for load in group:
        if not is_allowed(request, load, now_ms):
            continue
        running = state.running_by_upstream.get(load.name, {}).values()
        if any(state.is_suspect(other, now_ms) for other in running):
            continue
        free.append(load)
    cheap = [load for load in free if load.entry.cheap]
    return cheap or free


def dispatch(
    state: DispatcherState,
    pool: Pool,
    request: Request,
    load: UpstreamLoad,
    now_ms: int,
    decisions: list,
) -> None:
    """Start a new attempt of a request that is in no queue any more."""
    urgent = request.tier == TOP_TIER
    if (
        state.options.preempt
        and urgent
        and load.count_free_slots(TIERS - 1, now_ms) <= 0
    ):
        _preempt_on(state, load, request, now_ms, decisions)
    request.attempt += 1
    request.running_attempt = request.attempt
    request.attempts_made += 1
    request.upstream = load.name
    request.dispatched_ms = now_ms
    request.first_token_ms = 0
    request.stood_still_ms = state.stood_still_ms
    load.record_dispatch(request.priority, now_ms)
    state.cold_upstreams.record_sent(load.entry.address, now_ms)
    load.unstarted_attempts += 1
    pool.running[request.id] = request
    state.running_by_upstream.setdefault(load.name, {})[request.id] = request
    source = ""
    if not is_serving_vm(load):
        source = state.router.find_kv_source(request)
        _charge_share(state, request, now_ms)
        state.router.record_dispatch(request, load, now_ms)
        state.hints.record(request.prefix, load.name, now_ms)
    state.counters.charge(request.customer, REQUEST_CHARGE_TOKENS)
    decisions.append(
        ev.Dispatch(
            request.id,
            request.attempt,
            load.name,
            request.priority,
            source,
            holds_earlier=request.held is not None,
        )
    )


def _charge_share(state: DispatcherState, request: Request, now_ms: int) -> None:
    """Charge the customer's share for an attempt, once if earlier ones did not run."""
    if state.shares is None or request.charged_attempts >= request.attempts_made:
        return
    request.charged_attempts = request.attempts_made
    work = PLAIN_REQUEST_WORK
    if request.prompt.tokens:
        work = state.router.estimate_prefill_tokens(request)
    state.shares.charge(request.customer, work, now_ms)


def _preempt_on(
    state: DispatcherState,
    load: UpstreamLoad,
    request: Request,
    now_ms: int,
    decisions: list,
) -> None:
    """Cancel one of this node's less urgent attempts on a full upstream.

    Only for the top tier: for other tiers the lost work outweighs the gain.
    """
    running = state.running_by_upstream.get(load.name, {})
    victim = find_victim(running, request.tier)
    if victim is None:
        return
    state.cancel_attempt(victim, now_ms, decisions, beneficiary=request.id)
    state.enqueue(victim, now_ms, front=True)


def move_unstarted(
    state: DispatcherState, pool: Pool, now_ms: int, decisions: list
) -> None:
    """Move top-tier attempts without a first token to an upstream without a queue.

    An attempt without a token has cost its upstream little. It is cancelled before
    the next one starts, so the request never runs twice at once.
    """
    for request in list(pool.running.values()):
        if request.tier != TOP_TIER or request.first_token_ms:
            continue
        if (
            not request.repeatable
            or request.reserved_upstream
            or request.moves >= MAX_MOVES
        ):
            continue
        typical_ms = state.loads[request.upstream].first_token_ms
        waited_ms = now_ms - request.dispatched_ms
        waited_ms -= state.stood_still_ms - request.stood_still_ms
        if waited_ms < max(MIN_MOVE_MS, 2 * typical_ms):
            continue
        others = [load for load in pool.group if load.name != request.upstream]
        load = _choose(state, others, request, now_ms)
        if load is None or load.unstarted_attempts:
            continue
        request.moves += 1
        state.cancel_attempt(request, now_ms, decisions)
        dispatch(state, pool, request, load, now_ms, decisions)


def _request_reservation(
    pool: Pool, request: Request, load: UpstreamLoad, decisions: list
) -> None:
    """Request a reservation; the suspect waits for the answer outside of the queues."""
    request.on_min_share = False
    request.requested_upstream = load.name
    pool.awaiting_reservation[request.id] = request
    decisions.append(ev.Reserve(request.id, load.name))


def handle_reservation_answer(
    state: DispatcherState, event: ev.ReservationAnswered, now_ms: int, decisions: list
) -> None:
    """Dispatch a suspect to the upstream reserved for it; queue it again if refused."""
    request = state.requests.get(event.request_id)
    load = state.loads.get(event.upstream)
    if request is None or request.requested_upstream != event.upstream or load is None:
        if event.granted:
            decisions.append(ev.Release(event.request_id, event.upstream))
        return
    pool = state.pools[request.pool]
    state.remove_waiting(request)
    if event.granted and is_allowed(request, load, now_ms):
        request.reserved_upstream = load.name
        dispatch(state, pool, request, load, now_ms, decisions)
        return
    if event.granted:
        decisions.append(ev.Release(request.id, load.name))
    request.retry_at_ms = now_ms + RESERVATION_RETRY_MS
    state.get_or_create_tier(pool, request.tier).queue.push(request, front=True)


def stop_request(
    state: DispatcherState, request_id: str, now_ms: int, decisions: list
) -> Request | None:
    """Delete a request, wherever it is; return it, or None if it has ended."""
    request = state.requests.get(request_id)
    if request is None:
        return None
    if request.is_running:
        state.cancel_attempt(request, now_ms, decisions)
    else:
        state.remove_waiting(request)
    state.end_request(request)
    dispatch_waiting(state, state.pools[request.pool], now_ms, decisions)
    return request
