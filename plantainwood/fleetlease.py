"""The lease of the fleet's duties: who contends for it, and who gives it up."""

import asyncio
import logging

from plantainwood.core.decoding import MalformedError, decode_json
from plantainwood.core.hashing import pick_across_domains, rank_by_weight
from plantainwood.core.leaserecords import LEASE_PREFIX, LeaseRecord
from plantainwood.core.messages import NodeState
from plantainwood.edge import FLEET_DUTY, Edge
from plantainwood.guardedtask import guarded_task
from plantainwood.leaserenewer import LeaseRenewer
from plantainwood.logs import log_event
from plantainwood.procedures import Driver

LEASE_CANDIDATES = 3
RENEW_PAUSE_MS = 1_000
ACQUIRE_PAUSE_MS = 400
STAND_IN_MS = 5_000
"""Longer than a takeover from a holder that died."""
SLOWNESS_CHECK_PAUSE_MS = 250


class FleetLeaseRenewer(LeaseRenewer):
    """Renew the lease of the fleet's duties, or contend for it."""

    def __init__(self, edge: Edge, **kwargs) -> None:
        self.edge = edge
        self._has_handed_over = False
        """Whether this VM handed the duty over since it is slow."""
        self._unheld_since_ms: int | None = None
        """Since when this VM is slow and knows no live holder."""
        super().__init__(edge.lease, edge.metrics, **kwargs)

    def get_driver(self) -> Driver:
        """Return the driver of the lease's procedures."""
        return self.edge.driver

    def may_try(self) -> bool:
        """Return whether to renew or acquire the lease; a leaving VM does neither."""
        edge = self.edge
        if not edge.mirror.revision or edge.state is not NodeState.LIVE:
            return False
        if edge.lease.is_held() or edge.settings.node in find_lease_candidates(edge):
            return True
        return self._must_stand_in()

    def _must_stand_in(self) -> bool:
        """Return whether this VM is slow, but no VM that isn't takes the lease.

        They may differ in which VMs they count as slow.
        """
        edge = self.edge
        node = edge.settings.node
        if not edge.weights.is_slow(node):
            self._unheld_since_ms = None
            return False
        now_ms = edge.clock.now_ms()
        # A record that names this VM is stale: it would renew a lease that it holds.
        holder = find_holder(edge)
        live = edge.vms.list_live_names(edge.awake_clock.now_ms())
        if holder != node and holder in live:
            self._unheld_since_ms = None
            return False
        if self._unheld_since_ms is None:
            self._unheld_since_ms = now_ms
        return now_ms - self._unheld_since_ms >= STAND_IN_MS

    @guarded_task
    async def _watch_slowness(self) -> None:
        if not self.edge.weights.is_enabled:
            return
        while not self.should_stop:
            await asyncio.sleep(SLOWNESS_CHECK_PAUSE_MS / 1_000)
            await self.hand_over_if_slow()

    async def hand_over_if_slow(self) -> None:
        """Hand the duty over while this VM is slow and another one is not.

        That is done once in each time of slowness: a holder that got the duty back
        meanwhile keeps it, so that it doesn't pass to and fro.
        """
        edge = self.edge
        if not edge.weights.is_slow(edge.settings.node):
            self._has_handed_over = False
            return
        if self._has_handed_over or not edge.lease.is_held():
            return
        if edge.state is not NodeState.LIVE or not self._has_able_successor():
            return
        self._has_handed_over = True
        try:
            await self.hand_over()
        finally:
            # The planned stop of this VM may have begun meanwhile.
            if edge.state is NodeState.LIVE:
                edge.lease.compete_again()

    def _has_able_successor(self) -> bool:
        """Return whether a VM that is not slow tries to acquire a released lease."""
        edge = self.edge
        candidates = find_lease_candidates(edge)
        for heartbeat in edge.vms.list_staying(edge.awake_clock.now_ms()):
            if heartbeat.sender not in candidates or not heartbeat.revision:
                continue
            if not edge.weights.is_slow(heartbeat.sender):
                return True
        return False

    def get_pause_ms(self, held: bool) -> int:
        """Return the pause before the next renewal, or the next try to acquire."""
        return RENEW_PAUSE_MS if held else ACQUIRE_PAUSE_MS


def find_lease_candidates(edge: Edge) -> list[str]:
    """Return the live VMs that try to acquire the lease, the strongest first.

    One more does if those are all in one failure domain. Slow VMs do only if all are.
    """
    weights = edge.find_weights()
    able: list[str] = []
    for name in sorted(weights):
        if not edge.weights.is_slow(name):
            able.append(name)
    members = able or sorted(weights)
    ranked = rank_by_weight(f"duty\0{FLEET_DUTY}", members, weights)
    return pick_across_domains(ranked, LEASE_CANDIDATES, edge.find_domains())


def find_holder(edge: Edge) -> str:
    """Return the lease holder according to the mirror; empty if there is none."""
    item = edge.mirror.items.get(LEASE_PREFIX + FLEET_DUTY)
    if item is None or item.value is None:
        return ""
    try:
        record = decode_json(item.value, LeaseRecord)
    except MalformedError as error:
        log_event("lease_unreadable", logging.WARNING, reason=str(error))
        return ""
    return "" if record.released else record.holder
