"""State of one daemon, shared by its services on one event loop."""

import asyncio
import secrets

from opentelemetry.trace import Tracer

from plantainwood.broker import RequestBroker
from plantainwood.clientguard import ClientGuard
from plantainwood.core import events as ev
from plantainwood.core.awake import AwakeClock, make_awake_clock
from plantainwood.core.catalogue import Catalogue, Document, merge_document
from plantainwood.core.clock import Clock, make_clock, make_incarnation
from plantainwood.core.confirmation import Confirmation
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.gossip import GossipTable
from plantainwood.core.keys import check_identity
from plantainwood.core.leaserecords import LeaseTimes
from plantainwood.core.leases import Lease
from plantainwood.core.limits import ShareAllocator
from plantainwood.core.membership import Members
from plantainwood.core.messages import (
    AnyGossipRecord,
    CrashMark,
    Heartbeat,
    LeavingNotice,
    LoadNotice,
    NodeDemand,
    NodeProfile,
    NodeState,
)
from plantainwood.core.reservations import release_upstream, reserve_upstream
from plantainwood.core.usage import UsageCopies, UsageLedger
from plantainwood.engines import OpenAiEngine, PlainClient
from plantainwood.evacuationlogs import EvacuationReporter
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics
from plantainwood.platform import Vm
from plantainwood.procedures import Driver
from plantainwood.settings import Settings
from plantainwood.standstills import StandstillRecorder
from plantainwood.traces import make_tracer

FULL_LOAD_REQUESTS = 400
"""Number of waiting and running requests that a VM reports as fully busy."""
RELEASE_ATTEMPTS = 3
MARKS_WAIT_MS = 1_000
RELEASE_PAUSE_S = 0.2
ORDERS_DUTY = "orders"
BILLING_DUTY = "billing"


class Clients:
    """Clients of the external systems: store and platform (driver), and upstreams."""

    __slots__ = ("driver", "engine", "plain")

    def __init__(
        self, driver: Driver, engine: OpenAiEngine, plain: PlainClient
    ) -> None:
        self.driver = driver
        self.engine = engine
        self.plain = plain


class Node:
    """State and clients that the services of a daemon share."""

    __slots__ = (
        "settings",
        "clock",
        "awake_clock",
        "standstills",
        "incarnation",
        "catalogue",
        "stored_revision",
        "broker",
        "members",
        "gossip_table",
        "confirmation",
        "ledger",
        "usage_copies",
        "share_allocators",
        "served_tokens",
        "leases",
        "metrics",
        "client_guard",
        "tracer",
        "clients",
        "state",
        "listed_vms",
        "node_demands",
        "upstream_reachable",
        "send_now",
        "marks_confirmed",
        "catalogue_changed",
        "background_tasks",
        "_sequence",
        "_evacuation_reporter",
    )

    def __init__(self, settings: Settings, clock: Clock, metrics: Metrics) -> None:
        self.settings = settings
        self.clock = clock
        self.awake_clock: AwakeClock = make_awake_clock(clock)
        """For what judges others; it leaves out the standstills of this process."""
        self.standstills = StandstillRecorder(self.awake_clock, metrics)
        self.incarnation = make_incarnation(clock)
        self.catalogue = Catalogue()
        self.stored_revision = 0
        """Key-value revision of the catalogue that was last read."""
        dispatcher = Dispatcher(settings.node, secrets.randbits(32), Options())
        self.broker = RequestBroker(
            dispatcher, clock, self.awake_clock, self._apply_fleet_decision
        )
        self.members = Members(settings.node)
        self.gossip_table = GossipTable()
        self.confirmation = Confirmation()
        self.ledger = UsageLedger(
            settings.node, self.incarnation, settings.duties.billing_window_ms
        )
        self.usage_copies = UsageCopies()
        self.share_allocators: dict[str, ShareAllocator] = {}
        self.served_tokens: dict[str, int] = {}
        """Tokens served by this node since its last share request, by customer."""
        times = LeaseTimes(
            settings.duties.lease_term_ms,
            settings.duties.lease_margin_ms,
            settings.platform.timeout_ms,
        )
        self.leases: dict[str, Lease] = {}
        for duty in (ORDERS_DUTY, BILLING_DUTY):
            self.leases[duty] = Lease(
                duty,
                settings.node,
                self.incarnation,
                clock,
                times,
                has_eras=False,
            )
        self.metrics = metrics
        self._evacuation_reporter = EvacuationReporter(metrics)
        self.client_guard = ClientGuard(
            settings.machine.memory_mb, settings.machine.file_descriptors, metrics
        )
        self.client_guard.list_short_pools = self.broker.list_short_pools
        self.tracer: Tracer = make_tracer(settings.node, settings.traces.exporter)
        self.clients: Clients
        self.state = NodeState.LIVE
        self.node_demands: dict[str, tuple[NodeDemand, int]] = {}
        """Other nodes' latest demand and its arrival time, for the ordering duty."""
        self.upstream_reachable: dict[str, bool] = {}
        """Whether each upstream that this node polls answered its last poll."""
        self.listed_vms: dict[str, Vm] | None = None
        """The platform's list of VMs, which lags; None if there is no list."""
        self.send_now = asyncio.Event()
        """Set to start the next gossip round at once instead of at its usual time."""
        self.marks_confirmed = asyncio.Event()
        """Set whenever a partner may have sent a crash mark back."""
        self.catalogue_changed = asyncio.Event()
        self.background_tasks: set[asyncio.Task] = set()
        self._sequence = 0

    def advance_sequence(self) -> int:
        """Return the next sequence number of heartbeats, and advance to it."""
        self._sequence += 1
        return self._sequence

    def make_profile(self) -> NodeProfile:
        """Return this node's failure domain and addresses for the other nodes."""
        callers = self.settings.callers
        scheme = "https" if callers.tls.certificate else "http"
        address = callers.public_address or f"{scheme}://{callers.host}:{callers.port}"
        links = self.settings.links
        return NodeProfile(
            self.settings.node,
            self.incarnation,
            self.settings.domain,
            address,
            f"tcp://{links.host}:{links.port}",
        )

    def make_heartbeat(self) -> Heartbeat:
        """Return a new heartbeat of this node, with the next sequence number."""
        running = len(self.broker.dispatcher.state.requests)
        return Heartbeat(
            self.settings.node,
            self.incarnation,
            self.advance_sequence(),
            self.state,
            self.catalogue.revision,
            min(100, running * 100 // FULL_LOAD_REQUESTS),
        )

    def apply_document(self, document: Document) -> bool:
        """Activate a catalogue document if it is newer; return whether it was."""
        merged = merge_document(self.catalogue, document)
        if merged is None:
            return False
        self.catalogue = merged
        self.clients.driver.catalogue = merged
        self.confirmation.record_newer_revision(merged.revision)
        self._apply_evacuations(merged)
        self.broker.dispatcher.apply_catalogue(merged)
        self.metrics.catalogue_revision.set({}, merged.revision)
        self.end_unauthorized_requests()
        self.catalogue_changed.set()
        self.send_now.set()
        log_event("catalogue_in_force", revision=merged.revision)
        return True

    def _apply_evacuations(self, catalogue: Catalogue) -> None:
        """Apply which failure domains are evacuated; log what changed."""
        evacuated = catalogue.evacuated
        change = self.broker.dispatcher.set_evacuated(evacuated, self.clock.now_ms())
        known = {entry.domain for entry in catalogue.upstreams.values()}
        self._evacuation_reporter.record(change, evacuated, known)

    def list_live_nodes(self, domain: str = "") -> list[str]:
        """Return this node and the other live ones in a domain, or in all if empty."""
        names = [self.settings.node]
        for member in self.members.list_live(self.clock.now_ms()):
            if domain in ("", member.profile.domain):
                names.append(member.profile.origin)
        return names

    def is_listed_leaving(self, name: str) -> bool:
        """Return whether the platform lists a VM as leaving."""
        vm = (self.listed_vms or {}).get(name)
        return vm is not None and vm.leaving

    def find_gone(self, name: str | None) -> set[str]:
        """Return {name} if that VM certainly no longer exists, else an empty set.

        That is certain only if the VM is silent and no longer listed by the platform:
        a silent VM that is still listed may only be frozen.
        """
        if name is None or self.listed_vms is None or name in self.listed_vms:
            return set()
        if self.members.is_live(name, self.clock.now_ms()):
            return set()
        return {name}

    def end_unauthorized_requests(self) -> None:
        """End every request whose key is no longer valid in the catalogue."""
        for request in list(self.broker.active_requests.values()):
            if request.open_to_all:
                continue
            try:
                check_identity(self.catalogue, request.identity)
            except RequestError as error:
                self.broker.feed(ev.AuthorizationLost(request.request_id, error.code))

    def may_serve(self) -> bool:
        """Return whether this node's catalogue is current enough to serve requests."""
        now_ms = self.clock.now_ms()
        heard = len(self.members.list_live(now_ms))
        known = max(heard, len(self._find_expected_nodes()))
        return self.confirmation.may_serve(heard, known, now_ms)

    def _find_expected_nodes(self) -> set[str]:
        """Return the other nodes that should be heard, even if they never were yet."""
        names = {member.profile.origin for member in self.members.list_known()}
        if self.listed_vms is None:
            names.update(peer.node for peer in self.settings.peers)
        for name, vm in (self.listed_vms or {}).items():
            if not vm.leaving and name not in self.catalogue.upstreams:
                names.add(name)
        names.discard(self.settings.node)
        return names

    def end_keyed_requests(self) -> None:
        """End every request with a key, since a withdrawal could not be heard here."""
        for request in list(self.broker.active_requests.values()):
            if request.open_to_all:
                continue
            event = ev.AuthorizationLost(request.request_id, ErrorCode.ISOLATED)
            self.broker.feed(event)

    def apply_gossip_record(self, record: AnyGossipRecord, source: str) -> None:
        """Merge a gossip record and act on it if it is newer than the known one."""
        is_new = self.gossip_table.merge(record, source)
        if isinstance(record, CrashMark):
            self.marks_confirmed.set()
        if not is_new:
            return
        now_ms = self.clock.now_ms()
        if isinstance(record, Heartbeat):
            self.members.record_heartbeat(record, now_ms)
        elif isinstance(record, NodeProfile):
            self.members.record_profile(record, now_ms)
        elif isinstance(record, LoadNotice):
            event = ev.LoadReported(record.upstream, record.by_tier, 1_000)
            self.broker.feed(event)
        elif isinstance(record, LeavingNotice):
            self._apply_leaving(record)
        elif isinstance(record, CrashMark):
            self.broker.feed(
                ev.CrashMarkReceived(record.fingerprint, record.upstream, record.lifted)
            )
            self.send_now.set()

    def _apply_leaving(self, notice: LeavingNotice) -> None:
        entry = self.catalogue.upstreams.get(notice.upstream)
        if entry is not None and entry.address == notice.address:
            self.broker.feed(ev.UpstreamLeaving(notice.upstream))
        self.send_now.set()

    def _apply_fleet_decision(self, decision: ev.FleetDecision) -> None:
        if isinstance(decision, ev.BroadcastCrashMark):
            self._broadcast_crash_mark(decision)
        elif isinstance(decision, ev.Reserve):
            self.run_in_background(self._reserve(decision))
        elif isinstance(decision, ev.Release):
            self.run_in_background(
                self._release(decision.request_id, decision.upstream)
            )

    async def _reserve(self, decision: ev.Reserve) -> None:
        """Request a reservation and report the result to the dispatcher."""
        request_id, upstream = decision.request_id, decision.upstream
        procedure = reserve_upstream(upstream, request_id, self.clock.wall_ms())
        granted = await self.clients.driver.run(procedure)
        if not granted:
            # A write without a reply may still take effect later, so it is released:
            # otherwise it would block the upstream.
            await self._release(request_id, upstream)
        self.broker.feed(ev.ReservationAnswered(request_id, upstream, granted))

    async def _release(self, request_id: str, upstream: str) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            procedure = release_upstream(upstream, request_id)
            if await self.clients.driver.run(procedure):
                return
            await asyncio.sleep(RELEASE_PAUSE_S)

    def _broadcast_crash_mark(self, mark: ev.BroadcastCrashMark) -> None:
        log_event(
            "crash_mark",
            fingerprint=mark.fingerprint,
            upstream=mark.upstream,
            lifted=mark.lifted,
        )
        self.apply_gossip_record(
            CrashMark(mark.fingerprint, mark.upstream, mark.lifted), ""
        )
        self.send_now.set()

    async def wait_for_marks(self, fingerprint: str) -> None:
        """Wait until partners have a fingerprint's crash marks, MARKS_WAIT_MS at most.

        A caller may send a refused request again, to another node, at once.
        """
        try:
            async with asyncio.timeout(MARKS_WAIT_MS / 1_000):
                while not self.gossip_table.is_mark_known(fingerprint):
                    self.marks_confirmed.clear()
                    await self.marks_confirmed.wait()
        except TimeoutError:
            log_event("crash_mark_unconfirmed", fingerprint=fingerprint)

    def run_in_background(self, coroutine) -> None:
        """Run a coroutine as a background task, which a clean drain waits for."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)


def make_node(settings: Settings) -> Node:
    """Return a new node that uses the system clock."""
    return Node(settings, make_clock(), Metrics())
