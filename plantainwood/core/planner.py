"""Planning of which upstreams run, by cost and forecast demand, with hysteresis."""

from abc import ABC, abstractmethod

import msgspec

HEADROOM = 1.15
SMOOTHING_FACTOR = 0.3
STOP_AFTER_MS = 120_000
START_RETRY_MS = 60_000


class UpstreamState(msgspec.Struct, frozen=True):
    """The planner's view of one upstream of a pool."""

    name: str
    domain: str
    slots: int
    cost_per_hour: float
    cheap: bool
    running: bool


class Demand(msgspec.Struct, frozen=True):
    """Slots that a pool needs now, in use or waited for: urgent ones and in total."""

    urgent: float
    total: float


class Plan(msgspec.Struct, frozen=True):
    """The names of the upstreams to start and to stop."""

    start: list[str]
    stop: list[str]


class Planner(ABC):
    """Decide, for one pool, which upstreams should run."""

    __slots__ = ()

    @abstractmethod
    def plan(self, states: list[UpstreamState], demand: Demand, now_ms: int) -> Plan:
        """Return the upstreams to start and to stop for a demand."""

    def record_unavailable(self, upstream: str, now_ms: int) -> None:
        """Record that an upstream could not be started; by default ignored."""


class StaticPlanner(Planner):
    """Keep all upstreams running; the baseline for comparisons."""

    __slots__ = ()

    def plan(self, states: list[UpstreamState], demand: Demand, now_ms: int) -> Plan:
        """Start every upstream that is not running; stop none."""
        return Plan([state.name for state in states if not state.running], [])


class CostPlanner(Planner):
    """Run the cheapest set of upstreams that covers the forecast demand.

    Urgent demand is covered by upstreams that can't be evicted. Cheap ones cover the
    other demand, and more of those that can't be evicted what is still missing. The
    last running upstream of a pool is never stopped.
    """

    __slots__ = ("_urgent", "_total", "_trend", "_surplus_since_ms", "_unavailable")

    def __init__(self) -> None:
        self._urgent = 0.0
        self._total = 0.0
        self._trend = 0.0
        self._surplus_since_ms: dict[str, int] = {}
        self._unavailable: dict[str, int] = {}

    def record_unavailable(self, upstream: str, now_ms: int) -> None:
        """Exclude an upstream for START_RETRY_MS; others are started instead."""
        self._unavailable[upstream] = now_ms + START_RETRY_MS

    def plan(self, states: list[UpstreamState], demand: Demand, now_ms: int) -> Plan:
        """Start what the forecast needs, and stop what it does not need.

        Starts are immediate; an upstream is stopped once it was surplus for
        STOP_AFTER_MS.
        """
        self._update_forecast(demand)
        wanted = self._choose(states, now_ms)
        start: list[str] = []
        stop: list[str] = []
        for state in states:
            if state.name in wanted:
                self._surplus_since_ms.pop(state.name, None)
                if not state.running:
                    start.append(state.name)
                continue
            if not state.running:
                continue
            since_ms = self._surplus_since_ms.setdefault(state.name, now_ms)
            if now_ms - since_ms >= STOP_AFTER_MS:
                stop.append(state.name)
        running = sum(1 for state in states if state.running)
        while stop and len(stop) >= running + len(start):
            stop.pop()
        return Plan(start, stop)

    def _update_forecast(self, demand: Demand) -> None:
        """Update forecast and trend: follow increases at once, smooth decreases."""
        change = demand.total - self._total
        self._trend += SMOOTHING_FACTOR * (max(0.0, change) - self._trend)
        self._total = _smooth_down(self._total, demand.total)
        self._urgent = _smooth_down(self._urgent, demand.urgent)

    def _choose(self, states: list[UpstreamState], now_ms: int) -> set[str]:
        available: list[UpstreamState] = []
        for state in states:
            if state.running or self._unavailable.get(state.name, 0) <= now_ms:
                available.append(state)
        available.sort(key=_make_cost_sort_key)
        wanted: set[str] = set()
        urgent = self._urgent * HEADROOM
        total = (self._total + self._trend) * HEADROOM
        safe_slots = _add_until_covered(
            wanted, [s for s in available if not s.cheap], urgent
        )
        cheap_slots = 0.0
        missing = total - safe_slots
        if missing > 0:
            cheap_slots = _add_until_covered(
                wanted, [s for s in available if s.cheap], missing
            )
        missing -= cheap_slots
        rest = [s for s in available if not s.cheap and s.name not in wanted]
        if missing > 0:
            _add_until_covered(wanted, rest, missing)
        if not wanted and available:
            wanted.add(available[0].name)
        return wanted


def _smooth_down(value: float, target: float) -> float:
    if target >= value:
        return target
    return value + SMOOTHING_FACTOR * (target - value)


def _make_cost_sort_key(state: UpstreamState) -> tuple[float, bool, str]:
    return (state.cost_per_hour / state.slots, not state.running, state.name)


def _add_until_covered(
    wanted: set[str], ordered: list[UpstreamState], slots: float
) -> float:
    """Add upstreams in order until they cover the slots; return the slots added."""
    added_slots = 0.0
    for state in ordered:
        if added_slots >= slots:
            break
        wanted.add(state.name)
        added_slots += state.slots
    return added_slots
