"""Time in whole milliseconds, from a real or a virtual source."""

import time
from abc import ABC, abstractmethod

INCARNATION_EPOCH_MS = 1_767_225_600_000
"""2026-01-01; incarnations count tenths of a second, to stay within 32 bits."""


class Clock(ABC):
    """Give the current time; values never go backwards."""

    __slots__ = ()

    @abstractmethod
    def now_ms(self) -> int:
        """Return monotonic milliseconds since an arbitrary origin."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for window bounds and records."""


class SystemClock(Clock):
    """Read the operating system's clocks."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return CLOCK_BOOTTIME, which also counts the time a VM was suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return the system's wall clock."""
        return time.time_ns() // 1_000_000


class VirtualClock(Clock):
    """Advance only when told to; used by tests and experiments."""

    __slots__ = ("_epoch_ms", "_now_ms")

    def __init__(self, now_ms: int = 0, epoch_ms: int = 0) -> None:
        self._now_ms = now_ms
        self._epoch_ms = epoch_ms

    def now_ms(self) -> int:
        """Return the virtual time."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the virtual time counted from the given epoch."""
        return self._epoch_ms + self._now_ms

    def advance(self, by_ms: int) -> int:
        """Move forward by a non-negative number of milliseconds."""
        if by_ms < 0:
            raise ValueError("a clock can't go backwards")
        self._now_ms += by_ms
        return self._now_ms


def make_incarnation(clock: Clock) -> int:
    """Return a number that is higher for later starts of a process."""
    return (clock.wall_ms() - INCARNATION_EPOCH_MS) // 100


def make_clock() -> Clock:
    """Return the clock that a daemon runs on."""
    return SystemClock()
