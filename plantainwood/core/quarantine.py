"""Containment of requests that crash the upstreams they run on."""

from collections import OrderedDict, deque

import msgspec

from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.probation import Suspicion, make_suspicion

MAX_CRASHES = 2
MARK_LIFETIME_MS = 600_000
EVICTION_WINDOW_MS = 2_000
TRUSTED_MS = 60_000
"""How long a fingerprint, or a part of prompts, is trusted after an upstream answered a
request with it."""
MAX_CRASHES_OF_TRUSTED = 8
"""Crashes that block what is trusted: a popular request runs on many upstreams, and
an outage of them all must not block it, since no answer could clear it then."""
MAX_TRUSTED_FINGERPRINTS = 4_096
SECOND_CRASH_SUFFIX = "+"
SAME_CRASH_MS = 500
"""How far apart nodes notice the same crash; no upstream is back so soon."""


def make_blocked_error(outcome: Outcome) -> RequestError:
    """Return the error of a request that is refused for the crashes under it."""
    message = "this request or a part of it crashed the upstreams it ran on"
    return RequestError(ErrorCode.CRASH_SUSPECT, message, outcome)


class Crash:
    """One crash of an upstream and the fingerprints that were running there."""

    __slots__ = ("upstream", "domain", "time_ms", "fingerprints")

    def __init__(
        self, upstream: str, domain: str, time_ms: int, fingerprints: list[str]
    ) -> None:
        self.upstream = upstream
        self.domain = domain
        self.time_ms = time_ms
        self.fingerprints = fingerprints


class Mark(msgspec.Struct, frozen=True):
    """A mark on a fingerprint that ran on a crashing upstream, or its lifting."""

    fingerprint: str
    upstream: str
    lifted: bool


class AgedMark(msgspec.Struct, frozen=True):
    """A mark in force, and how long ago the crash was."""

    fingerprint: str
    upstream: str
    age_ms: int


class Quarantine:
    """Count, per fingerprint, the crashes of upstreams while it ran.

    After `max_crashes` a fingerprint is blocked for MARK_LIFETIME_MS, or first put on
    probation (core/probation.py). A suspect (one mark) reserves its upstream
    fleet-wide, so it never shares one with another suspect and a second crash has only
    one suspect. A suspect that completes has its marks lifted, and is trusted for
    TRUSTED_MS. Crashes of several upstreams of one failure domain without a common
    fingerprint are an eviction and mark nothing.
    """

    __slots__ = ("_max_crashes", "_marks", "_trusted", "_recent_crashes")

    def __init__(self, max_crashes: int = MAX_CRASHES) -> None:
        self._max_crashes = max_crashes
        self._marks: dict[str, dict[str, int]] = {}
        self._trusted: OrderedDict[str, int] = OrderedDict()
        """When a request with a fingerprint last completed, the latest at the end."""
        self._recent_crashes: deque[Crash] = deque(maxlen=64)

    def count_marks(self, fingerprint: str, now_ms: int) -> int:
        """Return the number of unexpired marks of a fingerprint."""
        marks = self._marks.get(fingerprint)
        if not marks:
            return 0
        for upstream, until_ms in list(marks.items()):
            if until_ms <= now_ms:
                del marks[upstream]
        if not marks:
            del self._marks[fingerprint]
        return len(marks)

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Tell whether a fingerprint must run on an upstream without other suspects."""
        return bool(fingerprint) and self.count_marks(fingerprint, now_ms) > 0

    def is_blocked(self, fingerprint: str, now_ms: int) -> bool:
        """Tell whether a fingerprint has as many marks as it takes to block it."""
        return self.find_suspicion(fingerprint, now_ms) is not None

    def find_suspicion(self, fingerprint: str, now_ms: int) -> Suspicion | None:
        """Return what speaks against a fingerprint; None without enough marks."""
        if not fingerprint:
            return None
        count = self.count_marks(fingerprint, now_ms)
        needed = self._max_crashes
        if self._is_trusted(fingerprint, now_ms):
            needed = max(needed, MAX_CRASHES_OF_TRUSTED)
        if count < needed:
            return None
        times_ms = [
            until_ms - MARK_LIFETIME_MS
            for until_ms in self._marks[fingerprint].values()
        ]
        return make_suspicion(fingerprint, times_ms, needed)

    def _is_trusted(self, fingerprint: str, now_ms: int) -> bool:
        trusted_ms = self._trusted.get(fingerprint)
        return trusted_ms is not None and now_ms - trusted_ms < TRUSTED_MS

    def add_mark(self, fingerprint: str, upstream: str, now_ms: int) -> None:
        """Set a mark of a crash at `now_ms`, which lasts for MARK_LIFETIME_MS."""
        marks = self._marks.setdefault(fingerprint, {})
        marks[upstream] = now_ms + MARK_LIFETIME_MS

    def lift_mark(self, fingerprint: str, upstream: str) -> None:
        """Lift a mark, if it is set."""
        self._marks.get(fingerprint, {}).pop(upstream, None)

    def record_completion(self, fingerprint: str, now_ms: int) -> list[Mark]:
        """Trust a fingerprint whose request completed; lift and return its marks."""
        if not fingerprint:
            return []
        self._trusted[fingerprint] = now_ms
        self._trusted.move_to_end(fingerprint)
        while len(self._trusted) > MAX_TRUSTED_FINGERPRINTS:
            self._trusted.popitem(last=False)
        marks: list[Mark] = []
        for upstream in self._marks.pop(fingerprint, {}):
            marks.append(Mark(fingerprint, upstream, lifted=True))
        return marks

    def list_marks(self, now_ms: int) -> list[AgedMark]:
        """Return all unexpired marks, for a node that was not told yet."""
        found: list[AgedMark] = []
        for fingerprint in list(self._marks):
            self.count_marks(fingerprint, now_ms)
            for upstream, until_ms in self._marks.get(fingerprint, {}).items():
                age_ms = MARK_LIFETIME_MS - (until_ms - now_ms)
                found.append(AgedMark(fingerprint, upstream, age_ms))
        return found

    def lift_explained(self, upstreams: set[str]) -> None:
        """Lift all marks of crashes that something else than the request explains."""
        for marks in self._marks.values():
            for upstream in upstreams & marks.keys():
                del marks[upstream]

    def record_crash(
        self, upstream: str, domain: str, fingerprints: list[str], now_ms: int
    ) -> list[Mark]:
        """Record a crash and return the marks that it sets or lifts.

        If suspects were running, only they get a mark; each gets one, however many
        requests had its fingerprint.
        """
        fingerprints = [text for text in dict.fromkeys(fingerprints) if text]
        crash = Crash(upstream, domain, now_ms, fingerprints)
        earlier = self._find_evicted(crash)
        self._recent_crashes.append(crash)
        if earlier:
            return self._lift_marks(earlier)
        blamed: list[str] = []
        for fingerprint in fingerprints:
            if self.is_suspect(fingerprint, now_ms):
                blamed.append(fingerprint)
        marks: list[Mark] = []
        for fingerprint in blamed or fingerprints:
            mark_name = self._make_mark_name(fingerprint, upstream, now_ms)
            self.add_mark(fingerprint, mark_name, now_ms)
            marks.append(Mark(fingerprint, mark_name, lifted=False))
        return marks

    def _make_mark_name(self, fingerprint: str, upstream: str, now_ms: int) -> str:
        """Return the upstream's name, with a suffix for each of its earlier crashes.

        All nodes with requests there notice a crash; each tells the others.
        """
        mark_name = upstream
        marks = self._marks.get(fingerprint, {})
        while mark_name in marks:
            crashed_ms = marks[mark_name] - MARK_LIFETIME_MS
            if now_ms - crashed_ms < SAME_CRASH_MS:
                break
            mark_name += SECOND_CRASH_SUFFIX
        return mark_name

    def _find_evicted(self, crash: Crash) -> list[Crash]:
        """Return the earlier crashes that show this one to be an eviction."""
        found: list[Crash] = []
        for earlier in self._recent_crashes:
            if earlier.domain != crash.domain or earlier.upstream == crash.upstream:
                continue
            if crash.time_ms - earlier.time_ms > EVICTION_WINDOW_MS:
                continue
            if set(earlier.fingerprints) & set(crash.fingerprints):
                continue
            found.append(earlier)
        return found

    def _lift_marks(self, crashes: list[Crash]) -> list[Mark]:
        marks: list[Mark] = []
        for crash in crashes:
            for fingerprint in crash.fingerprints:
                self.lift_mark(fingerprint, crash.upstream)
                marks.append(Mark(fingerprint, crash.upstream, lifted=True))
        return marks
