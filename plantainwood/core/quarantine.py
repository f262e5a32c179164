"""Containment of requests that crash the upstreams that run them."""

from collections import deque

MAX_CRASHES = 2
MARK_LIFETIME_MS = 600_000
EVICTION_WINDOW_MS = 2_000


class Crash:
    """One crash of an upstream and the fingerprints that were running there."""

    __slots__ = ("upstream", "domain", "at_ms", "fingerprints")

    def __init__(
        self, upstream: str, domain: str, at_ms: int, fingerprints: list[str]
    ) -> None:
        self.upstream = upstream
        self.domain = domain
        self.at_ms = at_ms
        self.fingerprints = fingerprints


class Quarantine:
    """Count, per fingerprint, the distinct upstreams that crashed while it ran.

    After MAX_CRASHES a fingerprint is condemned: refused at once, everywhere, for
    MARK_LIFETIME_MS. A suspect (one mark) never shares an upstream with another
    suspect, so a second crash has one suspect only. Crashes of several upstreams
    of one failure domain without a common fingerprint are an eviction and mark
    nobody.
    """

    __slots__ = ("_marks", "_recent")

    def __init__(self) -> None:
        self._marks: dict[str, dict[str, int]] = {}
        self._recent: deque[Crash] = deque(maxlen=64)

    def crashes(self, fingerprint: str, now_ms: int) -> int:
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
        """Tell whether a fingerprint must run without other suspects."""
        return bool(fingerprint) and self.crashes(fingerprint, now_ms) > 0

    def is_condemned(self, fingerprint: str, now_ms: int) -> bool:
        """Tell whether a fingerprint must be refused at once."""
        return bool(fingerprint) and self.crashes(fingerprint, now_ms) >= MAX_CRASHES

    def note_mark(self, fingerprint: str, upstream: str, now_ms: int) -> None:
        """Take a mark, found here or heard from another node."""
        marks = self._marks.setdefault(fingerprint, {})
        marks[upstream] = now_ms + MARK_LIFETIME_MS

    def note_crash(
        self, upstream: str, domain: str, fingerprints: list[str], now_ms: int
    ) -> list[str]:
        """Take a crash in; return the fingerprints that it marked."""
        fingerprints = [text for text in fingerprints if text]
        crash = Crash(upstream, domain, now_ms, fingerprints)
        if self._is_eviction(crash):
            return []
        self._recent.append(crash)
        blamed: list[str] = []
        for fingerprint in fingerprints:
            if self.is_suspect(fingerprint, now_ms):
                blamed.append(fingerprint)
        if not blamed:
            blamed = fingerprints
        for fingerprint in blamed:
            self.note_mark(fingerprint, upstream, now_ms)
        return blamed

    def _is_eviction(self, crash: Crash) -> bool:
        """Tell an eviction of a failure domain; lift the marks of its first crash."""
        evicted = False
        for earlier in self._recent:
            if earlier.domain != crash.domain or earlier.upstream == crash.upstream:
                continue
            if crash.at_ms - earlier.at_ms > EVICTION_WINDOW_MS:
                continue
            if set(earlier.fingerprints) & set(crash.fingerprints):
                continue
            evicted = True
            for fingerprint in earlier.fingerprints:
                self._marks.get(fingerprint, {}).pop(earlier.upstream, None)
        return evicted
