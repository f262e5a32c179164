"""Desired counts while spot engines are reclaimed, refused or still booting."""

from plantainwood.core.sizing import (
    CountOrder,
    DemandPeak,
    EngineCounts,
    EngineScaler,
    EngineTarget,
    Scaling,
    compute_engine_target,
)

SCALING = Scaling(1, 6, 4_000, 0.2, {"a": 1.0, "b": 0.8, "c": 1.2})
DOMAINS = ["a", "b", "c"]
TARGET = EngineTarget(6, 6, 6)


def sum_desired(orders: list[CountOrder], spot: bool) -> int:
    """Return the number of spot engines, or of regular ones, that are ordered."""
    return sum(order.desired for order in orders if order.spot == spot)


def make_spot_counts(spot: int) -> dict[str, EngineCounts]:
    """Return engine counts with `spot` spot engines in each domain."""
    return {domain: EngineCounts(0, spot) for domain in DOMAINS}


def test_spot_engines_are_spread_and_regular_ones_stopped():
    orders = EngineScaler("s").plan(SCALING, DOMAINS, make_spot_counts(2), TARGET, 0)
    assert sum_desired(orders, spot=True) == 6
    assert sum_desired(orders, spot=False) == 0
    assert all(order.desired == 2 for order in orders if order.spot)


def test_regular_engines_stay_until_the_spot_ones_serve():
    scaler = EngineScaler("s")
    counts = {"a": EngineCounts(3, 0), "b": EngineCounts(2, 0)}
    for domain in DOMAINS:
        scaler.record_answer(CountOrder("s", domain, 2, True), True, 0)
    orders = scaler.plan(SCALING, DOMAINS, counts, TARGET, 1_000)
    assert sum_desired(orders, spot=False) == 5


def test_regular_engines_replace_refused_spot_ones_at_once():
    scaler = EngineScaler("s")
    counts = {"a": EngineCounts(0, 2)}
    for domain in ("b", "c"):
        scaler.record_answer(CountOrder("s", domain, 2, True), False, 0)
    orders = scaler.plan(SCALING, DOMAINS, counts, TARGET, 100)
    assert sum_desired(orders, spot=False) == 6
    spot_domains = {order.domain for order in orders if order.spot}
    assert spot_domains == {"a"}


def test_spot_engines_are_ordered_again_some_time_after_a_refusal():
    scaler = EngineScaler("s")
    scaler.record_answer(CountOrder("s", "b", 2, True), False, 0)
    orders = scaler.plan(SCALING, DOMAINS, make_spot_counts(2), TARGET, 60_000)
    assert {order.domain for order in orders if order.spot} == set(DOMAINS)


def test_an_unchanged_order_is_resent_for_a_reclaimed_domain():
    scaler = EngineScaler("s")
    order = CountOrder("s", "a", 2, True)
    scaler.plan(SCALING, DOMAINS, {}, TARGET, 0)
    scaler.record_answer(order, True, 0)
    assert not scaler.must_resend(order, SCALING, EngineCounts(0, 0), 5_000)
    assert scaler.must_resend(order, SCALING, EngineCounts(0, 0), 10_000)
    assert not scaler.must_resend(order, SCALING, EngineCounts(0, 2), 10_000)


def test_no_more_regular_engines_are_ordered_while_the_first_spot_ones_start():
    scaler = EngineScaler("s")
    counts = {"a": EngineCounts(3, 0), "b": EngineCounts(2, 0)}
    for now_ms in (0, 2_000, 4_000):
        orders = scaler.plan(SCALING, DOMAINS, counts, TARGET, now_ms)
        assert sum_desired(orders, spot=False) == 5


def test_regular_engines_replace_spot_ones_that_never_start():
    scaler = EngineScaler("s")
    counts = {"a": EngineCounts(0, 2), "b": EngineCounts(0, 2)}
    assert (
        sum_desired(scaler.plan(SCALING, DOMAINS, counts, TARGET, 0), spot=False) == 0
    )
    assert (
        sum_desired(scaler.plan(SCALING, DOMAINS, counts, TARGET, 9_000), spot=False)
        == 2
    )


def test_an_order_is_resent_as_soon_as_reclaimed_engines_are_missing():
    scaler = EngineScaler("s")
    order = CountOrder("s", "a", 2, True)
    scaler.plan(SCALING, DOMAINS, make_spot_counts(2), TARGET, 0)
    scaler.record_answer(order, True, 0)
    counts = {**make_spot_counts(2), "a": EngineCounts(0, 0)}
    scaler.plan(SCALING, DOMAINS, counts, TARGET, 1_000)
    assert scaler.must_resend(order, SCALING, counts["a"], 1_000)


def test_starting_regular_engines_are_kept_while_spot_ones_are_ordered_again():
    scaler = EngineScaler("s")
    scaler.plan(SCALING, DOMAINS, make_spot_counts(2), TARGET, 0)
    counts = {**make_spot_counts(2), "a": EngineCounts(0, 0)}
    regular_counts = []
    for now_ms in range(250, 10_000, 250):
        orders = scaler.plan(SCALING, DOMAINS, counts, TARGET, now_ms)
        for order in orders:
            if order.spot:
                scaler.record_answer(order, order.domain != "a", now_ms)
        regular_counts.append(sum_desired(orders, spot=False))
    assert regular_counts[1:] == [4] * len(regular_counts[1:])


def test_orders_never_exceed_the_maximum_of_a_domain():
    scaling = Scaling(1, 2, 4_000, 0.2, {})
    orders = EngineScaler("s").plan(
        scaling, DOMAINS, make_spot_counts(2), EngineTarget(40, 40), 0
    )
    assert all(order.desired <= 2 for order in orders if order.spot)
    assert sum_desired(orders, spot=False) == 0


def test_more_demand_needs_more_engines():
    assert compute_engine_target(0, 3, 5).spot * 2 / 3 >= 5
    assert compute_engine_target(0, 4, 5).spot * 3 / 4 >= 5
    assert (
        compute_engine_target(200_000, 3, 0).needed
        > compute_engine_target(50_000, 3, 0).needed
    )


def test_the_peak_is_the_busiest_bucket_and_expires():
    peak = DemandPeak()
    peak.record(10_000, 1_000)
    peak.record(30_000, 5_000)
    assert peak.compute_rate_per_s(6_000) == 15_000
    assert peak.compute_rate_per_s(60_000) == 0


def test_spot_engines_replace_regular_ones_in_a_full_domain():
    scaling = Scaling(1, 3, 4_000, 0.2, {})
    counts = {"a": EngineCounts(2, 1), "b": EngineCounts(2, 1), "c": EngineCounts(1, 2)}
    scaler = EngineScaler("s")
    target = EngineTarget(needed=5, spot=9)
    for now_ms in (0, 8_000):
        orders = scaler.plan(scaling, DOMAINS, counts, target, now_ms)
    assert sum_desired(orders, spot=False) == 1
    assert sum_desired(orders, spot=True) == 9


def test_regular_engines_cover_the_loss_of_another_domain_while_one_refuses():
    scaler = EngineScaler("s")
    counts = {"a": EngineCounts(0, 3), "b": EngineCounts(0, 3)}
    scaler.plan(SCALING, DOMAINS, counts, EngineTarget(5, 9, 5), 0)
    scaler.record_answer(CountOrder("s", "c", 3, True), False, 0)
    orders = scaler.plan(SCALING, DOMAINS, counts, EngineTarget(5, 9, 5), 250)
    assert sum_desired(orders, spot=False) == 2


def test_regular_engines_replace_spot_ones_only_as_far_as_the_demand_needs():
    low_target = compute_engine_target(50_000, 3, 9)
    assert low_target.needed < 9
    counts = {"a": EngineCounts(0, 3), "b": EngineCounts(0, 3)}
    scaler = EngineScaler("s")
    scaler.plan(SCALING, DOMAINS, counts, low_target, 0)
    scaler.record_answer(CountOrder("s", "c", 3, True), False, 0)
    orders = scaler.plan(SCALING, DOMAINS, counts, low_target, 250)
    assert sum_desired(orders, spot=False) == 0


def test_the_spot_engines_left_after_a_loss_meet_a_demand_above_the_baseline():
    target = compute_engine_target(200_000, 3, 5)
    assert target.spot * 2 / 3 >= target.needed
