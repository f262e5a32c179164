"""A VM finds out in virtual time that it is slow, and that it no longer is."""

import pytest

from plantainwood.core.vmslowness import SlownessDetector

TICK_MS = 25
QUOTA_CYCLE_MS = 100
USUAL_QUOTA = 0.4
USUAL_LOAD = 0.2
PROBE_US = 30.0
SETTLED_MS = 20_000
MAX_BATCH_MS = 20


class VirtualVm:
    """An event loop whose processor is a quota: full speed, then none, in each cycle.

    Work arrives evenly. The loop takes what is there, bounded by the connections that
    have something to read, then looks at its timer.
    """

    def __init__(self, follows_share: bool = True) -> None:
        self.detector = SlownessDetector()
        self.probe_us = PROBE_US
        self.backlog_ms = 0.0
        self.changes: list[tuple[int, float]] = []
        """When the share changed, and to what."""
        self.now_ms = 0
        self._follows_share = follows_share
        self._done_ms = 0
        self._batch_ms = 0.0
        self._tick_began_ms = 0

    def run(
        self, duration_ms: int, quota: float = USUAL_QUOTA, load: float = USUAL_LOAD
    ) -> None:
        """Let the time pass, with a processor and a load in cores."""
        for _ in range(duration_ms):
            self.now_ms += 1
            share = self.detector.share if self._follows_share else 1.0
            self.backlog_ms += load * share
            if self.now_ms % QUOTA_CYCLE_MS >= quota * QUOTA_CYCLE_MS:
                continue
            if self._batch_ms >= 1:
                self._batch_ms -= 1
                self.backlog_ms -= 1
                self._done_ms += 1
                continue
            self._batch_ms = min(MAX_BATCH_MS, self.backlog_ms)
            if self.now_ms - self._tick_began_ms >= TICK_MS:
                self._tick()

    def pause(self, duration_ms: int) -> None:
        """Let the whole machine stand still."""
        self.now_ms += duration_ms

    def _tick(self) -> None:
        took_ms = self.now_ms - self._tick_began_ms
        self._tick_began_ms = self.now_ms
        if not self.detector.record_tick(TICK_MS, took_ms, self.now_ms):
            return
        if self.detector.end_period(self.probe_us, self._done_ms, self.now_ms):
            self.changes.append((self.now_ms, self.detector.share))


def make_settled_vm(follows_share: bool = True) -> VirtualVm:
    """Return a VM that knows its usual values."""
    vm = VirtualVm(follows_share)
    vm.run(SETTLED_MS)
    assert vm.changes == []
    return vm


# Guards against a slow VM that keeps all of its clients: its requests wait for seconds.
@pytest.mark.parametrize("quota", [0.04, 0.1])
def test_a_vm_with_a_fraction_of_its_cpu_is_slow_within_a_second_or_so(quota):
    vm, baseline = make_settled_vm(), make_settled_vm(follows_share=False)
    for item in (vm, baseline):
        item.run(8_000, quota)
    onset_ms, share = vm.changes[0]
    assert onset_ms - SETTLED_MS <= 1_700
    assert 0.1 <= share <= 0.5
    assert vm.backlog_ms < baseline.backlog_ms / 2


# Guards against a VM that gives its clients away at each of its own load peaks.
@pytest.mark.parametrize("load", [0.6, 1.5])
def test_load_peaks_of_half_a_second_are_no_slowness(load):
    vm = make_settled_vm()
    for _ in range(10):
        vm.run(500, load=load)
        vm.run(4_000)
    assert vm.changes == []


# Guards against a fleet whose VMs all hand over what they do after a pause.
@pytest.mark.parametrize("pause_ms", [300, 1_000, 30_000])
def test_a_pause_of_the_machine_is_no_slowness(pause_ms):
    vm = make_settled_vm()
    for _ in range(5):
        vm.pause(pause_ms)
        vm.run(500, load=0.6)
        vm.run(4_000)
    assert vm.changes == []


# Guards against a VM that counts as slow for as long as its load is what its quota
# allows, or because its start took all of it.
@pytest.mark.parametrize("load", [0.05, 0.2, 0.35])
def test_neither_a_start_nor_an_even_load_is_slowness(load):
    vm = VirtualVm()
    vm.run(400)
    vm.run(2_000, 0.05)  # The start's own work handles no events.
    vm.run(60_000, load=load)
    assert vm.changes == []


# Guards against a VM that takes the peak of its start for usual, and is never slow.
def test_a_vm_that_is_slow_soon_after_a_busy_start_is_recognized():
    vm = VirtualVm()
    vm.run(4_500, 0.05, load=0.04)
    vm.run(7_500)
    vm.run(2_500, 0.15)
    assert vm.detector.share < 1.0


# Guards against a VM that stays without clients after a neighbour has gone.
def test_a_vm_recovers_in_steps_over_some_seconds():
    vm = make_settled_vm()
    vm.run(6_000, 0.04)
    slow_changes = len(vm.changes)
    assert vm.detector.share == 0.1
    vm.run(20_000)
    rises = vm.changes[slow_changes:]
    assert [share for _, share in rises] == [0.25, 0.5, 1.0]
    assert 5_000 <= rises[-1][0] - rises[0][0] <= 12_000


# Guards against relays, readers and clients that move with each of many short spells.
def test_a_vm_that_is_slow_by_turns_changes_its_share_less_and_less():
    vm = make_settled_vm()
    for _ in range(30):
        vm.run(2_000, 0.05)
        vm.run(3_500)
    assert vm.detector.share < 1.0
    early = [item for item in vm.changes if item[0] < SETTLED_MS + 75_000]
    assert len(vm.changes) - len(early) <= len(early) <= 20


# Guards against a slow processor that goes unnoticed while the loop has little to do.
def test_a_computation_that_takes_long_shows_a_slow_processor():
    vm = make_settled_vm()
    vm.probe_us = 2 * PROBE_US
    vm.run(5_000)
    assert vm.changes == []
    vm.probe_us = 5 * PROBE_US
    vm.run(2_000)
    assert vm.detector.share == 0.25
    vm.probe_us = PROBE_US
    vm.run(10_000)
    assert vm.detector.share == 1.0


# Guards against a VM that has less capacity for good, and never takes a duty again.
def test_what_lasts_becomes_usual():
    vm = make_settled_vm()
    vm.probe_us = 5 * PROBE_US
    vm.run(3_600_000 // 2)
    assert vm.detector.share == 1.0
