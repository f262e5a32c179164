"""Checks of an arriving request that change nothing in the dispatcher's state.

Admission acts on their results; an explanation of a request only reports them.
"""

import msgspec

from plantainwood.core import events as ev
from plantainwood.core.catalogue import Customer, ServiceClass
from plantainwood.core.dispatcherstate import RETRY_NOT_RUN_MS, DispatcherState
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.limits import CustomerLimit
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.pools import Pool, TierQueue
from plantainwood.core.probation import Verdict
from plantainwood.core.quarantine import make_blocked_error
from plantainwood.core.requests import Request, make_part_names
from plantainwood.core.router import Router
from plantainwood.core.suspects import judge_request

RETRY_DRAINING_MS = 1_000
RETRY_NO_UPSTREAM_MS = 5_000
RETRY_NO_VERSION_MS = 500
MAX_PASSING_FACTOR = 2
"""How many times the bound on waiting requests may wait, if those bound to some
failure domains leave slots free for others."""
RETRY_HELD_MS = 500
"""When to come back with a request that was held for the crashes under it."""


class Victim(msgspec.Struct, frozen=True):
    """A request that is shed so that another one is admitted."""

    request: Request
    is_above_share: bool = False
    """Whether it is shed because its customer is above its share."""


def check_entry(
    state: DispatcherState, event: ev.Arrival
) -> tuple[ServiceClass, Customer]:
    """Return a request's class and customer; raise RequestError if it is refused."""
    if state.draining or _outlasts_stop(state, event):
        message = "this VM is leaving; use another"
        raise _make_refusal(ErrorCode.DRAINING, message, RETRY_DRAINING_MS)
    service_class = state.catalogue.classes.get(event.class_name)
    customer = state.catalogue.customers.get(event.customer)
    if service_class is None or customer is None:
        raise _make_refusal(ErrorCode.FORBIDDEN_CLASS, "no such class or customer")
    return service_class, customer


def check_suspicion(state: DispatcherState, event: ev.Arrival, now_ms: int) -> None:
    """Raise RequestError if a request may not run for the crashes under it.

    On probation, the VM that took a request from its caller decides.
    """
    parts = make_part_names(event)
    verdict = judge_request(state, event.fingerprint, parts, now_ms)
    if verdict is Verdict.BLOCK:
        raise make_blocked_error(Outcome.NOT_RUN)
    if verdict is Verdict.HOLD and not event.from_vm:
        message = "it is not known yet whether requests like it crash upstreams"
        raise _make_refusal(ErrorCode.UPSTREAM_UNAVAILABLE, message, RETRY_HELD_MS)


def make_request(
    state: DispatcherState,
    pool: Pool,
    event: ev.Arrival,
    service_class: ServiceClass,
    now_ms: int,
) -> Request:
    """Return the request of an arrival; raise RequestError if its pool can't serve."""
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
    is_engine = event.pool.startswith("model/")
    request = Request(event, service_class, is_engine, now_ms)
    request.version = version
    request.domains = domains
    return request


def check_limit(state: DispatcherState, limit: CustomerLimit, now_ms: int) -> None:
    """Count a request in a customer's limit; raise RequestError if it is reached."""
    wait_ms = limit.admit(state.limit_floor, now_ms)
    if wait_ms is not None:
        message = "the customer's limit is reached"
        raise _make_refusal(ErrorCode.RATE_LIMITED, message, wait_ms)


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


def find_victim_of(
    state: DispatcherState,
    pool: Pool,
    tier: TierQueue,
    request: Request,
    group: list[UpstreamLoad],
    router: Router,
    now_ms: int,
) -> Victim | None:
    """Return what is to be shed for a request, if anything.

    Raises RequestError if the request itself is refused. An explanation gives copies of
    the pool's upstreams and of the router, which may be asked for a choice.
    """
    full = pool.count_waiting() >= state.options.max_waiting
    wait_ms = tier.estimate_wait_ms(request.customer, now_ms) or 0
    late = wait_ms > request.compute_remaining_wait_ms(now_ms)
    if not full and not late:
        return None
    bounded = pool.count_waiting() < MAX_PASSING_FACTOR * state.options.max_waiting
    uses_regions = state.uses_regions or request.domains is not None
    if uses_regions and bounded and _has_bound_waiting(state, pool):
        if router.choose(request, group, now_ms) is not None:
            return None
    shed = pool.find_least_urgent(request.tier)
    if shed is None:
        above_share = tier.queue.find_request_above_share(request.customer)
        if above_share is not None:
            return Victim(above_share, is_above_share=True)
    if shed is None and full:
        shed = tier.queue.find_excess_request(request.customer)
    if shed is None:
        retry_ms = pool.compute_retry_after_ms(request, now_ms)
        raise _make_refusal(ErrorCode.OVERLOADED, "too much work waits", retry_ms)
    return Victim(shed) if full else None


def _has_bound_waiting(state: DispatcherState, pool: Pool) -> bool:
    """Tell whether requests wait that are bound to some failure domains.

    Only these leave slots free that a later request may use.
    """
    for other in state.requests.values():
        if other.domains is None or other.pool != pool.name or other.is_running:
            continue
        return True
    return False


def _make_refusal(
    code: ErrorCode, message: str, retry_ms: int | None = None
) -> RequestError:
    return RequestError(code, message, Outcome.NOT_RUN, retry_ms)
