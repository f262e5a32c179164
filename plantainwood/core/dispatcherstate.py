"""The dispatcher's state, and the operations on it that its policies share."""

import heapq
import random
from typing import Callable

import msgspec

from plantainwood.core import events as ev
from plantainwood.core.affinity import PrefixHints
from plantainwood.core.brittleness import BrittlePools, SlotDivision
from plantainwood.core.catalogue import (
    Catalogue,
    Customer,
    DiscoveredUpstream,
    ServingVm,
    Upstream,
    UpstreamKind,
)
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.fairness import FairQueue, TokenCounters, WaitingQueue
from plantainwood.core.hashing import pick_subset
from plantainwood.core.leavingupstreams import ANY_ADDRESS, LeavingUpstreams
from plantainwood.core.limits import CustomerLimit
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.membership import select_serving_domains
from plantainwood.core.partquarantine import PartQuarantine
from plantainwood.core.pools import Pool, TierQueue
from plantainwood.core.quarantine import MAX_CRASHES, Mark, Quarantine
from plantainwood.core.requests import Request
from plantainwood.core.retries import RetryBudget
from plantainwood.core.router import FewChoicesRouter, Router
from plantainwood.core.streamversions import StreamVersions
from plantainwood.core.upstreamlimits import UpstreamLimits

TOP_TIER = 0
MIN_CRASHES_OF_PART = 3
"""Crashes before a prompt part is blocked: more than of whole requests, because sound
requests come along with those that have the part."""
RETRY_FAILED_MS = 2_000
RETRY_NOT_RUN_MS = 300
"""When to come back with a request that no upstream ran: another VM may reach one."""
USABLE_CONNECTION_SHARE = 0.9
"""The fraction of an upstream's connections that the nodes divide among them; the rest
is left for probes and for shares that overlap while VMs join and leave."""


class Options(msgspec.Struct):
    """Policies of the dispatcher; experiments compare the defaults with baselines."""

    make_queue: Callable[[TokenCounters], WaitingQueue] = FairQueue
    make_router: Callable[[random.Random, PrefixHints], Router] = FewChoicesRouter
    make_budget: Callable[[], RetryBudget] = RetryBudget
    strict_tiers: bool = True
    guard_starvation: bool = True
    preempt: bool = True
    eject_stragglers: bool = True
    move_unstarted: bool = True
    isolate_suspects: bool = True
    """Whether a crash suspect runs only on an upstream that it has reserved."""
    probe_suspects: bool = False
    """Whether what crashed upstreams is on probation before it is blocked."""
    max_crashes: int = MAX_CRASHES
    max_waiting: int = 256
    subset_size: int = 16
    limit_floor: float = 1.0
    """The share of a customer's limits that a node uses without a lease."""


class DispatcherState:
    """Hold every request, queue and load estimate of one node."""

    __slots__ = (
        "options",
        "node",
        "catalogue",
        "pools",
        "loads",
        "requests",
        "quarantine",
        "part_quarantine",
        "probed_ms",
        "upstream_limits",
        "brittle_pools",
        "slot_divisions",
        "nodes",
        "stream_versions",
        "hints",
        "limits",
        "limit_floor",
        "stops_at_ms",
        "draining",
        "refuses_waiting",
        "router",
        "budget",
        "running_by_upstream",
        "deadlines",
        "last_crash_ms",
        "leaving_upstreams",
        "pauses_until_ms",
        "counters",
        "path_lost",
        "serving_vms",
        "_connection_share",
        "_own_domain",
        "_domains",
    )

    def __init__(self, node: str, seed: int, options: Options) -> None:
        self.options = options
        self.node = node
        self.catalogue = Catalogue()
        self.pools: dict[str, Pool] = {}
        self.loads: dict[str, UpstreamLoad] = {}
        self.requests: dict[str, Request] = {}
        self.quarantine = Quarantine(options.max_crashes)
        self.part_quarantine = PartQuarantine(
            max(options.max_crashes, MIN_CRASHES_OF_PART)
        )
        self.probed_ms: dict[str, int] = {}
        """When this node last sent a request to find out whether what it has in common
        with others crashes upstreams, by fingerprint or part."""
        self.upstream_limits = UpstreamLimits(node)
        self.brittle_pools = BrittlePools()
        self.slot_divisions: dict[str, SlotDivision] = {}
        """By pool, for those that were brittle."""
        self.nodes = [node]
        """The live nodes, this one included, sorted."""
        self.stream_versions = StreamVersions()
        self.hints = PrefixHints()
        self.limits: dict[str, CustomerLimit] = {}
        self.limit_floor = options.limit_floor
        self.stops_at_ms: int | None = None
        """From when on requests get no answer of this node; None if it goes on."""
        self.draining = False
        """Whether new requests are refused."""
        self.refuses_waiting = False
        """Whether those that wait are refused too."""
        self.router = options.make_router(random.Random(seed), self.hints)
        self.budget = options.make_budget()
        self.running_by_upstream: dict[str, dict[str, Request]] = {}
        self.deadlines: list[tuple[int, str]] = []
        self.last_crash_ms: dict[str, int] = {}
        self.leaving_upstreams = LeavingUpstreams()
        self.pauses_until_ms: dict[str, int] = {}
        """Until when upstreams want no attempts of this node; kept while their entries
        lapse and return."""
        self.counters = TokenCounters()
        """Shared by all tiers: tokens served in one tier count in the others too."""
        self.path_lost = False
        """Whether this node reaches no upstreams."""
        self.serving_vms: dict[str, ServingVm] = {}
        """The VMs that serve for this node while its path is lost, by load name."""
        self._connection_share = 1.0
        self._own_domain = ""
        self._domains: list[str] = []

    def set_connection_share(self, share: float) -> None:
        """Set the share of each upstream's connections that this node may use."""
        self._connection_share = share
        for load in self.loads.values():
            load.max_own_in_flight = compute_max_own_in_flight(load.entry, share)

    def set_domains(self, own: str, domains: list[str]) -> None:
        """Select every pool's subset again if the own or the live domains changed."""
        if (own, domains) == (self._own_domain, self._domains):
            return
        self._own_domain = own
        self._domains = domains
        for pool in self.pools.values():
            self._choose_subset(pool)

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Replace the catalogue; loads, queues and limits are kept by name."""
        self.catalogue = catalogue
        for name, entry in catalogue.upstreams.items():
            load = self.loads.get(name)
            if load is None or load.entry.address != entry.address:
                load = self.loads[name] = UpstreamLoad(name, entry)
                load.unwilling_until_ms = self.pauses_until_ms.get(name, 0)
                load.rate = self.upstream_limits.find_rate(name)
            load.entry = entry
            load.leaving = self._is_leaving(name, entry)
            load.max_own_in_flight = compute_max_own_in_flight(
                entry, self._connection_share
            )
        for name, load in list(self.loads.items()):
            if name in catalogue.upstreams or name in self.serving_vms:
                continue
            self._remove_load(load)
        for name, customer in catalogue.customers.items():
            if name in self.limits:
                self.limits[name].set_customer(customer)
            self.counters.set_weight(name, customer.weight)
        for pool in self.pools.values():
            self._choose_subset(pool)

    def set_serving_vms(self, vms: dict[str, ServingVm]) -> None:
        """Replace the VMs that may serve for this node; loads are kept by name."""
        for name in self.serving_vms.keys() - vms.keys():
            self._remove_load(self.loads[name])
        self.serving_vms = vms
        for name, entry in vms.items():
            load = self.loads.get(name)
            if load is None or load.entry.address != entry.address:
                load = self.loads[name] = UpstreamLoad(name, entry)
            load.entry = entry
            load.leaving = False

    def list_unreached_pools(self, now_ms: int) -> tuple[str, ...]:
        """Return the pools of which this node reaches no upstream, sorted."""
        found: list[str] = []
        for name, pool in self.pools.items():
            if pool.is_unreached(now_ms):
                found.append(name)
        return tuple(sorted(found))

    def lacks_path(self, pool: Pool, version: str, now_ms: int) -> bool:
        """Tell whether only other VMs can serve a pool's requests.

        `version` is that of the upstreams which a resumed stream needs, if any.
        """
        return self.path_lost or pool.is_unreached(now_ms, version)

    def list_serving_vms(self) -> list[UpstreamLoad]:
        """Return the loads of the VMs that may serve for this node."""
        return [self.loads[name] for name in self.serving_vms]

    def _remove_load(self, load: UpstreamLoad) -> None:
        """Send an upstream nothing more, and forget it once it runs no attempt."""
        load.leaving = True
        if not self.running_by_upstream.get(load.name):
            self._forget_upstream(load.name)

    def pause_upstream(self, name: str, until_ms: int, now_ms: int) -> None:
        """Send an upstream nothing until a time, unless it asked for a longer pause."""
        for paused in list(self.pauses_until_ms):
            if self.pauses_until_ms[paused] <= now_ms:
                del self.pauses_until_ms[paused]
        load = self.loads.get(name)
        if load is None:
            return
        load.unwilling_until_ms = max(load.unwilling_until_ms, until_ms)
        self.pauses_until_ms[name] = load.unwilling_until_ms

    def _is_leaving(self, name: str, entry: Upstream) -> bool:
        """Tell whether an upstream told this node or its registry that it leaves."""
        if isinstance(entry, DiscoveredUpstream) and entry.leaving:
            return True
        return self.leaving_upstreams.has(name, entry.address)

    def has_said_it_leaves(self, name: str) -> bool:
        """Return whether it is recorded that an upstream has said that it leaves."""
        load = self.loads.get(name)
        address = load.entry.address if load is not None else ANY_ADDRESS
        return self.leaving_upstreams.has(name, address)

    def record_leaving(self, name: str) -> None:
        """Send nothing more to an upstream that has said that it leaves.

        One that this node does not know gets nothing at whichever address it turns up.
        """
        load = self.loads.get(name)
        if load is None:
            self.leaving_upstreams.add(name, ANY_ADDRESS)
            return
        load.leaving = True
        self.leaving_upstreams.add(name, load.entry.address)

    def _forget_upstream(self, name: str) -> None:
        """Delete the state of a removed upstream that runs no attempt of this node."""
        self.running_by_upstream.pop(name, None)
        self.last_crash_ms.pop(name, None)
        self.router.forget(name)
        del self.loads[name]

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
        level = tier if self.options.strict_tiers else TOP_TIER
        found = pool.tiers.get(level)
        if found is None:
            found = TierQueue(level, self.options.make_queue(self.counters))
            pool.add_tier(found)
        return found

    def get_or_create_pool(self, name: str) -> Pool:
        """Return a pool; one without upstreams is created but not stored."""
        pool = self.pools.get(name)
        if pool is None:
            pool = Pool(name)
            self._choose_subset(pool)
            if pool.group:
                self.pools[name] = pool
        return pool

    def _choose_subset(self, pool: Pool) -> None:
        """Select this node's bounded subset of the upstreams that serve a pool."""
        domains: dict[str, str] = {}
        members: list[UpstreamLoad] = []
        for upstream, entry in self.catalogue.upstreams.items():
            if not _serves_pool(entry, pool.name):
                continue
            members.append(self.loads[upstream])
            if self.loads[upstream].leaving:
                continue
            if self._domains and entry.kind is UpstreamKind.ENGINE:
                if self._own_domain not in select_serving_domains(
                    upstream, self._domains
                ):
                    continue
            domains[upstream] = entry.domain
        subset = pick_subset(self.node, domains, self.options.subset_size)
        pool.group = [self.loads[upstream] for upstream in subset]
        self.router.set_pool_upstreams(pool.name, members)

    def is_suspect(self, request: Request, now_ms: int) -> bool:
        """Tell whether a request must run on an upstream without other suspects."""
        if not self.options.isolate_suspects:
            return False
        return self.quarantine.is_suspect(request.fingerprint, now_ms)

    def update_rate(self, upstream: str) -> None:
        """Apply what is known of an upstream's limit to what this node may send."""
        load = self.loads.get(upstream)
        if load is not None:
            load.rate = self.upstream_limits.find_rate(upstream)

    def update_rooms(self, now_ms: int) -> None:
        """Apply which pools are brittle to what this node may send their upstreams."""
        for pool in self.pools.values():
            rooms: dict[str, int] = {}
            if self.brittle_pools.is_brittle(pool.name, now_ms):
                slots = {
                    load.name: load.entry.slots
                    for load in pool.group
                    if not load.leaving
                }
                division = self.slot_divisions.setdefault(pool.name, SlotDivision())
                rooms = division.update(self.node, self.nodes, slots)
            for load in pool.group:
                load.room = rooms.get(load.name)

    def is_blocked(self, fingerprint: str, parts: tuple[str, ...], now_ms: int) -> bool:
        """Tell whether a request is suspected for crashes under it or its parts."""
        if self.quarantine.is_blocked(fingerprint, now_ms):
            return True
        return self.part_quarantine.is_blocked(parts, now_ms)

    def find_running(self, request_id: str, attempt: int) -> Request | None:
        """Return the request if this is its running attempt; None if it is stale."""
        request = self.requests.get(request_id)
        if request is None or request.attempt != attempt or not request.is_running:
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
            ev.Cancel(request.id, request.attempt, request.upstream, beneficiary)
        )
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
        self, request: Request, code: ErrorCode, retry_ms: int, decisions: list
    ) -> None:
        """End a waiting request with its known outcome and a time to retry after."""
        self.remove_waiting(request)
        self.end_request(request)
        message = "more urgent work takes all the room"
        error = RequestError(code, message, find_outcome(request), retry_ms)
        decisions.append(ev.Refuse(request.id, error))

    def broadcast_marks(self, marks: list[Mark], decisions: list) -> None:
        """Broadcast crash marks that were set or lifted."""
        for mark in marks:
            decisions.append(
                ev.BroadcastCrashMark(mark.fingerprint, mark.upstream, mark.lifted)
            )


def _serves_pool(entry: Upstream, pool: str) -> bool:
    kind, name = pool.split("/", 1)
    if kind == "model":
        return entry.kind is UpstreamKind.ENGINE and name in entry.models
    return entry.service == name


def compute_max_own_in_flight(entry: Upstream, share: float) -> int:
    """Return how many attempts a node may run at once on an upstream; 0: no bound.

    `share` is the node's share of the fleet. Each attempt uses one connection. All
    nodes together stay below the upstream's limit, except that each node may always
    use one connection.
    """
    if not isinstance(entry, DiscoveredUpstream) or not entry.max_connections:
        return 0
    return max(1, int(USABLE_CONNECTION_SHARE * share * entry.max_connections))


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
