"""Reading of the store by few nodes, into the mirror and on to the others."""

import asyncio
import logging
from abc import ABC, abstractmethod
from typing import Callable

import msgspec
from mode import Service

from plantainwood.core.errors import StoreError
from plantainwood.core.mirror import Item
from plantainwood.core.reading import is_reader
from plantainwood.edge import Edge
from plantainwood.logs import log_event

READ_PAUSE_MS = 500
CHECK_PAUSE_MS = 60
FAILED_PAUSE_MS = 300
WAIT_MS = 500


class Changes(msgspec.Struct, frozen=True):
    """What the store says has changed; None for items where history is lost."""

    revision: int
    items: list[Item] | None


class ItemSource(ABC):
    """The store, as far as it is mirrored."""

    @abstractmethod
    async def read_all(self) -> tuple[int, list[Item]]:
        """Return the store's revision before the reading, and all items."""

    @abstractmethod
    async def read_changes(self, after: int, wait_ms: int) -> Changes:
        """Return what changed after a revision, waiting for a first change."""


class NewsTeller(ABC):
    """The way of what was read to the other nodes."""

    @abstractmethod
    def tell_news(self, base: int, items: list[Item], age_ms: int) -> None:
        """Pass on the changes after a revision."""

    @abstractmethod
    def tell_all_items(self) -> None:
        """Pass on the whole mirror, so that what is missing in it is known as gone."""


class Reader(Service):
    """Read while this node is one of the readers; follow the news otherwise."""

    def __init__(
        self,
        edge: Edge,
        source: ItemSource,
        on_items: Callable[[list[Item]], None],
        teller: NewsTeller,
        **kwargs,
    ) -> None:
        self.edge = edge
        self._source = source
        self._on_items = on_items
        self._teller = teller
        self._reading = False
        self._failing = False
        super().__init__(**kwargs)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            pause_ms = CHECK_PAUSE_MS
            if self._is_due():
                pause_ms = await self._read()
            await asyncio.sleep(pause_ms / 1_000)

    def _is_due(self) -> bool:
        edge = self.edge
        now_ms = edge.clock.now_ms()
        due = edge.mirror.revision == 0 or is_reader(
            edge.settings.node, edge.vms.live_names(now_ms), edge.mirror.age_ms(now_ms)
        )
        if due != self._reading:
            self._reading = due
            log_event("store_reading", reading=due, revision=edge.mirror.revision)
        return due

    async def _read(self) -> int:
        """Read once; return the pause before the next reading."""
        edge = self.edge
        asked_ms = edge.clock.now_ms()
        base = edge.mirror.revision
        try:
            if base == 0:
                await self._read_all(asked_ms)
            else:
                await self._read_changes(base, asked_ms)
        except StoreError as error:
            if not self._failing:
                self._failing = True
                log_event("store_lost", logging.WARNING, reason=str(error))
            return FAILED_PAUSE_MS
        if self._failing:
            self._failing = False
            log_event("store_regained", revision=edge.mirror.revision)
        took_ms = edge.clock.now_ms() - asked_ms
        return max(CHECK_PAUSE_MS, READ_PAUSE_MS - took_ms)

    async def _read_all(self, asked_ms: int) -> None:
        revision, items = await self._source.read_all()
        mirror = self.edge.mirror
        news = mirror.replace(revision, items)
        if news is None:
            return
        mirror.confirm(revision, asked_ms)
        log_event("store_read", revision=revision, items=len(items))
        self._on_items(news)

    async def _read_changes(self, base: int, asked_ms: int) -> None:
        edge = self.edge
        changes = await self._source.read_changes(base, WAIT_MS)
        if changes.items is None:
            log_event("store_history_lost", base=base)
            await self._read_all(asked_ms)
            self._teller.tell_all_items()
            return
        # Another reader's news may have come meanwhile: what follows is news after
        # those, and a VM that missed them must see the gap.
        known = edge.mirror.revision
        news = edge.mirror.apply(base, changes.revision, changes.items)
        edge.mirror.confirm(changes.revision, asked_ms)
        if news:
            self._on_items(news)
        age_ms = edge.mirror.age_ms(edge.clock.now_ms()) or 0
        self._teller.tell_news(known, news or [], age_ms)
