"""Time in which processes run: their awake clocks beat as it passes."""

import asyncio
from typing import Iterable

from plantainwood.core.awake import MAX_STEP_MS, AwakeClock
from plantainwood.core.clock import VirtualClock
from plantainwood.edge import Edge

BEAT_S = 0.02


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


async def beat(awake_clock: AwakeClock) -> None:
    """Let an awake clock beat until this is cancelled."""
    while True:
        awake_clock.record_beat()
        await asyncio.sleep(BEAT_S)
