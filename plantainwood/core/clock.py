"""Clocks that return whole milliseconds: the system's and a virtual one."""

import time
from abc import ABC, abstractmethod

INCARNATION_EPOCH_MS = 1_767_225_600_000
"""2026-01-01. Incarnations count tenths of a second from here to fit into 32 bits."""


class Clock(ABC):
    """A source of time; `now_ms` never goes backwards."""

    __slots__ = ()

    @abstractmethod
    def now_ms(self) -> int:
        """Return monotonic milliseconds since an arbitrary origin."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return Unix time in milliseconds, for window bounds and stored records."""


class SystemClock(Clock):
    """Read the operating system's clocks."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return CLOCK_BOOTTIME, which includes the time that the VM was suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return the system's wall-clock time, which may be adjusted at any time."""
        return time.time_ns() // 1_000_000


class VirtualClock(Clock):
    """A clock that moves only by `advance`; used by tests and experiments."""

    __slots__ = ("_epoch_ms", "_now_ms")

    def __init__(self, now_ms: int = 0, epoch_ms: int = 0) -> None:
        self._now_ms = now_ms
        self._epoch_ms = epoch_ms

    def now_ms(self) -> int:
        """Return the virtual time, which starts at the given value."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the virtual time plus the given epoch."""
        return self._epoch_ms + self._now_ms

    def advance(self, by_ms: int) -> int:
        """Advance the time and return it; raise ValueError if `by_ms` is negative."""
        if by_ms < 0:
            raise ValueError("by_ms must not be negative")
        self._now_ms += by_ms
        return self._now_ms


def make_incarnation(clock: Clock) -> int:
    """Return a number that grows with each start unless the wall clock goes back."""
    return (clock.wall_ms() - INCARNATION_EPOCH_MS) // 100


def make_clock() -> Clock:
    """Return the clock that the daemons use."""
    return SystemClock()
