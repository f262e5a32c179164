"""Billing: the totals of a window are frozen once and reported exactly as frozen."""

import msgspec

from plantainwood.core.decoding import decode_record
from plantainwood.core.effects import (
    CompareAndSwap,
    Procedure,
    Read,
    Scan,
    ScanKeys,
    SendReport,
    StoredValue,
)
from plantainwood.core.errors import StoreError
from plantainwood.core.leases import Lease
from plantainwood.core.usage import USAGE_PREFIX, UsageLine, UsageRecord

FROZEN_PREFIX = "billing/frozen/"
SENT_PREFIX = "billing/sent/"
HORIZON_WINDOWS = 24
"""By how many windows usage may arrive late, or a report may be delayed."""
LIFETIME_MS = 90 * 86_400_000


class FrozenWindow(msgspec.Struct, frozen=True):
    """The billed totals of one firm in one window, never changed once written.

    Usage that arrived after its own window was frozen is counted in `lines` of the
    next window to be frozen and, keyed by its source window, in `late`.
    """

    firm: str
    window: int
    lines: dict[str, UsageLine]
    late: dict[str, dict[str, UsageLine]]
    billed: dict[str, dict[str, UsageLine]]
    """The totals billed so far, by usage record; a final record, which can't change
    again, is left out and listed in `final`."""
    final: list[str]
    """Keys of the final usage records billed so far, within HORIZON_WINDOWS."""


def make_frozen_key(firm: str, window: int) -> str:
    """Return the store key of a firm's frozen window."""
    return f"{FROZEN_PREFIX}{firm}/{window}"


def make_sent_key(firm: str, window: int) -> str:
    """Return the store key that marks a firm's window as reported."""
    return f"{SENT_PREFIX}{firm}/{window}"


def close_window(firm: str, window: int, window_ms: int, lease: Lease) -> Procedure:
    """Freeze and report a window and every earlier one that is not reported yet.

    Returns True once the window is reported, False if the lease was lost, a call
    failed or a report was not accepted. Windows are closed oldest first, so that all
    usage is billed in exactly one of them.
    """
    try:
        pending, previous = yield from _find_pending(firm, window, window_ms)
        for start in pending:
            if not lease.is_held():
                return False
            previous = yield from _freeze(firm, start, window_ms, previous)
            if not (yield from _report(previous, lease)):
                return False
    except StoreError:
        return False
    return True


def _find_pending(firm: str, window: int, window_ms: int) -> Procedure:
    """Return the windows to close, oldest first, and the frozen one before them."""
    pending: list[int] = []
    oldest_frozen = 0
    for back in range(HORIZON_WINDOWS):
        start = window - back * window_ms
        frozen = yield from _read_frozen(firm, start)
        if (yield Read(make_sent_key(firm, start))) is not None:
            return pending[::-1], frozen
        pending.append(start)
        if frozen is not None:
            oldest_frozen = len(pending)
    # No report within the horizon: begin with the oldest frozen window, else `window`.
    return pending[: max(1, oldest_frozen)][::-1], None


def _read_frozen(firm: str, window: int) -> Procedure:
    found = yield Read(make_frozen_key(firm, window))
    if not isinstance(found, StoredValue):
        return None
    return decode_record(found.value, FrozenWindow)


def _freeze(
    firm: str, window: int, window_ms: int, previous: FrozenWindow | None
) -> Procedure:
    existing = yield from _read_frozen(firm, window)
    if existing is not None:
        return existing
    records = yield from _read_usage(window, window_ms, previous)
    frozen = compute_totals(firm, window, window_ms, records, previous)
    key = make_frozen_key(firm, window)
    try:
        if (yield CompareAndSwap(key, msgspec.json.encode(frozen), 0, LIFETIME_MS)):
            return frozen
    except StoreError:
        pass
    existing = yield from _read_frozen(firm, window)
    if existing is None:
        raise StoreError("the frozen window could not be written")
    return existing


def _read_usage(
    window: int, window_ms: int, previous: FrozenWindow | None
) -> Procedure:
    """Return the usage records that may contain usage not billed yet."""
    found = yield Scan(f"{USAGE_PREFIX}{window}/")
    assert isinstance(found, dict)
    records = [decode_record(stored.value, UsageRecord) for stored in found.values()]
    fully_billed = set(previous.final) if previous is not None else set()
    for back in range(1, HORIZON_WINDOWS):
        keys = yield ScanKeys(f"{USAGE_PREFIX}{window - back * window_ms}/")
        assert isinstance(keys, set)
        for key in sorted(keys - fully_billed):
            stored = yield Read(key)
            if isinstance(stored, StoredValue):
                records.append(decode_record(stored.value, UsageRecord))
    return records


def compute_totals(
    firm: str,
    window: int,
    window_ms: int,
    records: list[UsageRecord],
    previous: FrozenWindow | None,
) -> FrozenWindow:
    """Return a window's totals: the usage read, minus what is already billed."""
    oldest = window - HORIZON_WINDOWS * window_ms
    billed = _keep_recent(previous.billed if previous is not None else {}, oldest)
    final = (
        list(_keep_recent(dict.fromkeys(previous.final), oldest)) if previous else []
    )
    lines: dict[str, UsageLine] = {}
    late: dict[str, dict[str, UsageLine]] = {}
    for record in records:
        billed_before = billed.pop(record.key, {})
        for line_key, line in record.lines.items():
            if not line_key.startswith(f"{firm}/"):
                continue
            unbilled = _subtract(line, billed_before.get(line_key, UsageLine()))
            if unbilled != UsageLine():
                _add(lines, line_key, unbilled)
                if record.window != window:
                    _add(late.setdefault(str(record.window), {}), line_key, unbilled)
        if record.final:
            final.append(record.key)
        else:
            billed[record.key] = _select_firm(record.lines, firm)
    return FrozenWindow(firm, window, lines, late, billed, final)


def _keep_recent(by_record: dict, oldest: int) -> dict:
    """Return the items whose key names a window within the horizon."""
    recent: dict = {}
    for key, value in by_record.items():
        if int(key.removeprefix(USAGE_PREFIX).partition("/")[0]) > oldest:
            recent[key] = value
    return recent


def _select_firm(lines: dict[str, UsageLine], firm: str) -> dict[str, UsageLine]:
    return {key: line for key, line in lines.items() if key.startswith(f"{firm}/")}


def _subtract(line: UsageLine, other: UsageLine) -> UsageLine:
    return UsageLine(
        line.requests - other.requests,
        line.prompt_tokens - other.prompt_tokens,
        line.tokens - other.tokens,
    )


def _add(lines: dict[str, UsageLine], key: str, delta: UsageLine) -> None:
    line = lines.setdefault(key, UsageLine())
    line.requests += delta.requests
    line.prompt_tokens += delta.prompt_tokens
    line.tokens += delta.tokens


def encode_report(frozen: FrozenWindow) -> bytes:
    """Return the body of a report; a resend has exactly the same bytes."""
    body = {
        "id": f"{frozen.firm}-{frozen.window}",
        "firm": frozen.firm,
        "window": frozen.window,
        "lines": frozen.lines,
        "late": frozen.late,
    }
    return msgspec.json.encode(body, order="sorted")


def _report(frozen: FrozenWindow, lease: Lease) -> Procedure:
    key = make_sent_key(frozen.firm, frozen.window)
    if not lease.is_held():
        return False
    accepted = yield SendReport(
        firm=frozen.firm,
        window=frozen.window,
        body=encode_report(frozen),
        fence=lease.fence,
        deadline_ms=lease.get_deadline_ms(),
        arrive_by_ms=lease.get_arrival_limit_ms(),
    )
    if not accepted:
        return False
    yield CompareAndSwap(key, b"1", 0, LIFETIME_MS)
    return True
