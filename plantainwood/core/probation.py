"""Probation of requests and parts of prompts under which upstreams crashed.

Some crashes in a row may have had another cause than what all that ran had in common.
So what is suspected runs on where it runs, and the fleet sends it a few times more, one
at a time: an answer clears it, and only further crashes block it.
"""

from enum import Enum

import msgspec

PROBE_PAUSES_MS = (1_000, 60_000)
"""How long after the last crash the next request is sent to find out."""


class Suspicion(msgspec.Struct, frozen=True):
    """A fingerprint or part that enough upstreams crashed under to suspect it."""

    name: str
    excess: int
    """The crashes since then that came long enough after one another to count."""
    last_crash_ms: int


def make_suspicion(name: str, crash_times_ms: list[int], needed: int) -> Suspicion:
    """Return the suspicion that crashes raise, of which the first `needed` raise it.

    Crashes that follow at once had the same cause: an outage stops many upstreams.
    """
    times_ms = sorted(crash_times_ms)
    last_ms = times_ms[needed - 1]
    excess = 0
    for time_ms in times_ms[needed:]:
        apart_ms, last_ms = time_ms - last_ms, time_ms
        if excess == len(PROBE_PAUSES_MS) or apart_ms < PROBE_PAUSES_MS[excess]:
            continue
        excess += 1
    return Suspicion(name, excess, last_ms)


class Verdict(Enum):
    """What becomes of a request under suspicion, from the mildest to the hardest."""

    PASS = 0
    """It may be sent."""
    HOLD = 1
    """It is not sent now; the caller may come back."""
    BLOCK = 2
    """It is refused for good."""


def judge(
    suspicion: Suspicion,
    is_prober: bool,
    is_open: bool,
    probed_ms: int | None,
    now_ms: int,
) -> Verdict:
    """Return what becomes of a new request under suspicion.

    `is_prober` says whether this node is the one that finds out for the fleet,
    `is_open` whether it has another request with the same name, and `probed_ms` when
    it last sent one to find out, if it did.
    """
    if suspicion.excess >= len(PROBE_PAUSES_MS):
        return Verdict.BLOCK
    if is_open or not is_prober:
        return Verdict.HOLD
    if now_ms - suspicion.last_crash_ms < PROBE_PAUSES_MS[suspicion.excess]:
        return Verdict.HOLD
    if probed_ms is not None and now_ms - probed_ms < PROBE_PAUSES_MS[-1]:
        return Verdict.HOLD
    return Verdict.PASS
