"""Counts of started requests by customer and time window, merged from all nodes."""

import msgspec

KEPT_WINDOWS = 8


class NodeCounts(msgspec.Struct, array_like=True, frozen=True):
    """The counts of one incarnation of a node in one window; they never decrease."""

    node: str
    incarnation: int
    window: int
    sequence: int
    counts: dict[str, int]


class StartCounter:
    """Count this node's started requests by window and customer."""

    __slots__ = ("_node", "_incarnation", "_window_ms", "_counts", "_sequence")

    def __init__(self, node: str, incarnation: int, window_ms: int) -> None:
        self._node = node
        self._incarnation = incarnation
        self._window_ms = window_ms
        self._counts: dict[int, dict[str, int]] = {}
        self._sequence: dict[int, int] = {}

    def compute_window(self, agreed_ms: int) -> int:
        """Return the number of the window that an agreed time falls into."""
        return agreed_ms // self._window_ms

    def count(self, customer: str, agreed_ms: int) -> None:
        """Count a request that started at an agreed time; delete the oldest windows."""
        window = self.compute_window(agreed_ms)
        counts = self._counts.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1
        self._sequence[window] = self._sequence.get(window, 0) + 1
        for old in list(self._counts):
            if old < window - KEPT_WINDOWS:
                del self._counts[old]
                del self._sequence[old]

    def list_records(self) -> list[NodeCounts]:
        """Return the counts of all kept windows."""
        found: list[NodeCounts] = []
        for window, counts in self._counts.items():
            found.append(
                NodeCounts(
                    self._node,
                    self._incarnation,
                    window,
                    self._sequence[window],
                    dict(counts),
                )
            )
        return found


class WindowTotals:
    """The newest counts of every incarnation of every node, by window."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[int, dict[tuple[str, int], NodeCounts]] = {}

    def put(self, record: NodeCounts) -> None:
        """Store a record unless a newer one of the same incarnation is stored."""
        records = self._records.setdefault(record.window, {})
        key = (record.node, record.incarnation)
        current = records.get(key)
        if current is None or current.sequence < record.sequence:
            records[key] = record

    def list_records(self) -> list[NodeCounts]:
        """Return the records of all windows."""
        found: list[NodeCounts] = []
        for records in self._records.values():
            found.extend(records.values())
        return found

    def sum(self, window: int) -> dict[str, int]:
        """Return the total of each customer in a window, over all nodes."""
        total: dict[str, int] = {}
        for record in self._records.get(window, {}).values():
            for customer, count in record.counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def forget_before(self, window: int) -> None:
        """Delete all windows before `window`."""
        for old in list(self._records):
            if old < window:
                del self._records[old]
