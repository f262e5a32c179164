"""Recording in the store of the versions whose streams may still be taken up."""

import asyncio
import logging

from mode import Service

from plantainwood.core.decoding import MalformedError
from plantainwood.core.hashing import rank_by_weight
from plantainwood.core.messages import NodeState
from plantainwood.core.mirror import Item
from plantainwood.core.versionrecords import (
    VERSIONS_PREFIX,
    decode_versions,
    make_versions_key,
    store_versions,
)
from plantainwood.edge import Edge
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event

CHECK_PAUSE_MS = 100
REPEAT_PAUSE_MS = 500


class VersionRecorder(Service):
    """Keep the record current while this VM is the strongest of the live ones.

    VMs that differ in who is live may both write: a write applies only to the record
    that it is based on, and none removes a version that another VM still counts.
    """

    def __init__(self, edge: Edge, **kwargs) -> None:
        self.edge = edge
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            changed = self._list_changed()
            if changed and self._is_recorder():
                for pool in changed:
                    await self._record(pool)
                # The mirror has what was stored some moments later.
                await asyncio.sleep(REPEAT_PAUSE_MS / 1_000)
            await asyncio.sleep(CHECK_PAUSE_MS / 1_000)

    def _list_changed(self) -> list[str]:
        """Return the pools whose record is not current."""
        edge = self.edge
        found: list[str] = []
        if edge.state is not NodeState.LIVE:
            return found
        for pool in edge.view.list_stream_pools():
            recorded = _decode_record(edge.mirror.items.get(make_versions_key(pool)))
            if self._list_recent(pool) != (recorded or set()):
                found.append(pool)
        return found

    def _list_recent(self, pool: str) -> set[str]:
        edge = self.edge
        stream_versions = edge.broker.dispatcher.state.stream_versions
        return stream_versions.list_recent(pool, edge.clock.now_ms())

    def _is_recorder(self) -> bool:
        """Tell whether this VM is the strongest of the live ones."""
        weights = self.edge.find_weights()
        ranked = rank_by_weight("versions", sorted(weights), weights)
        return ranked[0] == self.edge.settings.node

    async def _record(self, pool: str) -> None:
        edge = self.edge
        versions = self._list_recent(pool)
        item = edge.mirror.items.get(make_versions_key(pool))
        revision = item.revision if item is not None else 0
        stored = await edge.driver.run(store_versions(pool, versions, revision))
        log_event(
            "versions_recorded",
            pool=pool,
            versions=",".join(sorted(versions)),
            stored=stored,
        )


def apply_record(edge: Edge, item: Item) -> None:
    """Tell the dispatcher which versions the store records for a pool."""
    versions = _decode_record(item)
    if versions is None:
        return
    pool = item.key.removeprefix(VERSIONS_PREFIX)
    edge.broker.dispatcher.state.stream_versions.add_recorded(
        pool, versions, edge.clock.now_ms()
    )


def _decode_record(item: Item | None) -> set[str] | None:
    """Return a record's versions; None if there is none or it is unreadable."""
    if item is None or item.value is None:
        return None
    try:
        return decode_versions(item.value)
    except MalformedError as error:
        log_event(
            "versions_unreadable", logging.WARNING, key=item.key, reason=str(error)
        )
        return None
