"""Faults of the soak's store: down, slow, without history, back from an old copy."""

import asyncio
import base64
import random

from fakes.store import FakeKvStore
from soak.disturbances import STORE, Disturbances

COPY_AGE_S = 4.0
REWRITE_S = 1.8
SLOW_S = 0.4


class StoreFaults:
    """Disturb the store, in one way at a time."""

    def __init__(
        self, store: FakeKvStore, source: random.Random, disturbances: Disturbances
    ) -> None:
        self._store = store
        self._source = source
        self._disturbances = disturbances
        self._is_disturbed = False
        self._removed: set[str] = set()
        """The keys that the operator has removed since the store last came back."""

    def remove(self, key: str) -> None:
        """Remove a key for good, though the store may have lost it already."""
        self._removed.add(key)
        self._store.remove(key)

    async def disturb(self) -> None:
        """Let the store be down or slow, or forget its history, one at a time."""
        if self._is_disturbed:
            return
        self._is_disturbed = True
        faults = self._store.faults
        kind = self._source.choice(["down", "slow", "compact"])
        self._disturbances.begin(STORE)
        if kind == "compact":
            self._store.compact()
        faults.down = kind == "down"
        faults.slow_s = SLOW_S if kind == "slow" else 0.0
        await asyncio.sleep(self._source.uniform(0.3, 1.5))
        faults.down = False
        faults.slow_s = 0.0
        self._disturbances.end(STORE)
        self._is_disturbed = False

    async def bring_back(self) -> None:
        """Let the store be down, and come back from a copy that is some seconds old.

        What the operator and the runners wrote since is written again a moment later.
        """
        if self._is_disturbed:
            return
        self._is_disturbed = True
        store = self._store
        copy = store.copy()
        await asyncio.sleep(self._source.uniform(0.5, COPY_AGE_S))
        self._disturbances.begin(STORE)
        store.faults.down = True
        await asyncio.sleep(self._source.uniform(0.1, 0.8))
        written = dict(store.items)
        store.come_back(copy)
        self._removed.clear()
        copied = dict(store.items)
        store.faults.down = False
        await asyncio.sleep(self._source.uniform(0.1, REWRITE_S))
        self._write_again(written, copied)
        self._disturbances.end(STORE)
        self._is_disturbed = False

    def _write_again(self, written: dict[str, dict], copied: dict[str, dict]) -> None:
        """Write what the store has lost; leave what was changed since it came back."""
        store = self._store
        for key in sorted({*written, *copied}):
            if not key.startswith(("op/", "servers/")):
                continue
            if key in self._removed or store.items.get(key) is not copied.get(key):
                continue
            item = written.get(key)
            if item is None:
                store.remove(key)
            elif item != copied.get(key):
                store.put(key, base64.b64decode(item["value"]))
