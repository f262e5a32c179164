"""Watcher of the catalogue in the key-value service, which also confirms it."""

import asyncio
import logging
import random

from mode import Service

from plantainwood.core.catalogue import decode_document
from plantainwood.core.editing import CATALOGUE_KEY
from plantainwood.core.errors import StoreError
from plantainwood.core.hashing import rank_members
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event
from plantainwood.node import Node

WATCHERS_PER_DOMAIN = 2
NON_WATCHER_READ_AFTER_MS = 2_000
MAX_BACKOFF_MS = 5_000


def is_watcher(node: Node) -> bool:
    """Return whether this node is one of its failure domain's watchers."""
    domain = node.settings.domain
    ranked = rank_members(f"watcher\0{domain}", node.list_live_nodes(domain))
    return node.settings.node in ranked[:WATCHERS_PER_DOMAIN]


def must_read(node: Node) -> bool:
    """Return whether to read now: watchers always, others if long unconfirmed."""
    if is_watcher(node):
        return True
    age_ms = node.confirmation.compute_age_ms(node.clock.now_ms())
    return age_ms < 0 or age_ms > NON_WATCHER_READ_AFTER_MS


class CatalogueWatcher(Service):
    """Poll the catalogue's revision; each poll also confirms the one in force."""

    def __init__(self, node: Node, **kwargs) -> None:
        self.node = node
        self._random = random.Random()
        self._failures = 0
        super().__init__(**kwargs)

    @guarded_task
    async def _poll(self) -> None:
        while not self.should_stop:
            if must_read(self.node):
                await self._refresh()
            await asyncio.sleep(self._compute_pause_ms() / 1_000)

    def _compute_pause_ms(self) -> float:
        """Return the pause before the next read, with jitter and backoff."""
        pause_ms = self.node.settings.store.poll_ms * 2 ** min(self._failures, 5)
        return min(MAX_BACKOFF_MS, pause_ms) * self._random.uniform(0.7, 1.0)

    async def _refresh(self) -> None:
        try:
            await refresh_catalogue(self.node)
        except StoreError as error:
            self._failures += 1
            if self._failures == 1:
                log_event("store_lost", logging.WARNING, reason=str(error))
            return
        except ValueError as error:
            log_event("catalogue_refused", logging.ERROR, reason=str(error))
            return
        if self._failures:
            log_event("store_back", failures=self._failures)
        self._failures = 0

    @guarded_task
    async def _end_requests_if_isolated(self) -> None:
        """End requests with keys while this node may be isolated.

        It would not hear that a key was withdrawn.
        """
        while not self.should_stop:
            await asyncio.sleep(self.node.settings.store.poll_ms / 1_000)
            if self.node.catalogue.revision and not self.node.may_serve():
                self.node.end_keyed_requests()


async def refresh_catalogue(node: Node) -> None:
    """Read the catalogue if its revision changed, and confirm the one in force.

    Raise StoreError if the read fails, ValueError if the catalogue can't be applied.
    """
    store = node.clients.driver.store
    requested_ms = node.clock.now_ms()
    revision = await store.read_revision(CATALOGUE_KEY)
    if revision == 0:
        return
    if revision != node.stored_revision:
        requested_ms = node.clock.now_ms()
        stored = await store.read(CATALOGUE_KEY)
        if stored is None:
            return
        document = decode_document(stored.value)
        node.apply_document(document)
        if node.catalogue.revision < document.revision:
            raise ValueError(
                f"catalogue revision {document.revision} could not be applied"
            )
        node.stored_revision = stored.revision
        node.confirmation.record_store_read(document.revision, requested_ms)
        return
    node.confirmation.record_store_read(node.catalogue.revision, requested_ms)
