"""Reader of the store: a few nodes read it into the mirror and update the others."""

import asyncio
import logging
from abc import ABC, abstractmethod
from typing import Callable

import msgspec
from mode import Service

from plantainwood.core.errors import StoreError
from plantainwood.core.mirror import Item
from plantainwood.core.storecopies import (
    came_back,
    keep_kept_items,
    keep_known_items,
)
from plantainwood.core.storeeras import get_era
from plantainwood.core.storereaders import is_reader
from plantainwood.edge import Edge
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event

READ_INTERVAL_MS = 500
CHECK_PAUSE_MS = 60
RETRY_PAUSE_MS = 300
LONG_POLL_MS = 500


class StoreChanges(msgspec.Struct, frozen=True):
    """Changes read from the store; `items` is None if the store lost their history."""

    revision: int
    items: list[Item] | None


class StoreSource(ABC):
    """The part of the store that is mirrored."""

    @abstractmethod
    async def read_all(self) -> tuple[int, list[Item]]:
        """Return the store's revision before the read, and all items."""

    def is_foreign(self, key: str) -> bool:
        """Tell whether others than the fleet write a key; none by default."""
        return False

    @abstractmethod
    async def read_changes(self, after: int, wait_ms: int) -> StoreChanges:
        """Return the changes after a revision; wait up to `wait_ms` for the first."""


class MirrorPublisher(ABC):
    """Send what was read from the store to the other nodes."""

    @abstractmethod
    def publish_update(self, base: int, items: list[Item], age_ms: int) -> None:
        """Send the changes after `base`, confirmed `age_ms` ago."""

    @abstractmethod
    def publish_snapshot(self) -> None:
        """Send the whole mirror, so that receivers delete what is missing in it."""


class StoreReader(Service):
    """Read the store while this node is a reader; otherwise rely on updates."""

    def __init__(
        self,
        edge: Edge,
        source: StoreSource,
        on_items: Callable[[list[Item]], None],
        publisher: MirrorPublisher,
        **kwargs,
    ) -> None:
        self.edge = edge
        self._source = source
        self._on_items = on_items
        self._publisher = publisher
        self._is_reader = False
        self._store_lost = False
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            pause_ms = CHECK_PAUSE_MS
            if self._should_read():
                pause_ms = await self._read_once()
            await asyncio.sleep(pause_ms / 1_000)

    def _should_read(self) -> bool:
        edge = self.edge
        now_ms = edge.clock.now_ms()
        should_read = (
            edge.mirror.revision == 0
            or edge.second_read.is_due(now_ms)
            or is_reader(
                edge.settings.node,
                edge.find_weights(),
                edge.mirror.compute_age_ms(now_ms),
                edge.find_domains(),
            )
        )
        if should_read != self._is_reader:
            self._is_reader = should_read
            log_event(
                "store_reading", reading=should_read, revision=edge.mirror.revision
            )
        return should_read

    async def _read_once(self) -> int:
        """Read once; return the pause before the next read, in ms."""
        edge = self.edge
        requested_ms = edge.clock.now_ms()
        base = edge.mirror.revision
        try:
            if base == 0:
                await self._read_all(requested_ms)
            elif edge.second_read.is_due(requested_ms):
                await self._read_all(requested_ms)
                self._publisher.publish_snapshot()
            else:
                await self._read_changes(base, requested_ms)
        except StoreError as error:
            if not self._store_lost:
                self._store_lost = True
                log_event("store_lost", logging.WARNING, reason=str(error))
            return RETRY_PAUSE_MS
        if self._store_lost:
            self._store_lost = False
            log_event("store_regained", revision=edge.mirror.revision)
        took_ms = edge.clock.now_ms() - requested_ms
        return max(CHECK_PAUSE_MS, READ_INTERVAL_MS - took_ms)

    async def _read_all(self, requested_ms: int) -> None:
        revision, items = await self._source.read_all()
        mirror = self.edge.mirror
        if came_back(mirror, revision):
            era = get_era(revision)
            log_event("store_came_back", era=era, revision=revision, items=len(items))
            items = keep_known_items(mirror, items, era, self._source.is_foreign)
        elif self.edge.second_read.is_awaited(requested_ms):
            items = keep_kept_items(mirror, items)
        changed_items = mirror.replace(revision, items)
        if changed_items is None:
            return
        era = get_era(mirror.revision)
        self.edge.second_read.note_whole(era, requested_ms, delay_ms=0)
        mirror.confirm(revision, requested_ms)
        log_event("store_read", revision=revision, items=len(items))
        self._on_items(changed_items)
        self.edge.note_registry_read(requested_ms)

    async def _read_changes(self, base: int, requested_ms: int) -> None:
        edge = self.edge
        changes = await self._source.read_changes(base, LONG_POLL_MS)
        # Decoding a large configuration took a long step, and applying it takes one.
        await asyncio.sleep(0)
        if changes.items is None:
            log_event("store_history_lost", base=base)
            await self._read_all(requested_ms)
            self._publisher.publish_snapshot()
            return
        # An update from another reader may have been applied meanwhile. The update
        # sent below starts after it, so that a VM that missed it detects the gap.
        known_revision = edge.mirror.revision
        changed_items = edge.mirror.apply(base, changes.revision, changes.items) or []
        edge.mirror.confirm(changes.revision, requested_ms)
        age_ms = edge.mirror.compute_age_ms(edge.clock.now_ms()) or 0
        self._publisher.publish_update(known_revision, changed_items, age_ms)
        self._on_items(changed_items)
        edge.note_registry_read(requested_ms)
