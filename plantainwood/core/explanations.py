"""Explanation of where a request would be routed now, without sending it.

It runs the checks and the choice that a request goes through when it arrives, on copies
of all that they change: upstreams with their rates, the customer's limit, the router
with its generator. Nothing in the dispatcher's state changes, and nothing is counted.
"""

import copy

import msgspec

from plantainwood.core import events as ev
from plantainwood.core.arrivalchecks import (
    check_entry,
    check_limit,
    check_suspicion,
    find_victim_of,
    make_request,
)
from plantainwood.core.candidates import Evaluation, Reason
from plantainwood.core.catalogue import Customer
from plantainwood.core.dispatcherstate import DispatcherState
from plantainwood.core.errors import RequestError
from plantainwood.core.limits import CustomerLimit
from plantainwood.core.loads import TIERS, UpstreamLoad
from plantainwood.core.pools import Pool
from plantainwood.core.requests import Request
from plantainwood.core.router import Router, find_obstacle
from plantainwood.core.scheduling import find_backlog_share, list_vms_instead
from plantainwood.core.servingvms import VM_PREFIX, choose_serving_vm


class Refusal(msgspec.Struct, frozen=True):
    """The error with which a request would be refused."""

    code: str
    reason: str
    retry_after_ms: int | None


class Candidate(msgspec.Struct):
    """An upstream of the pool, its figures, and why it is not chosen."""

    upstream: str
    domain: str
    reason: str
    """A code of `Reason`; empty for the chosen upstream."""
    score: float | None
    expected_ms: float | None
    backlog_tokens: int | None
    cached_tokens: int | None
    own_in_flight: int
    in_flight: int
    slots: int
    slowness: float


class Explanation(msgspec.Struct):
    """What would become of a request that arrived now."""

    customer: str
    class_name: str
    pool: str
    tier: int | None = None
    refusal: Refusal | None = None
    """None if it would be admitted."""
    sheds_other: bool = False
    """Whether a less urgent request would make room for it."""
    waiting: int = 0
    """Requests that wait in its pool."""
    ahead: int = 0
    """Those of them that would be served before it, as estimated."""
    upstream: str = ""
    """The upstream that it would go to if it were its turn; empty if it would wait."""
    serving_vm: str = ""
    """The VM that it would go to, as this one lacks a path; empty if none."""
    domain_shares: dict[str, float] | None = None
    """The shares of the pool's demand that other failure domains serve."""
    candidates: list[Candidate] = []

    @property
    def admitted(self) -> bool:
        """Tell whether the request would be admitted."""
        return self.refusal is None


class ExplainedPool:
    """A pool, with copies of its upstreams and of the router."""

    __slots__ = ("pool", "members", "group", "router")

    def __init__(self, state: DispatcherState, name: str) -> None:
        members = state.list_members(name)
        pool = state.pools.get(name)
        is_new = pool is None
        if pool is None:
            pool = Pool(name)
            pool.group = state.select_group(members)
        self.pool = pool
        self.members = [_copy_load(load) for load in members]
        known = {load.name: load for load in self.members}
        self.group = [known[load.name] for load in pool.group if load.name in known]
        self.router: Router = state.router.copy(name, self.members)
        if is_new:
            pool.group = self.group
            state.set_ramps(self.group)


def explain_arrival(
    state: DispatcherState, event: ev.Arrival, now_ms: int
) -> Explanation:
    """Return what would become of an arriving request, and why.

    The event is one of a request that begins: no earlier attempts, no resumed stream.
    """
    explained = ExplainedPool(state, event.pool)
    pool = explained.pool
    found = Explanation(event.customer, event.class_name, event.pool)
    service_class = state.catalogue.classes.get(event.class_name)
    try:
        found.sheds_other = _check_arrival(state, explained, event, now_ms)
    except RequestError as error:
        found.refusal = Refusal(error.code.value, error.message, error.retry_after_ms)
    found.waiting = pool.count_waiting()
    if service_class is None:
        return found
    request = Request(event, service_class, False, now_ms)
    request.domains = state.regions.find_domains(event.allowed_regions)
    found.tier = request.tier
    found.ahead = _count_ahead(state, pool, request)
    request.backlog_share = find_backlog_share(state, pool, request)
    evaluation = _evaluate(state, explained, request, now_ms)
    found.domain_shares = evaluation.domain_shares
    chosen = evaluation.chosen.name if evaluation.chosen is not None else ""
    if chosen.startswith(VM_PREFIX):
        found.serving_vm = chosen.removeprefix(VM_PREFIX)
    else:
        found.upstream = chosen
    found.candidates = _list_candidates(explained, request, evaluation, now_ms)
    return found


def _check_arrival(
    state: DispatcherState, explained: ExplainedPool, event: ev.Arrival, now_ms: int
) -> bool:
    """Make the checks of admission; return whether another request would be shed."""
    service_class, customer = check_entry(state, event)
    check_suspicion(state, event, now_ms)
    pool = explained.pool
    request = make_request(state, pool, event, service_class, now_ms)
    limit = _copy_limit(state, event.customer, customer, now_ms)
    check_limit(state, limit, now_ms)
    tier = state.find_tier(pool, request.tier)
    victim = find_victim_of(
        state, pool, tier, request, explained.group, explained.router, now_ms
    )
    return victim is not None


def _copy_limit(
    state: DispatcherState, name: str, customer: Customer, now_ms: int
) -> CustomerLimit:
    limit = state.limits.get(name)
    return limit.copy() if limit is not None else CustomerLimit(customer, now_ms)


def _copy_load(load: UpstreamLoad) -> UpstreamLoad:
    """Return a load whose rates may be asked without effect on this one."""
    found = copy.copy(load)
    found.rate = copy.copy(load.rate)
    found.cold_rate = copy.copy(load.cold_rate)
    return found


def _count_ahead(state: DispatcherState, pool: Pool, request: Request) -> int:
    """Return how many waiting requests would be served before a new one."""
    own = state.find_tier(pool, request.tier)
    ahead = own.queue.estimate_ahead(request.customer)
    for tier in pool.tiers.values():
        if tier.tier < own.tier:
            ahead += len(tier.queue)
    return ahead


def _evaluate(
    state: DispatcherState, explained: ExplainedPool, request: Request, now_ms: int
) -> Evaluation:
    """Return the choice of an upstream, or of the VM that serves instead."""
    usable = list_vms_instead(state, explained.pool, request, now_ms)
    if not usable:
        return explained.router.evaluate(request, explained.group, now_ms)
    evaluation = Evaluation()
    for load in explained.group:
        obstacle = find_obstacle(request, load, now_ms)
        evaluation.reasons[load.name] = obstacle or Reason.UNREACHED
    evaluation.record_chosen(choose_serving_vm(request, usable, now_ms))
    return evaluation


def _list_candidates(
    explained: ExplainedPool, request: Request, evaluation: Evaluation, now_ms: int
) -> list[Candidate]:
    """Return the upstreams of a pool, the chosen one first, then the best ones."""
    candidates: list[Candidate] = []
    for load in explained.members:
        reason = evaluation.reasons.get(load.name)
        if reason is None and load is not evaluation.chosen:
            reason = find_obstacle(request, load, now_ms) or Reason.NOT_IN_SUBSET
        figures = explained.router.find_figures(request, load, now_ms)
        candidate = Candidate(
            upstream=load.name,
            domain=load.entry.domain,
            reason=reason.value if reason is not None else "",
            score=_round(evaluation.scores.get(load.name), 4),
            expected_ms=_round(evaluation.expected_ms.get(load.name), 1),
            backlog_tokens=figures.backlog_tokens,
            cached_tokens=figures.cached_tokens,
            own_in_flight=load.count_own_in_flight(),
            in_flight=load.estimate_in_flight(TIERS - 1, now_ms),
            slots=load.entry.slots,
            slowness=round(figures.slowness, 3),
        )
        candidates.append(candidate)
    return sorted(candidates, key=_make_rank)


def _make_rank(candidate: Candidate) -> tuple[bool, bool, float, str]:
    figure = candidate.score if candidate.score is not None else candidate.expected_ms
    is_rated = figure is not None
    return bool(candidate.reason), not is_rated, figure or 0.0, candidate.upstream


def _round(figure: float | None, digits: int) -> float | None:
    return round(figure, digits) if figure is not None else None
