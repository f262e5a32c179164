"""The time in which this process was running, for timers that judge others."""

from plantainwood.core.clock import Clock

MAX_STEP_MS = 150
"""Longer than the pause between two beats of an idle process."""


class AwakeClock(Clock):
    """Count the milliseconds in which this process was running.

    A task on the loop beats at short intervals. Of the time between two beats at most
    MAX_STEP_MS count: if more passed, the process stood still, because it was stopped,
    out of processor time, or busy with one long step, and could not read what others
    sent. The same holds for the time since the last beat, so a timer that runs before
    the first beat after a standstill doesn't count it either. Time that is measured
    with this clock is never longer than real time. It is no measure for promises to
    others, such as leases and deadlines, which end in real time.
    """

    __slots__ = ("_clock", "_counted_ms", "_left_out_ms", "_beat_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._beat_ms = clock.now_ms()
        self._counted_ms = self._beat_ms
        """The time of this clock at the last beat."""
        self._left_out_ms = 0

    def now_ms(self) -> int:
        """Return the counted time since an arbitrary origin; it never goes back."""
        return self._counted_ms + min(self._measure_step(), MAX_STEP_MS)

    def count_left_out_ms(self) -> int:
        """Return the ms that this clock has left out since it was made."""
        return self._left_out_ms + max(0, self._measure_step() - MAX_STEP_MS)

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds, standstills included."""
        return self._clock.wall_ms()

    def record_beat(self) -> int:
        """Record that the loop runs; return the real ms since the last beat."""
        step_ms = self._measure_step()
        counted_ms = min(step_ms, MAX_STEP_MS)
        self._counted_ms += counted_ms
        self._left_out_ms += step_ms - counted_ms
        self._beat_ms += step_ms
        return step_ms

    def _measure_step(self) -> int:
        return max(0, self._clock.now_ms() - self._beat_ms)


def make_awake_clock(clock: Clock) -> AwakeClock:
    """Return a clock that counts from now on."""
    return AwakeClock(clock)
