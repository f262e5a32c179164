"""Usage: counted on the serving node, copied to peers, stored in groups."""

import msgspec

from plantainwood.core.decoding import decode_record
from plantainwood.core.effects import CompareAndSwap, Procedure, Read, StoredValue
from plantainwood.core.errors import StoreError

USAGE_PREFIX = "usage/"
MAX_FLUSH_TRIES = 3
FINALIZE_DELAY_MS = 1_000
LIFETIME_MS = 7 * 86_400_000


class UsageLine(msgspec.Struct, array_like=True):
    """The usage of one class by one customer in a window."""

    requests: int = 0
    prompt_tokens: int = 0
    tokens: int = 0


class UsageRecord(msgspec.Struct, frozen=True):
    """All that one incarnation of a node counted in a window; totals only grow.

    The sequence rises with every change, so of two copies the one with the
    higher sequence contains everything that the other contains.
    """

    node: str
    incarnation: int
    window: int
    sequence: int
    lines: dict[str, UsageLine]
    """Keyed by 'firm/customer/class'."""
    final: bool = False
    """Set by the node itself once it will count nothing more in the window."""

    @property
    def key(self) -> str:
        """Return the store key of the record."""
        return f"{USAGE_PREFIX}{self.window}/{self.node}.{self.incarnation}"


def make_line_key(firm: str, customer: str, class_name: str) -> str:
    """Return the key of a usage line, as 'firm/customer/class'."""
    return f"{firm}/{customer}/{class_name}"


class WindowUsage:
    """One window's counts on this node, and up to which sequence they are stored."""

    __slots__ = ("lines", "sequence", "stored_sequence", "final")

    def __init__(self) -> None:
        self.lines: dict[str, UsageLine] = {}
        self.sequence = 0
        self.stored_sequence = 0
        self.final = False


class UsageLedger:
    """Count this node's usage by window."""

    __slots__ = ("_node", "_incarnation", "_window_ms", "_windows")

    def __init__(self, node: str, incarnation: int, window_ms: int) -> None:
        self._node = node
        self._incarnation = incarnation
        self._window_ms = window_ms
        self._windows: dict[int, WindowUsage] = {}

    def find_window_start(self, wall_ms: int) -> int:
        """Return the start of the window that a time falls into, in Unix ms."""
        return wall_ms - wall_ms % self._window_ms

    def count(self, line_key: str, wall_ms: int, delta: UsageLine) -> None:
        """Add usage to the window of a time, or to the next that is not final."""
        start = self.find_window_start(wall_ms)
        window = self._windows.setdefault(start, WindowUsage())
        while window.final:
            start += self._window_ms
            window = self._windows.setdefault(start, WindowUsage())
        line = window.lines.setdefault(line_key, UsageLine())
        line.requests += delta.requests
        line.prompt_tokens += delta.prompt_tokens
        line.tokens += delta.tokens
        window.sequence += 1

    def collect_pending(self, wall_ms: int) -> list[UsageRecord]:
        """Return a record for each window that changed since it was last stored.

        A window that ended FINALIZE_DELAY_MS ago becomes final: nothing more is
        counted in it, so billing need not remember its totals.
        """
        records: list[UsageRecord] = []
        for start, window in self._windows.items():
            ended_ms = start + self._window_ms + FINALIZE_DELAY_MS
            if not window.final and ended_ms <= wall_ms:
                window.final = True
                window.sequence += 1
            if window.stored_sequence >= window.sequence:
                continue
            copied: dict[str, UsageLine] = {}
            for key, line in window.lines.items():
                copied[key] = UsageLine(*msgspec.structs.astuple(line))
            records.append(
                UsageRecord(
                    self._node,
                    self._incarnation,
                    start,
                    window.sequence,
                    copied,
                    window.final,
                )
            )
        return records

    def acknowledge(self, record: UsageRecord) -> None:
        """Mark the record as stored by the key-value service."""
        window = self._windows.get(record.window)
        if window is not None:
            window.stored_sequence = max(window.stored_sequence, record.sequence)

    def drop_stored_before(self, start: int) -> None:
        """Drop the final windows before the given one that are fully stored."""
        for old, window in list(self._windows.items()):
            if (
                old < start
                and window.final
                and window.stored_sequence >= window.sequence
            ):
                del self._windows[old]


class UsageCopies:
    """Hold copies of other nodes' records until the key-value service has them."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, UsageRecord] = {}

    def put(self, record: UsageRecord) -> None:
        """Add a copy unless a newer one is present."""
        current = self._records.get(record.key)
        if current is None or current.sequence < record.sequence:
            self._records[record.key] = record

    def drop(self, key: str, sequence: int) -> None:
        """Drop a copy that is stored up to the given sequence."""
        current = self._records.get(key)
        if current is not None and current.sequence <= sequence:
            del self._records[key]

    def find_orphans(self, live: set[tuple[str, int]]) -> list[UsageRecord]:
        """Return the copies whose (node, incarnation) is no longer live."""
        found: list[UsageRecord] = []
        for record in self._records.values():
            if (record.node, record.incarnation) in live:
                continue
            found.append(record)
        return found

    def count_tokens(self) -> int:
        """Return the total tokens in all copies."""
        total = 0
        for record in self._records.values():
            for line in record.lines.values():
                total += line.tokens
        return total


def flush_record(record: UsageRecord) -> Procedure:
    """Write a record unless a newer copy is stored; return True once it is stored.

    Idempotent: the node and any number of peers may flush copies in any order.
    """
    for _ in range(MAX_FLUSH_TRIES):
        try:
            found = yield Read(record.key)
            expected = 0
            if isinstance(found, StoredValue):
                stored = decode_record(found.value, UsageRecord)
                if stored.sequence >= record.sequence:
                    return True
                expected = found.revision
            data = msgspec.json.encode(record)
            if (yield CompareAndSwap(record.key, data, expected, LIFETIME_MS)):
                return True
        except StoreError:
            continue
    return False
