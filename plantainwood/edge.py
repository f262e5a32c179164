"""The state of one edge node, shared by its services on one event loop.

An edge node finds its routes in the platform's store, where the operator writes them,
and its upstreams, which register themselves there. A Node (node.py) finds its models,
services and upstreams in the catalogue that operators edit.
"""

import asyncio
import logging
import secrets
from typing import Iterable

import msgspec

from plantainwood.broker import RequestBroker
from plantainwood.clientguard import ClientGuard
from plantainwood.connectionpool import ConnectionPool
from plantainwood.core import events as ev
from plantainwood.core.awake import make_awake_clock
from plantainwood.core.catalogue import Catalogue, DiscoveredUpstream
from plantainwood.core.clock import Clock, make_clock, make_incarnation
from plantainwood.core.coldshares import ColdBounds
from plantainwood.core.coldupstreams import ColdLimit
from plantainwood.core.confirmation import MAX_CONFIRM_AGE_MS, hears_quorum
from plantainwood.core.dispatcher import Dispatcher
from plantainwood.core.dispatcheroptions import Options
from plantainwood.core.fleetmessages import (
    CrashNotice,
    Message,
    PartCrashNotice,
    PartsClearedNotice,
    VmHeartbeat,
)
from plantainwood.core.leaserecords import LeaseTimes
from plantainwood.core.leases import Lease
from plantainwood.core.messages import CrashMark, NodeState
from plantainwood.core.mirror import Mirror
from plantainwood.core.promptrouter import PromptRouter, make_prompt_router
from plantainwood.core.reports import FrozenReports
from plantainwood.core.retries import SharedRetryBudget
from plantainwood.core.returning import Returning
from plantainwood.core.routes import (
    SERVICE_POOL_PREFIX,
    RetrySafety,
    RouteTable,
    make_service_pool,
)
from plantainwood.core.sizing import DemandPeak, EngineCounts, Scaling
from plantainwood.core.slowvms import SlowVm
from plantainwood.core.storecopies import SecondRead
from plantainwood.core.vms import (
    AgreedTime,
    VmTable,
    compute_liveness_timeout_ms,
)
from plantainwood.core.windows import StartCounter, WindowTotals
from plantainwood.edgesettings import EdgeSettings
from plantainwood.evacuationlogs import EvacuationReporter
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics
from plantainwood.overflowreports import OverflowReporter, make_overflow
from plantainwood.pathprobe import PathProber
from plantainwood.procedures import Driver
from plantainwood.standstills import StandstillRecorder
from plantainwood.vmweights import VmWeights

FLEET_DUTY = "fleet"
LEASE_TERM_MS = 3_000
LEASE_MARGIN_MS = 500
LEASE_FLIGHT_MS = 600
MAX_WAITING = 400
SUBSET_SIZE = 64
MAX_CRASHES = 3
MAX_LOGGED_NAMES = 12
RETRY_BUDGET_SHARE = 0.6
"""The share of the fleet's retry budget that is used, as nodes count independently."""


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of a caller's request and on its idle time."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


class PlatformView:
    """The store's items, parsed: catalogue, routes, scaling limits, engine counts."""

    __slots__ = (
        "catalogue",
        "routes",
        "scaling",
        "engine_counts",
        "limits",
        "evacuated",
    )

    def __init__(self) -> None:
        self.catalogue = Catalogue()
        self.routes: RouteTable | None = None
        """None while no configuration is known."""
        self.scaling: dict[str, Scaling] = {}
        """By service."""
        self.engine_counts: dict[str, dict[str, EngineCounts]] = {}
        """By service, then by failure domain."""
        self.limits = CallerLimits()
        self.evacuated: dict[str, int] = {}
        """The revisions at which the evacuated failure domains became so."""

    def list_stream_pools(self) -> list[str]:
        """Return the pools that resumable streams are routed to, sorted."""
        found: set[str] = set()
        for route in self.routes.list_routes() if self.routes is not None else ():
            if route.retry_safety is not RetrySafety.STREAM or not route.resumable:
                continue
            for weighted_service in route.weighted_services:
                found.add(make_service_pool(weighted_service.service))
        return sorted(found)


class Edge:
    """Hold the state that the services of an edge node share."""

    def __init__(self, settings: EdgeSettings, clock: Clock, metrics: Metrics) -> None:
        self.settings = settings
        self.clock = clock
        self.awake_clock = make_awake_clock(clock)
        """For what judges others; it leaves out the standstills of this process."""
        self.metrics = metrics
        self.standstills = StandstillRecorder(self.awake_clock, metrics)
        self._evacuation_reporter = EvacuationReporter(metrics)
        self.incarnation = make_incarnation(clock)
        self.state = NodeState.LIVE
        self.mirror = Mirror()
        self.second_read = SecondRead()
        self.view = PlatformView()
        self.vms = VmTable(settings.node)
        self.weights = VmWeights(settings, metrics)
        self.returning = Returning()
        now_ms = clock.now_ms()
        self.agreed_time = AgreedTime(clock.wall_ms(), now_ms)
        self.retry_budget = SharedRetryBudget(
            settings.retries.ratio * RETRY_BUDGET_SHARE,
            settings.retries.slack * RETRY_BUDGET_SHARE,
        )
        options = Options(
            make_router=make_prompt_router,
            make_budget=lambda: self.retry_budget,
            isolate_suspects=False,
            probe_suspects=True,
            preempt=False,
            move_unstarted=False,
            max_crashes=MAX_CRASHES,
            customer_shares=settings.customer_shares.enabled,
            max_waiting=MAX_WAITING,
            subset_size=SUBSET_SIZE,
        )
        dispatcher = Dispatcher(settings.node, secrets.randbits(32), options)
        dispatcher.set_regions(settings.domain, settings.regions)
        self.broker = RequestBroker(
            dispatcher, clock, self.awake_clock, self._queue_notice
        )
        self._apply_cold_bounds()
        self.overflow = make_overflow(settings)
        if self.overflow is not None:
            self.router.set_overflow(self.overflow)
            self._overflow_reporter = OverflowReporter(self.overflow, metrics)
        self.connection_pool = ConnectionPool(clock, self.awake_clock)
        if self.overflow is not None:
            self.connection_pool.on_connected = self._record_connection
        self.path_prober = PathProber(
            self.broker, self.connection_pool, clock, self.awake_clock
        )
        self.start_counter = StartCounter(
            settings.node, self.incarnation, settings.duties.window_ms
        )
        self.window_totals = WindowTotals()
        self.frozen_reports = FrozenReports()
        self.lease = Lease(
            FLEET_DUTY,
            settings.node,
            self.incarnation,
            clock,
            LeaseTimes(
                max(LEASE_TERM_MS, settings.duties.least_lease_ms),
                LEASE_MARGIN_MS,
                LEASE_FLIGHT_MS,
            ),
            lambda: self.mirror.era,
            may_be_held=not settings.bootstrap,
        )
        self.demand_peaks: dict[str, DemandPeak] = {}
        self.driver: Driver
        self.notices: asyncio.Queue[Message] = asyncio.Queue()
        """Messages to all VMs."""
        self.client_guard = ClientGuard(
            settings.memory_mb, settings.file_descriptors, metrics
        )
        self.client_guard.list_short_pools = self.broker.list_short_pools
        self.open_call_count = 0
        self.has_heard_demand = False
        """Whether another VM has sent requests to upstreams."""
        self._heartbeat_sequence = 0
        self._unknown_regions: list[str] = []
        self._registry_read_ms: int | None = None
        """When the newest read of the store that is known here began; None before."""

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Apply changed settings to the running node."""
        self.settings = settings
        self._apply_cold_bounds()
        self.retry_budget.set_limits(
            settings.retries.ratio * RETRY_BUDGET_SHARE,
            settings.retries.slack * RETRY_BUDGET_SHARE,
        )

    def _apply_cold_bounds(self) -> None:
        cold = self.settings.cold
        overage = 1.0 if cold.overage is None else cold.overage
        bounds = ColdBounds(overage, cold.slack or 0.0)
        self.broker.dispatcher.state.cold_upstreams.set_bounds(bounds)

    def get_demand_peak(self, service: str) -> DemandPeak:
        """Return the record of a service's peak demand over the whole fleet."""
        return self.demand_peaks.setdefault(service, DemandPeak())

    def record_demand(self, demand: dict[str, int]) -> None:
        """Record, by service, the tokens to prefill that a VM sent in one interval."""
        now_ms = self.clock.now_ms()
        for service, tokens in demand.items():
            self.get_demand_peak(service).record(tokens, now_ms)

    def record_domain_demand(
        self, domain: str, demand: dict[str, int], age_ms: int
    ) -> None:
        """Record, for the overflow, what a VM of a failure domain sent, by service."""
        if self.overflow is not None:
            now_ms = self.clock.now_ms()
            self.overflow.demands.record(domain, demand, now_ms - age_ms, now_ms)

    def _record_connection(self, address: str, took_ms: float) -> None:
        """Record, for the overflow, how long a connection took to open."""
        assert self.overflow is not None
        for entry in self.view.catalogue.upstreams.values():
            if entry.address == address:
                now_ms = self.clock.now_ms()
                self.overflow.path_times.record(entry.domain, took_ms, now_ms)
                return

    def report_overflow(self) -> None:
        """Update the metrics and logs of the overflow to other failure domains."""
        if self.overflow is not None:
            self._overflow_reporter.report(self.clock.now_ms())

    @property
    def router(self) -> PromptRouter:
        """Return the dispatcher's router, which is a PromptRouter on edge nodes."""
        router = self.broker.dispatcher.state.router
        assert isinstance(router, PromptRouter)
        return router

    @property
    def weight(self) -> int:
        """Return this VM's capacity, lowered while it is slow."""
        return self.weights.compute_own(self.settings.capacity_percent)

    def make_heartbeat(self) -> VmHeartbeat:
        """Return a heartbeat with the demand and the parts sent since the last one."""
        now_ms = self.clock.now_ms()
        addresses = self.settings.addresses
        state = self.broker.dispatcher.state
        self._heartbeat_sequence += 1
        sent, self.router.sent_tokens = self.router.sent_tokens, {}
        demand = {pool.removeprefix(SERVICE_POOL_PREFIX): sent[pool] for pool in sent}
        self.record_demand(demand)
        self.record_domain_demand(self.settings.domain, demand, 0)
        customer_work: dict[str, int] = {}
        if state.shares is not None:
            state.shares.update(now_ms)
            customer_work = state.shares.take_report()
        return VmHeartbeat(
            sender=self.settings.node,
            incarnation=self.incarnation,
            sequence=self._heartbeat_sequence,
            state=self.state,
            domain=self.settings.domain,
            caller_address=addresses.callers if self.is_ready() else "",
            link_address=f"tcp://{addresses.links}",
            revision=self.mirror.revision,
            wall_ms=self.clock.wall_ms(),
            agreed_ms=self.agreed_time.now(now_ms),
            weight=self.weight,
            pending_tokens=self.router.engine_states.count_own_backlogs(),
            demand=demand,
            sent_parts=self.router.engine_states.take_sent_parts(),
            limits=state.upstream_limits.list_reports(now_ms),
            begun_streams=state.stream_versions.take_untold(now_ms),
            calls_port=(
                int(addresses.calls.rpartition(":")[2]) if addresses.calls else 0
            ),
            path_lost=state.path_lost,
            unreached_pools=state.list_unreached_pools(now_ms),
            brittle_pools=state.brittle_pools.list_reports(now_ms),
            cold_ms=state.cold_upstreams.list_reports(now_ms),
            engine_timings=self.router.paces.take_own(),
            customer_work=customer_work,
        )

    def find_weights(self) -> dict[str, int]:
        """Return the weight of each live VM that is not leaving, and of this one."""
        return self.compare_weights(self.vms.list_staying(self.awake_clock.now_ms()))

    def compare_weights(self, heartbeats: list[VmHeartbeat]) -> dict[str, int]:
        """Return the weights of some VMs and of this one, by name."""
        return self.weights.compare(self.settings.capacity_percent, heartbeats)

    def find_slow_vms(self, heartbeats: list[VmHeartbeat]) -> dict[str, SlowVm]:
        """Return the slow ones among some VMs and this one, by name."""
        return self.weights.find_slow(self.settings.capacity_percent, heartbeats)

    def find_domains(self) -> dict[str, str]:
        """Return the failure domain of each VM that `find_weights` has."""
        domains = {self.settings.node: self.settings.domain}
        for heartbeat in self.vms.list_staying(self.awake_clock.now_ms()):
            domains[heartbeat.sender] = heartbeat.domain
        return domains

    def is_registry_current(self) -> bool:
        """Return whether no change of the registry can have passed this node by.

        Its mirror is recent, or most other VMs are heard: then the store is down for
        all of them, and nothing registers.
        """
        now_ms = self.clock.now_ms()
        age_ms = self.mirror.compute_age_ms(now_ms)
        if age_ms is not None and age_ms <= MAX_CONFIRM_AGE_MS:
            return True
        # In real time: what came while this process stood still is not read yet.
        known = len(self.vms.list_addresses())
        since_ms = now_ms - compute_liveness_timeout_ms(known)
        heard = self.vms.count_heard_since(self.agreed_time.now(since_ms))
        return hears_quorum(heard, known)

    def note_registry_read(self, began_ms: int) -> None:
        """Record that a read of the store that began at a time is applied here."""
        if self._registry_read_ms is None or began_ms > self._registry_read_ms:
            self._registry_read_ms = began_ms

    def compute_waited_ms(self, sent_ms: int) -> int:
        """Return for how long a message, sent at an agreed time, was not read here.

        This VM may have stood still. The agreed times of two VMs may differ by as much
        as MAX_CLOCK_ERROR_MS.
        """
        return max(0, self.agreed_time.now(self.clock.now_ms()) - sent_ms)

    def note_update(self, sent_ms: int, age_ms: int) -> None:
        """Record another VM's read, sent at an agreed time, when it was `age_ms` old.

        What was sent earlier than it is found here is older by as much.
        """
        waited_ms = self.compute_waited_ms(sent_ms)
        self.note_registry_read(self.clock.now_ms() - waited_ms - age_ms)

    def is_registry_confirmed(self, since_ms: int) -> bool:
        """Return whether all changes of the registry before a time are known here.

        The store was read since then, or most other VMs have said since then that they
        know of no later change.
        """
        read_ms = self._registry_read_ms
        if read_ms is not None and read_ms >= since_ms:
            return True
        in_step = self.vms.count_in_step(
            self.agreed_time.now(since_ms), self.mirror.revision
        )
        return hears_quorum(in_step, len(self.vms.list_addresses()))

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this node."""
        return self.state is NodeState.LIVE and self.view.routes is not None

    def apply_view(self, view: PlatformView) -> None:
        """Apply a newer configuration and set of upstreams."""
        new_are_cold = self.has_traffic_begun() and self.is_registry_current()
        self.view = view
        dispatcher = self.broker.dispatcher
        self._apply_evacuations(view)
        dispatcher.apply_catalogue(view.catalogue)
        dispatcher.set_cold_limits(
            find_cold_limits(view.catalogue), new_are_cold, self.clock.now_ms()
        )
        dispatcher.set_versions(find_versions(view.catalogue), self.clock.now_ms())
        self.driver.catalogue = view.catalogue
        gap_targets_ms: dict[str, set[int]] = {}
        first_token_targets_ms: dict[str, int] = {}
        for route in view.routes.list_routes() if view.routes else ():
            for weighted_service in route.weighted_services:
                pool = make_service_pool(weighted_service.service)
                gap_targets_ms.setdefault(pool, set()).add(route.gap_target_ms)
                target_ms = route.first_byte_target_ms or route.timeout_ms
                first_token_targets_ms[pool] = min(
                    first_token_targets_ms.get(pool, target_ms), target_ms
                )
        for pool, targets_ms in gap_targets_ms.items():
            self.router.set_gap_targets(pool, targets_ms)
            self.router.set_first_token_target(pool, first_token_targets_ms[pool])
        if self.settings.customer_shares.enabled and view.routes is not None:
            dispatcher.state.least_urgent_tiers = view.routes.find_least_urgent_tiers()
        self._check_regions(view)
        self._close_unused_connections()

    def _check_regions(self, view: PlatformView) -> None:
        """Log the regions of the configuration that no failure domain is in."""
        named = view.routes.list_regions() if view.routes is not None else []
        known = self.settings.regions.values()
        unknown = [name for name in named if name not in known]
        if unknown == self._unknown_regions:
            return
        self._unknown_regions = unknown
        log_event(
            "regions_unknown",
            logging.WARNING if unknown else logging.INFO,
            regions=_format_names(unknown) or "-",
        )

    def _apply_evacuations(self, view: PlatformView) -> None:
        """Apply which failure domains are evacuated; log what changed."""
        change = self.broker.dispatcher.set_evacuated(
            view.evacuated, self.clock.now_ms()
        )
        known = {entry.domain for entry in view.catalogue.upstreams.values()}
        known.update(self.settings.domains)
        self._evacuation_reporter.record(change, view.evacuated, known)

    def has_traffic_begun(self) -> bool:
        """Tell whether this VM knows upstreams that already serve requests.

        In a fleet that starts for the first time that is so once requests are sent.
        """
        if self.view.routes is None:
            return False
        if not self.settings.bootstrap or self.has_heard_demand:
            return True
        return self.broker.dispatcher.state.cold_upstreams.has_sent

    def _close_unused_connections(self) -> None:
        """Close the idle connections to addresses without an upstream."""
        used = {
            load.entry.address for load in self.broker.dispatcher.state.loads.values()
        }
        for address in self.connection_pool.list_idle_addresses():
            if address not in used:
                self.connection_pool.drop(address)

    def _queue_notice(self, decision: ev.FleetDecision) -> None:
        """Log what the dispatcher has to tell the fleet, and queue it."""
        node = self.settings.node
        match decision:
            case ev.BroadcastCrashMark(fingerprint, upstream, lifted):
                log_event(
                    "crash_mark",
                    fingerprint=fingerprint,
                    upstream=upstream,
                    lifted=lifted,
                )
                mark = CrashMark(fingerprint, upstream, lifted)
                self.notices.put_nowait(CrashNotice(node, mark))
            case ev.BroadcastPartCrash(crash):
                parts = {part for lost in crash.attempts for part in lost.parts}
                log_event(
                    "parts_marked",
                    upstream=crash.upstream,
                    attempts=len(crash.attempts),
                    parts=_format_names(parts),
                )
                self.notices.put_nowait(PartCrashNotice(node, [crash]))
            case ev.BroadcastPartsCleared(parts):
                log_event("parts_cleared", parts=_format_names(parts))
                self.notices.put_nowait(PartsClearedNotice(node, parts))


def find_versions(catalogue: Catalogue) -> dict[str, set[str]]:
    """Return the software versions that are registered, by pool."""
    found: dict[str, set[str]] = {}
    for entry in catalogue.upstreams.values():
        if entry.software_version:
            pool = make_service_pool(entry.service)
            found.setdefault(pool, set()).add(entry.software_version)
    return found


def find_cold_limits(catalogue: Catalogue) -> dict[str, ColdLimit]:
    """Return the limits of the upstreams that are cold after their start, by name."""
    found: dict[str, ColdLimit] = {}
    for name, entry in catalogue.upstreams.items():
        if not isinstance(entry, DiscoveredUpstream):
            continue
        if entry.cold_start_ms and entry.cold_per_s:
            found[name] = ColdLimit(
                entry.address, entry.cold_start_ms, entry.cold_per_s
            )
    return found


def _format_names(names: Iterable[str]) -> str:
    """Return a bounded list of names for a log line."""
    return ",".join(sorted(names)[:MAX_LOGGED_NAMES])


def make_edge(settings: EdgeSettings) -> Edge:
    """Return the state of a new edge node that uses the system clock."""
    return Edge(settings, make_clock(), Metrics())
