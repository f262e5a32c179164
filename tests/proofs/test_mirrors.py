"""Mirrors never go back when store updates are lost, repeated or reordered."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core.mirror import Item, Mirror
from tests.seeds import pin_seed

KEYS = ["a", "b", "c"]
VMS = ["vm-1", "vm-2", "vm-3"]


@pin_seed("MirrorMachine")
class MirrorMachine(RuleBasedStateMachine):
    """VMs mirror a changing store by reads, updates and snapshots; some are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.history: list[Item] = []
        self.mirrors = {name: Mirror() for name in VMS}
        self.highest_revisions = dict.fromkeys(VMS, 0)
        self.newest_seen: dict[tuple[str, str], int] = {}
        """The newest revision of each key in a VM's mirror since its last restart."""
        self.updates: list[tuple[int, int, list[Item]]] = []
        self.started_reads: list[int] = []
        for key in KEYS:
            self.write(key, b"1")
        for name in VMS:
            self.apply_full_read(name, self.revision)

    def find_item_at(self, key: str, revision: int) -> Item | None:
        """Return a key's newest item as of a revision; None if not written yet."""
        newest = None
        for item in self.history:
            if item.key == key and item.revision <= revision:
                newest = item
        return newest

    @rule(key=st.sampled_from(KEYS), value=st.sampled_from([b"1", b"2", None]))
    def write(self, key: str, value: bytes | None) -> None:
        """An operator or an upstream writes or deletes a key."""
        self.revision += 1
        self.history.append(Item(key, self.revision, value))

    @rule(name=st.sampled_from(VMS))
    def read_changes(self, name: str) -> None:
        """A VM reads the changes since its revision and publishes them."""
        mirror = self.mirrors[name]
        if mirror.revision == 0:
            self.apply_full_read(name, self.revision)
            return
        base = mirror.revision
        items = [item for item in self.history if item.revision > base]
        mirror.apply(base, self.revision, items)
        self.updates.append((base, self.revision, items))

    @rule()
    def start_reading(self) -> None:
        """A full read starts at the current revision, but may include later writes."""
        self.started_reads.append(self.revision)

    @rule(which=st.integers(0, 9), name=st.sampled_from(VMS))
    def finish_reading(self, which: int, name: str) -> None:
        """A full read ends at a VM, in any order."""
        if self.started_reads:
            revision = self.started_reads.pop(which % len(self.started_reads))
            self.apply_full_read(name, revision)

    def apply_full_read(self, name: str, revision: int) -> None:
        """Give a VM all current items, as a full read that began at `revision`."""
        items: list[Item] = []
        for key in KEYS:
            item = self.find_item_at(key, self.revision)
            if item is not None and item.value is not None:
                items.append(item)
        self.mirrors[name].replace(revision, items)

    @rule(which=st.integers(0, 30), name=st.sampled_from(VMS))
    def deliver(self, which: int, name: str) -> None:
        """An update arrives: late, repeated or out of order."""
        if self.updates:
            base, revision, items = self.updates[which % len(self.updates)]
            self.mirrors[name].apply(base, revision, items)

    @rule(source=st.sampled_from(VMS), name=st.sampled_from(VMS))
    def copy(self, source: str, name: str) -> None:
        """A VM takes a snapshot of another VM's mirror."""
        provider = self.mirrors[source]
        self.mirrors[name].replace(provider.revision, provider.list_items())

    @rule(name=st.sampled_from(VMS))
    def restart(self, name: str) -> None:
        """A process restarts with an empty mirror."""
        self.mirrors[name] = Mirror()
        self.highest_revisions[name] = 0
        for key in KEYS:
            self.newest_seen.pop((name, key), None)

    @invariant()
    def never_goes_back(self) -> None:
        """A mirror's revision never decreases."""
        for name, mirror in self.mirrors.items():
            assert mirror.revision >= self.highest_revisions[name]
            self.highest_revisions[name] = mirror.revision

    @invariant()
    def holds_what_its_revision_says(self) -> None:
        """Each key is as of the mirror's revision, or as written later."""
        for name, mirror in self.mirrors.items():
            if mirror.revision == 0:
                continue
            for key in KEYS:
                self._check_key(mirror, key)
                self._check_not_older(name, mirror, key)

    def _check_key(self, mirror: Mirror, key: str) -> None:
        expected = self.find_item_at(key, mirror.revision)
        current = mirror.items.get(key)
        if current is not None:
            assert expected is None or current.revision >= expected.revision
            assert current in self.history
            return
        if expected is None or expected.value is None:
            return
        later = self.find_item_at(key, self.revision)
        assert later is not None and later.revision > expected.revision

    def _check_not_older(self, name: str, mirror: Mirror, key: str) -> None:
        """Check that no older item replaced the key, and only a deletion removed it."""
        newest_seen = self.newest_seen.get((name, key), 0)
        current = mirror.items.get(key)
        if current is not None:
            assert current.revision >= newest_seen
            self.newest_seen[name, key] = current.revision
            return
        deleted = [
            item.revision
            for item in self.history
            if item.key == key and item.value is None and item.revision > newest_seen
        ]
        assert not newest_seen or deleted


TestMirrors = MirrorMachine.TestCase
