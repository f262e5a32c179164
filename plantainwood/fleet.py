"""Links of an edge node: heartbeats, directly or over relays; the readers' news."""

import asyncio
from typing import Callable, Iterable

from mode import Service

from plantainwood.core import events as ev
from plantainwood.core.fleetmessages import (
    CountsReport,
    CrashNotice,
    HeartbeatBatch,
    Message,
    MirrorRequest,
    MirrorSnapshot,
    RelayedHeartbeat,
    StoreUpdate,
    VmHeartbeat,
)
from plantainwood.core.mirror import Item
from plantainwood.core.relays import HeartbeatTargets, find_targets, is_mesh
from plantainwood.core.vms import (
    HeartbeatStatus,
    compute_heartbeat_interval_ms,
    compute_share,
)
from plantainwood.edge import Edge
from plantainwood.logs import log_event
from plantainwood.messenger import Messenger, make_messenger
from plantainwood.reader import NewsTeller

ASK_PAUSE_MS = 400


class Fleet(Service, NewsTeller):
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
        self._on_items = on_items
        self._urgent = asyncio.Event()
        self._asked_ms = -ASK_PAUSE_MS
        self._live: set[str] = set()
        self._passed_on: dict[str, tuple[int, int]] = {}
        """Incarnation and sequence of the heartbeats in earlier digests."""
        super().__init__(**kwargs)

    async def on_start(self) -> None:
        """Listen for the other VMs."""
        settings = self.edge.settings
        host, _, port = settings.addresses.links.rpartition(":")
        self._messenger = make_messenger(
            host, int(port), settings.fleet, self.edge.metrics
        )

    async def on_stop(self) -> None:
        """Close the sockets."""
        if self._messenger is not None:
            self._messenger.close()

    def hurry(self) -> None:
        """Send a heartbeat now."""
        self._urgent.set()

    def send(self, name: str, message: Message) -> None:
        """Send a message to a VM by name; drop it where its address is not known."""
        address = self.edge.vms.addresses().get(name)
        if address is not None:
            self._send([address], message)

    def broadcast(self, message: Message) -> None:
        """Send a message to every VM that may exist."""
        addresses = set(self.edge.vms.addresses().values())
        if not addresses or self.edge.mirror.revision == 0:
            addresses.update(
                f"tcp://{seed}" for seed in self.edge.settings.list_seed_links()
            )
        addresses.discard(f"tcp://{self.edge.settings.addresses.links}")
        self._send(addresses, message)

    def _find_addresses(self, names: list[str]) -> list[str]:
        """Return the link addresses of VMs, without those that are not known."""
        known = self.edge.vms.addresses()
        return [known[name] for name in names if name in known]

    def _send(self, addresses: Iterable[str], message: Message) -> None:
        if self._messenger is not None:
            self._messenger.send(addresses, message)

    @Service.task
    async def _beat(self) -> None:
        urgent = False
        while not self.should_stop:
            self.beat_once(urgent)
            count = len(self.edge.vms.live(self.edge.clock.now_ms()))
            try:
                await asyncio.wait_for(
                    self._urgent.wait(), compute_heartbeat_interval_ms(count) / 1_000
                )
            except TimeoutError:
                pass
            urgent = self._urgent.is_set()
            self._urgent.clear()

    def beat_once(self, urgent: bool) -> None:
        """Take stock of the VMs and send a heartbeat, to all of them if urgent."""
        edge = self.edge
        now_ms = edge.clock.now_ms()
        for name in edge.vms.forget_silent(now_ms):
            log_event("vm_forgotten", vm=name)
        live = edge.vms.live(now_ms)
        self._log_changes({beat.sender for beat in live})
        edge.agreed_time.correct_offset({beat.sender for beat in live})
        edge.budget.set_nodes(len(live) + 1)
        edge.board.dispatcher.set_connection_share(
            compute_share(edge.settings.capacity_percent, live)
        )
        self._send_beat(live, urgent, now_ms)
        if self._messenger is not None:
            self._messenger.close_idle(set(edge.vms.addresses().values()))

    def _send_beat(self, live: list[VmHeartbeat], urgent: bool, now_ms: int) -> None:
        """Send this VM's heartbeat, and as a relay the others'."""
        edge = self.edge
        beat = edge.make_heartbeat()
        domains = {item.sender: item.domain for item in live}
        domains[edge.settings.node] = edge.settings.domain
        if urgent or is_mesh(len(domains)):
            self.broadcast(beat)
            return
        targets = find_targets(edge.settings.node, domains)
        for name in targets.beats:
            self.send(name, beat)
        if targets.members:
            self._send_digests(targets, beat, live, now_ms)

    def _send_digests(
        self,
        targets: HeartbeatTargets,
        own: VmHeartbeat,
        live: list[VmHeartbeat],
        now_ms: int,
    ) -> None:
        """Pass on the heartbeats that came since the last digest."""
        edge = self.edge
        beats = [RelayedHeartbeat(own, 0)]
        for beat in live:
            version = (beat.incarnation, beat.sequence)
            if self._passed_on.get(beat.sender) == version:
                continue
            self._passed_on[beat.sender] = version
            beats.append(RelayedHeartbeat(beat, edge.vms.age_ms(beat.sender, now_ms)))
        node = edge.settings.node
        domain = edge.settings.domain
        of_domain = [item for item in beats if item.beat.domain == domain]
        for names, told in ((targets.members, beats), (targets.relays, of_domain)):
            self._send(self._find_addresses(names), HeartbeatBatch(node, told))

    def _log_changes(self, live: set[str]) -> None:
        """Log the VMs whose heartbeats have stopped or are back."""
        for name in sorted(self._live - live):
            log_event("vm_lost", vm=name, live=len(live))
        for name in sorted(live - self._live):
            log_event("vm_live", vm=name, live=len(live))
        self._live = live

    @Service.task
    async def _tell_crashes(self) -> None:
        while not self.should_stop:
            news = await self.edge.crash_marks.get()
            self.broadcast(CrashNotice(self.edge.settings.node, news))

    @Service.task
    async def _receive(self) -> None:
        assert self._messenger is not None
        async for message in self._messenger.receive():
            self.take(message)

    def take(self, message: Message) -> None:
        """Act on one message from another VM."""
        match message:
            case VmHeartbeat():
                self._take_beat(message, 0)
            case HeartbeatBatch():
                for item in message.beats:
                    self._take_beat(item.beat, item.age_ms)
            case StoreUpdate():
                self._take_news(message)
            case MirrorRequest():
                self._answer_ask(message)
            case MirrorSnapshot():
                self._take_copy(message)
            case CrashNotice():
                mark = message.mark
                event = ev.CrashMarkReceived(
                    mark.fingerprint, mark.upstream, mark.lifted
                )
                self.edge.board.feed(event)
            case CountsReport():
                for record in message.records:
                    self.edge.window_totals.put(record)

    def _take_beat(self, beat: VmHeartbeat, age_ms: int) -> None:
        edge = self.edge
        now_ms = edge.clock.now_ms()
        noted = edge.vms.note(beat, now_ms - age_ms)
        if noted is HeartbeatStatus.STALE:
            return
        if noted is HeartbeatStatus.NEW:
            log_event("vm_heard", vm=beat.sender, domain=beat.domain)
            if is_mesh(len(edge.vms.live(now_ms))):
                self.hurry()
        edge.agreed_time.note(beat.sender, beat.agreed_ms + age_ms, now_ms)
        edge.record_demand(beat.demand)
        edge.router.engines.note_remote(
            beat.sender, beat.pending_tokens, beat.sent_parts, now_ms
        )
        if beat.revision > edge.mirror.revision and edge.mirror.revision == 0:
            self._ask(beat.sender)

    def _ask(self, name: str) -> None:
        """Ask a VM for its whole mirror, not too often."""
        edge = self.edge
        now_ms = edge.clock.now_ms()
        if now_ms - self._asked_ms < ASK_PAUSE_MS:
            return
        self._asked_ms = now_ms
        addresses = edge.settings.addresses
        self.send(
            name,
            MirrorRequest(
                edge.settings.node, f"tcp://{addresses.links}", edge.mirror.revision
            ),
        )

    def _take_news(self, news: StoreUpdate) -> None:
        edge = self.edge
        found = edge.mirror.apply(news.base, news.revision, news.items)
        if found is None:
            self._ask(news.sender)
            return
        edge.mirror.confirm(news.revision, edge.clock.now_ms() - news.age_ms)
        if found:
            self._on_items(found)

    def _answer_ask(self, ask: MirrorRequest) -> None:
        edge = self.edge
        if edge.mirror.revision <= ask.revision:
            return
        age_ms = edge.mirror.age_ms(edge.clock.now_ms())
        if age_ms is None:
            return
        copy = MirrorSnapshot(
            edge.settings.node, edge.mirror.revision, age_ms, edge.mirror.all()
        )
        self._send([ask.link_address], copy)

    def tell_all_items(self) -> None:
        """Pass on the whole mirror."""
        edge = self.edge
        age_ms = edge.mirror.age_ms(edge.clock.now_ms()) or 0
        self.broadcast(
            MirrorSnapshot(
                edge.settings.node, edge.mirror.revision, age_ms, edge.mirror.all()
            )
        )

    def _take_copy(self, copy: MirrorSnapshot) -> None:
        edge = self.edge
        found = edge.mirror.replace(copy.revision, copy.items)
        if found is None:
            return
        edge.mirror.confirm(copy.revision, edge.clock.now_ms() - copy.age_ms)
        if found:
            self._on_items(found)

    def tell_news(self, base: int, items: list[Item], age_ms: int) -> None:
        """Pass on what was just read from the store."""
        edge = self.edge
        self.broadcast(
            StoreUpdate(edge.settings.node, base, edge.mirror.revision, age_ms, items)
        )
