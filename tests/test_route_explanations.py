"""Explanations of routes: they tell what comes next, and change nothing."""

import pickle

import pytest

from plantainwood.core import events as ev
from plantainwood.core.catalogue import ServingVm, UpstreamKind
from plantainwood.core.coldupstreams import ColdSource
from tests.explainedvm import COLD_MS, POOL, Driver, make_vm

STEPS = 400


def find_explained(vm, event, now_ms: int = 10_000) -> dict[str, str]:
    """Return the reasons of the candidates by name; empty for the chosen one."""
    explanation = vm.explain(event, now_ms)
    return {item.upstream: item.reason for item in explanation.candidates}


# Guards against an explanation that differs from the decision, or that changes the
# decisions after it: a twin gets the same events without any explanation.
@pytest.mark.parametrize("overflow", [False, True])
@pytest.mark.parametrize("prompts", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_the_explained_choice_is_the_next_one_and_changes_no_other(
    seed, prompts, overflow
):
    vm, twin = make_vm(overflow=overflow), make_vm(overflow=overflow)
    driver = Driver([vm, twin], seed, prompts)
    seen = {"dispatched": 0, "refused": 0, "waiting": 0, "shed": 0}
    for _ in range(STEPS):
        driver.disturb()
        event = driver.make_arrival()
        explanation = vm.explain(event, driver.now_ms)
        pool = vm.state.pools.get(POOL)
        waits = pool is not None and pool.count_waiting() > 0
        decisions = driver.feed(event)
        own = [item for item in decisions if item.request_id == event.request_id]
        if own and isinstance(own[0], ev.Refuse):
            error = own[0].error
            assert explanation.refusal is not None
            assert explanation.refusal.code == error.code.value
            assert explanation.refusal.retry_after_ms == error.retry_after_ms
            seen["refused"] += 1
            continue
        assert explanation.refusal is None
        others = [item for item in decisions if isinstance(item, ev.Refuse)]
        assert explanation.sheds_other == bool(others)
        seen["shed"] += len(others)
        if waits:
            seen["waiting"] += 1
            continue
        assert explanation.upstream == (own[0].upstream if own else "")
        seen["dispatched"] += len(own)
    assert min(seen.values()) > 5, seen


# Guards against state that an explanation changes without an effect on the decisions
# of the test above: rates, cold shares, limits, budgets, cached parts, the generator.
@pytest.mark.parametrize("overflow", [False, True])
@pytest.mark.parametrize("prompts", [False, True])
def test_an_explanation_leaves_the_state_as_it_is(prompts, overflow):
    vm = make_vm(overflow=overflow)
    driver = Driver([vm], 5, prompts)
    vm.decide(ev.LimitNamed("e1", 3.0), 10_000)
    vm.decide(ev.ColdNamed("e2", ColdSource.ENTRY, COLD_MS), 10_000)
    for _ in range(40):
        driver.disturb()
        driver.feed(driver.make_arrival())
    event = driver.make_arrival()
    driver.now_ms += 70
    vm.explain(event, driver.now_ms)
    before = pickle.dumps(vm.state)
    for step_ms in (0, 5, 33, 600):
        vm.explain(event, driver.now_ms + step_ms)
        assert pickle.dumps(vm.state) == before


# Guards against state that is created when something is first asked about: a pool, its
# tiers, a customer, a failure domain that was never heard.
@pytest.mark.parametrize("pool_exists", [False, True])
@pytest.mark.parametrize("overflow", [False, True])
def test_an_explanation_before_the_first_request_creates_nothing(overflow, pool_exists):
    vm = make_vm(overflow=overflow)
    event = Driver([vm], 1, True).make_arrival()
    if pool_exists:
        vm.state.get_or_create_pool(POOL)
    before = pickle.dumps(vm.state)
    assert vm.explain(event, 10_000).upstream
    assert pickle.dumps(vm.state) == before
    assert (POOL in vm.state.pools) == pool_exists and not vm.state.limits


# Guards against upstreams that count as worse though they were not looked at.
def test_upstreams_that_were_not_drawn_are_told_apart_from_worse_ones():
    vm = make_vm()
    plain = sorted(find_explained(vm, Driver([vm], 1, False).make_arrival()).values())
    assert plain == [""] + 6 * ["not_drawn"] + 2 * ["slower"]
    vm.decide(ev.LoadReported("e1", (), 0, 150), 10_000)
    prompt = list(find_explained(vm, Driver([vm], 1, True).make_arrival()).values())
    assert prompt.count("not_drawn") >= 5 and prompt.count("slower") >= 2


# Guards against a reason that is another one than the cause.
@pytest.mark.parametrize("prompts", [False, True])
def test_each_candidate_that_is_not_chosen_has_its_reason(prompts):
    vm = make_vm(upstreams=12)
    event = Driver([vm], 1, prompts).make_arrival()
    loads = vm.state.loads
    loads["e0"].leaving = True
    loads["e1"].unreached_until_ms = 20_000
    loads["e2"].unwilling_until_ms = 20_000
    loads["e3"].max_own_in_flight = 1
    loads["e3"].record_dispatch(0, 9_000)
    vm.decide(ev.LimitNamed("e4", 0.25), 10_000)
    vm.decide(ev.ColdNamed("e5", ColdSource.ENTRY, COLD_MS), 9_999)
    loads["e5"].cold_rate.record_sent(10_000)
    loads["e6"].room = 0
    loads["e7"].evacuated = True
    for _ in range(3):
        loads["e9"].record_dispatch(0, 9_000)
    found = find_explained(vm, event)
    expected = {
        "e0": "leaving",
        "e1": "unreached",
        "e2": "paused",
        "e3": "connection_limit",
        "e4": "named_rate",
        "e5": "cold_rate",
        "e6": "brittle_share",
        "e7": "evacuated",
    }
    if not prompts:
        expected["e9"] = "no_slot"
    assert {name: found[name] for name in expected} == expected
    assert sorted(found.values())[0] == "" and list(found.values()).count("") == 1
    assert set(found.values()) - set(expected.values()) <= {"", "slower", "not_drawn"}


def test_candidates_of_other_regions_partitions_and_backlogs_are_told_apart():
    vm = make_vm(upstreams=12)
    router = vm.state.router
    driver = Driver([vm], 1, True)
    event = driver.make_arrival()
    bound = ev.Arrival("r", "c1", "k1", POOL, allowed_regions=("south",))
    assert set(find_explained(vm, bound).values()) >= {"other_region", ""}
    router.engine_states.record_remote("vm-2", {"e0": 90_000}, {}, 10_000)
    assert find_explained(vm, event)["e0"] == "backlog_limit"
    router.set_gap_targets(POOL, {10, 900})
    assert "other_partition" in find_explained(vm, event).values()


# Guards against upstreams that are missing from the answer since the VM doesn't use
# them: an operator looks for just these.
def test_upstreams_outside_of_the_subset_are_listed():
    vm = make_vm()
    vm.state.options.subset_size = 3
    vm.set_evacuated(["b"], 0)
    found = find_explained(vm, Driver([vm], 1, False).make_arrival())
    assert len(found) == 9
    assert list(found.values()).count("evacuated") == 3
    assert list(found.values()).count("not_in_subset") == 3


def test_a_vm_without_a_path_names_the_vm_that_would_serve():
    vm = make_vm()
    entry = ServingVm(
        owner="", kind=UpstreamKind.PLAIN, address="10.0.1.2:1", domain="a", weight=40
    )
    vm.set_serving_vms({"vm/vm-2": entry})
    event = Driver([vm], 1, False).make_arrival()
    assert vm.explain(event, 10_000).serving_vm == ""
    vm.decide(ev.PathProbed(True), 10_000)
    explanation = vm.explain(event, 10_000)
    assert (explanation.serving_vm, explanation.upstream) == ("vm-2", "")
    assert {item.reason for item in explanation.candidates} == {"unreached"}
    (dispatch,) = vm.decide(event, 10_000)
    assert dispatch.upstream == "vm/vm-2"


# Guards against a count that leaves out more urgent tiers or other customers.
def test_the_waiting_requests_ahead_are_counted():
    vm = make_vm(upstreams=1, slots=1, max_waiting=50)
    for number in range(6):
        customer, name = f"c{number % 2}", f"k{number // 3}"
        vm.decide(ev.Arrival(f"w{number}", customer, name, POOL), 10_000)
    explanation = vm.explain(ev.Arrival("r", "c2", "k1", POOL), 10_000)
    assert explanation.upstream == "" and explanation.waiting == 5
    assert explanation.ahead == 2 + 3
    urgent = vm.explain(ev.Arrival("r", "c0", "k0", POOL), 10_000)
    assert urgent.ahead == 2 and urgent.tier == 0
