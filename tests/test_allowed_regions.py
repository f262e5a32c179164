"""Requests and their bodies stay in the regions that their route and tenant allow."""

import asyncio
import random

import msgspec
import pytest

from bridge.config import decode_config, make_route_table
from bridge.requests import find_route_and_customer, make_call
from plantainwood.calls import make_arrival
from plantainwood.core import events as ev
from plantainwood.core.affinity import PrefixHints
from plantainwood.core.catalogue import ServingVm, UpstreamKind
from plantainwood.core.decoding import MalformedError
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import ErrorCode, Outcome
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.mirror import Item
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.core.regions import DomainRegions, intersect_regions
from plantainwood.core.servingvms import VM_PREFIX
from plantainwood.edgesettings import parse_edge_settings
from plantainwood.logs import LOGGER_NAME
from plantainwood.settings import SettingsError
from plantainwood.vmcalls import decode_call, encode_call
from tests.catalogues import ENGINES, make_catalogue
from tests.edgesite import HOST, answer_request_line, make_config
from tests.fleetsite import LostPath, run_fleet
from tests.test_edge_settings import VALID
from tests.test_evacuation import apply, make_engine, make_view_edge
from tests.test_prompt_router import make_request

POOL = "model/rounds"
REGIONS = {"ba-norte": "north", "ba-oeste": "south", "ba-sur": "south"}
BOUND_S = 5.0


def make_vm(slots: int = 8, own_domain: str = "ba-norte") -> Dispatcher:
    """Return a VM that knows five engines in three domains and two regions."""
    options = Options(preempt=False, move_unstarted=False)
    vm = Dispatcher("vm-1", 7, options)
    vm.set_regions(own_domain, REGIONS)
    vm.apply_catalogue(make_catalogue(slots))
    return vm


def send(vm: Dispatcher, number: int, regions=("north",), now_ms=1_000, **changes):
    """Let a request arrive; return the decisions on it."""
    arrival = ev.Arrival(
        f"r-{number}", "norte", "hint", POOL, allowed_regions=regions, **changes
    )
    return vm.decide(arrival, now_ms)


def list_regions(decisions: list) -> list[str]:
    """Return the regions that decisions dispatch to."""
    found = [item for item in decisions if isinstance(item, ev.Dispatch)]
    return [REGIONS[ENGINES[item.upstream][0]] for item in found]


# Guards against a request that leaves its regions while all upstreams are free.
@pytest.mark.parametrize("region", ["north", "south"])
def test_requests_reach_only_upstreams_of_their_regions(region):
    vm = make_vm()
    found: list[str] = []
    for number in range(12):
        found.extend(list_regions(send(vm, number, (region,))))
    assert found == [region] * 12


def test_requests_without_regions_reach_all():
    vm = make_vm()
    found: list[str] = []
    for number in range(24):
        found.extend(list_regions(send(vm, number, None)))
    assert set(found) == {"north", "south"}


# Guards against requests that leave their regions when those are full.
def test_a_request_waits_while_its_regions_are_full_and_blocks_no_other():
    vm = make_vm(slots=1)
    decisions: list = []
    for number in range(12):
        decisions.extend(send(vm, number))
    assert list_regions(decisions) == ["north", "north"]
    assert list_regions(send(vm, 20, None)) == ["south"]
    assert list_regions(send(vm, 21, ("south",))) == ["south"]
    done = ev.AttemptDone(decisions[0].request_id, decisions[0].attempt)
    assert list_regions(vm.decide(done, 1_100)) == ["north"]


# Guards against a retry that leaves the regions, or that waits for ever for a domain
# outside of them because it avoids the one that failed.
def test_a_retry_stays_in_its_regions():
    vm = make_vm()
    (dispatch,) = send(vm, 1)
    failed = ev.AttemptFailed(dispatch.request_id, dispatch.attempt, False, False)
    (retried,) = vm.decide(failed, 1_100)
    assert retried.upstream != dispatch.upstream
    assert list_regions([retried]) == ["north"]


@pytest.mark.parametrize("regions", [("east",), ()])
def test_a_request_without_an_upstream_in_its_regions_is_refused_as_not_run(regions):
    (refusal,) = send(make_vm(), 1, regions)
    assert refusal.error.code is ErrorCode.NO_UPSTREAM
    assert refusal.error.outcome is Outcome.NOT_RUN
    assert refusal.error.retry_after_ms > 0


def test_a_request_whose_region_is_evacuated_is_refused_as_not_run():
    vm = make_vm()
    vm.set_evacuated(["ba-norte"], 900)
    (refusal,) = send(vm, 1)
    assert refusal.error.outcome is Outcome.NOT_RUN


# Guards against a domain that counts as allowed since nobody said where it is.
def test_a_domain_of_unknown_region_serves_only_requests_without_regions():
    vm = Dispatcher("vm-1", 7, Options())
    vm.apply_catalogue(make_catalogue())
    assert isinstance(send(vm, 1, ("north",))[0], ev.Refuse)
    assert isinstance(send(vm, 2, None)[0], ev.Dispatch)
    assert DomainRegions("a", {"a": ""}).find_domains(("",)) == frozenset()


def test_kv_caches_outside_of_the_regions_are_not_fetched():
    router = make_prompt_router(random.Random(1), PrefixHints())
    loads = []
    for number, domain in enumerate(("d0", "d1")):
        name = f"e{number}"
        loads.append(UpstreamLoad(name, make_engine(name, domain)))
    router.set_pool_upstreams("service/pool", loads)
    first = make_request(1, "s1", 200)
    router.choose(first, [loads[0]], 0)
    router.record_dispatch(first, loads[0], 0)
    router.record_started(first, loads[0])
    second = make_request(2, "s1", 200)
    router.choose(second, loads[1:], 10)
    assert router.find_kv_source(second) == "e0"
    second.domains = frozenset(["d1"])
    router.choose(second, loads[1:], 20)
    assert router.find_kv_source(second) == ""


def make_serving_vm(domain: str) -> ServingVm:
    """Return the entry of another VM."""
    return ServingVm(owner="", kind=UpstreamKind.PLAIN, address="h:1", domain=domain)


# Guards against a body that leaves the regions on its way to another VM.
@pytest.mark.parametrize(
    ("own_domain", "regions", "allowed_vms"),
    [
        ("ba-norte", ("north",), {"vm/n"}),
        ("ba-norte", ("south",), {"vm/n", "vm/o", "vm/s"}),
        ("ba-oeste", ("north",), {"vm/n", "vm/o", "vm/s"}),
        ("ba-oeste", ("south",), {"vm/o", "vm/s"}),
        ("ba-norte", None, {"vm/n", "vm/o", "vm/s", "vm/x"}),
        ("unknown", ("north",), {"vm/n"}),
    ],
)
def test_bodies_go_only_to_vms_in_the_regions_or_near(own_domain, regions, allowed_vms):
    vm = make_vm(own_domain=own_domain)
    domains = {"n": "ba-norte", "o": "ba-oeste", "s": "ba-sur", "x": "elsewhere"}
    vm.set_serving_vms(
        {VM_PREFIX + name: make_serving_vm(domains[name]) for name in domains}
    )
    vm.decide(ev.PathProbed(lost=True), 900)
    found: set[str] = set()
    for number in range(64):
        (dispatch,) = send(vm, number, regions)
        found.add(dispatch.upstream)
    assert found == allowed_vms


def test_a_request_goes_to_another_vm_if_only_its_own_region_is_out_of_reach():
    vm = make_vm()
    vm.set_serving_vms({VM_PREFIX + "n": make_serving_vm("ba-norte")})
    send(vm, 1, None)
    for name in ("e1", "e2"):
        vm.decide(ev.UpstreamProbed(name, reached=False), 1_000)
    (dispatch,) = send(vm, 2, ("north",), 1_100)
    assert dispatch.upstream == VM_PREFIX + "n"


def make_tenant_call(route_regions, tenant_regions):
    """Return the call of a tenant on a route, each with its list of regions."""
    config = msgspec.json.decode(make_config())
    config["routes"][2]["allowedRegions"] = route_regions
    config["tenants"][0]["allowedRegions"] = tenant_regions
    table = make_route_table(decode_config(msgspec.json.encode(config)))
    headers = [(b"Request-Id", b"r-1"), (b"Authorization", b"Token secret-key")]
    matched = find_route_and_customer(table, HOST, "/r/x", headers)
    return make_call(*matched, "POST", "/r/x", headers, b"b", 0, "r-1.1")


@pytest.mark.parametrize(
    ("of_route", "of_tenant", "expected"),
    [
        ([], None, None),
        (["north"], [], ("north",)),
        (None, ["south"], ("south",)),
        (["north", "south"], ["south", "east"], ("south",)),
        (["north"], ["south"], ()),
    ],
)
def test_the_lists_of_route_and_tenant_apply_together(of_route, of_tenant, expected):
    call = make_tenant_call(of_route, of_tenant)
    assert call.allowed_regions == expected
    assert make_arrival(call).allowed_regions == expected


def test_absent_lists_allow_all_regions():
    assert intersect_regions(None, None) is None


# Guards against a VM that serves another's call and does not know of its regions.
def test_the_regions_of_a_call_reach_the_vm_that_serves_it():
    data = encode_call(make_tenant_call(["north"], None), "vm-1", 1, 2, 0, "secret")
    call = decode_call(data.split(b"\r\n\r\n", 1)[1], 0, "secret")
    assert make_arrival(call).allowed_regions == ("north",)


# Guards against a mistyped region that refuses requests without a word.
def test_a_region_without_a_domain_is_logged_once(caplog):
    config = msgspec.json.decode(make_config(2))
    config["tenants"][0]["allowedRegions"] = ["nroth"]
    items = [Item("op/config", 3, msgspec.json.encode(config))]
    with caplog.at_level("INFO", LOGGER_NAME):
        edge, builder = make_view_edge(*items)
        apply(edge, builder, Item("op/evacuate/a", 4, b"{}"))
    logged = [r for r in caplog.records if r.getMessage() == "regions_unknown"]
    assert [record.regions for record in logged] == ["nroth"]


@pytest.mark.parametrize("value", ["north", [1], {"north": True}])
def test_a_configuration_with_malformed_regions_is_not_put_in_force(value):
    with pytest.raises(MalformedError):
        make_tenant_call(value, None)


def test_the_regions_of_the_settings_are_checked():
    assert parse_edge_settings(VALID).regions == {}
    text = VALID + 'regions: { "a": "north", "b": "" }\n'
    assert parse_edge_settings(text).regions == {"a": "north", "b": ""}
    with pytest.raises(SettingsError) as caught:
        parse_edge_settings(VALID + "regions: [a]\n")
    assert "regions" in caught.value.problems[0]


# Guards against a request that leaves its regions while upstreams there are lost, over
# real sockets and with several VMs.
def test_no_runner_outside_of_the_regions_gets_a_request():
    async def scenario(site):
        for daemon in site.daemons:
            own = daemon.settings.domain
            daemon.edge.broker.dispatcher.set_regions(own, {"a": "north", "b": "south"})
        config = msgspec.json.decode(make_config(2))
        config["routes"][2]["allowedRegions"] = ["north"]
        site.store.put("op/config", msgspec.json.encode(config))
        edges = [daemon.edge for daemon in site.daemons]
        async with asyncio.timeout(BOUND_S):
            await site.wait_until(
                lambda: all(e.view.routes.version == 2 for e in edges)
            )
        site.lose_path(1, LostPath.RESET)
        for number in range(18):
            status, _, _ = await site.call(number % 3, "GET", "/r/x")
            assert status == 200
        assert len(site.runners[0].received) + len(site.runners[2].received) == 18
        site.store.put("op/evacuate/a", "{}")
        async with asyncio.timeout(BOUND_S):
            await site.wait_until(lambda: all(e.view.evacuated for e in edges))
        for number in range(6):
            status, _, _ = await site.call(number % 3, "GET", "/r/x")
            assert status == 503
        assert site.runners[1].received == site.runners[3].received == []

    run_fleet(scenario, answer_request_line)
