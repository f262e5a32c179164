"""Usage records: copied to other nodes at short intervals, then stored in groups."""

import asyncio
import random
from typing import Callable

from mode import Service

from plantainwood.core.fleetmessages import Message
from plantainwood.core.hashing import rank_members
from plantainwood.core.messages import UsageCopy, UsageStored
from plantainwood.core.usage import UsageRecord, flush_record
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event
from plantainwood.node import Node

COPY_COUNT = 2
RETAINED_WINDOWS = 3


def pick_copy_holders(node: Node) -> list[str]:
    """Return the nodes that hold copies: in other failure domains if possible."""
    other_domains: list[str] = []
    same_domain: list[str] = []
    for member in node.members.list_live(node.clock.now_ms()):
        if member.profile.domain == node.settings.domain:
            same_domain.append(member.profile.origin)
        else:
            other_domains.append(member.profile.origin)
    key = f"usage\0{node.settings.node}"
    ranked = rank_members(key, other_domains) + rank_members(key, same_domain)
    return ranked[:COPY_COUNT]


class UsageReplicator(Service):
    """Copy this node's usage to other nodes and store it in the key-value service.

    The copies preserve usage that a crashed node had not stored yet.
    """

    def __init__(
        self, node: Node, send: Callable[[str, Message], None], **kwargs
    ) -> None:
        self.node = node
        self._send = send
        self._copied_sequences: dict[str, int] = {}
        self._random = random.Random()
        super().__init__(**kwargs)

    @guarded_task
    async def _run_copies(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.node.settings.duties.usage_copy_ms / 1_000)
            self.send_copies()

    def send_copies(self) -> None:
        """Send each record that changed since its last copy to the copy holders."""
        holders = pick_copy_holders(self.node)
        for record in self.node.ledger.collect_pending(self.node.clock.wall_ms()):
            if self._copied_sequences.get(record.key, 0) >= record.sequence:
                continue
            for holder in holders:
                self._send(holder, UsageCopy(self.node.settings.node, record))
            self._copied_sequences[record.key] = record.sequence

    @guarded_task
    async def _run_flushes(self) -> None:
        flush_ms = self.node.settings.duties.usage_flush_ms
        while not self.should_stop:
            await asyncio.sleep(flush_ms * self._random.uniform(0.7, 1.0) / 1_000)
            await self.flush()

    async def flush(self) -> bool:
        """Store the pending records; return whether all of them were stored.

        Copies held for nodes that are no longer live are stored as well.
        """
        node = self.node
        records = node.ledger.collect_pending(node.clock.wall_ms())
        results = await asyncio.gather(
            *(self._write_record(record) for record in records)
        )
        for record, stored in zip(records, results, strict=True):
            if not stored:
                continue
            node.ledger.acknowledge(record)
            for holder in pick_copy_holders(node):
                notice = UsageStored(node.settings.node, record.key, record.sequence)
                self._send(holder, notice)
        await self._flush_orphans()
        self._drop_old_windows()
        return all(results)

    async def _write_record(self, record: UsageRecord) -> bool:
        return await self.node.clients.driver.run(flush_record(record))

    async def _flush_orphans(self) -> None:
        node = self.node
        live = node.members.list_live_ids(node.clock.now_ms())
        for record in node.usage_copies.find_orphans(live):
            if await self._write_record(record):
                node.usage_copies.drop(record.key, record.sequence)
                log_event("usage_rescued", origin=record.node, window=record.window)

    def _drop_old_windows(self) -> None:
        ledger = self.node.ledger
        window_ms = self.node.settings.duties.billing_window_ms
        current = ledger.find_window_start(self.node.clock.wall_ms())
        ledger.drop_stored_before(current - RETAINED_WINDOWS * window_ms)
