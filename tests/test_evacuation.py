"""Evacuation of a failure domain: nothing is sent there, and it returns gradually."""

import asyncio
import random

import pytest

from bridge.view import ViewBuilder
from fakes.runner import reset_connection
from plantainwood.autoscaler import Autoscaler
from plantainwood.core import events as ev
from plantainwood.core.affinity import PrefixHints
from plantainwood.core.catalogue import DiscoveredUpstream, UpstreamKind
from plantainwood.core.clock import VirtualClock
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import ErrorCode, Outcome
from plantainwood.core.evacuations import RETURN_RAMP_MS, Evacuations
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.mirror import Item
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.core.storecopies import REWRITE_GRACE_MS
from plantainwood.core.storeeras import get_era
from plantainwood.edge import Edge
from plantainwood.metrics import Metrics
from tests.catalogues import ENGINES, make_catalogue
from tests.edgesite import (
    STREAM,
    answer_request_line,
    answer_stream,
    make_config,
    make_entry,
    run,
)
from tests.fleetsite import run_fleet
from tests.processsite import run_processes
from tests.samples import SETTINGS
from tests.test_autoscaler import SERVICE, make_scaling_edge
from tests.test_prompt_router import make_request

POOL = "model/rounds"
ZONE = "ba-norte"
"""The domain of the engines e1 and e2."""
KEY = "op/evacuate/a"
BOUND_S = 5.0
"""Until when an evacuation is in force on every connected VM."""
SECOND_READ_S = REWRITE_GRACE_MS / 1_000 + 1.5


def make_vm(slots: int = 8, **options) -> Dispatcher:
    """Return a VM that knows five engines in three domains."""
    vm = Dispatcher("vm-1", 7, Options(preempt=False, **options))
    vm.apply_catalogue(make_catalogue(slots))
    return vm


def send(vm: Dispatcher, number: int, now_ms: int = 1_000, **changes) -> list:
    """Let a request arrive; return the decisions on it."""
    arrival = ev.Arrival(f"r-{number}", "norte", "hint", POOL, **changes)
    return vm.decide(arrival, now_ms)


def list_domains(decisions: list) -> list[str]:
    """Return the domains that decisions dispatch to."""
    found = [item for item in decisions if isinstance(item, ev.Dispatch)]
    return [ENGINES[item.upstream][0] for item in found]


# Guards against an evacuated domain that still gets requests.
def test_no_request_is_sent_to_an_evacuated_domain():
    vm = make_vm()
    vm.set_evacuated([ZONE], 900)
    domains: list[str] = []
    for number in range(24):
        domains.extend(list_domains(send(vm, number)))
    assert len(domains) == 24
    assert ZONE not in domains


def test_upstreams_that_register_in_an_evacuated_domain_get_nothing():
    vm = Dispatcher("vm-1", 7, Options(preempt=False))
    vm.set_evacuated([ZONE], 900)
    vm.apply_catalogue(make_catalogue(8))
    assert ZONE not in list_domains(send(vm, 1))
    assert all(load.entry.domain != ZONE for load in vm.state.pools[POOL].group)


def test_running_attempts_go_on_and_waiting_requests_go_elsewhere():
    vm = make_vm(slots=1)
    started: list[ev.Dispatch] = []
    for number in range(7):
        started.extend(send(vm, number))
    assert len(started) == 5
    vm.set_evacuated([ZONE], 1_100)
    assert vm.decide(ev.Tick(), 1_100) == []
    decisions: list = []
    for dispatch in started:
        done = ev.AttemptDone(dispatch.request_id, dispatch.attempt)
        decisions.extend(vm.decide(done, 1_200))
    found = list_domains(decisions)
    assert len(found) == 2
    assert ZONE not in found


# Guards against retries that go back into the evacuated domain, or wait for ever since
# the domain that they avoid is the only one left.
def test_a_retry_goes_to_a_domain_in_service():
    vm = make_vm()
    (dispatch,) = send(vm, 1)
    failed_domain = ENGINES[dispatch.upstream][0]
    others = {domain for domain, _ in ENGINES.values()} - {failed_domain}
    evacuated = sorted(others)[:1]
    vm.set_evacuated(evacuated, 1_050)
    failed = ev.AttemptFailed(dispatch.request_id, dispatch.attempt, False, False)
    (retried,) = list_domains(vm.decide(failed, 1_100))
    assert retried not in (failed_domain, *evacuated)


def test_a_waiting_retry_may_return_to_the_only_domain_left():
    vm = make_vm(slots=1)
    dispatches: list[ev.Dispatch] = []
    for number in range(5):
        dispatches.extend(send(vm, number))
    first = next(item for item in dispatches if item.upstream == "e1")
    failed = ev.AttemptFailed(first.request_id, first.attempt, False, False)
    assert list_domains(vm.decide(failed, 1_100)) == []
    vm.set_evacuated(["ba-oeste", "ba-sur"], 1_200)
    other = next(item for item in dispatches if item.upstream == "e2")
    decisions = vm.decide(ev.AttemptDone(other.request_id, other.attempt), 1_300)
    assert [item.upstream for item in decisions] == ["e2"]


def test_a_reservation_granted_after_the_evacuation_is_not_used():
    vm = make_vm()
    vm.state.quarantine.add_mark("bad", "gone", 900)
    (reserve,) = send(vm, 1, fingerprint="bad")
    assert isinstance(reserve, ev.Reserve)
    domain = ENGINES[reserve.upstream][0]
    vm.set_evacuated([domain], 1_050)
    answer = ev.ReservationAnswered("r-1", reserve.upstream, granted=True)
    assert list_domains(vm.decide(answer, 1_100)) == []


# Guards against requests that hang until their deadline for a domain that is evacuated.
def test_a_request_that_only_an_evacuated_domain_serves_is_refused_as_not_run():
    vm = make_vm()
    vm.set_evacuated([domain for domain, _ in ENGINES.values()], 900)
    (refusal,) = send(vm, 1)
    assert refusal.error.code is ErrorCode.NO_UPSTREAM
    assert refusal.error.outcome is Outcome.NOT_RUN
    assert refusal.error.retry_after_ms > 0


def make_engine(name: str, domain: str, version: str = "") -> DiscoveredUpstream:
    """Return the entry of an engine of the service 'pool'."""
    return DiscoveredUpstream(
        owner="",
        kind=UpstreamKind.ENGINE,
        address=f"10.0.0.{name[1:]}:80",
        domain=domain,
        service="pool",
        slots=64,
        memory_tokens=400_000,
        version=version,
    )


def test_kv_caches_of_an_evacuated_domain_are_not_fetched():
    router = make_prompt_router(random.Random(1), PrefixHints())
    loads = [UpstreamLoad(f"e{n}", make_engine(f"e{n}", "d0")) for n in range(2)]
    router.set_pool_upstreams("service/pool", loads)
    first = make_request(1, "s1", 200)
    router.choose(first, [loads[0]], 0)
    router.record_dispatch(first, loads[0], 0)
    router.record_started(first, loads[0])
    second = make_request(2, "s1", 200)
    router.choose(second, [loads[1]], 10)
    assert router.find_kv_source(second) == "e0"
    loads[0].evacuated = True
    router.choose(second, [loads[1]], 20)
    assert router.find_kv_source(second) == ""


# Guards against a VM that takes its path for lost since the evacuated domain is down.
def test_an_evacuated_domain_is_no_witness_of_the_path():
    edge = Edge(SETTINGS, VirtualClock(), Metrics())
    vm = edge.broker.dispatcher
    vm.apply_catalogue(make_catalogue())
    vm.state.get_or_create_pool(POOL)
    vm.set_evacuated([ZONE], 0)
    for _ in range(20):
        chosen = edge.path_prober._choose_witnesses("")
        assert chosen
        assert all(load.entry.domain != ZONE for load in chosen)


def count_admitted(evacuations: Evacuations, share: float, now_ms: int) -> int:
    """Return how many of 2,000 requests a returning domain takes."""
    slots = {"a": round(100 * share), "b": 100 - round(100 * share)}
    ramp = evacuations.make_ramps(slots)["a"]
    return sum(ramp.admits(f"r-{number}", now_ms) for number in range(2_000))


# Guards against upstreams that get their full part while they may still be cold.
@pytest.mark.parametrize("share", [0.25, 0.5])
def test_a_returning_domain_takes_a_growing_part_of_the_requests(share):
    evacuations = Evacuations()
    evacuations.update(["a"], 0)
    evacuations.update([], 1_000)
    before = 0
    for tenths in range(10):
        now_ms = 1_000 + tenths * RETURN_RAMP_MS // 10
        admitted = count_admitted(evacuations, share, now_ms)
        assert abs(admitted - 2_000 * share * tenths / 10) <= 80
        assert admitted >= before
        before = admitted
    assert count_admitted(evacuations, share, 1_000 + RETURN_RAMP_MS) == 2_000


def test_all_vms_together_send_a_returning_domain_no_more_than_its_part():
    vms = 88
    sent = 0
    total = 0
    for vm_number in range(vms):
        vm = Dispatcher(f"vm-{vm_number}", vm_number, Options(preempt=False))
        vm.apply_catalogue(make_catalogue(64))
        vm.set_evacuated([ZONE], 0)
        vm.set_evacuated([], 1_000)
        for number in range(20):
            now_ms = 1_000 + RETURN_RAMP_MS // 4
            arrival = ev.Arrival(f"{vm_number}-{number}", "norte", "hint", POOL)
            domains = list_domains(vm.decide(arrival, now_ms))
            sent += domains.count(ZONE)
            total += len(domains)
    assert total == 20 * vms
    assert 0 < sent <= 0.25 * 2 / 5 * total * 1.25


def test_an_evacuation_during_the_ramp_ends_it():
    vm = make_vm()
    vm.set_evacuated([ZONE], 0)
    vm.set_evacuated([], 1_000)
    vm.set_evacuated([ZONE], 2_000)
    for number in range(20):
        now_ms = 2_000 + RETURN_RAMP_MS
        assert ZONE not in list_domains(send(vm, number, now_ms))


# Guards against a queue whose first request is not admitted yet, and blocks the others.
def test_a_request_that_is_not_admitted_yet_does_not_hold_up_others():
    vm = make_vm(slots=1, move_unstarted=False)
    vm.set_evacuated(["ba-norte", "ba-sur"], 0)
    for number in range(30):
        send(vm, number)
    vm.set_evacuated([], 2_000)
    sent = list_domains(vm.decide(ev.Tick(), 2_000 + RETURN_RAMP_MS * 3 // 4))
    assert len(sent) == 4


def make_view_edge(*items: Item) -> tuple[Edge, ViewBuilder]:
    """Return an edge with the view of a configuration and some items."""
    edge = Edge(SETTINGS, VirtualClock(), Metrics())
    edge.driver = type("NoDriver", (), {})()
    builder = ViewBuilder()
    apply(edge, builder, Item("op/config", 2, make_config()), *items)
    return edge, builder


def apply(edge: Edge, builder: ViewBuilder, *items: Item) -> bool:
    """Apply items as the daemon does; return whether the view changed."""
    changed = builder.apply(list(items))
    if changed:
        edge.apply_view(builder.build())
        builder.mark_in_force()
    return changed


@pytest.mark.parametrize("value", [b"{}", b"", b"\xff\x00", b'{"until": 5}'])
def test_a_key_with_any_value_evacuates_until_it_is_removed(value):
    edge, builder = make_view_edge(Item(KEY, 3, value))
    evacuations = edge.broker.dispatcher.state.evacuations
    assert evacuations.is_evacuated("a")
    assert edge.view.evacuated == {"a": 3}
    assert edge.metrics.evacuated.get({"domain": "a"}) == 1
    assert not apply(edge, builder, Item(KEY, 4, b"{ }"))
    assert apply(edge, builder, Item(KEY, 5, None))
    assert not evacuations.is_evacuated("a")
    assert edge.metrics.evacuated.get({"domain": "a"}) == 0


@pytest.mark.parametrize("name", ["", "x" * 300])
def test_a_key_that_names_no_domain_changes_nothing(name):
    edge, builder = make_view_edge()
    assert not apply(edge, builder, Item("op/evacuate/" + name, 3, b"{}"))
    assert not apply(edge, builder, Item("op/evacuate/" + name, 4, None))
    assert edge.view.evacuated == {}


def test_an_unknown_domain_makes_no_time_series():
    edge, builder = make_view_edge(Item("op/evacuate/nowhere", 3, b"{}"))
    assert apply(edge, builder, Item("op/evacuate/nowhere", 4, None))
    assert "nowhere" not in edge.metrics.render([])[0].decode()


def scale(edge: Edge) -> None:
    """Let a new lease holder plan the orders of the service once."""
    asyncio.run(Autoscaler(edge)._scale_service(SERVICE))


def count_spot_orders(driver) -> dict[str, int]:
    """Return the spot engines that are ordered, by domain."""
    assert all(order.spot for order in driver.orders)
    return {order.domain: order.desired for order in driver.orders}


# Guards against orders in a domain that is evacuated, or has just returned.
def test_the_other_domains_take_the_orders_of_an_evacuated_one():
    edge, driver = make_scaling_edge()
    evacuations = edge.broker.dispatcher.state.evacuations
    scale(edge)
    both = count_spot_orders(driver)
    evacuations.update(["a"], edge.clock.now_ms())
    driver.orders.clear()
    scale(edge)
    during = count_spot_orders(driver)
    assert "a" not in during
    assert during["b"] > both["b"]
    evacuations.update([], edge.clock.now_ms())
    driver.orders.clear()
    scale(edge)
    assert "a" not in count_spot_orders(driver)


def test_nothing_is_ordered_while_all_domains_are_evacuated():
    edge, driver = make_scaling_edge()
    edge.broker.dispatcher.set_evacuated(edge.settings.domains, 0)
    scale(edge)
    assert driver.orders == []


async def answer(request, writer) -> None:
    """Answer a stream or a plain request."""
    await answer_stream(request, writer)


async def wait_evacuated(site, evacuated: bool = True) -> None:
    """Wait until the site's VM has the evacuation in force, or no longer has it."""
    edge = site.daemon.edge
    async with asyncio.timeout(BOUND_S):
        await site.wait_until(lambda: ("a" in edge.view.evacuated) == evacuated)


async def call_many(site, count: int = 12) -> list[int]:
    """Send requests one after the other; return their statuses."""
    found: list[int] = []
    for number in range(count):
        status, _, _ = await site.call("GET", "/r/x", Request_Id=f"m-{number}")
        found.append(status)
    return found


# Guards against the evacuation that is forgotten with the VM, or with the store.
def test_an_evacuation_outlasts_a_store_that_is_down_and_the_loss_of_all_vms():
    async def scenario(site):
        site.store.put(KEY, "{}")
        await wait_evacuated(site)
        assert set(await call_many(site)) == {503}
        site.store.faults.down = True
        await asyncio.sleep(1.0)
        assert set(await call_many(site)) == {503}
        site.store.faults.down = False
        await site.lose_vm()
        await site.start_vm()
        assert set(await call_many(site)) == {503}
        assert site.runners[0].received == []
        site.store.remove(KEY)
        await wait_evacuated(site, False)

    run(scenario, answer)


# Guards against a copy without the key, which ended the evacuation on all VMs until the
# operator wrote it again.
def test_an_evacuation_that_a_copy_lacks_stays_until_it_is_written_again():
    async def scenario(site):
        copy = site.store.copy()
        site.store.put(KEY, "{}")
        await wait_evacuated(site)
        site.store.come_back(copy)
        edge = site.daemon.edge
        await site.wait_until(lambda: get_era(edge.mirror.revision) == 1)
        assert "a" in edge.view.evacuated
        await asyncio.sleep(0.5)
        site.store.put(KEY, "{}")
        await asyncio.sleep(SECOND_READ_S)
        assert "a" in edge.view.evacuated
        assert set(await call_many(site, 4)) == {503}
        site.store.remove(KEY)
        await wait_evacuated(site, False)

    run(scenario, answer)


# Guards against an evacuation that a copy of the store brings back after its end.
def test_a_removed_evacuation_does_not_return_with_a_copy_that_holds_it():
    async def scenario(site):
        site.store.put(KEY, "{}")
        copy = site.store.copy()
        await wait_evacuated(site)
        site.store.remove(KEY)
        await wait_evacuated(site, False)
        site.store.come_back(copy)
        edge = site.daemon.edge
        await site.wait_until(lambda: get_era(edge.mirror.revision) == 1)
        seen = []
        for _ in range(10):
            seen.append("a" in edge.view.evacuated)
            await asyncio.sleep(0.05)
        site.store.remove(KEY)
        for _ in range(round(SECOND_READ_S / 0.1)):
            seen.append("a" in edge.view.evacuated)
            await asyncio.sleep(0.1)
        assert not any(seen)

    run(scenario, answer)


# Guards against streams that are cut by an evacuation, and requests that still arrive.
def test_streams_go_on_and_other_requests_leave_the_domain_on_every_vm():
    async def slow_stream(request, writer) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: " + request.headers[b"expect-instance"] + b"\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for event in STREAM.split(b"\n\n")[:-1]:
            writer.write(b"%x\r\n%s\n\n\r\n" % (len(event) + 2, event))
            await writer.drain()
            await asyncio.sleep(0.2)
        writer.write(b"0\r\n\r\n")

    async def scenario(site):
        calls = []
        for number in range(8):
            calls.append(
                site.call(number % 2, "POST", "/s/x", b"b", Request_Id=f"s-{number}")
            )
        streams = [asyncio.ensure_future(call) for call in calls]
        await asyncio.sleep(0.4)
        site.store.put(KEY, "{}")
        edges = [daemon.edge for daemon in site.daemons]
        async with asyncio.timeout(BOUND_S):
            await site.wait_until(lambda: all(e.view.evacuated for e in edges))
        evacuated = [site.runners[0], site.runners[2]]
        before = [len(runner.received) for runner in evacuated]
        assert sum(before)
        for number in range(12):
            name = f"m-{number}"
            status, _, _ = await site.call(
                number % 2, "POST", "/s/x", b"b", Request_Id=name
            )
            assert status == 200
        assert [len(runner.received) for runner in evacuated] == before
        for status, _, body in await asyncio.gather(*streams):
            assert status == 200
            assert body == STREAM
        assert site.count_received()[b"s-0"] == 1

    run_fleet(scenario, slow_stream, vms=2)


def list_known_domains(edge: Edge) -> set[str]:
    """Return the domains of the upstreams that a VM knows."""
    return {entry.domain for entry in edge.view.catalogue.upstreams.values()}


# Guards against streams that break elsewhere and are resumed in the evacuated domain.
def test_a_stream_that_breaks_is_not_resumed_in_the_domain():
    async def scenario(site):
        cut = asyncio.Event()
        partial = STREAM[: STREAM.index(b"id: 4") + 9]

        async def break_when_told(request, writer) -> None:
            if b"last-event-id" in request.headers:
                await answer_stream(request, writer)
                return
            writer.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
                b"Response-Seal: first\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"%x\r\n%s\r\n" % (len(partial), partial)
            )
            await writer.drain()
            async with asyncio.timeout(BOUND_S):
                await cut.wait()
            reset_connection(writer)

        site.runners[1].script = break_when_told
        site.store.put("servers/i-1", make_entry(site.runners[1], zone="b"))
        site.store.put("servers/i-2", make_entry(site.runners[2], zone="c"))
        edge = site.daemon.edge
        await site.wait_until(lambda: len(list_known_domains(edge)) == 3)
        calls = []
        for number in range(18):
            call = site.call("POST", "/s/x", b"b", Request_Id=f"s-{number}")
            calls.append(asyncio.ensure_future(call))
        evacuated = site.runners[0]
        await site.wait_until(lambda: sum(len(r.received) for r in site.runners) == 18)
        began = len(evacuated.received)
        broken = len(site.runners[1].received)
        assert broken > 2
        resumed = len(site.runners[2].received) + broken
        site.store.put(KEY, "{}")
        await wait_evacuated(site)
        cut.set()
        for status, _, body in await asyncio.gather(*calls):
            assert status == 200
            assert body == STREAM
        assert len(evacuated.received) == began
        assert len(site.runners[2].received) == resumed

    run(scenario, answer, runners=3)


# Guards against VMs that start after the loss of all and use the domain.
def test_processes_that_start_after_the_loss_of_all_vms_keep_out_of_the_domain(
    tmp_path,
):
    async def scenario(site):
        site.store.put(KEY, "{}")
        async with asyncio.timeout(BOUND_S):
            while not all(vm.list_events("domain_evacuated") for vm in site.vms):
                await asyncio.sleep(0.05)
        for vm in site.vms:
            await vm.kill()
        async with asyncio.TaskGroup() as group:
            for vm in site.vms:
                group.create_task(vm.start())
        for number in range(24):
            vm = site.vms[number % len(site.vms)]
            status, _, _ = await site.call(vm, "/r/x", f"r-{number}")
            assert status == 200
        assert site.runners[0].received == site.runners[2].received == []
        assert len(site.runners[1].received) == 24
        site.store.remove(KEY)
        async with asyncio.timeout(BOUND_S):
            while not all(vm.list_events("domain_returns") for vm in site.vms):
                await asyncio.sleep(0.05)
        await asyncio.sleep(RETURN_RAMP_MS / 1_000)
        for number in range(24):
            vm = site.vms[number % len(site.vms)]
            await site.call(vm, "/r/x", f"later-{number}")
        assert site.runners[0].received

    run_processes(scenario, answer_request_line, tmp_path, runners=3, vms=2)
