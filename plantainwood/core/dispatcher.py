"""The request core: events in, decisions out; composes the request policies."""

import heapq
import random
from typing import Callable

import msgspec

from plantainwood.core import events as ev
from plantainwood.core.affinity import PrefixHints
from plantainwood.core.catalogue import Catalogue, Customer, UpstreamKind
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.fairness import FairQueue, TokenCounters, WaitingQueue
from plantainwood.core.hashing import pick_subset
from plantainwood.core.limits import CustomerLimit
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.pools import Pool, TierQueue, find_victim
from plantainwood.core.quarantine import Quarantine
from plantainwood.core.requests import Request
from plantainwood.core.retries import MAX_ATTEMPTS, RetryBudget
from plantainwood.core.router import Router, TwoChoiceRouter
from plantainwood.core.stragglers import mark_stragglers

MAX_PREEMPTIONS = 3
MAX_SET_ASIDE = 4
CRASH_PAUSE_MS = 2_000
TOP_TIER = 0


class Options(msgspec.Struct):
    """Choose the policies; the defaults are the product, the rest are baselines."""

    make_queue: Callable[[TokenCounters], WaitingQueue] = FairQueue
    make_router: Callable[[random.Random, PrefixHints], Router] = TwoChoiceRouter
    make_budget: Callable[[], RetryBudget] = RetryBudget
    strict_tiers: bool = True
    guard_starvation: bool = True
    preempt: bool = True
    eject_stragglers: bool = True
    bound_cheap_risk: bool = True
    max_waiting: int = 256
    subset_size: int = 16
    limit_floor: float = 1.0
    """The share of a customer's limits that a node uses without a lease."""


class Dispatcher:
    """Decide on every request of one node.

    Invariants: a request is refused only where no less urgent displaceable work
    waits or runs here; a call that may not be repeated has a second attempt only
    if the first was proved not run; a leaving upstream gets no attempt.
    """

    __slots__ = (
        "options",
        "node",
        "catalogue",
        "pools",
        "loads",
        "requests",
        "quarantine",
        "hints",
        "limits",
        "draining",
        "_router",
        "_budget",
        "_counters",
        "_on_upstream",
        "_deadlines",
        "_crashed_ms",
        "_leaving",
        "_limit_floor",
    )

    def __init__(self, node: str, seed: int, options: Options | None = None) -> None:
        self.options = options or Options()
        self.node = node
        self.catalogue = Catalogue()
        self.pools: dict[str, Pool] = {}
        self.loads: dict[str, UpstreamLoad] = {}
        self.requests: dict[str, Request] = {}
        self.quarantine = Quarantine()
        self.hints = PrefixHints()
        self.limits: dict[str, CustomerLimit] = {}
        self.draining = False
        self._router = self.options.make_router(random.Random(seed), self.hints)
        self._budget = self.options.make_budget()
        self._counters: dict[int, TokenCounters] = {}
        self._on_upstream: dict[str, dict[str, Request]] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._crashed_ms: dict[str, int] = {}
        self._leaving: set[tuple[str, str]] = set()
        self._limit_floor = self.options.limit_floor

    def apply_catalogue(self, catalogue: Catalogue, now_ms: int) -> None:
        """Use a newer catalogue; loads, queues and limits are kept by name."""
        self.catalogue = catalogue
        for name, entry in catalogue.upstreams.items():
            load = self.loads.get(name)
            if load is None or load.entry.address != entry.address:
                self.loads[name] = UpstreamLoad(name, entry)
                self.loads[name].leaving = (name, entry.address) in self._leaving
            else:
                load.entry = entry
        for name in list(self.loads):
            if name not in catalogue.upstreams:
                self.loads[name].leaving = True
        for name, customer in catalogue.customers.items():
            if name in self.limits:
                self.limits[name].set_customer(customer)
            for counters in self._counters.values():
                counters.set_weight(name, customer.weight)
        for pool in self.pools.values():
            self._fill_group(pool)

    def set_limit_floor(self, floor: float) -> None:
        """Set the share of limits that is used where no lease is in force."""
        self._limit_floor = floor

    def limit_of(self, name: str, customer: Customer, now_ms: int) -> CustomerLimit:
        """Return the limits of a customer on this node."""
        limit = self.limits.get(name)
        if limit is None:
            limit = self.limits[name] = CustomerLimit(customer, now_ms)
        return limit

    def charge_remote(self, tier: int, customer: str, tokens: int) -> None:
        """Charge tokens that other nodes served to a customer."""
        self._counters_of(tier).charge(customer, tokens)

    def decide(self, event: ev.Event, now_ms: int) -> list[ev.Decision]:
        """Take one event in and return what must be done about it."""
        decisions: list[ev.Decision] = []
        handler = self._HANDLERS[type(event)]
        handler(self, event, now_ms, decisions)
        return decisions

    # Arrival and admission

    def _on_arrival(self, event: ev.Arrival, now_ms: int, out: list) -> None:
        try:
            request = self._admit(event, now_ms, out)
        except RequestError as error:
            out.append(ev.Refuse(event.request_id, error))
            return
        self.requests[request.id] = request
        self._budget.earn(request.tier)
        self._enqueue(request, now_ms)
        self._drain(self.pools[request.pool], now_ms, out)

    def _admit(self, event: ev.Arrival, now_ms: int, out: list) -> Request:
        """Return the request if it may wait here; refuse it otherwise."""
        if self.draining:
            raise _refuse(ErrorCode.DRAINING, "this VM is leaving; use another", 1_000)
        service_class = self.catalogue.classes.get(event.class_name)
        customer = self.catalogue.customers.get(event.customer)
        if service_class is None or customer is None:
            raise _refuse(ErrorCode.FORBIDDEN_CLASS, "no such class or customer")
        if self.quarantine.is_condemned(event.fingerprint, now_ms):
            raise _refuse(
                ErrorCode.CRASH_SUSPECT, "this request crashed the upstreams it ran on"
            )
        pool = self._pool_of(event.pool)
        if not any(not load.leaving for load in pool.group):
            raise _refuse(ErrorCode.NO_UPSTREAM, "no upstream serves this", 5_000)
        limit = self.limit_of(event.customer, customer, now_ms)
        wait_ms = limit.admit(self._limit_floor, now_ms)
        if wait_ms is not None:
            raise _refuse(ErrorCode.RATE_LIMITED, "the customer's limit", wait_ms)
        is_engine = event.pool.startswith("model/")
        request = Request(event, service_class, is_engine, now_ms)
        try:
            self._make_room(pool, request, now_ms, out)
        except RequestError:
            limit.end()
            raise
        return request

    def _make_room(self, pool: Pool, request: Request, now_ms: int, out: list) -> None:
        """Shed less urgent work for a request, or refuse the request itself."""
        tier = self._tier_of(pool, request.tier)
        retry_ms = pool.retry_after_ms(request.service_class, now_ms)
        full = pool.waiting() >= self.options.max_waiting
        wait_ms = tier.wait_ms(now_ms) or 0
        late = wait_ms > request.service_class.queue_timeout_ms
        if not full and not late:
            return
        if not pool.has_displaceable(request.tier):
            raise _refuse(ErrorCode.OVERLOADED, "too much work waits", retry_ms)
        if not full:
            return
        victim = pool.least_urgent(request.tier)
        assert victim is not None
        if victim.running:
            self._cancel(victim, now_ms, out, beneficiary=request.id)
        retry_ms = pool.retry_after_ms(victim.service_class, now_ms)
        self._refuse(victim, ErrorCode.OVERLOADED, retry_ms, out)

    # Dispatch

    def _enqueue(self, request: Request, now_ms: int, front: bool = False) -> None:
        pool = self.pools[request.pool]
        request.queued_ms = now_ms
        self._tier_of(pool, request.tier).queue.push(request, front)
        deadline_ms = now_ms + request.service_class.queue_timeout_ms
        heapq.heappush(self._deadlines, (deadline_ms, request.id))

    def _drain(self, pool: Pool, now_ms: int, out: list) -> None:
        """Dispatch waiting requests while slots are free."""
        aside: list[tuple[TierQueue, Request]] = []
        while len(aside) < MAX_SET_ASIDE:
            found = pool.next_tier(now_ms, self.options.guard_starvation)
            if found is None:
                break
            tier, reserved = found
            request = tier.queue.pop()
            if request is None:
                break
            request.protected = reserved
            load = self._choose(pool, request, now_ms)
            if load is not None:
                self._dispatch(pool, request, load, now_ms, out)
                pool.note_grant(tier, reserved, now_ms)
                continue
            request.protected = False
            aside.append((tier, request))
            if not self._is_constrained(request, now_ms):
                break
        for tier, request in reversed(aside):
            tier.queue.push(request, front=True)

    def _is_constrained(self, request: Request, now_ms: int) -> bool:
        """Tell whether other requests may find a slot where this one found none."""
        if request.avoid_upstream or request.avoid_domain:
            return True
        return self.quarantine.is_suspect(request.fingerprint, now_ms)

    def _choose(self, pool: Pool, request: Request, now_ms: int) -> UpstreamLoad | None:
        group = pool.group
        if self.quarantine.is_suspect(request.fingerprint, now_ms):
            group = self._without_suspects(group, now_ms)
        if pool.closed_domains and request.tier == TOP_TIER:
            safe = [x for x in group if x.entry.domain not in pool.closed_domains]
            load = self._router.choose(request, safe, now_ms)
            if load is not None:
                return load
        return self._router.choose(request, group, now_ms)

    def _without_suspects(
        self, group: list[UpstreamLoad], now_ms: int
    ) -> list[UpstreamLoad]:
        """Return the upstreams where no suspect runs; cheap ones if there are any."""
        free: list[UpstreamLoad] = []
        for load in group:
            running = self._on_upstream.get(load.name, {}).values()
            if any(self.quarantine.is_suspect(r.fingerprint, now_ms) for r in running):
                continue
            free.append(load)
        cheap = [load for load in free if load.entry.cheap]
        return cheap or free

    def _dispatch(
        self, pool: Pool, request: Request, load: UpstreamLoad, now_ms: int, out: list
    ) -> None:
        if self.options.preempt and load.free(9, now_ms) <= 0:
            self._preempt_on(load, request, now_ms, out)
        request.attempt += 1
        request.attempts_made += 1
        request.upstream = load.name
        request.dispatched_ms = now_ms
        request.first_token_ms = 0
        load.note_dispatch(request.tier, now_ms)
        pool.running[request.id] = request
        self._on_upstream.setdefault(load.name, {})[request.id] = request
        self.hints.note(request.prefix, load.name, now_ms)
        priority = TOP_TIER if request.protected else request.tier
        out.append(ev.Dispatch(request.id, request.attempt, load.name, priority))

    def _preempt_on(
        self, load: UpstreamLoad, request: Request, now_ms: int, out: list
    ) -> None:
        """Cancel one of this node's less urgent attempts on a full upstream."""
        running = self._on_upstream.get(load.name, {})
        victim = find_victim(running, request.tier, MAX_PREEMPTIONS)
        if victim is None:
            return
        victim.preempted += 1
        self._cancel(victim, now_ms, out, beneficiary=request.id)
        self._enqueue(victim, now_ms, front=True)

    def _cancel(
        self, request: Request, now_ms: int, out: list, beneficiary: str = ""
    ) -> None:
        out.append(
            ev.Cancel(request.id, request.attempt, request.upstream, beneficiary)
        )
        self._detach(request, now_ms)

    def _detach(self, request: Request, now_ms: int) -> None:
        """Take a request off its upstream."""
        load = self.loads.get(request.upstream)
        if load is not None:
            load.note_end(request.tier, now_ms)
        self._on_upstream.get(request.upstream, {}).pop(request.id, None)
        self.pools[request.pool].running.pop(request.id, None)
        request.upstream = ""

    # Progress of attempts

    def _current(self, request_id: str, attempt: int) -> Request | None:
        request = self.requests.get(request_id)
        if request is None or request.attempt != attempt or not request.running:
            return None
        return request

    def _on_started(self, event: ev.AttemptStarted, now_ms: int, out: list) -> None:
        request = self._current(event.request_id, event.attempt)
        if request is None or request.first_token_ms:
            return
        request.first_token_ms = now_ms
        load = self.loads[request.upstream]
        load.note_first_token(now_ms - request.dispatched_ms)

    def _on_tokens(self, event: ev.TokensRelayed, now_ms: int, out: list) -> None:
        request = self._current(event.request_id, event.attempt)
        if request is None:
            return
        request.tokens += event.count
        self._counters_of(request.tier).charge(request.customer, event.count)
        self.limits[request.customer].charge_tokens(event.count)

    def _on_done(self, event: ev.AttemptDone, now_ms: int, out: list) -> None:
        request = self._current(event.request_id, event.attempt)
        if request is None:
            return
        load = self.loads[request.upstream]
        if request.first_token_ms and request.tokens > 1:
            took_ms = now_ms - request.first_token_ms
            load.note_between_tokens(took_ms / request.tokens)
        self._detach(request, now_ms)
        self._end(request)
        self._drain(self.pools[request.pool], now_ms, out)

    def _end(self, request: Request) -> None:
        del self.requests[request.id]
        self.limits[request.customer].end()

    def _on_failed(self, event: ev.AttemptFailed, now_ms: int, out: list) -> None:
        request = self._current(event.request_id, event.attempt)
        if request is None:
            return
        load = self.loads[request.upstream]
        if event.crashed:
            self._note_crash(request, load, now_ms, out)
        if event.proved_not_run:
            request.attempts_made -= 1
            load.failed_until_ms = now_ms + CRASH_PAUSE_MS
        self._detach(request, now_ms)
        error = self._why_no_retry(request, event, now_ms)
        if error is not None:
            self._end(request)
            out.append(ev.Refuse(request.id, error))
        else:
            self._avoid(request, load)
            self._enqueue(request, now_ms, front=True)
        self._drain(self.pools[request.pool], now_ms, out)

    def _note_crash(
        self, request: Request, load: UpstreamLoad, now_ms: int, out: list
    ) -> None:
        """Mark what ran on a crashed upstream, once for each crash."""
        if request.dispatched_ms <= self._crashed_ms.get(load.name, -1):
            return
        self._crashed_ms[load.name] = now_ms
        load.failed_until_ms = now_ms + CRASH_PAUSE_MS
        running = self._on_upstream.get(load.name, {}).values()
        marked = self.quarantine.note_crash(
            load.name, load.entry.domain, [r.fingerprint for r in running], now_ms
        )
        for fingerprint in marked:
            out.append(ev.MarkCrash(fingerprint, load.name))

    def _why_no_retry(
        self, request: Request, event: ev.AttemptFailed, now_ms: int
    ) -> RequestError | None:
        """Return the error that ends a failed request, or None to try again."""
        outcome = Outcome.UNKNOWN if request.attempts_made else Outcome.NOT_RUN
        if not request.repeatable and not event.proved_not_run:
            message = "the upstream failed; the call may have run"
            return RequestError(ErrorCode.UPSTREAM_FAILED, message, Outcome.UNKNOWN)
        if self.quarantine.is_condemned(request.fingerprint, now_ms):
            message = "this request crashed the upstreams it ran on"
            return RequestError(ErrorCode.CRASH_SUSPECT, message, outcome)
        if request.attempt >= MAX_ATTEMPTS or not self._budget.spend(request.tier):
            message = "the upstreams failed"
            return RequestError(ErrorCode.UPSTREAM_FAILED, message, outcome, 2_000)
        return None

    def _avoid(self, request: Request, load: UpstreamLoad) -> None:
        """Keep the next attempt off the failed upstream and its failure domain."""
        request.avoid_upstream = load.name
        request.avoid_domain = ""
        for other in self.pools[request.pool].group:
            if other.entry.domain != load.entry.domain and not other.leaving:
                request.avoid_domain = load.entry.domain
                return

    # Ends that come from the caller's side

    def _on_left(self, event: ev.CallerLeft, now_ms: int, out: list) -> None:
        self._stop(event.request_id, now_ms, out)

    def _on_authority_lost(
        self, event: ev.AuthorityLost, now_ms: int, out: list
    ) -> None:
        request = self._stop(event.request_id, now_ms, out)
        if request is None:
            return
        outcome = Outcome.UNKNOWN if request.attempts_made else Outcome.NOT_RUN
        message = "the key is no longer known to be valid"
        error = RequestError(event.code, message, outcome)
        out.append(ev.Refuse(request.id, error))

    def _stop(self, request_id: str, now_ms: int, out: list) -> Request | None:
        request = self.requests.get(request_id)
        if request is None:
            return None
        pool = self.pools[request.pool]
        if request.running:
            self._cancel(request, now_ms, out)
        else:
            self._tier_of(pool, request.tier).queue.remove(request_id)
        self._end(request)
        self._drain(pool, now_ms, out)
        return request

    def _refuse(
        self, request: Request, code: ErrorCode, retry_ms: int, out: list
    ) -> None:
        """End a waiting request with an honest outcome."""
        pool = self.pools[request.pool]
        self._tier_of(pool, request.tier).queue.remove(request.id)
        self._end(request)
        outcome = Outcome.UNKNOWN if request.attempts_made else Outcome.NOT_RUN
        message = "more urgent work takes all the room"
        out.append(
            ev.Refuse(request.id, RequestError(code, message, outcome, retry_ms))
        )

    # News and time

    def _on_load(self, event: ev.LoadReported, now_ms: int, out: list) -> None:
        load = self.loads.get(event.upstream)
        if load is None:
            return
        load.note_report(event.by_tier, event.lag_ms, now_ms)

    def _on_leaving(self, event: ev.UpstreamLeaving, now_ms: int, out: list) -> None:
        load = self.loads.get(event.upstream)
        if load is None:
            return
        load.leaving = True
        self._leaving.add((event.upstream, load.entry.address))

    def _on_crash_heard(self, event: ev.CrashHeard, now_ms: int, out: list) -> None:
        self.quarantine.note_mark(event.fingerprint, event.upstream, now_ms)

    def _on_tick(self, event: ev.Tick, now_ms: int, out: list) -> None:
        self._expire(now_ms, out)
        for pool in self.pools.values():
            if self.options.eject_stragglers:
                mark_stragglers(pool.group)
            if self.options.bound_cheap_risk:
                pool.closed_domains = find_closed_domains(pool, now_ms)
            if pool.waiting():
                self._drain(pool, now_ms, out)

    def _expire(self, now_ms: int, out: list) -> None:
        """Refuse what waited too long, unless less urgent work can be displaced."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            request_id = heapq.heappop(self._deadlines)[1]
            request = self.requests.get(request_id)
            if request is None or request.running:
                continue
            timeout_ms = request.service_class.queue_timeout_ms
            if now_ms - request.queued_ms < timeout_ms:
                continue
            pool = self.pools[request.pool]
            if pool.has_displaceable(request.tier):
                deadline_ms = now_ms + timeout_ms
                heapq.heappush(self._deadlines, (deadline_ms, request_id))
                self._displace_for(pool, request, now_ms, out)
                continue
            retry_ms = pool.retry_after_ms(request.service_class, now_ms)
            self._refuse(request, ErrorCode.QUEUE_TIMEOUT, retry_ms, out)

    def _displace_for(
        self, pool: Pool, request: Request, now_ms: int, out: list
    ) -> None:
        """Put an overdue request in the place of less urgent running work."""
        victim = pool.least_urgent_running(request.tier)
        if victim is None:
            return
        load = self.loads[victim.upstream]
        if load.leaving or load.name == request.avoid_upstream:
            return
        if load.entry.domain == request.avoid_domain:
            return
        self._cancel(victim, now_ms, out, beneficiary=request.id)
        self._enqueue(victim, now_ms, front=True)
        self._tier_of(pool, request.tier).queue.remove(request.id)
        self._dispatch(pool, request, load, now_ms, out)

    # Look-up of state that is made on first use

    def _counters_of(self, tier: int) -> TokenCounters:
        counters = self._counters.get(tier)
        if counters is None:
            counters = self._counters[tier] = TokenCounters()
            for name, customer in self.catalogue.customers.items():
                counters.set_weight(name, customer.weight)
        return counters

    def _tier_of(self, pool: Pool, tier: int) -> TierQueue:
        found = pool.tiers.get(tier if self.options.strict_tiers else 0)
        if found is None:
            level = tier if self.options.strict_tiers else 0
            found = TierQueue(level, self.options.make_queue(self._counters_of(level)))
            pool.add_tier(found)
        return found

    def _pool_of(self, name: str) -> Pool:
        pool = self.pools.get(name)
        if pool is None:
            pool = Pool(name)
            self._fill_group(pool)
            if pool.group:
                self.pools[name] = pool
        return pool

    def _fill_group(self, pool: Pool) -> None:
        """Choose this node's bounded subset of the upstreams that serve a pool."""
        kind, name = pool.name.split("/", 1)
        domains: dict[str, str] = {}
        for upstream, entry in self.catalogue.upstreams.items():
            if kind == "model" and entry.kind is not UpstreamKind.ENGINE:
                continue
            if kind == "model" and name not in entry.models:
                continue
            if kind == "service" and entry.service != name:
                continue
            if not self.loads[upstream].leaving:
                domains[upstream] = entry.domain
        subset = pick_subset(self.node, domains, self.options.subset_size)
        pool.group = [self.loads[upstream] for upstream in subset]

    _HANDLERS: dict[type, Callable] = {
        ev.Arrival: _on_arrival,
        ev.AttemptStarted: _on_started,
        ev.TokensRelayed: _on_tokens,
        ev.AttemptDone: _on_done,
        ev.AttemptFailed: _on_failed,
        ev.CallerLeft: _on_left,
        ev.AuthorityLost: _on_authority_lost,
        ev.LoadReported: _on_load,
        ev.UpstreamLeaving: _on_leaving,
        ev.CrashHeard: _on_crash_heard,
        ev.Tick: _on_tick,
    }


def _refuse(code: ErrorCode, message: str, retry_ms: int | None = None) -> RequestError:
    return RequestError(code, message, Outcome.NOT_RUN, retry_ms)


def find_closed_domains(pool: Pool, now_ms: int) -> set[str]:
    """Return the cheap failure domains that may take no more urgent work.

    The urgent work in one of them must fit into the urgent room of the others, so
    that all of it can move at once when the domain vanishes.
    """
    closed: set[str] = set()
    cheap = {load.entry.domain for load in pool.group if load.entry.cheap}
    for domain in cheap:
        at_risk = 0
        room = 0
        for load in pool.group:
            if load.entry.domain == domain:
                at_risk += load.estimate(TOP_TIER, now_ms)
            elif not load.leaving:
                room += max(0, load.free(TOP_TIER, now_ms))
        if at_risk >= room:
            closed.add(domain)
    return closed
