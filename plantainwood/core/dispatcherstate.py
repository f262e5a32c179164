"""The dispatcher's state, and the operations on it that its policies share."""

import heapq
from typing import Iterable

from plantainwood.core import events as ev
from plantainwood.core.catalogue import Catalogue, Customer
from plantainwood.core.customershares import CustomerShares
from plantainwood.core.dispatcheroptions import Options
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.evacuations import EvacuationChange
from plantainwood.core.fairness import TokenCounters, WaitingQueue
from plantainwood.core.limits import CustomerLimit
from plantainwood.core.partquarantine import PartQuarantine
from plantainwood.core.pools import Pool, TierQueue
from plantainwood.core.quarantine import Mark, Quarantine
from plantainwood.core.requests import Request
from plantainwood.core.sharequeue import ShareQueue
from plantainwood.core.upstreamset import UpstreamSet

TOP_TIER = 0
MIN_CRASHES_OF_PART = 3
"""Crashes before a prompt part is blocked: more than of whole requests, because sound
requests come along with those that have the part."""
JUDGING_INTERVAL_MS = 100
"""How often stragglers are looked for; less often than ticks come, to save processor
time."""
RETRY_FAILED_MS = 2_000
RETRY_NOT_RUN_MS = 300
"""When to come back with a request that no upstream ran: another VM may reach one."""


class DispatcherState(UpstreamSet):
    """Hold every request and queue of one node, beside its upstreams."""

    __slots__ = (
        "requests",
        "quarantine",
        "part_quarantine",
        "probed_ms",
        "limits",
        "limit_floor",
        "stops_at_ms",
        "draining",
        "refuses_waiting",
        "budget",
        "deadlines",
        "counters",
        "shares",
        "least_urgent_tiers",
        "stood_still_ms",
        "_judging_due_ms",
        "uses_regions",
    )

    def __init__(self, node: str, seed: int, options: Options) -> None:
        super().__init__(node, seed, options)
        self.requests: dict[str, Request] = {}
        self.quarantine = Quarantine(options.max_crashes)
        self.part_quarantine = PartQuarantine(
            max(options.max_crashes, MIN_CRASHES_OF_PART)
        )
        self.probed_ms: dict[str, int] = {}
        """When this node last sent a request to find out whether what it has in common
        with others crashes upstreams, by fingerprint or part."""
        self.limits: dict[str, CustomerLimit] = {}
        self.limit_floor = options.limit_floor
        self.stops_at_ms: int | None = None
        """From when on requests get no answer of this node; None if it goes on."""
        self.draining = False
        """Whether new requests are refused."""
        self.refuses_waiting = False
        """Whether those that wait are refused too."""
        self.budget = options.make_budget()
        self.deadlines: list[tuple[int, str]] = []
        self.counters = TokenCounters()
        """Shared by all tiers: tokens served in one tier count in the others too."""
        self.shares = CustomerShares() if options.customer_shares else None
        """None while customers have no shares over the fleet."""
        self.least_urgent_tiers: dict[str, int] = {}
        """The least urgent tier that the configuration has for each pool."""
        self.stood_still_ms = 0
        """How long this process has stood still in all, as its awake clock counts."""
        self._judging_due_ms = 0
        self.uses_regions = False
        """Whether any request was bound to some failure domains."""

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Replace the catalogue; loads, queues and limits are kept by name."""
        super().apply_catalogue(catalogue)
        for name, customer in catalogue.customers.items():
            if name in self.limits:
                self.limits[name].set_customer(customer)
            self.counters.set_weight(name, customer.weight)
        if self.shares is not None:
            weights = {name: item.weight for name, item in catalogue.customers.items()}
            self.shares.set_weights(weights)

    def list_short_pools(self, wait_ms: int, now_ms: int) -> list[Pool]:
        """Return the pools in which a request has been queued for longer, for a slot.

        While a slot is spare, it waits for something else, such as the end of a pause.
        """
        found: list[Pool] = []
        for pool in self.pools.values():
            if pool.compute_wait_ms(now_ms) <= wait_ms:
                continue
            if not pool.has_spare_slot(now_ms):
                found.append(pool)
        return found

    def _is_in_use(self, name: str) -> bool:
        """Return whether an attempt runs on an upstream, or is held there."""
        if super()._is_in_use(name):
            return True
        for request in self.requests.values():
            if request.held is not None and request.held.upstream == name:
                return True
        return False

    def is_judging_due(self, now_ms: int) -> bool:
        """Tell, once in each JUDGING_INTERVAL_MS, that stragglers are to be found."""
        if now_ms < self._judging_due_ms:
            return False
        self._judging_due_ms = now_ms + JUDGING_INTERVAL_MS
        return True

    def set_evacuated(self, domains: Iterable[str], now_ms: int) -> EvacuationChange:
        """Replace the failure domains that are sent nothing; return what changed.

        A retry that avoids the only domain left to it may go there again.
        """
        change = super().set_evacuated(domains, now_ms)
        if change.begun:
            for request in self.requests.values():
                pool = self.pools[request.pool]
                serving = pool.list_serving(request.version, request.domains)
                if all(load.entry.domain == request.avoid_domain for load in serving):
                    request.avoid_domain = ""
        return change

    def get_or_create_limit(
        self, name: str, customer: Customer, now_ms: int
    ) -> CustomerLimit:
        """Return a customer's limits on this node, created on first use."""
        limit = self.limits.get(name)
        if limit is None:
            limit = self.limits[name] = CustomerLimit(customer, now_ms)
        return limit

    def get_or_create_tier(self, pool: Pool, tier: int) -> TierQueue:
        """Return a tier's queue in a pool; without strict tiers, all share one."""
        found = self.find_tier(pool, tier)
        if found.tier not in pool.tiers:
            pool.add_tier(found)
        return found

    def find_tier(self, pool: Pool, tier: int) -> TierQueue:
        """Return a tier's queue in a pool, or a new one that is not added to it."""
        level = tier if self.options.strict_tiers else TOP_TIER
        found = pool.tiers.get(level)
        if found is None:
            found = TierQueue(level, self._make_queue())
        return found

    def _make_queue(self) -> WaitingQueue:
        if self.shares is not None:
            return ShareQueue(self.shares)
        return self.options.make_queue(self.counters)

    def get_or_create_pool(self, name: str) -> Pool:
        """Return a pool; one without upstreams is created but not stored."""
        pool = self.pools.get(name)
        if pool is None:
            pool = Pool(name)
            self.choose_subset(pool)
            if pool.group:
                self.pools[name] = pool
        return pool

    def is_suspect(self, request: Request, now_ms: int) -> bool:
        """Tell whether a request must run on an upstream without other suspects."""
        if not self.options.isolate_suspects:
            return False
        return self.quarantine.is_suspect(request.fingerprint, now_ms)

    def is_blocked(self, fingerprint: str, parts: tuple[str, ...], now_ms: int) -> bool:
        """Tell whether a request is suspected for crashes under it or its parts."""
        if self.quarantine.is_blocked(fingerprint, now_ms):
            return True
        return self.part_quarantine.is_blocked(parts, now_ms)

    def find_running(self, request_id: str, attempt: int) -> Request | None:
        """Return the request if this is its running attempt; None if it is stale."""
        request = self.requests.get(request_id)
        if (
            request is None
            or request.running_attempt != attempt
            or not request.is_running
        ):
            return None
        return request

    def enqueue(self, request: Request, now_ms: int, front: bool = False) -> None:
        """Queue a request and start its queue timeout."""
        pool = self.pools[request.pool]
        request.queued_ms = now_ms
        self.get_or_create_tier(pool, request.tier).queue.push(request, front)
        deadline_ms = now_ms + request.compute_remaining_wait_ms(now_ms)
        heapq.heappush(self.deadlines, (deadline_ms, request.id))

    def remove_waiting(self, request: Request) -> None:
        """Remove a request from its queue or from those awaiting a reservation."""
        pool = self.pools[request.pool]
        if pool.awaiting_reservation.pop(request.id, None) is not None:
            request.requested_upstream = ""
            return
        self.get_or_create_tier(pool, request.tier).queue.remove(request.id)

    def cancel_attempt(
        self, request: Request, now_ms: int, decisions: list, beneficiary: str = ""
    ) -> None:
        """Cancel a running attempt; the request itself is neither queued nor ended."""
        decisions.append(
            ev.Cancel(
                request.id, request.running_attempt, request.upstream, beneficiary
            )
        )
        request.held = None
        self.detach_attempt(request, now_ms, decisions)

    def detach_attempt(self, request: Request, now_ms: int, decisions: list) -> None:
        """Release the slot, unused credit and reservation of a running attempt."""
        load = self.loads.get(request.upstream)
        if load is not None:
            load.record_end(request.priority, now_ms)
            if not request.first_token_ms:
                load.unstarted_attempts -= 1
            self.router.record_end(request, load)
        self.running_by_upstream.get(request.upstream, {}).pop(request.id, None)
        pool = self.pools[request.pool]
        pool.running.pop(request.id, None)
        pool.refund(request)
        request.on_min_share = False
        request.upstream = ""
        if request.reserved_upstream:
            decisions.append(ev.Release(request.id, request.reserved_upstream))
            request.reserved_upstream = ""

    def end_request(self, request: Request) -> None:
        """Delete a request that has its final answer or error."""
        del self.requests[request.id]
        self.limits[request.customer].end_request()

    def refuse_waiting(
        self,
        request: Request,
        code: ErrorCode,
        retry_ms: int,
        decisions: list,
        message: str = "more urgent work takes all the room",
    ) -> None:
        """End a waiting request with its known outcome and a time to retry after."""
        self.remove_waiting(request)
        self.end_request(request)
        error = RequestError(code, message, find_outcome(request), retry_ms)
        decisions.append(ev.Refuse(request.id, error))

    def broadcast_marks(self, marks: list[Mark], decisions: list) -> None:
        """Broadcast crash marks that were set or lifted."""
        for mark in marks:
            decisions.append(
                ev.BroadcastCrashMark(mark.fingerprint, mark.upstream, mark.lifted)
            )


def find_outcome(request: Request) -> Outcome:
    """Return the outcome to report for a request that ends without its answer."""
    return Outcome.UNKNOWN if request.attempts_made else Outcome.NOT_RUN


def make_failed_error(
    outcome: Outcome, not_run_retry_ms: int = RETRY_NOT_RUN_MS
) -> RequestError:
    """Return the error of a request that gets no further attempt.

    If it has not run, it may come back after `not_run_retry_ms`.
    """
    if outcome is Outcome.NOT_RUN:
        message = "no upstream took the request"
        code = ErrorCode.UPSTREAM_UNAVAILABLE
        return RequestError(code, message, outcome, not_run_retry_ms)
    message = "the upstreams failed"
    return RequestError(ErrorCode.UPSTREAM_FAILED, message, outcome, RETRY_FAILED_MS)
