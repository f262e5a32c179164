"""What a reader of the store publishes to the other nodes."""

import asyncio

from plantainwood.core.mirror import Item
from plantainwood.edge import Edge, make_edge
from plantainwood.reader import MirrorPublisher, StoreChanges, StoreReader, StoreSource
from tests.samples import SETTINGS

READY = Item("servers/i-1", 5, b"ready")
DRAINING = Item("servers/i-1", 6, b"draining")
ADDED = Item("servers/i-2", 7, b"ready")


class OvertakenSource(StoreSource):
    """A store that answers after another reader's update of the same change."""

    def __init__(self, edge: Edge) -> None:
        self._edge = edge

    async def read_all(self) -> tuple[int, list[Item]]:
        """Return nothing; the test does not call it."""
        return 0, []

    async def read_changes(self, after: int, wait_ms: int) -> StoreChanges:
        """Return two changes, the first of which the mirror has received meanwhile."""
        self._edge.mirror.apply(after, 6, [DRAINING])
        return StoreChanges(7, [DRAINING, ADDED])


class RecordingPublisher(MirrorPublisher):
    """Record what is published."""

    def __init__(self) -> None:
        self.published: list[tuple[int, list[Item]]] = []

    def publish_update(self, base: int, items: list[Item], age_ms: int) -> None:
        """Record the base revision and the items."""
        self.published.append((base, items))

    def publish_snapshot(self) -> None:
        """Do nothing; the store does not lose its history here."""


def test_an_update_never_skips_a_change_received_from_another_reader():
    edge = make_edge(SETTINGS)
    edge.mirror.replace(5, [READY])
    publisher = RecordingPublisher()
    reader = StoreReader(edge, OvertakenSource(edge), lambda items: None, publisher)
    asyncio.run(reader._read_changes(5, edge.clock.now_ms()))
    base, items = publisher.published[0]
    assert base >= 6 or DRAINING in items
    assert ADDED in items
