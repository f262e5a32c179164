"""The VMs of a fleet that are slow, and how their weights compare meanwhile.

Load: a few VMs of many get a fraction of their usual CPU for some seconds. A slow VM
reports a lower weight than before. One that can't do so makes its heartbeats late. If
more than half of the VMs are slow, leaving them out would only overload the others, so
all weights compare as if none were.
"""

import msgspec

from plantainwood.core.fleetmessages import VmHeartbeat

MAX_SLOW_SHARE = 0.75
"""A VM is slow if its weight is at most this share of the one before; slow VMs report
half of it or less, while changed settings often change it by less."""
MEMORY_MS = 600_000
"""A VM that reports a lower weight for so long has less capacity."""
LATE_FACTOR = 3.0
"""Heartbeats are late if they are made at this multiple of the interval,"""
MIN_LATE_MS = 750
"""and not more often than this: VMs that know fewer others expect shorter intervals."""
LATE_COUNT = 2
"""A load peak, or a pause of the whole machine, delays one heartbeat only."""
MAX_LATE_COUNT = 4
"""How many heartbeats in time end the lateness."""
LATE_SHARE = 0.25
"""One share, so that the weight doesn't follow each heartbeat."""
MIN_SHARE = 0.1


class SlowVm(msgspec.Struct, frozen=True):
    """A slow VM's weight while it was not slow, and the share that counts now."""

    usual_weight: int
    share: float

    @property
    def weight(self) -> int:
        """Return the weight that counts now."""
        return max(1, round(self.usual_weight * self.share))


class VmRecord:
    """What one VM's heartbeats have said."""

    __slots__ = (
        "incarnation",
        "sequence",
        "made_ms",
        "usual_weight",
        "reached_ms",
        "late_count",
        "is_late",
    )

    def __init__(self, heartbeat: VmHeartbeat, now_ms: int) -> None:
        self.incarnation = heartbeat.incarnation
        self.sequence = heartbeat.sequence
        self.made_ms = heartbeat.agreed_ms
        """When the newest one was made, by the sender's agreed time."""
        self.usual_weight = heartbeat.weight
        self.reached_ms = now_ms
        """When the VM last reported its usual weight."""
        self.late_count = 0
        """Late heartbeats, less those in time."""
        self.is_late = False


class SlowVms:
    """Recognize the other VMs that are slow, by the weights and times they report."""

    __slots__ = ("_records", "_slow")

    def __init__(self) -> None:
        self._records: dict[str, VmRecord] = {}
        self._slow: dict[str, SlowVm] = {}
        """Only the slow ones, so that a fleet without any costs nothing to compare."""

    def record(self, heartbeat: VmHeartbeat, interval_ms: int, now_ms: int) -> None:
        """Record a new heartbeat, of which one is due in each interval."""
        name = heartbeat.sender
        record = self._records.get(name)
        if record is None or record.incarnation != heartbeat.incarnation:
            self._records[name] = VmRecord(heartbeat, now_ms)
            self._slow.pop(name, None)
            return
        _note_time(record, heartbeat, interval_ms)
        is_old = now_ms - record.reached_ms > MEMORY_MS
        if heartbeat.weight >= record.usual_weight or is_old:
            record.usual_weight = heartbeat.weight
            record.reached_ms = now_ms
        share = min(1.0, heartbeat.weight / max(1, record.usual_weight))
        if share > MAX_SLOW_SHARE:
            share = LATE_SHARE if record.is_late else 1.0
        if share > MAX_SLOW_SHARE:
            self._slow.pop(name, None)
        else:
            self._slow[name] = SlowVm(record.usual_weight, max(MIN_SHARE, share))

    def forget(self, name: str) -> None:
        """Delete a VM that is gone."""
        self._records.pop(name, None)
        self._slow.pop(name, None)

    def is_slow(self, name: str) -> bool:
        """Tell whether another VM is slow, however many are."""
        return name in self._slow

    def is_late(self, name: str) -> bool:
        """Tell whether another VM's heartbeats are late."""
        record = self._records.get(name)
        return record is not None and record.is_late

    def list_slow(self, heartbeats: list[VmHeartbeat]) -> dict[str, SlowVm]:
        """Return the slow ones among some VMs, by name."""
        found: dict[str, SlowVm] = {}
        if not self._slow:
            return found
        for heartbeat in heartbeats:
            slow = self._slow.get(heartbeat.sender)
            if slow is not None:
                found[heartbeat.sender] = slow
        return found


def are_most_slow(slow_count: int, count: int) -> bool:
    """Tell whether so many VMs are slow that all weights compare as before."""
    return 2 * slow_count > count


def _note_time(record: VmRecord, heartbeat: VmHeartbeat, interval_ms: int) -> None:
    """Note how long the sender took for each of its heartbeats since the last one.

    Its own times are compared, so that neither a slow relay nor a pause of this VM
    makes it late.
    """
    count = max(1, heartbeat.sequence - record.sequence)
    gap_ms = (heartbeat.agreed_ms - record.made_ms) / count
    record.sequence = heartbeat.sequence
    record.made_ms = heartbeat.agreed_ms
    if gap_ms >= max(MIN_LATE_MS, LATE_FACTOR * interval_ms):
        record.late_count = min(MAX_LATE_COUNT, record.late_count + 1)
    else:
        record.late_count = max(0, record.late_count - 1)
    if record.late_count >= LATE_COUNT:
        record.is_late = True
    elif not record.late_count:
        record.is_late = False
