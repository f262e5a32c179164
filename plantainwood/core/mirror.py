"""A copy of the key-value store's items, read by few nodes and passed to the rest.

It only moves forward: a change applies where the copy already has everything before
it, and every item keeps the revision that the store gave it.
"""

import msgspec


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A key's value at a revision of the store; None where it is deleted."""

    key: str
    revision: int
    value: bytes | None


class Mirror:
    """Hold the items of some prefixes as of one revision of the store."""

    __slots__ = ("revision", "items", "confirmed_ms", "_deleted")

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.confirmed_ms: int | None = None
        """When the store, asked at this time, had nothing newer."""
        self._deleted: dict[str, int] = {}

    def apply(self, base: int, revision: int, items: list[Item]) -> list[Item] | None:
        """Take all changes after `base` up to `revision`.

        Returns the items whose values are news, or None where changes before `base` are
        missing here.
        """
        if base > self.revision:
            return None
        changed: list[Item] = []
        for item in items:
            # What is not newer is already here, or was deleted since.
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
            return False
        if item.value is None:
            self.items.pop(item.key, None)
            self._deleted[item.key] = item.revision
        else:
            self.items[item.key] = item
            self._deleted.pop(item.key, None)
        return True

    def replace(self, revision: int, items: list[Item]) -> list[Item] | None:
        """Take a whole reading; return the news, deletions included.

        None where the reading is older than the copy. Items written after the
        reading began are kept.
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
        """Note that the store had nothing after a revision at a time."""
        if revision < self.revision:
            return
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.confirmed_ms = at_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return how long ago the copy was known to be current."""
        if self.confirmed_ms is None:
            return None
        return max(0, now_ms - self.confirmed_ms)

    def all(self) -> list[Item]:
        """Return all items."""
        return list(self.items.values())
