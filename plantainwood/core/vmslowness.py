"""Detection by a VM that it became slow, and the share of its weight that it keeps.

Load: a VM gets a fraction of its usual CPU for some seconds, as a neighbour on its
machine takes the rest or its processor is throttled. Its event loop then wakes up late,
or a fixed computation takes longer than usual. Both are compared with this VM's own
usual values, since a VM whose processor is a quota is always late by some part of it.
"""

from collections import deque

import msgspec

PERIOD_MS = 125
"""Ticks are judged together, as a quota stops a process within each 100 ms."""
ONSET_MS = 1_000
"""Longer than a load peak of 500 ms and the periods in which it begins and ends."""
PAUSE_MS = 250
"""A tick that is later than this shows a pause, of the whole machine for example."""
PAUSE_MEMORY_MS = 2_000
"""A pause that begins within this time after another one counts as lateness."""
LEARNING_PERIODS = 24
"""Periods that are averaged before any is judged, 3 s at least: a start is a peak."""
USUAL_PERIODS = 480
"""Periods over which the usual values follow what is seen, one minute."""
SLOW_USUAL_PERIODS = 9_600
"""As above while slow: what lasts for many minutes becomes usual."""
WINDOW_PERIODS = 6
BUSY_FACTOR = 1.2
"""A VM that does more than this multiple of its usual work is late by its own load."""
STEPS = ((2.0, 0.5), (4.0, 0.25), (8.0, 0.1))
"""From which slowness on the weight is lowered, and to which share: few steps,
as each change may move relays, readers and clients to other VMs."""
EASING = 0.7
"""A step ends where the slowness is below this part of the one at which it began."""
RECOVERY_MS = 2_500
"""How long a step must no longer be needed before it ends."""
MAX_RECOVERY_MS = 20_000
RELAPSE_MS = 30_000
"""A VM that becomes slower within this time after a recovery waits twice as long."""
PROBE_ONSET = 3.0
"""On an undisturbed machine the computation took up to 2.2 times its shortest time."""
PROBE_END = 2.2
"""As above while slow."""


class UsualValue:
    """A slow average of the values of periods."""

    __slots__ = ("value", "count")

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def learn(self, value: float, periods: int) -> None:
        """Add a value: a plain average at first, then one over some `periods`."""
        self.count += 1
        self.value += (value - self.value) / min(self.count, periods)


class Period(msgspec.Struct, frozen=True):
    """The ticks of one period: what they asked to sleep, and what they took."""

    asked_ms: int
    took_ms: int
    probe_us: float
    work: int
    """The events that the VM handled."""


class SlownessDetector:
    """Judge the lateness of ticks and the duration of a fixed computation."""

    __slots__ = (
        "slowness",
        "_level",
        "_asked_ms",
        "_took_ms",
        "_periods",
        "_usual_response",
        "_usual_probe_us",
        "_usual_work",
        "_last_work",
        "_last_pause_ms",
        "_slow_ms",
        "_well_ms",
        "_recovery_ms",
        "_last_rise_ms",
    )

    def __init__(self) -> None:
        self.slowness = 1.0
        """Over the last periods, against the usual values; 1 is usual."""
        self._level = 0
        """The number of steps by which the weight is lowered."""
        self._asked_ms = 0
        self._took_ms = 0
        self._periods: deque[Period] = deque(maxlen=WINDOW_PERIODS)
        self._usual_response = UsualValue()
        """The part of the time of ticks that they asked for."""
        self._usual_probe_us = UsualValue()
        self._usual_work = UsualValue()
        """Events in a millisecond."""
        self._last_work = 0
        self._last_pause_ms: int | None = None
        self._slow_ms = 0
        """The time of periods that ask for a further step, less that of others."""
        self._well_ms = 0
        """The time of the newest periods, none of which needs the current step."""
        self._recovery_ms = RECOVERY_MS
        self._last_rise_ms: int | None = None

    @property
    def share(self) -> float:
        """Return the share of the VM's weight that it keeps."""
        return STEPS[self._level - 1][1] if self._level else 1.0

    def record_tick(self, asked_ms: int, took_ms: int, now_ms: int) -> bool:
        """Record a tick's time; return whether `end_period` is due."""
        is_pause = took_ms - asked_ms >= PAUSE_MS
        if is_pause and self._is_lone_pause(now_ms - took_ms, now_ms):
            self._asked_ms = self._took_ms = 0
            self._slow_ms = 0
            return False
        self._asked_ms += asked_ms
        self._took_ms += max(asked_ms, took_ms)
        return self._took_ms >= PERIOD_MS

    def _is_lone_pause(self, began_ms: int, now_ms: int) -> bool:
        before_ms, self._last_pause_ms = self._last_pause_ms, now_ms
        return before_ms is None or began_ms - before_ms > PAUSE_MEMORY_MS

    def end_period(self, probe_us: float, work: int, now_ms: int) -> bool:
        """End a period; return whether the share changed.

        `probe_us` is the fixed computation's duration, `work` the number of events that
        the VM has handled since its start.
        """
        done = work - self._last_work
        period = Period(self._asked_ms, self._took_ms, probe_us, done)
        self._asked_ms = self._took_ms = 0
        self._last_work = work
        self._periods.append(period)
        if self._usual_response.count < LEARNING_PERIODS:
            self._learn(period, USUAL_PERIODS)
            return False
        momentary = self._compare([period])
        self.slowness = self._compare(list(self._periods))
        changed = self._apply(period, momentary, now_ms)
        if self._level:
            self._learn(period, SLOW_USUAL_PERIODS)
        elif not self._slow_ms:
            self._learn(period, USUAL_PERIODS)
        return changed

    def _learn(self, period: Period, periods: int) -> None:
        self._usual_response.learn(period.asked_ms / period.took_ms, periods)
        self._usual_probe_us.learn(period.probe_us, periods)
        self._usual_work.learn(period.work / period.took_ms, periods)

    def _compare(self, periods: list[Period]) -> float:
        """Return how many times slower than usual some periods are; 1 at least."""
        asked_ms = took_ms = 0
        probe_us = periods[0].probe_us
        for period in periods:
            asked_ms += period.asked_ms
            took_ms += period.took_ms
            probe_us = min(probe_us, period.probe_us)
        lateness = self._usual_response.value * took_ms / asked_ms
        if self._is_busy():
            lateness = 1.0
        probe_ratio = probe_us / max(1.0, self._usual_probe_us.value)
        if probe_ratio < (PROBE_END if self._level else PROBE_ONSET):
            probe_ratio = 1.0
        return max(1.0, lateness, probe_ratio)

    def _is_busy(self) -> bool:
        """Tell whether the VM did more than usual: a load peak, or what waited."""
        work = took_ms = 0
        for period in self._periods:
            work += period.work
            took_ms += period.took_ms
        return work > BUSY_FACTOR * self._usual_work.value * took_ms

    def _apply(self, period: Period, momentary: float, now_ms: int) -> bool:
        if self._needs_next_step(momentary):
            self._slow_ms += period.took_ms
        else:
            self._slow_ms = max(0, self._slow_ms - period.took_ms)
        if self._level and self.slowness < EASING * STEPS[self._level - 1][0]:
            self._well_ms += period.took_ms
        else:
            self._well_ms = 0
        if self._slow_ms >= ONSET_MS:
            return self._lower(now_ms)
        if self._level and self._well_ms >= self._recovery_ms:
            return self._raise(now_ms)
        return False

    def _needs_next_step(self, slowness: float) -> bool:
        return self._level < len(STEPS) and slowness >= STEPS[self._level][0]

    def _lower(self, now_ms: int) -> bool:
        """Lower the share by at least one step, and to the measured slowness."""
        if self._last_rise_ms is not None:
            relapsed = now_ms - self._last_rise_ms < RELAPSE_MS
            longer_ms = min(MAX_RECOVERY_MS, 2 * self._recovery_ms)
            self._recovery_ms = longer_ms if relapsed else RECOVERY_MS
            self._last_rise_ms = None
        self._level += 1
        while self._needs_next_step(self.slowness):
            self._level += 1
        self._slow_ms = self._well_ms = 0
        return True

    def _raise(self, now_ms: int) -> bool:
        self._level -= 1
        self._last_rise_ms = now_ms
        self._slow_ms = self._well_ms = 0
        return True
