"""Number of engines to order in each failure domain.

Spot engines are cheap, and the platform reclaims them one failure domain at a time. So
the target is ordered as spot engines, spread over the domains, and regular engines
replace those that were reclaimed, were refused or have not started yet.
"""

import math

import msgspec

from plantainwood.core.effects import CompareAndSwap, Procedure
from plantainwood.core.errors import StoreError

PREFILL_TOKENS_PER_S = 35_000.0
"""Prompt tokens that one engine prefills in a second besides its other work."""
TARGET_LOAD = 0.7
"""The share of the prefill rate that is planned to be used."""
DEDICATED_ENGINES_SHARE = 0.2
SPARE_ENGINES = 1
MIN_ENGINES = 3
"""One dedicated to the tightest gap target and two for other requests."""
BASELINE_PREFIX = "sizes/"
BOOT_MARGIN_MS = 1_500
REFUSAL_BACKOFF_MS = 2_000
"""How long no spot engines are ordered in a failure domain that refused them."""
PEAK_WINDOW_MS = 15_000
BUCKET_MS = 2_000


class Scaling(msgspec.Struct, frozen=True):
    """The limits and prices of a service's engines, for each failure domain."""

    min: int = 1
    max: int = 1
    boot_ms: int = 4_000
    spot_price: float = 0.0
    """Relative to regular engines; 0 if there are no spot engines."""
    domain_prices: dict[str, float] = {}


class CountOrder(msgspec.Struct, frozen=True):
    """The desired number of spot or of regular engines in a failure domain."""

    service: str
    domain: str
    desired: int
    spot: bool


class EngineCounts(msgspec.Struct, frozen=True):
    """The engines of one service that are serving in a failure domain."""

    regular: int = 0
    spot: int = 0


class DemandPeak:
    """The peak rate of tokens to prefill in the last PEAK_WINDOW_MS."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[int, int] = {}

    def record(self, tokens: int, now_ms: int) -> None:
        """Add tokens to the bucket of the current time; delete the expired buckets."""
        bucket = now_ms // BUCKET_MS
        self._buckets[bucket] = self._buckets.get(bucket, 0) + tokens
        for old in list(self._buckets):
            if old < bucket - PEAK_WINDOW_MS // BUCKET_MS:
                del self._buckets[old]

    def compute_rate_per_s(self, now_ms: int) -> float:
        """Return the rate in the busiest bucket, in tokens per second."""
        oldest = now_ms // BUCKET_MS - PEAK_WINDOW_MS // BUCKET_MS
        peak = 0
        for bucket, tokens in self._buckets.items():
            if bucket >= oldest:
                peak = max(peak, tokens)
        return peak * 1_000 / BUCKET_MS


class EngineTarget(msgspec.Struct, frozen=True):
    """The target number of engines of a service, over all failure domains."""

    needed: int
    """Engines that the demand needs; regular ones replace missing spot ones."""
    spot: int
    """Spot engines to order, including those that make up for the loss of a domain.

    Regular engines are ordered for that only while spot engines are refused.
    """
    min_after_loss: int = 0
    """Engines to be left after one more loss, while spot engines are refused."""
    baseline_known: bool = True
    """Whether the baseline is known; no regular engines are ordered before that."""


def compute_engine_target(
    tokens_per_s: float, domains: int, baseline: int, baseline_known: bool = True
) -> EngineTarget:
    """Return the target that serves a demand, even after the loss of a domain.

    `baseline` is the number of engines that the operators started the service with. At
    least that many spot engines are left after a loss. Regular engines are expensive,
    so they replace spot ones only as far as the demand needs them.
    """
    prefill_engines = tokens_per_s / (PREFILL_TOKENS_PER_S * TARGET_LOAD)
    demanded = math.ceil(prefill_engines / (1 - DEDICATED_ENGINES_SHARE))
    needed = max(min(baseline, MIN_ENGINES), demanded)
    surviving_share = 1.0 if domains < 2 else 1 - 1 / domains
    spot = math.ceil(max(baseline, demanded) / surviving_share) + SPARE_ENGINES
    return EngineTarget(needed, spot, needed, baseline_known)


def store_baseline(service: str, running: int) -> Procedure:
    """Store the number of engines that a service began with, unless one is stored.

    Returns False if the store call failed.
    """
    try:
        yield CompareAndSwap(make_baseline_key(service), b"%d" % running, 0)
    except StoreError:
        return False
    return True


def make_baseline_key(service: str) -> str:
    """Return the store key of a service's baseline."""
    return f"{BASELINE_PREFIX}{service}"


class EngineScaler:
    """Plan the orders for one service from the earlier orders and their results."""

    __slots__ = (
        "_service",
        "_last_order_ms",
        "_refused_ms",
        "_missing_since_ms",
        "_planned_regular",
    )

    def __init__(self, service: str) -> None:
        self._service = service
        self._last_order_ms: dict[tuple[str, bool], int] = {}
        """When the last accepted order was sent, by failure domain and whether spot."""
        self._refused_ms: dict[str, int] = {}
        """When spot engines were refused, by domain, until an order is accepted."""
        self._missing_since_ms: dict[str, int] = {}
        self._planned_regular: dict[str, int] = {}
        """Regular engines in the last plan, by domain."""

    def record_answer(self, order: CountOrder, accepted: bool, now_ms: int) -> None:
        """Record whether the platform accepted an order."""
        if accepted:
            self._last_order_ms[order.domain, order.spot] = now_ms
        if not order.spot:
            return
        if not accepted:
            self._refused_ms[order.domain] = now_ms
            return
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
        """Return the orders that lead to the target, those for spot engines first.

        `domains` and `engine_counts` are those in service. Nothing is ordered for
        others, so the platform goes on with what was last ordered there.
        """
        if not domains:
            return []
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
            self._record_missing(domain, missing, now_ms)
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
        """Return the regular engines, by domain, that replace missing spot engines.

        Those that run or are starting are kept until the spot engines serve. More are
        ordered only for what the starting spot engines don't cover.
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
            # Some domain refuses spot engines, so after the next loss of a domain
            # replacements would come too late: order regular engines in advance.
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

    def _record_missing(self, domain: str, missing: int, now_ms: int) -> None:
        """Record since when a domain has fewer spot engines than its target."""
        if not missing:
            self._missing_since_ms.pop(domain, None)
        else:
            self._missing_since_ms.setdefault(domain, now_ms)

    def _is_backing_off(self, domain: str, now_ms: int) -> bool:
        refused_ms = self._refused_ms.get(domain)
        return refused_ms is not None and now_ms - refused_ms < REFUSAL_BACKOFF_MS

    def _may_be_starting(self, domain: str, scaling: Scaling, now_ms: int) -> bool:
        """Tell whether a domain's missing spot engines may still be starting."""
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
        """Tell whether an order that was accepted before must be sent again.

        The platform replaces reclaimed engines only on a new order, so one is sent as
        soon as spot engines are missing, and again if engines of either kind have not
        started in time: an order may be filled only in part.
        """
        serving = engine_counts.spot if order.spot else engine_counts.regular
        if serving >= order.desired:
            return False
        ordered_ms = self._last_order_ms.get((order.domain, order.spot))
        if ordered_ms is None:
            return True
        if order.spot:
            if self._missing_since_ms.get(order.domain, now_ms) > ordered_ms:
                return True
        return now_ms - ordered_ms >= scaling.boot_ms + BOOT_MARGIN_MS


def _fill(
    counts: dict[str, int], ordered: list[str], limits: dict[str, int], remaining: int
) -> int:
    """Add up to `remaining` to the counts within limits; return what remains."""
    for name in ordered:
        added = min(remaining, max(0, limits[name]))
        counts[name] += added
        remaining -= added
    return remaining


def _spread(target: int, scaling: Scaling, domains: list[str]) -> dict[str, int]:
    """Distribute the target evenly over the domains, the cheaper ones first.

    Each domain gets at least `scaling.min` and at most `scaling.max`.
    """
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
