"""How many engines run where: orders by number for each failure domain.

Spot engines are cheap and vanish a failure domain at a time. So the wanted number is
ordered as spot engines, spread over the domains, and regular ones stand in for those
that are gone, refused or not up yet.
"""

import math

import msgspec

from plantainwood.core.effects import CompareAndSwap, Procedure
from plantainwood.core.errors import StoreError

PREFILL_TOKENS_PER_S = 35_000.0
"""Prompt tokens that one engine reads in a second beside its other work."""
TARGET_LOAD = 0.7
"""The share of the reading rate that is planned to be used."""
RESERVED_ENGINES_SHARE = 0.2
SPARE_ENGINES = 1
MIN_ENGINES = 3
"""One for paced work and two for the rest."""
BASELINE_PREFIX = "sizes/"
BOOT_MARGIN_MS = 1_500
REFUSAL_BACKOFF_MS = 2_000
"""How long a failure domain that had no spot engines is left alone."""
PEAK_WINDOW_MS = 15_000
BUCKET_MS = 2_000


class Scaling(msgspec.Struct, frozen=True):
    """What may be ordered of a service, for each failure domain."""

    min: int = 1
    max: int = 1
    boot_ms: int = 4_000
    spot_price: float = 0.0
    """Relative to the others; 0 where there are none."""
    domain_prices: dict[str, float] = {}


class CountOrder(msgspec.Struct, frozen=True):
    """A wanted number of upstreams of one sort in a failure domain."""

    service: str
    domain: str
    desired: int
    spot: bool


class EngineCounts(msgspec.Struct, frozen=True):
    """The upstreams of one service that serve in a failure domain."""

    regular: int = 0
    spot: int = 0


class DemandPeak:
    """The highest rate of unread prompt tokens in the recent past."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[int, int] = {}

    def record(self, tokens: int, now_ms: int) -> None:
        """Add tokens that arrived."""
        bucket = now_ms // BUCKET_MS
        self._buckets[bucket] = self._buckets.get(bucket, 0) + tokens
        for old in list(self._buckets):
            if old < bucket - PEAK_WINDOW_MS // BUCKET_MS:
                del self._buckets[old]

    def per_second(self, now_ms: int) -> float:
        """Return the rate in the busiest bucket, in tokens a second."""
        oldest = now_ms // BUCKET_MS - PEAK_WINDOW_MS // BUCKET_MS
        peak = 0
        for bucket, tokens in self._buckets.items():
            if bucket >= oldest:
                peak = max(peak, tokens)
        return peak * 1_000 / BUCKET_MS


class EngineTarget(msgspec.Struct, frozen=True):
    """How many engines a service should have."""

    needed: int
    """What reads the demand; regular engines make up for what is missing of it."""
    spot: int
    """With what may be lost at once; only spot engines are ordered for that."""
    min_after_loss: int = 0
    """What is to be left after one more loss while no spot engines are to be had."""
    baseline_known: bool = True
    """Whether the number at the start is known; regular engines wait for that."""


def compute_engine_target(
    tokens_per_s: float, domains: int, baseline: int, baseline_known: bool = True
) -> EngineTarget:
    """Return how many engines read a demand, also after the loss of a domain.

    `base` is the number that the operators started the service with. So many are
    left of the spot engines after a loss; regular ones, which are dear, stand in only
    for what the demand needs.
    """
    prefill_engines = tokens_per_s / (PREFILL_TOKENS_PER_S * TARGET_LOAD)
    demanded = math.ceil(prefill_engines / (1 - RESERVED_ENGINES_SHARE))
    needed = max(min(baseline, MIN_ENGINES), demanded)
    surviving_share = 1.0 if domains < 2 else 1 - 1 / domains
    spot = math.ceil(max(baseline, demanded) / surviving_share) + SPARE_ENGINES
    return EngineTarget(needed, spot, needed, baseline_known)


def store_baseline(service: str, running: int) -> Procedure:
    """Store the number that the service was started with, unless it is there."""
    try:
        yield CompareAndSwap(make_baseline_key(service), b"%d" % running, 0)
    except StoreError:
        return False
    return True


def make_baseline_key(service: str) -> str:
    """Return the key of the number that a service was started with."""
    return f"{BASELINE_PREFIX}{service}"


class EngineScaler:
    """Keep track of what was ordered of one service, and plan what to order next."""

    __slots__ = (
        "_service",
        "_last_order_ms",
        "_refused_ms",
        "_missing_since_ms",
        "_planned_regular",
    )

    def __init__(self, service: str) -> None:
        self._service = service
        self._last_order_ms: dict[str, int] = {}
        """When spot engines were last ordered, by failure domain."""
        self._refused_ms: dict[str, int] = {}
        """When spot engines were refused, by domain, until an order is taken."""
        self._missing_since_ms: dict[str, int] = {}
        self._planned_regular: dict[str, int] = {}
        """Regular engines in the last plan, by domain."""

    def record_answer(self, order: CountOrder, accepted: bool, now_ms: int) -> None:
        """Take the platform's answer to an order."""
        if not order.spot:
            return
        if not accepted:
            self._refused_ms[order.domain] = now_ms
            return
        self._last_order_ms[order.domain] = now_ms
        if self._refused_ms.pop(order.domain, None) is not None:
            self._missing_since_ms[order.domain] = now_ms

    def plan(
        self,
        scaling: Scaling,
        domains: list[str],
        engine_counts: dict[str, EngineCounts],
        target: EngineTarget,
        now_ms: int,
    ) -> list[CountOrder]:
        """Return the orders for the wanted engines, spot ones first."""
        spots = dict.fromkeys(domains, 0)
        if scaling.spot_price:
            spots = _spread(target.spot, scaling, domains)
        ready_spot = 0
        starting_spot = 0
        orders: list[CountOrder] = []
        for domain in domains:
            counted = engine_counts.get(domain, EngineCounts())
            ready_spot += counted.spot
            missing = max(0, spots[domain] - counted.spot)
            self._note_missing(domain, missing, now_ms)
            if self._may_be_starting(domain, scaling, now_ms):
                starting_spot += missing
            if not self._is_backing_off(domain, now_ms):
                orders.append(CountOrder(self._service, domain, spots[domain], True))
        regular = self._plan_regular(
            scaling, domains, engine_counts, target, ready_spot, starting_spot
        )
        for domain in domains:
            orders.append(CountOrder(self._service, domain, regular[domain], False))
        return orders

    def _plan_regular(
        self,
        scaling: Scaling,
        domains: list[str],
        engine_counts: dict[str, EngineCounts],
        target: EngineTarget,
        ready_spot: int,
        starting_spot: int,
    ) -> dict[str, int]:
        """Return the regular engines by domain that make up for missing spot ones.

        Those that run or start are kept until the spot ones serve; more are ordered
        only for what the spot ones on their way don't cover.
        """
        current: dict[str, int] = {}
        limits: dict[str, int] = {}
        for domain in domains:
            counted = engine_counts.get(domain, EngineCounts())
            current[domain] = self._planned_regular.get(domain, counted.regular)
            limits[domain] = max(0, scaling.max - counted.spot)
        kept = min(sum(current.values()), max(0, target.needed - ready_spot))
        remaining = max(kept, target.needed - ready_spot - starting_spot)
        if self._refused_ms:
            # No spot engines are to be had in some domain: the next loss of one
            # could not be made up for in time, so regular ones go before it.
            largest_loss = (
                max(counted.spot for counted in engine_counts.values())
                if engine_counts
                else 0
            )
            remaining = max(
                remaining, target.min_after_loss - ready_spot + largest_loss
            )
        by_price = sorted(
            domains, key=lambda name: scaling.domain_prices.get(name, 1.0)
        )
        counts = dict.fromkeys(domains, 0)
        remaining = _fill(counts, by_price, current, remaining)
        while remaining > 0:
            open_domains = [name for name in by_price if counts[name] < limits[name]]
            if not open_domains:
                break
            remaining = _fill(
                counts, open_domains, dict.fromkeys(open_domains, 1), remaining
            )
        self._planned_regular = counts
        return counts

    def _note_missing(self, domain: str, missing: int, now_ms: int) -> None:
        """Note since when a domain has fewer spot engines than are wanted there."""
        if not missing:
            self._missing_since_ms.pop(domain, None)
        else:
            self._missing_since_ms.setdefault(domain, now_ms)

    def _is_backing_off(self, domain: str, now_ms: int) -> bool:
        refused_ms = self._refused_ms.get(domain)
        return refused_ms is not None and now_ms - refused_ms < REFUSAL_BACKOFF_MS

    def _may_be_starting(self, domain: str, scaling: Scaling, now_ms: int) -> bool:
        """Tell whether missing spot engines may still be starting."""
        if domain in self._refused_ms:
            return False
        since_ms = self._missing_since_ms.get(domain, now_ms)
        return now_ms - since_ms < scaling.boot_ms + BOOT_MARGIN_MS

    def must_resend(
        self,
        order: CountOrder,
        scaling: Scaling,
        engine_counts: EngineCounts,
        now_ms: int,
    ) -> bool:
        """Tell whether an order that was taken before must be sent again.

        Engines that were reclaimed come back only when they are ordered anew, so
        that is done as soon as they are missed.
        """
        if not order.spot or engine_counts.spot >= order.desired:
            return False
        ordered_ms = self._last_order_ms.get(order.domain)
        if ordered_ms is None:
            return True
        if self._missing_since_ms.get(order.domain, now_ms) > ordered_ms:
            return True
        return now_ms - ordered_ms >= scaling.boot_ms + BOOT_MARGIN_MS


def _fill(
    counts: dict[str, int], ordered: list[str], limits: dict[str, int], remaining: int
) -> int:
    """Add up to `left` to the counts within limits; return what is left."""
    for name in ordered:
        added = min(remaining, max(0, limits[name]))
        counts[name] += added
        remaining -= added
    return remaining


def _spread(target: int, scaling: Scaling, domains: list[str]) -> dict[str, int]:
    """Return how many run in each domain: evenly, the cheaper domains first."""
    ordered = sorted(domains, key=lambda name: scaling.domain_prices.get(name, 1.0))
    counts = {name: scaling.min for name in ordered}
    remaining = target - sum(counts.values())
    while remaining > 0:
        lowest = min(counts.values())
        if lowest >= scaling.max:
            break
        for name in ordered:
            if remaining > 0 and counts[name] == lowest:
                counts[name] += 1
                remaining -= 1
    return counts
