"""Mirror of the key-value store's items; a few nodes read the store for all others.

The mirror's revision never decreases: a change is applied only if the mirror already
has all earlier ones, and every item keeps the revision that the store assigned to it.
"""

import msgspec

from plantainwood.core.storeeras import get_era, get_store_revision

KEPT_REVISION = 0
"""The store's revision of values kept from before its era; it gives out higher ones."""


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A key's value at a revision of the store; None if the key is deleted."""

    key: str
    revision: int
    value: bytes | None


class Mirror:
    """Hold the items of some prefixes as of one revision of the store."""

    __slots__ = ("revision", "items", "confirmed_ms", "_deleted", "_noted_era")

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.confirmed_ms: int | None = None
        """The time at which a read found nothing newer in the store; None before."""
        self._deleted: dict[str, int] = {}
        self._noted_era = 0

    @property
    def era(self) -> int:
        """Return the newest era of the store that is known here."""
        return max(self._noted_era, get_era(self.revision))

    def note_era(self, era: int) -> None:
        """Record an era that a response of the store named; items may lag behind."""
        self._noted_era = max(self._noted_era, era)

    def apply(self, base: int, revision: int, items: list[Item]) -> list[Item] | None:
        """Apply all changes after `base` up to `revision`.

        Returns the items whose values changed or that were written again as they had
        been kept, or None, with nothing applied, if the mirror lacks changes up to
        `base`.
        """
        if base > self.revision:
            return None
        changed: list[Item] = []
        for item in items:
            # An item that is not newer was applied before, or has been deleted since.
            if item.revision <= self.revision:
                continue
            if self._apply_item(item):
                changed.append(item)
        self.revision = max(self.revision, revision)
        return changed

    def _apply_item(self, item: Item) -> bool:
        current = self.items.get(item.key)
        known = current.revision if current is not None else 0
        known = max(known, self._deleted.get(item.key, 0))
        if item.revision <= known:
            return False
        if current is not None and current.value == item.value:
            self.items[item.key] = item
            # Whoever started since the store came back holds what the copy says.
            return get_store_revision(current.revision) == KEPT_REVISION
        if item.value is None:
            self.items.pop(item.key, None)
            self._deleted[item.key] = item.revision
        else:
            self.items[item.key] = item
            self._deleted.pop(item.key, None)
        return True

    def replace(self, revision: int, items: list[Item]) -> list[Item] | None:
        """Replace the items by a full read of the store; return what changed.

        Deletions are included. Returns None, with nothing replaced, if the read is
        older than the mirror. Items written after the read began are kept.
        """
        if revision < self.revision:
            return None
        found = {item.key for item in items}
        changed: list[Item] = []
        for key, current in list(self.items.items()):
            if key not in found and current.revision <= revision:
                del self.items[key]
                self._deleted[key] = revision
                changed.append(Item(key, revision, None))
        for item in items:
            if self._apply_item(item):
                changed.append(item)
        self.revision = revision
        return changed

    def confirm(self, revision: int, at_ms: int) -> None:
        """Record that the store had nothing newer than `revision` at `at_ms`.

        Ignored if the mirror is already past that revision.
        """
        if revision < self.revision:
            return
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.confirmed_ms = at_ms

    def compute_age_ms(self, now_ms: int) -> int | None:
        """Return how long ago the mirror was known to be current, None if never."""
        if self.confirmed_ms is None:
            return None
        return max(0, now_ms - self.confirmed_ms)

    def list_items(self) -> list[Item]:
        """Return all items; deleted keys are not included."""
        return list(self.items.values())
