"""Usage counted on the serving node, kept on peers, written in groups."""

import msgspec

from plantainwood.core.errors import StoreError
from plantainwood.core.steps import Read, Steps, Stored, Swap

USAGE_PREFIX = "usage/"
MAX_FLUSH_TRIES = 3


class Line(msgspec.Struct, array_like=True):
    """What one customer used of one class in a window."""

    requests: int = 0
    prompt_tokens: int = 0
    tokens: int = 0


class UsageRecord(msgspec.Struct, frozen=True):
    """All that one run of one node counted in a window; totals only grow.

    The sequence rises with every change, so of two copies the one with the
    higher sequence holds everything that the other holds.
    """

    node: str
    incarnation: int
    window: int
    sequence: int
    lines: dict[str, Line]
    """Keyed by 'firm/customer/class'."""

    @property
    def key(self) -> str:
        """Return the key under which the record is kept."""
        return f"{USAGE_PREFIX}{self.window}/{self.node}.{self.incarnation}"


def make_line_key(firm: str, customer: str, class_name: str) -> str:
    """Return the key of a line."""
    return f"{firm}/{customer}/{class_name}"


class UsageLedger:
    """Count this node's usage by window."""

    __slots__ = (
        "_node",
        "_incarnation",
        "_window_ms",
        "_windows",
        "_sequence",
        "_kept",
    )

    def __init__(self, node: str, incarnation: int, window_ms: int) -> None:
        self._node = node
        self._incarnation = incarnation
        self._window_ms = window_ms
        self._windows: dict[int, dict[str, Line]] = {}
        self._sequence: dict[int, int] = {}
        self._kept: dict[int, int] = {}

    def window_of(self, wall_ms: int) -> int:
        """Return the start of the window that a time falls into, in Unix ms."""
        return wall_ms - wall_ms % self._window_ms

    def count(self, line_key: str, wall_ms: int, delta: Line) -> None:
        """Add usage to the window of the given time."""
        window = self.window_of(wall_ms)
        lines = self._windows.setdefault(window, {})
        line = lines.setdefault(line_key, Line())
        line.requests += delta.requests
        line.prompt_tokens += delta.prompt_tokens
        line.tokens += delta.tokens
        self._sequence[window] = self._sequence.get(window, 0) + 1

    def pending(self) -> list[UsageRecord]:
        """Return a record for each window that changed since it was last kept."""
        records: list[UsageRecord] = []
        for window, lines in self._windows.items():
            sequence = self._sequence[window]
            if self._kept.get(window, 0) >= sequence:
                continue
            copied = {
                key: Line(*msgspec.structs.astuple(v)) for key, v in lines.items()
            }
            records.append(
                UsageRecord(self._node, self._incarnation, window, sequence, copied)
            )
        return records

    def acknowledge(self, record: UsageRecord) -> None:
        """Note that the key-value service holds the record."""
        kept = self._kept.get(record.window, 0)
        self._kept[record.window] = max(kept, record.sequence)

    def forget_before(self, window: int) -> None:
        """Drop the kept windows that ended before the given one."""
        for old in list(self._windows):
            if old >= window or self._kept.get(old, 0) < self._sequence[old]:
                continue
            del self._windows[old], self._sequence[old]
            self._kept.pop(old, None)


class ReplicaShelf:
    """Keep other nodes' records until the key-value service holds them."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, UsageRecord] = {}

    def put(self, record: UsageRecord) -> None:
        """Keep a copy unless a newer one is here."""
        current = self._records.get(record.key)
        if current is None or current.sequence < record.sequence:
            self._records[record.key] = record

    def drop(self, key: str, sequence: int) -> None:
        """Forget a copy that is kept elsewhere up to the given sequence."""
        current = self._records.get(key)
        if current is not None and current.sequence <= sequence:
            del self._records[key]

    def orphans(self, live: set[tuple[str, int]]) -> list[UsageRecord]:
        """Return the copies whose (node, incarnation) is no longer live."""
        found: list[UsageRecord] = []
        for record in self._records.values():
            if (record.node, record.incarnation) in live:
                continue
            found.append(record)
        return found

    def count_tokens(self) -> int:
        """Return the tokens in all copies that are kept."""
        total = 0
        for record in self._records.values():
            for line in record.lines.values():
                total += line.tokens
        return total


def flush_record(record: UsageRecord) -> Steps:
    """Write a record unless a newer copy is there; return True when it is kept.

    Idempotent: the node and any number of peers may flush copies in any order.
    """
    for _ in range(MAX_FLUSH_TRIES):
        try:
            found = yield Read(record.key)
            expected = 0
            if isinstance(found, Stored):
                kept = msgspec.json.decode(found.value, type=UsageRecord)
                if kept.sequence >= record.sequence:
                    return True
                expected = found.revision
            if (yield Swap(record.key, msgspec.json.encode(record), expected)):
                return True
        except StoreError:
            continue
    return False
