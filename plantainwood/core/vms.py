"""The VMs of a fleet as known from heartbeats, received directly or over relays.

Times are those of an awake clock (core/awake.py): a VM that stood still has not yet
read the heartbeats that came meanwhile, so their senders are no less live.
"""

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
OFFSET_PERIOD_MS = 1_000
MIN_HEARTBEAT_INTERVAL_MS = 100
HEARTBEAT_INTERVAL_MS_PER_VM = 15


def compute_heartbeat_interval_ms(count: int) -> int:
    """Return the interval between heartbeats in a fleet of `count` VMs."""
    if not is_mesh(count):
        return RELAYED_HEARTBEAT_INTERVAL_MS
    return max(MIN_HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS_PER_VM * count)


def compute_liveness_timeout_ms(count: int) -> int:
    """Return how long a VM counts as live after its last heartbeat."""
    if not is_mesh(count):
        return RELAYED_LIVENESS_TIMEOUT_MS
    return max(
        MIN_LIVENESS_TIMEOUT_MS,
        LIVENESS_INTERVALS * compute_heartbeat_interval_ms(count),
    )


def compute_freshness_timeout_ms(count: int) -> int:
    """Return how long callers are sent to a VM after its last heartbeat.

    This is shorter than the liveness timeout: the address of a VM that is down costs
    callers a second, while omitting a live VM for a moment costs almost nothing.
    """
    if not is_mesh(count):
        return RELAYED_FRESHNESS_TIMEOUT_MS
    return max(
        MIN_FRESHNESS_TIMEOUT_MS,
        FRESHNESS_INTERVALS * compute_heartbeat_interval_ms(count),
    )


class HeartbeatStatus(Enum):
    """How a heartbeat relates to those received before."""

    STALE = "stale"
    """Not newer than the last one, or this node's own."""
    KNOWN = "known"
    NEW = "new"
    """The first of its VM, or of a new incarnation of it."""


def compute_share(
    own_weight: int, others: list[VmHeartbeat], unheard: int = 0
) -> float:
    """Return a VM's share of what the fleet uses together, by weight.

    `unheard` VMs, whose weights are not known, count like this one.
    """
    total = own_weight * (1 + unheard)
    total += sum(heartbeat.weight for heartbeat in others)
    return own_weight / total if total > 0 else 1.0


class KnownVm:
    """The newest heartbeat of another VM, and when it was made by the awake clock."""

    __slots__ = ("heartbeat", "made_ms")

    def __init__(self, heartbeat: VmHeartbeat, made_ms: int) -> None:
        self.heartbeat = heartbeat
        self.made_ms = made_ms


class VmTable:
    """The newest heartbeats and the link addresses of the other VMs, by name."""

    __slots__ = ("node", "_vms", "_addresses")

    def __init__(self, node: str) -> None:
        self.node = node
        self._vms: dict[str, KnownVm] = {}
        self._addresses: dict[str, str] = {}

    def learn_address(self, name: str, link_address: str) -> None:
        """Add the address of a VM, which may not have sent a heartbeat yet."""
        if name != self.node:
            self._addresses[name] = link_address

    def forget_address(self, name: str) -> None:
        """Delete a VM that is no longer registered, unless its heartbeats are recent.

        Registrations also expire while the store is down.
        """
        if name not in self._vms:
            self._addresses.pop(name, None)

    def list_current_names(self, now_ms: int) -> set[str]:
        """Return the other VMs that are known or registered, as far as they may exist.

        One at whose address another VM is live is gone.
        """
        live = {vm.sender: vm.link_address for vm in self.list_live(now_ms)}
        reused = set(live.values())
        found = set(live)
        for name, address in self._addresses.items():
            if address not in reused:
                found.add(name)
        return found

    def record(self, heartbeat: VmHeartbeat, made_ms: int) -> HeartbeatStatus:
        """Record a heartbeat that was made at `made_ms` on this node's awake clock."""
        if heartbeat.sender == self.node:
            return HeartbeatStatus.STALE
        current = self._vms.get(heartbeat.sender)
        if current is not None:
            known = (current.heartbeat.incarnation, current.heartbeat.sequence)
            if (heartbeat.incarnation, heartbeat.sequence) <= known:
                return HeartbeatStatus.STALE
        self._addresses[heartbeat.sender] = heartbeat.link_address
        self._vms[heartbeat.sender] = KnownVm(heartbeat, made_ms)
        if current is None or current.heartbeat.incarnation < heartbeat.incarnation:
            return HeartbeatStatus.NEW
        return HeartbeatStatus.KNOWN

    def list_addresses(self) -> dict[str, str]:
        """Return the link addresses of all known or registered VMs, by name."""
        return dict(self._addresses)

    def list_live(self, now_ms: int) -> list[VmHeartbeat]:
        """Return the newest heartbeats of the other VMs that are live."""
        return self._list_recent(compute_liveness_timeout_ms(len(self._vms)), now_ms)

    def list_fresh(self, now_ms: int) -> list[VmHeartbeat]:
        """Return the newest heartbeats of the other VMs that callers may be sent to."""
        return self._list_recent(compute_freshness_timeout_ms(len(self._vms)), now_ms)

    def _list_recent(self, bound_ms: int, now_ms: int) -> list[VmHeartbeat]:
        found: list[VmHeartbeat] = []
        for vm in self._vms.values():
            if now_ms - vm.made_ms <= bound_ms:
                found.append(vm.heartbeat)
        return found

    def compute_age_ms(self, name: str, now_ms: int) -> int:
        """Return how long ago a VM's newest heartbeat was made."""
        return max(0, now_ms - self._vms[name].made_ms)

    def count_in_step(self, since_ms: int, revision: int) -> int:
        """Return how many VMs have said since a time that they know of no later change.

        The time is the agreed one, so a heartbeat that waited in a buffer, since this
        VM stood still, counts by when it was sent.
        """
        count = 0
        for vm in self._vms.values():
            heartbeat = vm.heartbeat
            if heartbeat.agreed_ms >= since_ms and heartbeat.revision <= revision:
                count += 1
        return count

    def count_heard_since(self, since_ms: int) -> int:
        """Return how many VMs' newest heartbeats were sent since an agreed time."""
        count = 0
        for vm in self._vms.values():
            if vm.heartbeat.agreed_ms >= since_ms:
                count += 1
        return count

    def list_live_names(self, now_ms: int) -> list[str]:
        """Return the names of the other VMs that are live and not leaving."""
        return [heartbeat.sender for heartbeat in self.list_staying(now_ms)]

    def list_staying(self, now_ms: int) -> list[VmHeartbeat]:
        """Return the newest heartbeats of the other VMs that live and don't leave."""
        found: list[VmHeartbeat] = []
        for heartbeat in self.list_live(now_ms):
            if heartbeat.state is NodeState.LIVE:
                found.append(heartbeat)
        return found

    def forget_silent(self, now_ms: int) -> list[str]:
        """Delete the VMs without a heartbeat for FORGET_MS, and return their names."""
        silent: list[str] = []
        for name, vm in list(self._vms.items()):
            if now_ms - vm.made_ms > FORGET_MS:
                del self._vms[name]
                self._addresses.pop(name, None)
                silent.append(name)
        return silent


class HeardOffset:
    """The offset of another VM's agreed time, as the newest messages told it.

    A message that waited before it was read makes the sender's time seem to lag, so
    the largest offset of the last two periods counts. The periods are those in which
    this process ran: before a standstill ends, nothing tells how long messages wait.
    """

    __slots__ = ("_largest_ms", "_before_ms", "_period_ms")

    def __init__(self, offset_ms: int, awake_ms: int) -> None:
        self._largest_ms = offset_ms
        self._before_ms = offset_ms
        self._period_ms = awake_ms
        """When the current period began."""

    @property
    def offset_ms(self) -> int:
        """Return the offset that counts."""
        return max(self._largest_ms, self._before_ms)

    def record(self, offset_ms: int, awake_ms: int) -> None:
        """Record what a message told."""
        if awake_ms - self._period_ms < OFFSET_PERIOD_MS:
            self._largest_ms = max(self._largest_ms, offset_ms)
            return
        self._period_ms = awake_ms
        self._before_ms = self._largest_ms
        self._largest_ms = offset_ms


class AgreedTime:
    """The wall-clock time that the fleet agrees on; it ignores jumps of wall clocks.

    It is the monotonic clock plus an offset, which is taken from the wall clock at the
    start. If the median over the live VMs differs by more than MAX_CLOCK_ERROR_MS,
    this VM's wall clock was wrong, and the median replaces the offset.
    """

    __slots__ = ("_offset_ms", "_others")

    def __init__(self, wall_ms: int, now_ms: int) -> None:
        self._offset_ms = wall_ms - now_ms
        self._others: dict[str, HeardOffset] = {}

    def now(self, now_ms: int) -> int:
        """Return the agreed time in Unix milliseconds."""
        return now_ms + self._offset_ms

    def record(self, name: str, agreed_ms: int, now_ms: int, awake_ms: int) -> None:
        """Record another VM's agreed time, received at `now_ms`.

        `awake_ms` is the same time by this process's awake clock.
        """
        offset_ms = agreed_ms - now_ms
        heard = self._others.get(name)
        if heard is None:
            self._others[name] = HeardOffset(offset_ms, awake_ms)
        else:
            heard.record(offset_ms, awake_ms)

    def correct_offset(self, live: set[str]) -> None:
        """Correct the offset by the median of the live VMs and this one.

        Needs the times of at least two other VMs.
        """
        for name in list(self._others):
            if name not in live:
                del self._others[name]
        if len(self._others) < 2:
            return
        offsets_ms = [heard.offset_ms for heard in self._others.values()]
        median_offset_ms = round(median([*offsets_ms, self._offset_ms]))
        if abs(median_offset_ms - self._offset_ms) > MAX_CLOCK_ERROR_MS:
            self._offset_ms = median_offset_ms
