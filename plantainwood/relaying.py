"""Relaying of heartbeats to the VMs of a failure domain and to other relays."""

from collections import deque
from typing import Callable

import msgspec

from plantainwood.core.fleetmessages import (
    HeartbeatBatch,
    RelayedHeartbeat,
    VmHeartbeat,
)
from plantainwood.core.relays import HeartbeatTargets, RelayBudget
from plantainwood.edge import Edge
from plantainwood.logs import log_event

MAX_HEARD = 4_096
"""Heartbeats that await a batch; the oldest are dropped beyond."""

BatchSender = Callable[[list[str], HeartbeatBatch], int]
"""Send a batch to VMs by name; return the bytes sent."""


class HeardHeartbeat:
    """A heartbeat that awaits a batch, and when it was made by this node's clock."""

    __slots__ = ("heartbeat", "made_ms")

    def __init__(self, heartbeat: VmHeartbeat, made_ms: int) -> None:
        self.heartbeat = heartbeat
        self.made_ms = made_ms


class HeartbeatRelay:
    """Collect heartbeats, and pass each on once while this VM is a relay.

    After a batch that is large for the VM's link there is a pause, in which further
    heartbeats wait for the next batch.
    """

    __slots__ = ("_edge", "_send", "_heard", "_budget", "_is_relay")

    def __init__(self, edge: Edge, send: BatchSender) -> None:
        self._edge = edge
        self._send = send
        self._heard: deque[HeardHeartbeat] = deque(maxlen=MAX_HEARD)
        self._budget = RelayBudget()
        self._is_relay = False

    def record(self, heartbeat: VmHeartbeat, made_ms: int) -> None:
        """Add a new heartbeat of any VM, this one included, to the next batch."""
        self._heard.append(HeardHeartbeat(heartbeat, made_ms))

    def count_waiting(self) -> int:
        """Return the number of heartbeats that await a batch."""
        return len(self._heard)

    def clear(self) -> None:
        """Forget the heartbeats that await a batch; nobody needs them from here."""
        self._heard.clear()

    def pass_on(self, targets: HeartbeatTargets, now_ms: int) -> None:
        """Send the heartbeats since the last batch, unless a pause lasts."""
        self._update_role(targets)
        if not targets.members:
            self.clear()
            return
        if now_ms < self._budget.due_ms:
            return
        settings = self._edge.settings
        heartbeats = self._take_heard(now_ms)
        of_domain: list[RelayedHeartbeat] = []
        for item in heartbeats:
            if item.heartbeat.domain == settings.domain:
                of_domain.append(item)
        sent_bytes = self._send(
            targets.members, HeartbeatBatch(settings.node, heartbeats)
        )
        sent_bytes += self._send(
            targets.relays, HeartbeatBatch(settings.node, of_domain)
        )
        self._budget.record_batch(sent_bytes, settings.link_mbps, now_ms)

    def _take_heard(self, now_ms: int) -> list[RelayedHeartbeat]:
        """Return the heartbeats for a batch, with their ages, and forget them."""
        found: list[RelayedHeartbeat] = []
        for heard in self._heard:
            heartbeat = heard.heartbeat
            if heartbeat.sent_parts and not self._budget.keeps_parts():
                heartbeat = msgspec.structs.replace(heartbeat, sent_parts={})
            found.append(RelayedHeartbeat(heartbeat, max(0, now_ms - heard.made_ms)))
        self._heard.clear()
        return found

    def _update_role(self, targets: HeartbeatTargets) -> None:
        """Log when this VM begins or ceases to relay the heartbeats of its domain."""
        is_relay = bool(targets.members)
        if is_relay == self._is_relay:
            return
        self._is_relay = is_relay
        log_event(
            "relaying",
            active=is_relay,
            members=len(targets.members),
            relays=len(targets.relays),
            link_mbps=self._edge.settings.link_mbps,
        )
