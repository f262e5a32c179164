"""The VMs of a fleet, as their heartbeats tell, directly or over relays."""

from enum import Enum
from statistics import median

from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.messages import NodeState
from plantainwood.core.relays import (
    RELAYED_FRESHNESS_TIMEOUT_MS,
    RELAYED_HEARTBEAT_INTERVAL_MS,
    RELAYED_LIVENESS_TIMEOUT_MS,
    is_mesh,
)

LIVENESS_INTERVALS = 4
MIN_LIVENESS_TIMEOUT_MS = 1_000
FRESHNESS_INTERVALS = 3
MIN_FRESHNESS_TIMEOUT_MS = 500
FORGET_MS = 60_000
MAX_CLOCK_ERROR_MS = 400
MIN_HEARTBEAT_INTERVAL_MS = 100
HEARTBEAT_INTERVAL_MS_PER_VM = 15


def compute_heartbeat_interval_ms(count: int) -> int:
    """Return the pause between heartbeats in a fleet of some size."""
    if not is_mesh(count):
        return RELAYED_HEARTBEAT_INTERVAL_MS
    return max(MIN_HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS_PER_VM * count)


def compute_liveness_timeout_ms(count: int) -> int:
    """Return how long a VM without a heartbeat is taken to live."""
    if not is_mesh(count):
        return RELAYED_LIVENESS_TIMEOUT_MS
    return max(
        MIN_LIVENESS_TIMEOUT_MS,
        LIVENESS_INTERVALS * compute_heartbeat_interval_ms(count),
    )


def compute_freshness_timeout_ms(count: int) -> int:
    """Return how long callers are sent to a VM without a heartbeat.

    Closer than the bound for living: to name a VM that is down costs its callers a
    second, to leave one out for a moment costs next to nothing.
    """
    if not is_mesh(count):
        return RELAYED_FRESHNESS_TIMEOUT_MS
    return max(
        MIN_FRESHNESS_TIMEOUT_MS,
        FRESHNESS_INTERVALS * compute_heartbeat_interval_ms(count),
    )


class HeartbeatStatus(Enum):
    """What a heartbeat was to its receiver."""

    STALE = "stale"
    """Not newer than what was heard before."""
    KNOWN = "known"
    NEW = "new"
    """The first of its VM, or of a new run of it."""


def compute_share(own_weight: int, others: list[VmHeartbeat]) -> float:
    """Return a VM's share of what the fleet uses together, by strength."""
    total = own_weight + sum(heartbeat.weight for heartbeat in others)
    return own_weight / total if total > 0 else 1.0


class KnownVm:
    """What is known of one other VM."""

    __slots__ = ("heartbeat", "heard_ms")

    def __init__(self, heartbeat: VmHeartbeat, heard_ms: int) -> None:
        self.heartbeat = heartbeat
        self.heard_ms = heard_ms


class VmTable:
    """The newest heartbeat of each other VM, by name."""

    __slots__ = ("node", "_vms", "_addresses")

    def __init__(self, node: str) -> None:
        self.node = node
        self._vms: dict[str, KnownVm] = {}
        self._addresses: dict[str, str] = {}

    def learn_address(self, name: str, link_address: str) -> None:
        """Take the address of a VM that may not have been heard yet."""
        if name != self.node:
            self._addresses[name] = link_address

    def forget_address(self, name: str) -> None:
        """Forget a VM that is no longer registered, unless it was heard lately.

        Registrations also lapse while the store is down.
        """
        if name not in self._vms:
            self._addresses.pop(name, None)

    def record(self, heartbeat: VmHeartbeat, heard_ms: int) -> HeartbeatStatus:
        """Take a heartbeat, made at a time of this node's clock."""
        if heartbeat.sender == self.node:
            return HeartbeatStatus.STALE
        current = self._vms.get(heartbeat.sender)
        if current is not None:
            known = (current.heartbeat.incarnation, current.heartbeat.sequence)
            if (heartbeat.incarnation, heartbeat.sequence) <= known:
                return HeartbeatStatus.STALE
        self._addresses[heartbeat.sender] = heartbeat.link_address
        self._vms[heartbeat.sender] = KnownVm(heartbeat, heard_ms)
        if current is None or current.heartbeat.incarnation < heartbeat.incarnation:
            return HeartbeatStatus.NEW
        return HeartbeatStatus.KNOWN

    def addresses(self) -> dict[str, str]:
        """Return the link addresses of all VMs that may exist, by name."""
        return dict(self._addresses)

    def live(self, now_ms: int) -> list[VmHeartbeat]:
        """Return the newest heartbeats of the other VMs that are heard."""
        return self._heard_within(compute_liveness_timeout_ms(len(self._vms)), now_ms)

    def fresh(self, now_ms: int) -> list[VmHeartbeat]:
        """Return the newest heartbeats of the VMs that callers may be sent to."""
        return self._heard_within(compute_freshness_timeout_ms(len(self._vms)), now_ms)

    def _heard_within(self, bound_ms: int, now_ms: int) -> list[VmHeartbeat]:
        found: list[VmHeartbeat] = []
        for vm in self._vms.values():
            if now_ms - vm.heard_ms <= bound_ms:
                found.append(vm.heartbeat)
        return found

    def age_ms(self, name: str, now_ms: int) -> int:
        """Return how long ago a VM's newest heartbeat was made."""
        return max(0, now_ms - self._vms[name].heard_ms)

    def live_names(self, now_ms: int) -> list[str]:
        """Return the names of the other VMs that are heard and not leaving."""
        found: list[str] = []
        for heartbeat in self.live(now_ms):
            if heartbeat.state is NodeState.LIVE:
                found.append(heartbeat.sender)
        return found

    def forget_silent(self, now_ms: int) -> list[str]:
        """Return the VMs that have been silent for long, and forget them."""
        silent: list[str] = []
        for name, vm in list(self._vms.items()):
            if now_ms - vm.heard_ms > FORGET_MS:
                del self._vms[name]
                self._addresses.pop(name, None)
                silent.append(name)
        return silent


class AgreedTime:
    """The time of day that the fleet agrees on, steady while wall clocks jump.

    It is the steady clock plus an offset. The offset is the wall clock's at the
    start; where the other VMs' median differs by more than MAX_CLOCK_ERROR_MS, this
    VM's wall clock was off, and the median is taken.
    """

    __slots__ = ("_offset_ms", "_others")

    def __init__(self, wall_ms: int, now_ms: int) -> None:
        self._offset_ms = wall_ms - now_ms
        self._others: dict[str, int] = {}

    def now(self, now_ms: int) -> int:
        """Return the agreed time in Unix milliseconds."""
        return now_ms + self._offset_ms

    def record(self, name: str, agreed_ms: int, now_ms: int) -> None:
        """Take another VM's agreed time, just heard."""
        self._others[name] = agreed_ms - now_ms

    def correct_offset(self, live: set[str]) -> None:
        """Correct the offset by the median of the live VMs and this one."""
        for name in list(self._others):
            if name not in live:
                del self._others[name]
        if len(self._others) < 2:
            return
        median_offset_ms = round(median([*self._others.values(), self._offset_ms]))
        if abs(median_offset_ms - self._offset_ms) > MAX_CLOCK_ERROR_MS:
            self._offset_ms = median_offset_ms
