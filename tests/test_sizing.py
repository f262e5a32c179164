"""Orders by number under reclaimed, refused and booting spot engines."""

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
SIX = EngineTarget(6, 6, 6)


def total(orders: list[CountOrder], spot: bool) -> int:
    """Return the number of engines ordered of a sort."""
    return sum(order.desired for order in orders if order.spot == spot)


def full(spot: int) -> dict[str, EngineCounts]:
    """Return a census with as many spot engines in each domain."""
    return {domain: EngineCounts(0, spot) for domain in DOMAINS}


def test_spot_engines_are_spread_and_regular_ones_given_back():
    orders = EngineScaler("s").plan(SCALING, DOMAINS, full(2), SIX, 0)
    assert total(orders, spot=True) == 6
    assert total(orders, spot=False) == 0
    assert all(order.desired == 2 for order in orders if order.spot)


def test_regular_engines_stay_until_the_spot_ones_serve():
    sizer = EngineScaler("s")
    census = {"a": EngineCounts(3, 0), "b": EngineCounts(2, 0)}
    for domain in DOMAINS:
        sizer.record_answer(CountOrder("s", domain, 2, True), True, 0)
    orders = sizer.plan(SCALING, DOMAINS, census, SIX, 1_000)
    assert total(orders, spot=False) == 5


def test_regular_engines_stand_in_at_once_where_no_spot_ones_are_to_be_had():
    sizer = EngineScaler("s")
    census = {"a": EngineCounts(0, 2)}
    for domain in ("b", "c"):
        sizer.record_answer(CountOrder("s", domain, 2, True), False, 0)
    orders = sizer.plan(SCALING, DOMAINS, census, SIX, 100)
    assert total(orders, spot=False) == 6
    asked = {order.domain for order in orders if order.spot}
    assert asked == {"a"}


def test_a_domain_that_refused_is_asked_again_after_a_while():
    sizer = EngineScaler("s")
    sizer.record_answer(CountOrder("s", "b", 2, True), False, 0)
    orders = sizer.plan(SCALING, DOMAINS, full(2), SIX, 60_000)
    assert {order.domain for order in orders if order.spot} == set(DOMAINS)


def test_a_reclaimed_domain_is_ordered_anew_though_the_number_is_the_same():
    sizer = EngineScaler("s")
    order = CountOrder("s", "a", 2, True)
    sizer.plan(SCALING, DOMAINS, {}, SIX, 0)
    sizer.record_answer(order, True, 0)
    assert not sizer.must_resend(order, SCALING, EngineCounts(0, 0), 5_000)
    assert sizer.must_resend(order, SCALING, EngineCounts(0, 0), 10_000)
    assert not sizer.must_resend(order, SCALING, EngineCounts(0, 2), 10_000)


def test_nothing_regular_is_ordered_while_the_first_spot_engines_start():
    sizer = EngineScaler("s")
    census = {"a": EngineCounts(3, 0), "b": EngineCounts(2, 0)}
    for now_ms in (0, 2_000, 4_000):
        orders = sizer.plan(SCALING, DOMAINS, census, SIX, now_ms)
        assert total(orders, spot=False) == 5


def test_regular_engines_stand_in_for_spot_ones_that_never_come():
    sizer = EngineScaler("s")
    census = {"a": EngineCounts(0, 2), "b": EngineCounts(0, 2)}
    assert total(sizer.plan(SCALING, DOMAINS, census, SIX, 0), spot=False) == 0
    assert total(sizer.plan(SCALING, DOMAINS, census, SIX, 9_000), spot=False) == 2


def test_a_reclaimed_domain_is_ordered_anew_as_soon_as_it_is_missed():
    sizer = EngineScaler("s")
    order = CountOrder("s", "a", 2, True)
    sizer.plan(SCALING, DOMAINS, full(2), SIX, 0)
    sizer.record_answer(order, True, 0)
    census = {**full(2), "a": EngineCounts(0, 0)}
    sizer.plan(SCALING, DOMAINS, census, SIX, 1_000)
    assert sizer.must_resend(order, SCALING, census["a"], 1_000)


def test_regular_engines_that_start_are_not_given_back_while_a_domain_is_asked_again():
    sizer = EngineScaler("s")
    sizer.plan(SCALING, DOMAINS, full(2), SIX, 0)
    census = {**full(2), "a": EngineCounts(0, 0)}
    ordered = []
    for now_ms in range(250, 10_000, 250):
        orders = sizer.plan(SCALING, DOMAINS, census, SIX, now_ms)
        for order in orders:
            if order.spot:
                sizer.record_answer(order, order.domain != "a", now_ms)
        ordered.append(total(orders, spot=False))
    assert ordered[1:] == [4] * len(ordered[1:])


def test_orders_never_exceed_what_a_domain_may_have():
    scaling = Scaling(1, 2, 4_000, 0.2, {})
    orders = EngineScaler("s").plan(scaling, DOMAINS, full(2), EngineTarget(40, 40), 0)
    assert all(order.desired <= 2 for order in orders if order.spot)
    assert total(orders, spot=False) == 0


def test_more_demand_wants_more_engines():
    assert compute_engine_target(0, 3, 5).spot * 2 / 3 >= 5
    assert compute_engine_target(0, 4, 5).spot * 3 / 4 >= 5
    assert (
        compute_engine_target(200_000, 3, 0).needed
        > compute_engine_target(50_000, 3, 0).needed
    )


def test_the_peak_is_the_busiest_bucket_and_is_forgotten():
    peak = DemandPeak()
    peak.record(10_000, 1_000)
    peak.record(30_000, 5_000)
    assert peak.compute_rate_per_s(6_000) == 15_000
    assert peak.compute_rate_per_s(60_000) == 0


def test_a_domain_full_of_regular_engines_gives_room_to_spot_ones():
    scaling = Scaling(1, 3, 4_000, 0.2, {})
    census = {"a": EngineCounts(2, 1), "b": EngineCounts(2, 1), "c": EngineCounts(1, 2)}
    sizer = EngineScaler("s")
    wanted = EngineTarget(needed=5, spot=9)
    for now_ms in (0, 8_000):
        orders = sizer.plan(scaling, DOMAINS, census, wanted, now_ms)
    assert total(orders, spot=False) == 1
    assert total(orders, spot=True) == 9


def test_while_a_domain_has_none_the_loss_of_another_is_made_up_for_beforehand():
    sizer = EngineScaler("s")
    census = {"a": EngineCounts(0, 3), "b": EngineCounts(0, 3)}
    sizer.plan(SCALING, DOMAINS, census, EngineTarget(5, 9, 5), 0)
    sizer.record_answer(CountOrder("s", "c", 3, True), False, 0)
    orders = sizer.plan(SCALING, DOMAINS, census, EngineTarget(5, 9, 5), 250)
    assert total(orders, spot=False) == 2


def test_regular_engines_stand_in_only_for_what_the_demand_needs():
    calm = compute_engine_target(50_000, 3, 9)
    assert calm.needed < 9
    census = {"a": EngineCounts(0, 3), "b": EngineCounts(0, 3)}
    sizer = EngineScaler("s")
    sizer.plan(SCALING, DOMAINS, census, calm, 0)
    sizer.record_answer(CountOrder("s", "c", 3, True), False, 0)
    orders = sizer.plan(SCALING, DOMAINS, census, calm, 250)
    assert total(orders, spot=False) == 0


def test_the_spot_engines_left_after_a_loss_meet_a_demand_above_the_base():
    wanted = compute_engine_target(200_000, 3, 5)
    assert wanted.spot * 2 / 3 >= wanted.needed
