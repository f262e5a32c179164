"""Several VMs follow a store that came back from an older copy of itself."""

import asyncio

import msgspec
import pytest

from plantainwood.core.clock import VirtualClock
from plantainwood.core.errors import StoreError
from plantainwood.core.fleetmessages import MirrorSnapshot, VmHeartbeat
from plantainwood.core.mirror import Item, Mirror
from plantainwood.core.storecopies import (
    REWRITE_GRACE_MS,
    compute_second_read_delay_ms,
)
from plantainwood.core.storeeras import make_revision
from plantainwood.core.vms import MIN_HEARTBEAT_INTERVAL_MS
from plantainwood.edge import Edge
from plantainwood.fleet import FleetLinks
from plantainwood.metrics import Metrics
from plantainwood.reader import StoreChanges, StoreReader, StoreSource
from tests.processsite import ProcessSite, run_processes
from tests.samples import SETTINGS
from tests.test_odd_entries import answer
from tests.test_reader import RecordingPublisher

KEY = "servers/i-1"
VMS = 4
FROZEN_MS = 1_000
EPOCH_MS = 1_000_000
LONGEST_DELAY_MS = compute_second_read_delay_ms(VMS - 1)
DRAINING = Item(KEY, 6, b"draining")
COPIED = Item(KEY, make_revision(1, 5), b"ready")
WRITTEN_AGAIN = Item(KEY, make_revision(1, 7), b"draining")
KEPT = Item(KEY, make_revision(1, 0), b"draining")
COPY_REVISION = make_revision(1, 6)


class ReturnedSource(StoreSource):
    """A store that came back from a copy."""

    def __init__(self) -> None:
        self.whole_reads = 0
        self.failures = 0
        """How many of the next whole reads fail."""
        self.has_lost_history = True

    def is_foreign(self, key: str) -> bool:
        """Tell that the operator writes all keys."""
        return True

    async def read_all(self) -> tuple[int, list[Item]]:
        """Return what the copy says."""
        self.whole_reads += 1
        if self.failures:
            self.failures -= 1
            raise StoreError("no answer")
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


# Guards against CONFIG and DRAIN: only the first VM to read the copy planned to read
# the store again; when it ended, the others kept for good what was not written again.
def test_a_vm_told_of_the_copy_reads_the_store_if_nobody_else_has():
    clock = VirtualClock()
    edge, links = make_survivor(clock)
    source = ReturnedSource()
    source.has_lost_history = False
    reader, _ = make_reader(edge, source)
    links.handle_message(MirrorSnapshot("vm-2", COPY_REVISION, 0, [KEPT]))
    clock.advance(REWRITE_GRACE_MS + LONGEST_DELAY_MS)
    assert reader._should_read()
    asyncio.run(reader._read_once())
    assert source.whole_reads == 1
    assert edge.mirror.items[KEY].value == b"ready"


def test_vms_read_the_store_again_one_after_the_other():
    delays_ms = [compute_second_read_delay_ms(rank) for rank in range(200)]
    assert sorted(set(delays_ms)) == delays_ms


def test_a_vm_told_what_was_written_again_does_not_read_the_store_too():
    clock = VirtualClock()
    edge, links = make_survivor(clock)
    source = ReturnedSource()
    source.has_lost_history = False
    reader, _ = make_reader(edge, source)
    links.handle_message(MirrorSnapshot("vm-2", COPY_REVISION, 0, [KEPT]))
    clock.advance(REWRITE_GRACE_MS)
    settled = MirrorSnapshot("vm-2", WRITTEN_AGAIN.revision, 0, [WRITTEN_AGAIN])
    links.handle_message(settled)
    clock.advance(LONGEST_DELAY_MS)
    asyncio.run(reader._read_once())
    assert source.whole_reads == 0


def send_heartbeats(clock: VirtualClock, until_ms: int) -> list[VmHeartbeat]:
    """Return the heartbeats up to a time of a VM that has read the copy just now."""
    other = Edge(msgspec.structs.replace(SETTINGS, node="vm-2"), clock, Metrics())
    links = FleetLinks(other, lambda items: None)
    links.handle_message(MirrorSnapshot("vm-3", COPY_REVISION, 0, [KEPT]))
    sent = [other.make_heartbeat()]
    while clock.now_ms() < until_ms:
        clock.advance(MIN_HEARTBEAT_INTERVAL_MS)
        sent.append(other.make_heartbeat())
    return sent


def make_thawed_survivor(clock: VirtualClock) -> tuple[Edge, FleetLinks]:
    """Return a VM frozen for FROZEN_MS since another one read the store's copy.

    What the other one sent meanwhile is handled at the thaw.
    """
    edge, links = make_survivor(clock)
    heartbeats = send_heartbeats(clock, FROZEN_MS)
    links.handle_message(MirrorSnapshot("vm-2", COPY_REVISION, 0, [KEPT]))
    for heartbeat in heartbeats:
        links.handle_message(heartbeat)
    return edge, links


# Guards against CONFIG: a VM that was frozen when the copy was read counted from its
# thaw, and refused what the others had read again (soak, seed 9319).
def test_a_thawed_vm_takes_the_second_read_of_another():
    clock = VirtualClock(epoch_ms=EPOCH_MS)
    edge, links = make_thawed_survivor(clock)
    clock.advance(REWRITE_GRACE_MS - FROZEN_MS)
    settled = Item(KEY, COPY_REVISION, b"ready")
    links.handle_message(MirrorSnapshot("vm-2", COPY_REVISION, 0, [settled]))
    assert edge.mirror.items[KEY].value == b"ready"
    assert not edge.second_read.is_due(clock.now_ms() + 10 * REWRITE_GRACE_MS)


# Guards against the same where the others end before their second read.
def test_a_thawed_vm_reads_the_store_as_soon_as_one_that_was_not_frozen():
    clock = VirtualClock(epoch_ms=EPOCH_MS)
    edge, _ = make_thawed_survivor(clock)
    clock.advance(REWRITE_GRACE_MS - FROZEN_MS)
    assert not edge.second_read.is_due(clock.now_ms())
    clock.advance(LONGEST_DELAY_MS)
    assert edge.second_read.is_due(clock.now_ms())


# Guards against the same for a thawed VM that reads the copy before it hears others.
def test_a_thawed_vm_that_read_the_copy_by_itself_takes_the_second_read_of_another():
    clock = VirtualClock(epoch_ms=EPOCH_MS)
    edge, links = make_survivor(clock)
    reader, _ = make_reader(edge, ReturnedSource())
    heartbeats = send_heartbeats(clock, FROZEN_MS)
    asyncio.run(reader._read_once())
    for heartbeat in heartbeats:
        links.handle_message(heartbeat)
    clock.advance(REWRITE_GRACE_MS - FROZEN_MS)
    settled = Item(KEY, COPY_REVISION, b"ready")
    links.handle_message(MirrorSnapshot("vm-2", COPY_REVISION, 0, [settled]))
    assert edge.mirror.items[KEY].value == b"ready"


# Guards against DRAIN: a clock that is wrong, or set at that moment, must not let a VM
# give up what the writers still have time to write again.
@pytest.mark.parametrize("field", ["agreed_ms", "wall_ms"])
@pytest.mark.parametrize("wrong_from", [0, 1])
def test_a_wrong_clock_shortens_no_writers_time(field, wrong_from):
    clock = VirtualClock(epoch_ms=EPOCH_MS)
    edge, links = make_survivor(clock)
    reader, _ = make_reader(edge, ReturnedSource())
    asyncio.run(reader._read_once())
    began_ms = clock.now_ms()
    for number, heartbeat in enumerate(send_heartbeats(clock, 100)):
        if number >= wrong_from:
            wrong = {field: getattr(heartbeat, field) + 60_000}
            heartbeat = msgspec.structs.replace(heartbeat, **wrong)
        links.handle_message(heartbeat)
    clock.advance(began_ms + REWRITE_GRACE_MS - 1 - clock.now_ms())
    assert not edge.second_read.is_due(clock.now_ms())


# Guards against a record of heartbeats that grows with each VM that comes and goes.
def test_nothing_is_kept_of_heartbeats_once_the_store_was_read_again():
    clock = VirtualClock(epoch_ms=EPOCH_MS)
    edge, links = make_thawed_survivor(clock)
    clock.advance(REWRITE_GRACE_MS)
    settled = Item(KEY, COPY_REVISION, b"ready")
    links.handle_message(MirrorSnapshot("vm-2", COPY_REVISION, 0, [settled]))
    for heartbeat in send_heartbeats(clock, clock.now_ms() + FROZEN_MS):
        links.handle_message(heartbeat)
    assert not edge.second_read._first_heard


# Guards against the second whole read being dropped for good when it fails once.
def test_a_failed_second_read_is_tried_again():
    clock = VirtualClock()
    edge, _ = make_survivor(clock)
    source = ReturnedSource()
    reader, _ = make_reader(edge, source)
    asyncio.run(reader._read_once())
    assert edge.mirror.items[KEY].value == b"draining"
    source.failures = 1
    clock.advance(REWRITE_GRACE_MS)
    asyncio.run(reader._read_once())
    assert edge.mirror.items[KEY].value == b"draining"
    asyncio.run(reader._read_once())
    assert source.whole_reads == 3
    assert edge.mirror.items[KEY].value == b"ready"


class OvertakenSource(ReturnedSource):
    """A store whose copy another VM has read, and told of, before it answers."""

    def __init__(self, links: FleetLinks, told: list[Item], found: list[Item]) -> None:
        super().__init__()
        self._links = links
        self._told = told
        self._found = found

    async def read_all(self) -> tuple[int, list[Item]]:
        """Return the items found; the other VM's snapshot arrives before that."""
        self._links.handle_message(MirrorSnapshot("vm-2", COPY_REVISION, 0, self._told))
        return make_revision(1, 8), self._found


# Guards against DRAIN and CONFIG: the second VM to read the copy put it in force.
def test_what_is_known_is_kept_though_a_second_vm_reads_the_copy():
    edge, links = make_survivor(VirtualClock())
    gone = Item("servers/i-2", make_revision(1, 4), b"ready")
    added = Item("servers/i-3", make_revision(1, 7), b"ready")
    only_known = Item("servers/i-4", make_revision(1, 0), b"ready")
    changed = Item("servers/i-5", make_revision(1, 5), b"ready")
    changed_since = Item("servers/i-5", make_revision(1, 8), b"draining")
    source = OvertakenSource(
        links, [KEPT, only_known, changed], [COPIED, gone, added, changed_since]
    )
    reader, _ = make_reader(edge, source)
    asyncio.run(reader._read_once())
    values = {key: item.value for key, item in edge.mirror.items.items()}
    assert values == {
        KEY: b"draining",
        "servers/i-3": b"ready",
        "servers/i-4": b"ready",
        "servers/i-5": b"draining",
    }


# Guards against the same by the word of a VM that started since and read the copy.
def test_what_is_known_is_kept_though_a_vm_that_read_the_copy_sends_its_mirror():
    clock = VirtualClock()
    edge, links = make_survivor(clock)
    links.handle_message(MirrorSnapshot("vm-2", COPY_REVISION, 0, [KEPT]))
    clock.advance(REWRITE_GRACE_MS // 2)
    links.handle_message(MirrorSnapshot("vm-3", COPY_REVISION, 0, [COPIED]))
    assert edge.mirror.items[KEY].value == b"draining"


def find_first_readers(site: ProcessSite) -> list:
    """Return the VMs that have read the copy by themselves, before all others."""
    return [vm for vm in site.vms if vm.list_events("store_came_back")]


# Guards against the same with processes: the VM that read the copy is killed.
def test_what_nobody_writes_again_is_given_up_though_the_first_reader_ended(tmp_path):
    async def scenario(site: ProcessSite) -> None:
        copy = site.store.copy()
        await site.add_runner(answer)
        for vm in site.vms:
            while not any("i-2" in line for line in vm.list_events("upstream")):
                await asyncio.sleep(0.02)
        site.store.come_back(copy)
        while not find_first_readers(site):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        for vm in site.vms:
            assert "state=ready" in vm.list_events("upstream")[-1], vm.name
        first = find_first_readers(site)
        for vm in first:
            await vm.kill()
        await asyncio.sleep((REWRITE_GRACE_MS + LONGEST_DELAY_MS) / 1_000 + 1)
        others = [vm for vm in site.vms if vm not in first]
        assert others
        for vm in others:
            last = vm.list_events("upstream")[-1]
            assert "upstream=i-2 state=gone" in last, vm.name

    run_processes(scenario, answer, tmp_path, runners=2, vms=VMS)
