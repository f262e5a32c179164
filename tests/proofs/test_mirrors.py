"""Copies of the store: news lost, doubled and out of order, never an older state."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core.mirror import Item, Mirror
from tests.seeds import pin_seed

KEYS = ["a", "b", "c"]
VMS = ["vm-1", "vm-2", "vm-3"]


@pin_seed("MirrorMachine")
class MirrorMachine(RuleBasedStateMachine):
    """A store changes; VMs read it, tell each other, and miss things."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.log: list[Item] = []
        self.mirrors = {name: Mirror() for name in VMS}
        self.highest = dict.fromkeys(VMS, 0)
        self.seen: dict[tuple[str, str], int] = {}
        """The newest revision of each key that a VM has held in this run."""
        self.news: list[tuple[int, int, list[Item]]] = []
        self.readings: list[int] = []
        for key in KEYS:
            self.write(key, b"1")
        for name in VMS:
            self.read_all(name, self.revision)

    def state_at(self, key: str, revision: int) -> Item | None:
        """Return a key's newest item at a revision; None if it was never written."""
        newest = None
        for item in self.log:
            if item.key == key and item.revision <= revision:
                newest = item
        return newest

    @rule(key=st.sampled_from(KEYS), value=st.sampled_from([b"1", b"2", None]))
    def write(self, key: str, value: bytes | None) -> None:
        """The operator or a runner writes."""
        self.revision += 1
        self.log.append(Item(key, self.revision, value))

    @rule(name=st.sampled_from(VMS))
    def read_changes(self, name: str) -> None:
        """A VM reads what changed since its revision, and tells the others."""
        mirror = self.mirrors[name]
        if mirror.revision == 0:
            self.read_all(name, self.revision)
            return
        base = mirror.revision
        items = [item for item in self.log if item.revision > base]
        mirror.apply(base, self.revision, items)
        self.news.append((base, self.revision, items))

    @rule()
    def start_reading(self) -> None:
        """A whole reading notes the revision first and sees later writes too."""
        self.readings.append(self.revision)

    @rule(which=st.integers(0, 9), name=st.sampled_from(VMS))
    def finish_reading(self, which: int, name: str) -> None:
        """A whole reading ends at a VM."""
        if self.readings:
            revision = self.readings.pop(which % len(self.readings))
            self.read_all(name, revision)

    def read_all(self, name: str, revision: int) -> None:
        """Give a VM all items of now, read since a revision."""
        items: list[Item] = []
        for key in KEYS:
            item = self.state_at(key, self.revision)
            if item is not None and item.value is not None:
                items.append(item)
        self.mirrors[name].replace(revision, items)

    @rule(which=st.integers(0, 30), name=st.sampled_from(VMS))
    def deliver(self, which: int, name: str) -> None:
        """News arrive, late, twice or in another order."""
        if self.news:
            base, revision, items = self.news[which % len(self.news)]
            self.mirrors[name].apply(base, revision, items)

    @rule(source=st.sampled_from(VMS), name=st.sampled_from(VMS))
    def copy(self, source: str, name: str) -> None:
        """A VM that missed news takes another's whole copy."""
        given = self.mirrors[source]
        self.mirrors[name].replace(given.revision, given.list_items())

    @rule(name=st.sampled_from(VMS))
    def restart(self, name: str) -> None:
        """A process starts anew and knows nothing."""
        self.mirrors[name] = Mirror()
        self.highest[name] = 0
        for key in KEYS:
            self.seen.pop((name, key), None)

    @invariant()
    def never_goes_back(self) -> None:
        """A copy's revision only rises."""
        for name, mirror in self.mirrors.items():
            assert mirror.revision >= self.highest[name]
            self.highest[name] = mirror.revision

    @invariant()
    def holds_what_its_revision_says(self) -> None:
        """Each key is as at the copy's revision, or as written later."""
        for name, mirror in self.mirrors.items():
            if mirror.revision == 0:
                continue
            for key in KEYS:
                self._check_key(mirror, key)
                self._check_seen(name, mirror, key)

    def _check_key(self, mirror: Mirror, key: str) -> None:
        then = self.state_at(key, mirror.revision)
        held = mirror.items.get(key)
        if held is not None:
            assert then is None or held.revision >= then.revision
            assert held in self.log
            return
        if then is None or then.value is None:
            return
        later = self.state_at(key, self.revision)
        assert later is not None and later.revision > then.revision

    def _check_seen(self, name: str, mirror: Mirror, key: str) -> None:
        """Nothing older replaces a key; it is gone only after it was deleted."""
        seen = self.seen.get((name, key), 0)
        held = mirror.items.get(key)
        if held is not None:
            assert held.revision >= seen
            self.seen[name, key] = held.revision
            return
        deleted = [
            item.revision
            for item in self.log
            if item.key == key and item.value is None and item.revision > seen
        ]
        assert not seen or deleted


TestMirrors = MirrorMachine.TestCase
