"""VMs that reach only some of the upstreams that other VMs reach."""

import asyncio
import time

import pytest

from plantainwood.core import events as ev
from plantainwood.core.catalogue import ServingVm, UpstreamKind
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.outcomes import UNREACHED_MS
from plantainwood.core.servingvms import VM_PREFIX
from plantainwood.pathprobe import ProbePauses
from tests.catalogues import ENGINES, make_catalogue
from tests.fleetsite import LostPath, run_fleet
from tests.test_lost_paths import WAYS, answer, use_all

POOL = "model/rounds"
REQUESTS = 24
KNOWN_AFTER_S = 1.5
"""When a VM has found out which upstreams are out of its reach."""
ON_TIME_S = 0.4
"""The target for the first byte in the tests' configuration."""


def make_vm(*others: ServingVm) -> Dispatcher:
    """Return a VM that knows five engines and some other VMs."""
    vm = Dispatcher("vm-1", 7, Options(preempt=False))
    vm.apply_catalogue(make_catalogue(slots=8))
    names = [f"{VM_PREFIX}vm-{number}" for number in range(2, 2 + len(others))]
    vm.set_serving_vms(dict(zip(names, others)))
    return vm


def make_other(**changes) -> ServingVm:
    """Return the entry of another VM."""
    return ServingVm(
        owner="", kind=UpstreamKind.PLAIN, address="h:1", domain="a", **changes
    )


def lose(vm: Dispatcher, names, now_ms: int) -> None:
    """Let probes find that some engines are out of the VM's reach."""
    for name in names:
        vm.decide(ev.UpstreamProbed(name, reached=False), now_ms)


def send(vm: Dispatcher, number: int, now_ms: int, **changes) -> list:
    """Let a request arrive; return the decisions on it."""
    arrival = ev.Arrival(f"r-{number}", "norte", "hint", POOL, **changes)
    return vm.decide(arrival, now_ms)


def test_requests_go_to_the_upstreams_within_reach():
    vm = make_vm()
    lose(vm, ["e1", "e2", "e3"], 1_000)
    for number in range(8):
        (dispatch,) = send(vm, number, 1_100)
        assert dispatch.upstream in ("e4", "e5")


def test_a_failed_connection_keeps_later_requests_away():
    vm = make_vm()
    (first,) = send(vm, 0, 1_000)
    failed = ev.AttemptFailed("r-0", first.attempt, False, True, reached=False)
    vm.decide(failed, 1_350)
    for number in range(1, 12):
        (dispatch,) = send(vm, number, 1_360)
        assert dispatch.upstream != first.upstream


def test_an_upstream_that_accepts_connections_again_is_used_at_once():
    vm = make_vm()
    lose(vm, ENGINES, 1_000)
    assert send(vm, 0, 1_010) == []
    (dispatch,) = vm.decide(ev.UpstreamProbed("e3", reached=True), 1_400)
    assert dispatch.upstream == "e3"


# A daemon without a service that probes must not lose an upstream for good.
def test_an_upstream_is_tried_again_without_probes():
    vm = make_vm()
    lose(vm, ENGINES, 1_000)
    assert len(send(vm, 0, 1_000 + UNREACHED_MS)) == 1


def test_a_request_is_handed_over_if_its_whole_pool_is_out_of_reach():
    vm = make_vm(make_other())
    lose(vm, ENGINES, 1_000)
    (dispatch,) = send(vm, 0, 1_100)
    assert dispatch.upstream == f"{VM_PREFIX}vm-2"
    assert vm.state.list_unreached_pools(1_100) == (POOL,)


def test_no_request_is_handed_over_while_one_upstream_is_within_reach():
    vm = make_vm(make_other())
    lose(vm, ["e1", "e2", "e3", "e4"], 1_000)
    (dispatch,) = send(vm, 0, 1_100)
    assert dispatch.upstream == "e5"


def test_a_request_is_not_handed_to_a_vm_that_does_not_reach_the_pool_either():
    vm = make_vm(make_other(unreached_pools=(POOL,)), make_other())
    lose(vm, ENGINES, 1_000)
    for number in range(8):
        (dispatch,) = send(vm, number, 1_100)
        assert dispatch.upstream == f"{VM_PREFIX}vm-3"


def test_a_request_of_another_vm_is_refused_if_the_pool_is_out_of_reach():
    vm = make_vm(make_other())
    lose(vm, ENGINES, 1_000)
    (refusal,) = send(vm, 0, 1_100, from_vm=True)
    assert isinstance(refusal, ev.Refuse) and refusal.error.status == 503


# Guards against a probe that ends the pause which a brittle upstream asked for (LIMIT).
def test_a_probe_does_not_end_a_pause_that_has_another_reason():
    vm = make_vm()
    for name in ENGINES:
        vm.state.loads[name].paused_until_ms = 2_000
        vm.decide(ev.UpstreamProbed(name, reached=True), 1_000)
    assert send(vm, 0, 1_100) == []


def test_probes_of_an_upstream_become_rarer_up_to_a_bound():
    pauses = ProbePauses()
    probed_ms: list[int] = []
    for now_ms in range(0, 12_000, 100):
        if pauses.is_due("e1", now_ms):
            probed_ms.append(now_ms)
            pauses.record("e1", reached=False, now_ms=now_ms)
    gaps_ms = [later - sooner for sooner, later in zip(probed_ms, probed_ms[1:])]
    assert gaps_ms[:3] == [400, 800, 1_200]
    assert max(gaps_ms) < UNREACHED_MS
    pauses.record("e1", reached=True, now_ms=12_000)
    assert pauses.is_due("e1", 12_000)


# Guards against late or failed answers at VMs that lost a part of their paths.
@pytest.mark.parametrize("how", WAYS, ids=lambda how: how.value)
def test_callers_of_a_vm_that_lost_half_of_its_paths_are_served_on_time(how):
    async def scenario(site):
        await use_all(site)
        site.lose_path(0, how, runners=[0, 1])
        first = [
            site.call(0, "GET", "/r/x", Request_Id=f"f-{number}") for number in range(8)
        ]
        await asyncio.gather(*first)
        await asyncio.sleep(KNOWN_AFTER_S)
        late = 0
        for number in range(REQUESTS):
            began_s = time.monotonic()
            status, _, _ = await site.call(
                0, "POST", "/u/x", b"booking", Request_Id=f"late-{number}"
            )
            assert status == 200
            late += time.monotonic() - began_s > ON_TIME_S
            await asyncio.sleep(0.1)
        assert late == 0

    run_fleet(scenario, answer)


def test_an_upstream_within_reach_again_gets_requests():
    async def scenario(site):
        await use_all(site)
        site.lose_path(0, LostPath.RESET, runners=[0, 1, 2])
        await use_all(site, rounds=2)
        await asyncio.sleep(KNOWN_AFTER_S)
        site.paths[0].regain()
        await asyncio.sleep(KNOWN_AFTER_S)
        before = len(site.runners[0].received)
        await use_all(site, rounds=4)
        assert len(site.runners[0].received) > before

    run_fleet(scenario, answer)
