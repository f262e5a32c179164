"""Faults that meet streams: silence, standstills, configurations, releases, in series.

They come beside those of the operator and draw from a source of their own.
"""

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.faults import Operator

GAP_S = (0.5, 2.5)
SILENCE_S = (1.0, 2.0)
STANDSTILL_S = (0.5, 2.5)
CONFIGS = (3, 8)
CONFIG_GAP_S = (0.05, 0.4)
SERIES = (1, 3)
"""How often a fault is repeated before another one is drawn."""


class StreamFaults:
    """Cause one series after the other; they overlap."""

    def __init__(self, operator: "Operator", source: random.Random) -> None:
        self._operator = operator
        self._source = source
        self._tasks: set[asyncio.Task] = set()

    async def run(self, stop: asyncio.Event) -> None:
        """Cause faults until told to stop, and wait for their ends."""
        faults = [
            self._silence_all,
            self._silence_some,
            self._stand_still,
            self._configure,
            self._release,
        ]
        while not stop.is_set():
            self._tasks.add(
                asyncio.create_task(self._repeat(self._source.choice(faults), stop))
            )
            await asyncio.sleep(self._source.uniform(*GAP_S))
        await asyncio.gather(*self._tasks)

    async def _repeat(self, fault, stop: asyncio.Event) -> None:
        for _ in range(self._source.randint(*SERIES)):
            if stop.is_set():
                return
            await fault()
            await asyncio.sleep(self._source.uniform(*GAP_S))

    async def _silence_all(self) -> None:
        self._silence(list(self._operator.runners))

    async def _silence_some(self) -> None:
        names = sorted(self._operator.runners)
        self._silence(self._source.sample(names, max(1, len(names) // 2)))

    def _silence(self, names: list[str]) -> None:
        """Let runners send nothing for a while; they run on."""
        until_s = asyncio.get_running_loop().time() + self._source.uniform(*SILENCE_S)
        for name in names:
            self._operator.runners[name].silent_until_s = until_s

    async def _stand_still(self) -> None:
        await self._operator.freeze_a_vm(STANDSTILL_S)

    async def _configure(self) -> None:
        """Write configurations in quick succession."""
        for _ in range(self._source.randint(*CONFIGS)):
            self._operator.write_config()
            await asyncio.sleep(self._source.uniform(*CONFIG_GAP_S))

    async def _release(self) -> None:
        """Let runners of a new version come, and all others drain and be silent."""
        operator = self._operator
        if operator.site.store.faults.down:
            return
        old = operator.list_ready()
        await operator.release()
        await asyncio.sleep(self._source.uniform(*GAP_S))
        self._silence(old)
