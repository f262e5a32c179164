"""Reports of started requests: a window's counts are frozen once and then sent.

The counts are created in the store first, and only the stored value is ever sent.
"""

from collections import OrderedDict
from typing import Callable

import msgspec

from plantainwood.core.effects import (
    CompareAndSwap,
    Procedure,
    Read,
    SendReport,
    StoredValue,
)
from plantainwood.core.errors import StoreError
from plantainwood.core.leases import Lease
from plantainwood.core.windows import WindowTotals

REPORT_PREFIX = "usage/"
REPORT_LIFETIME_MS = 120_000
MAX_FROZEN_REPORTS = 64
FIRM = ""
"""Reports of started requests are not divided by firm."""


class FrozenReports:
    """The frozen counts that this node knows of, also where the store lost them."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: OrderedDict[str, bytes] = OrderedDict()

    def record(self, key: str, counts: bytes) -> bool:
        """Record frozen counts, unless others are known; return whether they are new.

        What was frozen first may have been sent, so it is kept.
        """
        if key in self._counts:
            return False
        self._counts[key] = counts
        while len(self._counts) > MAX_FROZEN_REPORTS:
            self._counts.popitem(last=False)
        return True

    def find(self, key: str) -> bytes | None:
        """Return the counts under a key; None if they are not known to be frozen."""
        return self._counts.get(key)


def make_report_key(window: int) -> str:
    """Return the store key of a window's frozen counts."""
    return f"{REPORT_PREFIX}{window}"


def report_window(
    window: int,
    totals: WindowTotals,
    lease: Lease,
    known: FrozenReports | None = None,
    on_frozen: Callable[[str, bytes], None] = lambda key, counts: None,
) -> Procedure:
    """Freeze a window's counts by create-if-absent, and send the frozen counts.

    Returns True if the report was accepted. A sender that finds frozen counts sends
    those, so two holders of the duty can only send equal counts. Counts known to be
    frozen are frozen again if the store lost them. `on_frozen` is called with newly
    frozen counts before they are sent.
    """
    known = known if known is not None else FrozenReports()
    try:
        frozen = yield from _freeze(window, totals, known)
        if frozen is None or not lease.is_held():
            return False
        key = make_report_key(window)
        if known.record(key, frozen):
            on_frozen(key, frozen)
        return (
            yield SendReport(
                firm=FIRM,
                window=window,
                body=frozen,
                fence=lease.fence,
                deadline_ms=lease.get_deadline_ms(),
                arrive_by_ms=lease.get_arrival_limit_ms(),
            )
        )
    except StoreError:
        return False


def _freeze(window: int, totals: WindowTotals, known: FrozenReports) -> Procedure:
    key = make_report_key(window)
    counts = known.find(key)
    if counts is None:
        counts = msgspec.json.encode(totals.sum(window), order="sorted")
    try:
        if (yield CompareAndSwap(key, counts, 0, REPORT_LIFETIME_MS)):
            return counts
    except StoreError:
        # The write may have been applied, or may still be: only the counts that are
        # read back may be sent.
        pass
    kept = yield Read(key)
    return kept.value if isinstance(kept, StoredValue) else None
