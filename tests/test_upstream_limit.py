"""Request rates that upstreams in need name, for all nodes together."""

import pytest

from plantainwood.core.upstreamlimits import (
    LIMIT_LIFETIME_MS,
    LimitReport,
    UpstreamLimits,
)
from tests.catalogues import ENGINES
from tests.limitedfleet import HEARTBEAT_MS, STEP_MS, LimitedFleet

CONTACT_MS = 3_000
WINDOW_MS = 4_000


def compute_allowed(per_s: float) -> float:
    """Return how many requests a runner may get in a window by the users' rule."""
    return 1.5 * per_s * WINDOW_MS / 1_000 + 5


# Guards against LIMIT: an engine that had named a limit of one request a second was
# sent as many as all others.
@pytest.mark.parametrize("per_s", [0.3, 1.0, 4.0])
def test_a_node_keeps_the_limit_that_an_engine_names(per_s):
    fleet = LimitedFleet(1, seed=3)
    fleet.run(1_000)
    fleet.limits["e2"] = per_s
    named_ms = fleet.now_ms
    fleet.run(14_000)
    most = fleet.find_most_sent("e2", named_ms + CONTACT_MS, WINDOW_MS)
    assert 0 < most <= compute_allowed(per_s)
    assert not fleet.refused


@pytest.mark.parametrize("vm_count", [6, 7, 30])
@pytest.mark.parametrize("per_s", [0.0, 0.5, 1.0, 2.7, 10.0])
def test_all_nodes_together_keep_the_limit(vm_count, per_s):
    fleet = LimitedFleet(vm_count, seed=vm_count)
    fleet.run(1_000, per_step=2)
    fleet.limits["e2"] = per_s
    fleet.limits["e4"] = per_s
    named_ms = fleet.now_ms
    fleet.run(14_000, per_step=2)
    for engine in ("e2", "e4"):
        most = fleet.find_most_sent(engine, named_ms + CONTACT_MS, WINDOW_MS)
        assert most <= compute_allowed(per_s)
    assert not fleet.refused


@pytest.mark.parametrize("per_s", [1.0, 5.0])
def test_half_of_the_limit_at_least_is_used(per_s):
    fleet = LimitedFleet(6, seed=4)
    fleet.run(1_000, per_step=2)
    fleet.limits["e2"] = per_s
    fleet.run(5_000, per_step=2)
    start_ms = fleet.now_ms
    fleet.run(20_000, per_step=2)
    assert fleet.count_sent("e2", start_ms, fleet.now_ms) >= 0.5 * per_s * 20


def test_an_engine_that_names_no_limit_any_more_is_used_like_the_others():
    fleet = LimitedFleet(6, seed=5)
    fleet.limits["e2"] = 1.0
    fleet.run(8_000, per_step=2)
    del fleet.limits["e2"]
    fleet.run(6_000, per_step=2)
    start_ms = fleet.now_ms
    fleet.run(4_000, per_step=2)
    sent = [fleet.count_sent(name, start_ms, fleet.now_ms) for name in ENGINES]
    assert fleet.count_sent("e2", start_ms, fleet.now_ms) >= 0.5 * sum(sent) / len(sent)


def test_a_node_that_starts_anew_learns_of_limits_from_the_others():
    fleet = LimitedFleet(6, seed=6)
    fleet.limits["e2"] = 1.0
    fleet.run(4_000, per_step=2)
    fleet.replace_vm(0)
    fleet.run(2 * STEP_MS + HEARTBEAT_MS)
    assert fleet.dispatchers[0].state.upstream_limits.find_limit("e2") == 1.0


def test_the_newest_answer_counts_in_whatever_order_reports_come():
    limits = UpstreamLimits("vm-0")
    limits.record_report(LimitReport("e1", 2.0, age_ms=10), 1_000)
    limits.record_report(LimitReport("e1", None, age_ms=50), 1_000)
    assert limits.find_limit("e1") == 2.0
    limits.record_report(LimitReport("e1", None, age_ms=0), 1_001)
    assert limits.find_limit("e1") is None
    assert limits.find_rate("e1") is None


def test_a_limit_without_any_answer_expires():
    limits = UpstreamLimits("vm-0")
    limits.record_answer("e1", 2.0, 1_000)
    assert limits.expire(1_000 + LIMIT_LIFETIME_MS) == []
    assert limits.expire(1_001 + LIMIT_LIFETIME_MS) == ["e1"]
    assert limits.find_rate("e1") is None
