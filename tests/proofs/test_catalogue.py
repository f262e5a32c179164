"""Point 13 of PROOFS.md: an accepted change is in force and never reverts on a VM."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core.catalogue import (
    Catalogue,
    Change,
    decode_document,
    encode_catalogue,
    make_delta,
    merge_document,
)
from plantainwood.core.editing import CATALOGUE_KEY, Edit, apply_edit, load_catalogue
from plantainwood.core.errors import ErrorCode, RequestError
from tests.fakes import FAULTS, FakeStore, ProcedureRun
from tests.seeds import pin_seed

NODES = ["a", "b", "c"]
ENTRIES = ["m1", "m2", "m3"]


class PendingEdit:
    """An operator's edit that is being applied or was applied."""

    def __init__(
        self,
        change_id: str,
        run: ProcedureRun,
        entry: str,
        value: int | None,
        base: int,
    ) -> None:
        self.change_id = change_id
        self.run = run
        self.entry = entry
        self.value = value
        self.base = base

    def find_revision(self) -> int:
        """Return the revision that the edit created.

        Each accepted edit appends one change id, so it is the result's revision less
        the number of ids after the edit's own.
        """
        accepted = self.run.result
        ids = accepted.change_ids
        if self.change_id not in ids:
            return accepted.revision
        return accepted.revision - (len(ids) - 1 - ids.index(self.change_id))


@pin_seed("CatalogueMachine")
class CatalogueMachine(RuleBasedStateMachine):
    """Edit concurrently; nodes get the result from the store and from each other."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        self.nodes = {name: Catalogue() for name in NODES}
        self.pending_edits: list[PendingEdit] = []
        self.messages: list[bytes] = []
        self.count = 0
        self.changed_revisions: dict[str, set[int]] = {name: set() for name in ENTRIES}

    def load_current(self) -> Catalogue:
        """Return the catalogue that the store has now."""
        return load_catalogue(self.store.items.get(CATALOGUE_KEY))

    @rule(
        entry=st.sampled_from(ENTRIES),
        value=st.one_of(st.none(), st.integers(1, 50)),
        back=st.integers(0, 2),
    )
    def edit(self, entry: str, value: int | None, back: int) -> None:
        """An operator starts an edit, based on a revision that may be old."""
        self.count += 1
        base = max(0, self.load_current().revision - back)
        body = None if value is None else {"owner": "p", "max_tokens": value}
        change = Change("models", entry, body)

        def compute_changes(catalogue: Catalogue) -> list[Change]:
            found = catalogue.entries.get(change.path)
            is_unchanged = found is not None and found.body == body
            return [] if is_unchanged else [change]

        edit = Edit(f"id{self.count}", "op", 1, base, compute_changes)
        run = ProcedureRun(apply_edit(edit))
        self.pending_edits.append(PendingEdit(edit.change_id, run, entry, value, base))

    @rule(
        which=st.integers(0, 10),
        count=st.integers(1, 4),
        fault=st.sampled_from(FAULTS),
    )
    def step_edit(self, which: int, count: int, fault: str) -> None:
        """Perform some effects of an edit, the last one with a fault."""
        active = [pending for pending in self.pending_edits if not pending.run.done]
        if not active:
            return
        pending = active[which % len(active)]
        pending.run.step_many(self.store, count, fault)
        self.note_changes()
        if not pending.run.done:
            return
        error = pending.run.error
        if error is None:
            self.queue_broadcast(pending.run.result)
            assert pending.run.result.revision <= self.load_current().revision
            self._check_accepted(pending)
            return
        assert isinstance(error, RequestError)
        if error.code is ErrorCode.CONFLICT:
            entry = self.load_current().entries[f"models/{pending.entry}"]
            assert entry.revision > pending.base

    def queue_broadcast(self, accepted: Catalogue) -> None:
        """Queue the accepted catalogue as a message that any node may receive later."""
        document = make_delta(accepted, 0)
        self.messages.append(msgspec.json.encode(document))

    def _check_accepted(self, pending: PendingEdit) -> None:
        """Check that the edit holds, unless a later revision changed the entry."""
        entry = self.load_current().entries.get(f"models/{pending.entry}")
        if entry is None:
            assert pending.value is None
            return
        revision = pending.find_revision()
        if pending.change_id in pending.run.result.change_ids:
            earlier = [r for r in self.changed_revisions[pending.entry] if r < revision]
            assert max(earlier, default=0) <= pending.base, "overwrote an edit"
        found = None if entry.body is None else entry.body["max_tokens"]
        assert found == pending.value or entry.revision > revision

    @rule(index=st.integers(0, 5))
    def land(self, index: int) -> None:
        """A write takes effect after its caller saw it fail."""
        self.store.apply_late_write(index)

    @rule(name=st.sampled_from(NODES))
    def read_service(self, name: str) -> None:
        """A node reads the whole catalogue from the store."""
        stored = self.store.items.get(CATALOGUE_KEY)
        if stored is not None:
            self._receive_document(name, stored.value)

    @rule(sender=st.sampled_from(NODES), known=st.integers(0, 12))
    def tell(self, sender: str, known: int) -> None:
        """A node, perhaps an outdated one, sends its catalogue, whole or as a delta."""
        document = make_delta(self.nodes[sender], known)
        if self.nodes[sender].revision:
            self.messages.append(msgspec.json.encode(document))

    @rule(name=st.sampled_from(NODES), which=st.integers(0, 50))
    def hear(self, name: str, which: int) -> None:
        """A message arrives: late, repeated or out of order."""
        if self.messages:
            self._receive_document(name, self.messages[which % len(self.messages)])

    def _receive_document(self, name: str, data: bytes) -> None:
        before = self.nodes[name]
        merged = merge_document(before, decode_document(data))
        if merged is None:
            return
        assert merged.revision > before.revision, "the revision decreased"
        self.nodes[name] = merged

    @rule(name=st.sampled_from(NODES))
    def replace(self, name: str) -> None:
        """A VM is replaced and starts with nothing."""
        self.nodes[name] = Catalogue()

    @invariant()
    def note_changes(self) -> None:
        """Record at which revisions each entry changed."""
        for entry in self.load_current().entries.values():
            self.changed_revisions[entry.name].add(entry.revision)

    @invariant()
    def same_revision_same_content(self) -> None:
        """Any two catalogues of the same revision have the same entries."""
        known: dict[int, bytes] = {}
        for catalogue in [*self.nodes.values(), self.load_current()]:
            ordered = dict(sorted(catalogue.entries.items()))
            data = encode_catalogue(Catalogue(catalogue.revision, ordered))
            assert known.setdefault(catalogue.revision, data) == data

    def teardown(self) -> None:
        """Every node that reads the store reaches the current revision."""
        for name in NODES:
            self.read_service(name)
            assert self.nodes[name].revision == self.load_current().revision


TestCatalogue = CatalogueMachine.TestCase
