"""What a reader of the store publishes to the other nodes."""

import asyncio
import gc

from bridge.view import ViewBuilder
from plantainwood.core.mirror import Item
from plantainwood.edge import Edge, make_edge
from plantainwood.reader import MirrorPublisher, StoreChanges, StoreReader, StoreSource
from tests.edgesite import make_config
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


# Guards against one long step of the loop, in which all streams stand still: decoding
# a configuration of thousands of routes and applying it.
def test_the_loop_runs_between_reading_changes_and_applying_them():
    happened: list[str] = []

    class Source(OvertakenSource):
        async def read_changes(self, after: int, wait_ms: int) -> StoreChanges:
            asyncio.get_running_loop().call_soon(happened.append, "turn")
            return StoreChanges(7, [ADDED])

    edge = make_edge(SETTINGS)
    edge.mirror.replace(5, [READY])
    reader = StoreReader(
        edge,
        Source(edge),
        lambda items: happened.append("applied"),
        RecordingPublisher(),
    )
    asyncio.run(reader._read_changes(5, edge.clock.now_ms()))
    assert happened == ["turn", "applied"]


# Guards against collections of garbage that take longer with each route.
def test_collections_of_garbage_pass_over_the_routes():
    builder = ViewBuilder()
    builder.apply([Item("op/config", 1, make_config())])
    view = builder.build()
    routes = view.routes.list_routes()
    assert routes
    for route in routes:
        assert not gc.is_tracked(route)
        assert not any(map(gc.is_tracked, route.weighted_services))
    assert not any(map(gc.is_tracked, view.catalogue.classes.values()))
