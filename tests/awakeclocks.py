"""Virtual time in which processes run: their awake clocks beat as it passes."""

from typing import Iterable

from plantainwood.core.awake import MAX_STEP_MS
from plantainwood.core.clock import VirtualClock
from plantainwood.edge import Edge


def advance_awake(clock: VirtualClock, edges: Iterable[Edge], by_ms: int) -> None:
    """Advance the clock of some VMs, all of which run meanwhile."""
    edges = list(edges)
    left_ms = by_ms
    while left_ms:
        step_ms = min(left_ms, MAX_STEP_MS)
        clock.advance(step_ms)
        left_ms -= step_ms
        for edge in edges:
            edge.awake_clock.record_beat()
