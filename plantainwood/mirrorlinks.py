"""Updates, requests and snapshots of the store's mirror between edge nodes."""

from typing import Callable

from plantainwood.core.fleetmessages import (
    Message,
    MirrorRequest,
    MirrorSnapshot,
    StoreUpdate,
)
from plantainwood.core.mirror import Item
from plantainwood.core.storecopies import compute_second_read_delay_ms, keep_kept_items
from plantainwood.core.storeeras import get_era
from plantainwood.core.storereaders import find_rank
from plantainwood.core.vms import MAX_CLOCK_ERROR_MS
from plantainwood.edge import Edge
from plantainwood.reader import MirrorPublisher

MIRROR_REQUEST_PAUSE_MS = 400


class MirrorLinks(MirrorPublisher):
    """Tell the other VMs what was read from the store, and apply what they read."""

    def __init__(
        self,
        edge: Edge,
        on_items: Callable[[list[Item]], None],
        send: Callable[[list[str], Message], int],
        broadcast: Callable[[Message], None],
    ) -> None:
        self.edge = edge
        self._on_items = on_items
        self._send = send
        """Sends a message to link addresses."""
        self._broadcast = broadcast
        self._requested_ms = -MIRROR_REQUEST_PAUSE_MS

    def request_mirror(self, name: str) -> None:
        """Request a VM's whole mirror, at most once in MIRROR_REQUEST_PAUSE_MS."""
        edge = self.edge
        now_ms = edge.clock.now_ms()
        address = edge.vms.list_addresses().get(name)
        if address is None or now_ms - self._requested_ms < MIRROR_REQUEST_PAUSE_MS:
            return
        self._requested_ms = now_ms
        own_address = f"tcp://{edge.settings.addresses.links}"
        node = edge.settings.node
        self._send([address], MirrorRequest(node, own_address, edge.mirror.revision))

    def apply_update(self, update: StoreUpdate) -> None:
        """Apply another VM's changes; request its mirror if earlier ones are missed."""
        edge = self.edge
        changed_items = edge.mirror.apply(update.base, update.revision, update.items)
        if changed_items is None:
            self.request_mirror(update.sender)
            return
        read_ms = edge.clock.now_ms() - update.age_ms
        if update.sent_ms:
            waited_ms = edge.compute_waited_ms(update.sent_ms)
            read_ms -= max(0, waited_ms - MAX_CLOCK_ERROR_MS)
        edge.mirror.confirm(update.revision, read_ms)
        self._on_items(changed_items)
        if update.sent_ms:
            edge.note_update(update.sent_ms, update.age_ms)

    def answer_request(self, request: MirrorRequest) -> None:
        """Send the whole mirror to a VM that lacks some of it."""
        edge = self.edge
        if edge.mirror.revision <= request.revision:
            return
        age_ms = edge.mirror.compute_age_ms(edge.clock.now_ms())
        if age_ms is not None:
            self._send([request.link_address], self._make_snapshot(age_ms))

    def publish_snapshot(self) -> None:
        """Send the whole mirror to all VMs."""
        age_ms = self.edge.mirror.compute_age_ms(self.edge.clock.now_ms()) or 0
        self._broadcast(self._make_snapshot(age_ms))

    def _make_snapshot(self, age_ms: int) -> MirrorSnapshot:
        mirror = self.edge.mirror
        node = self.edge.settings.node
        return MirrorSnapshot(node, mirror.revision, age_ms, mirror.list_items())

    def apply_snapshot(self, snapshot: MirrorSnapshot) -> None:
        """Apply another VM's whole mirror, if it is not older than this one."""
        edge = self.edge
        now_ms = edge.clock.now_ms()
        items = snapshot.items
        if edge.second_read.is_awaited(now_ms):
            items = keep_kept_items(edge.mirror, items)
        changed_items = edge.mirror.replace(snapshot.revision, items)
        if changed_items is None:
            return
        edge.mirror.confirm(snapshot.revision, now_ms - snapshot.age_ms)
        rank = find_rank(edge.settings.node, edge.find_weights())
        era = get_era(edge.mirror.revision)
        edge.second_read.note_whole(era, now_ms, compute_second_read_delay_ms(rank))
        self._on_items(changed_items)

    def publish_update(self, base: int, items: list[Item], age_ms: int) -> None:
        """Send the changes that were just read from the store to all VMs."""
        edge = self.edge
        self._broadcast(
            StoreUpdate(
                edge.settings.node,
                base,
                edge.mirror.revision,
                age_ms,
                items,
                edge.agreed_time.now(edge.clock.now_ms()),
            )
        )
