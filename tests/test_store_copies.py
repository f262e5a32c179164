"""Several VMs follow a store that came back from an older copy of itself."""

import asyncio

from plantainwood.core.clock import VirtualClock
from plantainwood.core.fleetmessages import MirrorSnapshot
from plantainwood.core.mirror import Item, Mirror
from plantainwood.core.storeeras import make_revision
from plantainwood.edge import Edge
from plantainwood.fleet import FleetLinks
from plantainwood.metrics import Metrics
from plantainwood.reader import StoreChanges, StoreReader, StoreSource
from tests.samples import SETTINGS
from tests.test_reader import RecordingPublisher

KEY = "servers/i-1"
DRAINING = Item(KEY, 6, b"draining")
COPIED = Item(KEY, make_revision(1, 5), b"ready")
WRITTEN_AGAIN = Item(KEY, make_revision(1, 7), b"draining")
COPY_REVISION = make_revision(1, 6)


class ReturnedSource(StoreSource):
    """A store that came back from a copy."""

    def __init__(self) -> None:
        self.has_lost_history = True

    def is_foreign(self, key: str) -> bool:
        """Tell that the operator writes all keys."""
        return True

    async def read_all(self) -> tuple[int, list[Item]]:
        """Return what the copy says."""
        return COPY_REVISION, [COPIED]

    async def read_changes(self, after: int, wait_ms: int) -> StoreChanges:
        """Return that the history is lost, then what was written again."""
        if self.has_lost_history:
            self.has_lost_history = False
            return StoreChanges(0, None)
        return StoreChanges(WRITTEN_AGAIN.revision, [WRITTEN_AGAIN])


def make_reader(edge: Edge, source: StoreSource) -> tuple[StoreReader, list]:
    """Return a reader of a store, and where it records what it publishes."""
    publisher = RecordingPublisher()
    reader = StoreReader(edge, source, lambda items: None, publisher)
    return reader, publisher.published


def make_survivor(clock: VirtualClock) -> tuple[Edge, FleetLinks]:
    """Return a VM that knows that a runner drains, which the store has lost."""
    edge = Edge(SETTINGS, clock, Metrics())
    links = FleetLinks(edge, lambda items: None)
    links.handle_message(MirrorSnapshot("vm-2", 6, 0, [DRAINING]))
    return edge, links


# Guards against DRAIN: a VM that had started since the store came back was not told
# that a runner drains, as all others had known it and took the write for no change.
def test_an_entry_written_again_as_it_was_known_reaches_a_vm_that_read_the_copy():
    async def scenario():
        edge, _ = make_survivor(VirtualClock())
        reader, published = make_reader(edge, ReturnedSource())
        await reader._read_once()
        await reader._read_once()
        return published[-1]

    base, items = asyncio.run(scenario())
    started_since = Mirror()
    started_since.replace(COPY_REVISION, [COPIED])
    started_since.apply(base, WRITTEN_AGAIN.revision, items)
    assert started_since.items[KEY].value == b"draining"
