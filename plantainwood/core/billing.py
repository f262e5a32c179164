"""Billing: the figures of a window are frozen once, then reported as frozen."""

import msgspec

from plantainwood.core.errors import StoreError
from plantainwood.core.leases import Lease
from plantainwood.core.steps import Read, Scan, SendReport, Steps, Stored, Swap
from plantainwood.core.usage import USAGE_PREFIX, Line, UsageRecord

FROZEN_PREFIX = "billing/frozen/"
SENT_PREFIX = "billing/sent/"
HORIZON_WINDOWS = 48


class Frozen(msgspec.Struct, frozen=True):
    """The figures of a firm's window, never changed once written.

    Usage that arrived after its own window was frozen is in `lines` of the next
    window and, by its source window, in `late`.
    """

    firm: str
    window: int
    lines: dict[str, Line]
    late: dict[str, dict[str, Line]]
    billed: dict[str, dict[str, Line]]
    """Per usage record, the totals billed up to and including this window."""


def frozen_key(firm: str, window: int) -> str:
    """Return the key of a firm's frozen window."""
    return f"{FROZEN_PREFIX}{firm}/{window}"


def sent_key(firm: str, window: int) -> str:
    """Return the key that says that a window was reported."""
    return f"{SENT_PREFIX}{firm}/{window}"


def close_window(firm: str, window: int, window_ms: int, lease: Lease) -> Steps:
    """Freeze and report a window and every earlier one that is not reported yet.

    Returns True when the window is reported. Windows are closed in order, so that
    each use is billed in exactly one of them.
    """
    try:
        pending, previous = yield from _find_pending(firm, window, window_ms)
        for start in pending:
            if not lease.holds():
                return False
            previous = yield from _freeze(firm, start, window_ms, previous)
            if not (yield from _report(previous, lease)):
                return False
    except StoreError:
        return False
    return True


def _find_pending(firm: str, window: int, window_ms: int) -> Steps:
    """Return the windows to close, oldest first, and the last one before them."""
    pending: list[int] = []
    oldest_frozen = 0
    for back in range(HORIZON_WINDOWS):
        start = window - back * window_ms
        frozen = yield from _read_frozen(firm, start)
        if (yield Read(sent_key(firm, start))) is not None:
            return pending[::-1], frozen
        pending.append(start)
        if frozen is not None:
            oldest_frozen = len(pending)
    # Nothing was ever reported: begin with the oldest window that was frozen.
    return pending[: max(1, oldest_frozen)][::-1], None


def _read_frozen(firm: str, window: int) -> Steps:
    found = yield Read(frozen_key(firm, window))
    if not isinstance(found, Stored):
        return None
    return msgspec.json.decode(found.value, type=Frozen)


def _freeze(firm: str, window: int, window_ms: int, previous: Frozen | None) -> Steps:
    kept = yield from _read_frozen(firm, window)
    if kept is not None:
        return kept
    records = yield from _read_usage(window, window_ms)
    frozen = compute_figures(firm, window, records, previous)
    key = frozen_key(firm, window)
    try:
        if (yield Swap(key, msgspec.json.encode(frozen), 0)):
            return frozen
    except StoreError:
        pass
    kept = yield from _read_frozen(firm, window)
    if kept is None:
        raise StoreError("the frozen figures could not be written")
    return kept


def _read_usage(window: int, window_ms: int) -> Steps:
    found = yield Scan(USAGE_PREFIX)
    assert isinstance(found, dict)
    records: list[UsageRecord] = []
    for stored in found.values():
        record = msgspec.json.decode(stored.value, type=UsageRecord)
        if record.window > window:
            continue
        if record.window <= window - HORIZON_WINDOWS * window_ms:
            continue
        records.append(record)
    return records


def compute_figures(
    firm: str, window: int, records: list[UsageRecord], previous: Frozen | None
) -> Frozen:
    """Return a window's figures: all usage so far less what is already billed."""
    billed_before = previous.billed if previous is not None else {}
    lines: dict[str, Line] = {}
    late: dict[str, dict[str, Line]] = {}
    billed: dict[str, dict[str, Line]] = {}
    for record in records:
        before = billed_before.get(record.key, {})
        for line_key, line in record.lines.items():
            if not line_key.startswith(f"{firm}/"):
                continue
            billed.setdefault(record.key, {})[line_key] = line
            fresh = _subtract(line, before.get(line_key, Line()))
            if fresh == Line():
                continue
            _add(lines, line_key, fresh)
            if record.window != window:
                _add(late.setdefault(str(record.window), {}), line_key, fresh)
    return Frozen(firm, window, lines, late, billed)


def _subtract(line: Line, other: Line) -> Line:
    return Line(
        line.requests - other.requests,
        line.prompt_tokens - other.prompt_tokens,
        line.tokens - other.tokens,
    )


def _add(lines: dict[str, Line], key: str, delta: Line) -> None:
    line = lines.setdefault(key, Line())
    line.requests += delta.requests
    line.prompt_tokens += delta.prompt_tokens
    line.tokens += delta.tokens


def encode_report(frozen: Frozen) -> bytes:
    """Return the body of a report; a resend is equal to the letter."""
    body = {
        "id": f"{frozen.firm}-{frozen.window}",
        "firm": frozen.firm,
        "window": frozen.window,
        "lines": frozen.lines,
        "late": frozen.late,
    }
    return msgspec.json.encode(body, order="sorted")


def _report(frozen: Frozen, lease: Lease) -> Steps:
    key = sent_key(frozen.firm, frozen.window)
    if not lease.holds():
        return False
    taken = yield SendReport(
        firm=frozen.firm,
        window=frozen.window,
        body=encode_report(frozen),
        fence=lease.fence,
        deadline_ms=lease.deadline_ms(),
    )
    if not taken:
        return False
    yield Swap(key, b"1", 0)
    return True
