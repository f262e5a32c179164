"""Containment of prompt parts that crash engines, in requests that all differ.

A request whose body never comes again can't be recognised by its fingerprint, but
prompts share parts. Whatever was answered is sound; a part that was only ever in
attempts lost with their engines, of several requests, is the one that crashes them.
"""

from bisect import bisect_right
from collections import OrderedDict, deque
from typing import Iterable

import msgspec

from plantainwood.core.probation import Suspicion, make_suspicion
from plantainwood.core.quarantine import (
    MARK_LIFETIME_MS,
    MAX_CRASHES_OF_TRUSTED,
    TRUSTED_MS,
)

MIN_REQUESTS = 2
"""A part is blocked only if this many requests with it were lost; one that keeps
crashing engines by itself is blocked by its fingerprint."""
SAME_CAUSE_MS = 100
"""Crashes closer together count as one: an outage stops many engines at once."""
UNANSWERED_MS = 1_000
"""Crashes so far apart count, also if no answer began between them."""
MAX_START_TIMES = 1_024
MIN_MARKS_TOLD = 2
MAX_TRUSTED_PARTS = 8_192
MAX_MARKED_PARTS = 2_048


class LostAttempt(msgspec.Struct, array_like=True, frozen=True):
    """An attempt that had not begun to answer when its upstream crashed."""

    request: str
    """A name that is the same for all attempts of a request and for its repetitions."""
    parts: tuple[str, ...]
    """The parts of its prompt that other requests may share."""


class PartCrash(msgspec.Struct, array_like=True, frozen=True):
    """A crash of an upstream and the attempts of one node that were lost unbegun."""

    upstream: str
    """Unique for each start of an upstream, so that it also names the crash."""
    attempts: list[LostAttempt]
    age_ms: int = 0
    """How long ago the crash was."""


class PartMark:
    """One crash that a part may have caused, and the requests lost with that part."""

    __slots__ = ("time_ms", "requests")

    def __init__(self, time_ms: int) -> None:
        self.time_ms = time_ms
        self.requests: set[str] = set()


class PartQuarantine:
    """Find the parts of prompts under which engines crash.

    A request is blocked if one of its parts has marks of `max_crashes` crashes, of at
    least MIN_REQUESTS requests, and each part that explains these crashes as well is
    in the request too. So a part that only came along with the cause never blocks a
    request without the cause. An answer that begins clears all parts of its prompt.
    """

    __slots__ = ("_max_crashes", "_marks", "_trusted", "_start_times_ms")

    def __init__(self, max_crashes: int) -> None:
        self._max_crashes = max_crashes
        self._marks: OrderedDict[str, dict[str, PartMark]] = OrderedDict()
        """By part, then by upstream; the parts marked last are at the end."""
        self._trusted: OrderedDict[str, int] = OrderedDict()
        """When an answer to a request with a part last began."""
        self._start_times_ms: deque[int] = deque(maxlen=MAX_START_TIMES)
        """When the last answers to prompts began."""

    def record_crash(self, crash: PartCrash, now_ms: int) -> None:
        """Mark the parts of the attempts that were lost in a crash."""
        time_ms = now_ms - crash.age_ms
        if crash.age_ms > MARK_LIFETIME_MS:
            return
        for attempt in crash.attempts:
            for part in attempt.parts:
                self._add_mark(part, crash.upstream, attempt.request, time_ms)
        while len(self._marks) > MAX_MARKED_PARTS:
            self._marks.popitem(last=False)

    def _add_mark(self, part: str, upstream: str, request: str, time_ms: int) -> None:
        marks = self._marks.setdefault(part, {})
        self._marks.move_to_end(part)
        mark = marks.get(upstream)
        if mark is None:
            mark = marks[upstream] = PartMark(time_ms)
        mark.requests.add(request)

    def record_start(self, parts: Iterable[str], now_ms: int) -> list[str]:
        """Clear the parts of an answer that begins; return those that had marks."""
        cleared: list[str] = []
        self._start_times_ms.append(now_ms)
        for part in parts:
            self._trusted[part] = now_ms
            self._trusted.move_to_end(part)
            if self._marks.pop(part, None) is not None:
                cleared.append(part)
        while len(self._trusted) > MAX_TRUSTED_PARTS:
            self._trusted.popitem(last=False)
        return cleared

    def is_blocked(self, parts: tuple[str, ...], now_ms: int) -> bool:
        """Tell whether one of these parts has as many marks as it takes to block it."""
        return self.find_suspicion(parts, now_ms) is not None

    def find_suspicion(self, parts: tuple[str, ...], now_ms: int) -> Suspicion | None:
        """Return what speaks most against a request with these parts; None if nothing.

        A part counts only if each part that explains its crashes as well is among them.
        """
        found: Suspicion | None = None
        for part in parts:
            suspicion = self._find_suspicion_of(part, now_ms)
            if suspicion is None:
                continue
            if not all(peer in parts for peer in self._list_peers(part)):
                continue
            if found is None or suspicion.excess > found.excess:
                found = suspicion
        return found

    def find_crashing_parts(self, parts: Iterable[str], now_ms: int) -> list[str]:
        """Return those of some parts whose own marks suffice to block them."""
        found: list[str] = []
        for part in parts:
            if self._find_suspicion_of(part, now_ms) is not None:
                found.append(part)
        return found

    def list_marked_upstreams(self, parts: Iterable[str]) -> set[str]:
        """Return the upstreams whose crashes mark any of these parts."""
        found: set[str] = set()
        for part in parts:
            found.update(self._marks.get(part, {}))
        return found

    def list_crashes(self, now_ms: int) -> list[PartCrash]:
        """Return the unexpired marks as crashes, for a node that was not told yet.

        Parts with a single mark are left out: most are cleared within a second.
        """
        parts: dict[tuple[str, str], list[str]] = {}
        times_ms: dict[str, int] = {}
        for part in list(self._marks):
            self._expire(part, now_ms)
            marks = self._marks.get(part, {})
            if len(marks) < MIN_MARKS_TOLD:
                continue
            for upstream, mark in marks.items():
                times_ms[upstream] = mark.time_ms
                for request in mark.requests:
                    parts.setdefault((upstream, request), []).append(part)
        attempts: dict[str, list[LostAttempt]] = {}
        for (upstream, request), found in parts.items():
            lost = LostAttempt(request, tuple(found))
            attempts.setdefault(upstream, []).append(lost)
        crashes: list[PartCrash] = []
        for upstream, lost_attempts in attempts.items():
            age_ms = now_ms - times_ms[upstream]
            crashes.append(PartCrash(upstream, lost_attempts, age_ms))
        return crashes

    def _find_suspicion_of(self, part: str, now_ms: int) -> Suspicion | None:
        """Return what its own marks say against a part; None without enough of them."""
        if part not in self._marks:
            return None
        self._expire(part, now_ms)
        marks = self._marks.get(part, {})
        trusted_ms = self._trusted.get(part)
        # Only crashes with an answer between them count: the parts that most prompts
        # share are lost in every crash, and no answer is there yet to clear them. With
        # a part that was never answered, none may come between.
        start_times_ms = list(self._start_times_ms)
        unanswered_ms: int | None = UNANSWERED_MS
        needed = self._max_crashes
        if trusted_ms is not None and now_ms - trusted_ms < TRUSTED_MS:
            unanswered_ms = None
            needed = max(needed, MAX_CRASHES_OF_TRUSTED)
        ordered = sorted(marks.values(), key=lambda mark: mark.time_ms)
        requests: set[str] = set()
        for number, mark in enumerate(ordered, 1):
            requests |= mark.requests
            if len(requests) < MIN_REQUESTS:
                continue
            if _count_crashes(ordered[:number], start_times_ms, unanswered_ms) < needed:
                continue
            return make_suspicion(part, [item.time_ms for item in ordered], number)
        return None

    def _list_peers(self, part: str) -> list[str]:
        """Return the other parts that explain a part's crashes at least as well.

        Such a part has as many marks, and fewer than `max_crashes` of this part's
        crashes happened without it.
        """
        own = self._marks[part]
        peers: list[str] = []
        for other, marks in self._marks.items():
            if other == part or len(marks) < len(own):
                continue
            unexplained = [mark for name, mark in own.items() if name not in marks]
            if _count_crashes(unexplained) < self._max_crashes:
                peers.append(other)
        return peers

    def _expire(self, part: str, now_ms: int) -> None:
        marks = self._marks[part]
        for upstream, mark in list(marks.items()):
            if now_ms - mark.time_ms > MARK_LIFETIME_MS:
                del marks[upstream]
        if not marks:
            del self._marks[part]


def _count_crashes(
    marks: Iterable[PartMark],
    start_times_ms: list[int] | None = None,
    unanswered_ms: int | None = None,
) -> int:
    """Return the number of crashes, those within SAME_CAUSE_MS counted as one.

    With the times at which answers began, in order, crashes without one between them
    count as one too, unless they are `unanswered_ms` apart.
    """
    count = 0
    last_ms = 0
    for time_ms in sorted(mark.time_ms for mark in marks):
        if count and time_ms - last_ms < SAME_CAUSE_MS:
            continue
        is_apart = unanswered_ms is not None and time_ms - last_ms >= unanswered_ms
        if count and start_times_ms is not None and not is_apart:
            after = bisect_right(start_times_ms, last_ms)
            if after == len(start_times_ms) or start_times_ms[after] > time_ms:
                continue
        count += 1
        last_ms = time_ms
    return count
