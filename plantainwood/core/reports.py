"""Reports of started requests: a window's counts are frozen once and then sent.

The counts are created in the store first, and only the stored value is ever sent.
"""

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
FIRM = ""
"""Reports of started requests are not divided by firm."""


def make_report_key(window: int) -> str:
    """Return the store key of a window's frozen counts."""
    return f"{REPORT_PREFIX}{window}"


def report_window(window: int, totals: WindowTotals, lease: Lease) -> Procedure:
    """Freeze a window's counts by create-if-absent, and send the frozen counts.

    Returns True if the report was accepted. A sender that finds frozen counts sends
    those, so two holders of the duty can only send equal counts.
    """
    try:
        frozen = yield from _freeze(window, totals)
        if frozen is None or not lease.is_held():
            return False
        return (
            yield SendReport(
                firm=FIRM,
                window=window,
                body=frozen,
                fence=lease.fence,
                deadline_ms=lease.get_deadline_ms(),
            )
        )
    except StoreError:
        return False


def _freeze(window: int, totals: WindowTotals) -> Procedure:
    key = make_report_key(window)
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
