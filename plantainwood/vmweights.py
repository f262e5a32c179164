"""The weights by which VMs are compared, lowered for those that are slow."""

import logging
import time

from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.slowvms import SlowVm, SlowVms, are_most_slow
from plantainwood.core.vmslowness import SlownessDetector
from plantainwood.edgesettings import EdgeSettings
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics

PROBE_STEPS = 300
"""Some 7 us; with the ticks of a busy VM 0.02 % of a core, measured."""


def compute_fixed() -> int:
    """Perform the fixed computation whose duration is compared."""
    value = 1
    for _ in range(PROBE_STEPS):
        value = (value * 5 + 1) & 1_023
    return value


def time_fixed() -> float:
    """Return how long the fixed computation takes, in us.

    The first run loads the caches, which an idle process finds empty.
    """
    compute_fixed()
    began_ns = time.monotonic_ns()
    compute_fixed()
    return (time.monotonic_ns() - began_ns) / 1_000


class VmWeights:
    """Find this VM's weight and those of others, as they compare now.

    While the setting is off, the weights are the capacities that the VMs report.
    """

    __slots__ = ("_node", "_metrics", "_detector", "_slow_vms", "_are_most_slow")

    def __init__(self, settings: EdgeSettings, metrics: Metrics) -> None:
        self._node = settings.node
        self._metrics = metrics
        enabled = settings.slow_vm.enabled
        self._detector = SlownessDetector() if enabled else None
        self._slow_vms = SlowVms()
        """Empty while the setting is off."""
        self._are_most_slow = False

    @property
    def is_enabled(self) -> bool:
        """Return whether slow VMs are recognized."""
        return self._detector is not None

    @property
    def share(self) -> float:
        """Return the share of its capacity that this VM reports as its weight."""
        return 1.0 if self._detector is None else self._detector.share

    def compute_own(self, capacity: int) -> int:
        """Return the weight that this VM reports."""
        share = self.share
        return capacity if share >= 1.0 else max(1, round(capacity * share))

    def is_slow(self, name: str) -> bool:
        """Tell whether a VM, this one or another, is known to be slow."""
        if name == self._node:
            return self.share < 1.0
        return self._slow_vms.is_slow(name)

    def find_slow(
        self, capacity: int, heartbeats: list[VmHeartbeat]
    ) -> dict[str, SlowVm]:
        """Return the slow ones among this VM and others, with what counts of them.

        If more than half are slow, each counts by its usual weight.
        """
        found = self._slow_vms.list_slow(heartbeats)
        if self.share < 1.0:
            found[self._node] = SlowVm(capacity, self.share)
        if not are_most_slow(len(found), len(heartbeats) + 1):
            return found
        for name, slow in found.items():
            found[name] = SlowVm(slow.usual_weight, 1.0)
        return found

    def compare(self, capacity: int, heartbeats: list[VmHeartbeat]) -> dict[str, int]:
        """Return the weights of this VM and of others, by name."""
        weights = {self._node: capacity}
        for heartbeat in heartbeats:
            weights[heartbeat.sender] = heartbeat.weight
        for name, slow in self.find_slow(capacity, heartbeats).items():
            weights[name] = slow.weight
        return weights

    def record_tick(self, asked_ms: int, took_ms: int, work: int, now_ms: int) -> None:
        """Record what a timer asked to sleep and took, and the events up to now."""
        detector = self._detector
        if detector is None or not detector.record_tick(asked_ms, took_ms, now_ms):
            return
        before = detector.share
        changed = detector.end_period(time_fixed(), work, now_ms)
        self._metrics.vm_slowness.set({}, detector.slowness)
        self._metrics.vm_weight_share.set({}, detector.share)
        if not changed:
            return
        is_slow = detector.share < 1.0
        log_event(
            "vm_slow" if is_slow else "vm_slow_ended",
            logging.WARNING if detector.share < before else logging.INFO,
            slowness=round(detector.slowness, 2),
            share=detector.share,
            before=before,
        )

    def record_heartbeat(
        self, heartbeat: VmHeartbeat, interval_ms: int, now_ms: int
    ) -> None:
        """Record another VM's new heartbeat; log when it begins or ends to be late."""
        if self._detector is None:
            return
        was_late = self._slow_vms.is_late(heartbeat.sender)
        self._slow_vms.record(heartbeat, interval_ms, now_ms)
        is_late = self._slow_vms.is_late(heartbeat.sender)
        if is_late != was_late:
            log_event("vm_late", vm=heartbeat.sender, late=is_late)

    def forget(self, name: str) -> None:
        """Delete a VM that is gone."""
        self._slow_vms.forget(name)

    def report(self, heartbeats: list[VmHeartbeat]) -> None:
        """Update the metric of slow VMs, and log whether most are slow."""
        if self._detector is None:
            return
        slow = len(self._slow_vms.list_slow(heartbeats)) + (self.share < 1.0)
        count = len(heartbeats) + 1
        self._metrics.slow_vms.set({}, slow)
        are_most = are_most_slow(slow, count)
        if are_most != self._are_most_slow:
            self._are_most_slow = are_most
            log_event("vms_slow", most=are_most, slow=slow, vms=count)
