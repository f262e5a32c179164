"""Messages between edge nodes: heartbeats, direct or relayed, and store updates."""

import asyncio
from typing import Callable, Iterable

from mode import Service

from plantainwood.coldwatch import ColdWatch, apply_cold_reports
from plantainwood.core.fleetmessages import (
    BegunStreamsNotice,
    CountsReport,
    CrashNotice,
    FrozenReportNotice,
    HeartbeatBatch,
    Message,
    MirrorRequest,
    MirrorSnapshot,
    PartCrashNotice,
    PartsClearedNotice,
    StoreUpdate,
    VmHeartbeat,
)
from plantainwood.core.mirror import Item
from plantainwood.core.relays import find_targets, is_mesh
from plantainwood.core.servingvms import find_serving_vms, make_load_name
from plantainwood.core.vms import (
    HeartbeatStatus,
    compute_heartbeat_interval_ms,
)
from plantainwood.customerreports import WorkReports
from plantainwood.edge import Edge
from plantainwood.fleetshares import FleetShares
from plantainwood.guardedtask import contain_errors, guarded_task
from plantainwood.logs import log_event
from plantainwood.messenger import Messenger, make_messenger
from plantainwood.mirrorlinks import MirrorLinks
from plantainwood.notices import (
    apply_brittleness_reports,
    apply_limit_reports,
    apply_notice,
    list_notices,
)
from plantainwood.relaying import HeartbeatRelay


class FleetLinks(Service):
    """Exchange soft state with all other VMs."""

    def __init__(
        self,
        edge: Edge,
        on_items: Callable[[list[Item]], None],
        messenger: Messenger | None = None,
        **kwargs,
    ) -> None:
        self.edge = edge
        self._messenger = messenger
        self._heartbeat_triggered = asyncio.Event()
        self._live_names: set[str] = set()
        self._relay = HeartbeatRelay(edge, self._send_to_names)
        self._cold_watch = ColdWatch(edge)
        self.shares = FleetShares(edge)
        self._work_reports = WorkReports(edge)
        self.mirror_links = MirrorLinks(edge, on_items, self._send, self.broadcast)
        super().__init__(**kwargs)

    async def on_start(self) -> None:
        """Start to listen for the other VMs."""
        settings = self.edge.settings
        host, _, port = settings.addresses.links.rpartition(":")
        self._messenger = make_messenger(
            host,
            int(port),
            settings.fleet,
            self.edge.metrics,
            settings.file_descriptors,
        )

    async def on_stop(self) -> None:
        """Close the sockets."""
        if self._messenger is not None:
            self._messenger.close()

    def trigger_heartbeat(self) -> None:
        """Send a heartbeat to all VMs now instead of at the next interval."""
        self._heartbeat_triggered.set()

    def send(self, name: str, message: Message) -> None:
        """Send a message to a VM by name; drop it if its address is unknown."""
        address = self.edge.vms.list_addresses().get(name)
        if address is not None:
            self._send([address], message)

    def broadcast(self, message: Message) -> None:
        """Send a message to every VM that may exist.

        Includes the seeds while no VM is known or the mirror is empty.
        """
        addresses = set(self.edge.vms.list_addresses().values())
        if not addresses or self.edge.mirror.revision == 0:
            addresses.update(
                f"tcp://{seed}" for seed in self.edge.settings.list_seed_links()
            )
        addresses.discard(f"tcp://{self.edge.settings.addresses.links}")
        self._send(addresses, message)

    def _send_to_names(self, names: list[str], message: Message) -> int:
        """Send a message to VMs, not to those of unknown address; return the bytes."""
        known = self.edge.vms.list_addresses()
        return self._send([known[name] for name in names if name in known], message)

    def _authenticate_link(self, name: str) -> None:
        """Send a frame without content to a VM that has started.

        Most links between VMs carry nothing for long. Without a frame they would take
        the places that the VM has for connections of strangers, and displace others.
        """
        self.send(name, CountsReport(self.edge.settings.node, []))

    def _reconnect(self, name: str) -> None:
        """Dial a VM that was heard, if it did not listen when it was dialled last."""
        address = self.edge.vms.list_addresses().get(name)
        if address is not None and self._messenger is not None:
            self._messenger.reconnect(address)

    def _send(self, addresses: Iterable[str], message: Message) -> int:
        """Send a message to link addresses; return the bytes sent."""
        if self._messenger is None:
            return 0
        return self._messenger.send(addresses, message)

    @guarded_task
    async def _run_heartbeats(self) -> None:
        urgent = False
        while not self.should_stop:
            self.send_heartbeat(urgent)
            count = len(self.edge.vms.list_live(self.edge.awake_clock.now_ms()))
            try:
                await asyncio.wait_for(
                    self._heartbeat_triggered.wait(),
                    compute_heartbeat_interval_ms(count) / 1_000,
                )
            except TimeoutError:
                pass
            urgent = self._heartbeat_triggered.is_set()
            self._heartbeat_triggered.clear()

    def send_heartbeat(self, urgent: bool) -> None:
        """Update what depends on the live VMs, and send a heartbeat.

        It goes to all VMs if urgent or in a small fleet, else to the domain's relays.
        """
        edge = self.edge
        now_ms = edge.clock.now_ms()
        awake_ms = edge.awake_clock.now_ms()
        for name in edge.vms.forget_silent(awake_ms):
            log_event("vm_forgotten", vm=name)
            edge.weights.forget(name)
        live = edge.vms.list_live(awake_ms)
        edge.weights.report(live)
        self._update_live_names({heartbeat.sender for heartbeat in live})
        edge.agreed_time.correct_offset({heartbeat.sender for heartbeat in live})
        stream_versions = edge.broker.dispatcher.state.stream_versions
        stream_versions.is_registry_current = edge.is_registry_current()
        self.shares.update()
        self._cold_watch.check()
        self._update_serving_vms()
        self._send_or_relay(live, urgent, now_ms)
        if self._messenger is not None:
            self._messenger.close_idle(set(edge.vms.list_addresses().values()))

    def _update_serving_vms(self) -> None:
        """Tell the dispatcher which VMs may serve in this one's place."""
        edge = self.edge
        fresh = edge.vms.list_fresh(edge.awake_clock.now_ms())
        serving_vms = find_serving_vms(fresh, edge.compare_weights(fresh))
        edge.broker.dispatcher.set_serving_vms(serving_vms)

    def count_unrelayed(self) -> int:
        """Return the number of heartbeats that this VM may have to pass on."""
        return self._relay.count_waiting()

    def _send_or_relay(
        self, live: list[VmHeartbeat], urgent: bool, now_ms: int
    ) -> None:
        """Send this VM's heartbeat; a relay also passes on those of other VMs."""
        edge = self.edge
        heartbeat = edge.make_heartbeat()
        self._relay.record(heartbeat, now_ms)
        domains = {item.sender: item.domain for item in live}
        domains[edge.settings.node] = edge.settings.domain
        weights = edge.compare_weights(live)
        if is_mesh(len(domains)):
            self._relay.clear()
            self.broadcast(heartbeat)
            return
        if urgent:
            self.broadcast(heartbeat)
            return
        targets = find_targets(edge.settings.node, domains, weights)
        for name in targets.heartbeats:
            self.send(name, heartbeat)
        self._relay.pass_on(targets, now_ms)

    def _update_live_names(self, live_names: set[str]) -> None:
        """Store the live names, and log the VMs whose heartbeats stopped or resumed."""
        for name in sorted(self._live_names - live_names):
            log_event("vm_lost", vm=name, live=len(live_names))
        for name in sorted(live_names - self._live_names):
            log_event("vm_live", vm=name, live=len(live_names))
            self._reconnect(name)
            self._hand_over_notices(name)
        self._live_names = live_names

    def _hand_over_notices(self, name: str) -> None:
        """Send marks and streams to a VM that started or was cut off."""
        for notice in list_notices(self.edge, name):
            self.send(name, notice)

    @guarded_task
    async def _broadcast_notices(self) -> None:
        while not self.should_stop:
            self.broadcast(await self.edge.notices.get())

    @guarded_task
    async def _receive(self) -> None:
        assert self._messenger is not None
        async for message in self._messenger.receive():
            with contain_errors(type(message).__name__):
                self.handle_message(message)

    def handle_message(self, message: Message) -> None:
        """Handle one message from another VM."""
        match message:
            case VmHeartbeat():
                self._handle_heartbeat(message, 0)
            case HeartbeatBatch():
                for item in message.heartbeats:
                    self._handle_heartbeat(item.heartbeat, item.age_ms)
            case StoreUpdate():
                self.mirror_links.apply_update(message)
            case MirrorRequest():
                self.mirror_links.answer_request(message)
            case MirrorSnapshot():
                self.mirror_links.apply_snapshot(message)
            case (
                CrashNotice()
                | PartCrashNotice()
                | PartsClearedNotice()
                | BegunStreamsNotice()
            ):
                apply_notice(self.edge, message)
            case FrozenReportNotice():
                self.edge.frozen_reports.record(message.key, message.counts)
            case CountsReport():
                for record in message.records:
                    self.edge.window_totals.put(record)

    def _handle_heartbeat(self, heartbeat: VmHeartbeat, age_ms: int) -> None:
        edge = self.edge
        now_ms = edge.clock.now_ms()
        awake_ms = edge.awake_clock.now_ms()
        status = edge.vms.record(heartbeat, awake_ms - age_ms)
        if status is HeartbeatStatus.STALE:
            return
        interval_ms = compute_heartbeat_interval_ms(len(self._live_names))
        edge.weights.record_heartbeat(heartbeat, interval_ms, now_ms)
        self._note_path(heartbeat)
        edge.second_read.note_heartbeat(heartbeat, now_ms)
        self._relay.record(heartbeat, now_ms - age_ms)
        if status is HeartbeatStatus.NEW:
            log_event("vm_heard", vm=heartbeat.sender, domain=heartbeat.domain)
            self._reconnect(heartbeat.sender)
            self._authenticate_link(heartbeat.sender)
            self._hand_over_notices(heartbeat.sender)
            if is_mesh(len(edge.vms.list_live(awake_ms))):
                self.trigger_heartbeat()
        edge.agreed_time.record(
            heartbeat.sender, heartbeat.agreed_ms + age_ms, now_ms, awake_ms
        )
        edge.record_demand(heartbeat.demand)
        if heartbeat.demand or heartbeat.begun_streams:
            edge.has_heard_demand = True
        edge.record_domain_demand(heartbeat.domain, heartbeat.demand, age_ms)
        edge.router.engine_states.record_remote(
            heartbeat.sender, heartbeat.pending_tokens, heartbeat.sent_parts, now_ms
        )
        edge.router.paces.record_remote(heartbeat.engine_timings, now_ms)
        apply_limit_reports(edge, heartbeat, age_ms)
        apply_brittleness_reports(edge, heartbeat, age_ms)
        apply_cold_reports(edge, heartbeat, age_ms)
        self._work_reports.apply(heartbeat, age_ms)
        edge.broker.dispatcher.state.stream_versions.record_remote(
            heartbeat.begun_streams, now_ms
        )
        if heartbeat.revision > edge.mirror.revision and edge.mirror.revision == 0:
            self.mirror_links.request_mirror(heartbeat.sender)

    def _note_path(self, heartbeat: VmHeartbeat) -> None:
        """Apply at once that a VM reaches fewer or more of the upstreams."""
        serving_vms = self.edge.broker.dispatcher.state.serving_vms
        known = serving_vms.get(make_load_name(heartbeat.sender))
        if known is None:
            return
        before = (known.path_lost, known.unreached_pools)
        if before != (heartbeat.path_lost, heartbeat.unreached_pools):
            self._update_serving_vms()
