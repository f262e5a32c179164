"""How slow engines are: learned over time relative to their pool, and at the moment.

All figures are factors on a duration: 1.0 is as usual, 2.0 takes twice as long. The
learned factor comes from times to first token against the work ahead of it, of this
node and, by heartbeats, of all others. Only its ratio to the pool's median is used, so
that an error in the assumed prefill speed changes no choice.
"""

import copy
import math
from collections import deque
from statistics import median

BASE_PREFILL_TOKENS = 1_000
"""The fixed cost of a prompt on an idle engine, in prefill tokens."""
MIN_SLOWNESS = 0.4
MAX_SLOWNESS = 2.5
PACE_LIFETIME_MS = 500
"""How long after its report a momentary pace has decayed to the usual one."""
USUAL_PACE = 100
PERIOD_MS = 250
"""Samples of one engine in a period count as one, so that a stall, which delays many
first tokens at once, counts little."""
MAX_PERIODS = 40
SAMPLE_LIFETIME_MS = 30_000
MIN_PERIODS = 4
PRIOR_PERIODS = 4
"""The weight of the assumption that an engine is a typical one, in periods."""
MIN_LOG_RATIO = 0.25
"""Differences below this count as noise (a natural logarithm, about 28%)."""
FULL_LOG_RATIO = 0.45
"""Differences above this count in full; those between count in part."""
UPDATE_INTERVAL_MS = 500
NOTABLE_SLOWNESS = 1.2


class ReportedPace:
    """An upstream's momentary pace, which holds for some hundred ms."""

    __slots__ = ("_slowness", "_read_ms")

    def __init__(self) -> None:
        self._slowness = 1.0
        self._read_ms = 0

    def record(self, pace: int, now_ms: int) -> None:
        """Record a report: 100 is as usual, 250 means that work takes 2.5 times."""
        self._slowness = clamp_slowness(pace / USUAL_PACE)
        self._read_ms = now_ms

    def compute_slowness(self, now_ms: int) -> float:
        """Return the reported factor, decayed towards 1.0 with the report's age."""
        if self._slowness == 1.0:
            return 1.0
        left = 1.0 - (now_ms - self._read_ms) / PACE_LIFETIME_MS
        return 1.0 + (self._slowness - 1.0) * max(0.0, left)


class Period:
    """The prefills of one engine that ended in one period."""

    __slots__ = ("start_ms", "tokens", "took_ms")

    def __init__(self, start_ms: int) -> None:
        self.start_ms = start_ms
        self.tokens = 0
        self.took_ms = 0


class EngineTimings:
    """The newest periods of one engine."""

    __slots__ = ("_periods",)

    def __init__(self) -> None:
        self._periods: deque[Period] = deque(maxlen=MAX_PERIODS)

    def add(self, tokens: int, took_ms: int, now_ms: int) -> None:
        """Add prefills that ended by now."""
        periods = self._periods
        if not periods or now_ms - periods[-1].start_ms >= PERIOD_MS:
            periods.append(Period(now_ms))
        periods[-1].tokens += tokens
        periods[-1].took_ms += took_ms

    def count_periods(self, now_ms: int) -> int:
        """Return the number of periods, without those past their lifetime."""
        periods = self._periods
        while periods and now_ms - periods[0].start_ms > SAMPLE_LIFETIME_MS:
            periods.popleft()
        return len(periods)

    def compute_ms_per_token(self) -> float:
        """Return the median over the periods, of which there must be one."""
        return median(period.took_ms / period.tokens for period in self._periods)


class EnginePaces:
    """The learned slowness of the engines of all pools."""

    __slots__ = (
        "_engines",
        "_timings",
        "_timed_tokens",
        "_own",
        "_slowness",
        "_updated_ms",
        "_notable",
    )

    def __init__(self) -> None:
        self._engines: dict[str, set[str]] = {}
        """By pool."""
        self._timings: dict[str, EngineTimings] = {}
        self._timed_tokens: dict[str, int] = {}
        """Tokens ahead of the first tokens of this node's prompts, by request id."""
        self._own: dict[str, tuple[int, int, int]] = {}
        """Tokens, ms and count of this node's samples since `take_own`."""
        self._slowness: dict[str, float] = {}
        self._updated_ms: int | None = None
        self._notable: dict[str, float] = {}
        """The slowness of the engines that were notable at `take_changes`."""

    def copy(self) -> "EnginePaces":
        """Return an object for choices, which update the learned slowness at times."""
        found = copy.copy(self)
        found._slowness = dict(self._slowness)
        return found

    def set_pool(self, pool: str, engines: set[str]) -> None:
        """Set the engines of a pool; those of no pool have no samples."""
        removed = self._engines.get(pool, set()) - engines
        self._engines[pool] = engines
        for engine in removed.difference(*self._engines.values()):
            self.forget(engine)
        for engine in engines:
            self._timings.setdefault(engine, EngineTimings())

    def forget(self, engine: str) -> None:
        """Delete the samples of an engine that has stopped or restarted."""
        self._timings.pop(engine, None)
        self._slowness.pop(engine, None)
        self._own.pop(engine, None)

    def start_timing(
        self, request_id: str, own_tokens: int, backlog_tokens: int, factor: float
    ) -> None:
        """Record a dispatch as a sample, unless its place in the queue is uncertain.

        That is so behind a backlog, which the engine takes in its own order.
        `own_tokens` are those of the prompt and for the requests that run there;
        `factor` is how much longer the engine's work takes now for known reasons.
        """
        own_tokens += BASE_PREFILL_TOKENS
        if backlog_tokens <= own_tokens:
            tokens = round((own_tokens + backlog_tokens) * factor)
            self._timed_tokens[request_id] = tokens

    def end_timing(
        self, request_id: str, engine: str, took_ms: int, now_ms: int
    ) -> None:
        """Record the first token of a prompt, if its dispatch was recorded."""
        tokens = self._timed_tokens.pop(request_id, 0)
        self.record_own(engine, tokens, took_ms, now_ms)

    def drop_timing(self, request_id: str) -> None:
        """Record no sample for an attempt that ended without a first token."""
        self._timed_tokens.pop(request_id, None)

    def record_own(self, engine: str, tokens: int, took_ms: int, now_ms: int) -> None:
        """Record a prefill that this node saw end, with the tokens ahead of its end."""
        if engine not in self._timings or tokens <= 0:
            return
        took_ms = max(1, took_ms)
        before = self._own.get(engine, (0, 0, 0))
        self._own[engine] = (before[0] + tokens, before[1] + took_ms, before[2] + 1)
        self._timings[engine].add(tokens, took_ms, now_ms)

    def take_own(self) -> dict[str, tuple[int, int, int]]:
        """Return this node's samples since the last call, and reset them."""
        found, self._own = self._own, {}
        return found

    def record_remote(
        self, timings: dict[str, tuple[int, int, int]], now_ms: int
    ) -> None:
        """Record another node's samples; those of unknown engines are ignored."""
        for engine, (tokens, took_ms, count) in timings.items():
            if engine not in self._timings or min(tokens, took_ms, count) <= 0:
                continue
            self._timings[engine].add(tokens, took_ms, now_ms)

    def compute_slowness(self, engine: str, now_ms: int) -> float:
        """Return an engine's slowness relative to its pool; 1.0 if it is not known."""
        updated_ms = self._updated_ms
        if updated_ms is None or now_ms - updated_ms >= UPDATE_INTERVAL_MS:
            self._updated_ms = now_ms
            for engines in self._engines.values():
                self._update_pool(engines, now_ms)
        return self._slowness.get(engine, 1.0)

    def _update_pool(self, engines: set[str], now_ms: int) -> None:
        ms_per_token: dict[str, float] = {}
        weights: dict[str, float] = {}
        for engine in engines:
            self._slowness.pop(engine, None)
            timings = self._timings.get(engine)
            count = timings.count_periods(now_ms) if timings is not None else 0
            if timings is None or count < MIN_PERIODS:
                continue
            ms_per_token[engine] = timings.compute_ms_per_token()
            weights[engine] = count / (count + PRIOR_PERIODS)
        if len(ms_per_token) < 2:
            return
        typical = median(ms_per_token.values())
        for engine, found in ms_per_token.items():
            log_ratio = weights[engine] * math.log(found / typical)
            slowness = clamp_slowness(math.exp(suppress_noise(log_ratio)))
            if slowness != 1.0:
                self._slowness[engine] = slowness

    def find_extremes(self, now_ms: int) -> tuple[float, float]:
        """Return the slowness of the fastest and of the slowest engine."""
        self.compute_slowness("", now_ms)
        known = (1.0, *self._slowness.values())
        return min(known), max(known)

    def take_changes(self, now_ms: int) -> list[tuple[str, float]]:
        """Return the engines that became notable, or usual again, since the last call.

        With each comes its slowness now.
        """
        self.compute_slowness("", now_ms)
        changes: list[tuple[str, float]] = []
        notable: dict[str, float] = {}
        for engine in sorted(self._timings):
            slowness = self._slowness.get(engine, 1.0)
            was_notable = engine in self._notable
            limit = 1.0 if was_notable else NOTABLE_SLOWNESS
            is_notable = max(slowness, 1.0 / slowness) > limit
            if is_notable:
                notable[engine] = slowness
            if is_notable != was_notable:
                changes.append((engine, slowness))
        self._notable = notable
        return changes


def clamp_slowness(slowness: float) -> float:
    """Return a factor between the bounds, which contain the effect of wrong figures."""
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


def suppress_noise(log_ratio: float) -> float:
    """Return 0 for a small difference, and a continuous transition to a large one."""
    size = abs(log_ratio)
    if size <= MIN_LOG_RATIO:
        return 0.0
    if size >= FULL_LOG_RATIO:
        return log_ratio
    part = (size - MIN_LOG_RATIO) / (FULL_LOG_RATIO - MIN_LOG_RATIO)
    return math.copysign(part * FULL_LOG_RATIO, log_ratio)
