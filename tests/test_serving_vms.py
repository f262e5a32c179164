"""Calls that another VM serves: what it may do with them, and what both sides count."""

import asyncio

import pytest

from plantainwood.core import events as ev
from plantainwood.core.addresses import Candidate, choose_addresses
from plantainwood.core.catalogue import ServingVm, UpstreamKind
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import ErrorCode, Outcome
from plantainwood.core.retries import RetryBudget
from plantainwood.core.servingvms import VM_PREFIX
from plantainwood.vmcallserver import VmCallServer
from tests.catalogues import make_catalogue
from tests.edgesite import STREAM, answer_request_line, answer_stream
from tests.fleetsite import LostPath, run_fleet

ARRIVAL = ev.Arrival("r1", "norte", "hint", "model/rounds")
REGAINED_AFTER_S = 3.0


class CountingBudget(RetryBudget):
    """A retry budget that counts what it earns."""

    earned = 0

    def earn(self, tier: int) -> None:
        """Count a first attempt."""
        self.earned += 1


def make_serving_vm(weight: int = 100, path_lost: bool = False) -> ServingVm:
    """Return the entry of another VM."""
    return ServingVm(
        owner="",
        kind=UpstreamKind.PLAIN,
        address="10.0.0.9:7000",
        domain="a",
        weight=weight,
        path_lost=path_lost,
    )


def make_dispatcher(**vms: ServingVm) -> Dispatcher:
    """Return a dispatcher that knows of other VMs and has lost its path."""
    dispatcher = Dispatcher("vm-1", 7, Options(make_budget=CountingBudget))
    dispatcher.apply_catalogue(make_catalogue())
    dispatcher.set_serving_vms({VM_PREFIX + name: vms[name] for name in vms})
    dispatcher.decide(ev.PathProbed(lost=True), 1_000)
    return dispatcher


def arrive(dispatcher: Dispatcher, arrival: ev.Arrival = ARRIVAL) -> ev.Decision:
    """Let a request arrive; return the first decision on it."""
    return dispatcher.decide(arrival, 1_000)[0]


def test_a_request_goes_to_a_vm_that_has_a_path():
    dispatcher = make_dispatcher(x=make_serving_vm(path_lost=True), y=make_serving_vm())
    for number in range(20):
        arrival = ev.Arrival(f"r{number}", "norte", "hint", "model/rounds")
        decision = arrive(dispatcher, arrival)
        assert isinstance(decision, ev.Dispatch)
        assert decision.upstream == VM_PREFIX + "y"


def test_a_strong_vm_gets_more_requests_than_a_weak_one():
    dispatcher = make_dispatcher(weak=make_serving_vm(20), strong=make_serving_vm(100))
    strong = 0
    for number in range(200):
        arrival = ev.Arrival(f"r{number}", "norte", "hint", "model/rounds")
        decision = arrive(dispatcher, arrival)
        strong += decision.upstream == VM_PREFIX + "strong"
        dispatcher.decide(ev.AttemptDone(f"r{number}", decision.attempt), 1_000)
    assert 140 <= strong <= 190


# Guards against requests that VMs without a path pass around (RECOVER).
def test_a_request_from_another_vm_goes_to_no_further_vm():
    dispatcher = make_dispatcher(x=make_serving_vm())
    arrival = ev.Arrival("r1", "norte", "hint", "model/rounds", from_vm=True)
    decision = arrive(dispatcher, arrival)
    assert isinstance(decision, ev.Refuse)
    assert decision.error.code is ErrorCode.UPSTREAM_UNAVAILABLE
    assert decision.error.outcome is Outcome.NOT_RUN
    assert decision.error.retry_after_ms


def test_a_request_from_another_vm_that_runs_when_the_path_is_lost_is_given_back():
    dispatcher = make_dispatcher(x=make_serving_vm())
    dispatcher.decide(ev.PathProbed(lost=False), 1_000)
    arrival = ev.Arrival("r1", "norte", "hint", "model/rounds", from_vm=True)
    dispatch = arrive(dispatcher, arrival)
    dispatcher.decide(ev.PathProbed(lost=True), 1_010)
    failed = ev.AttemptFailed("r1", dispatch.attempt, False, True, reached=False)
    decision = dispatcher.decide(failed, 1_020)[0]
    assert isinstance(decision, ev.Refuse)
    assert decision.error.outcome is Outcome.NOT_RUN


def test_a_request_that_a_vm_refused_as_not_run_goes_to_another_one():
    dispatcher = make_dispatcher(x=make_serving_vm(), y=make_serving_vm())
    first = arrive(dispatcher)
    failed = ev.AttemptFailed("r1", first.attempt, False, True, reached=False)
    second = dispatcher.decide(failed, 1_010)[0]
    assert isinstance(second, ev.Dispatch)
    assert second.upstream != first.upstream


def test_an_unsafe_request_that_a_vm_may_have_served_is_not_sent_again():
    dispatcher = make_dispatcher(x=make_serving_vm(), y=make_serving_vm())
    arrival = ev.Arrival("r1", "norte", "hint", "model/rounds", repeatable=False)
    first = arrive(dispatcher, arrival)
    failed = ev.AttemptFailed("r1", first.attempt, False, False)
    decision = dispatcher.decide(failed, 1_010)[0]
    assert isinstance(decision, ev.Refuse)
    assert decision.error.outcome is Outcome.UNKNOWN


def test_only_the_vm_that_serves_a_request_counts_it_for_retries():
    dispatcher = make_dispatcher(x=make_serving_vm())
    arrive(dispatcher)
    assert dispatcher.state.budget.earned == 0


def test_a_vm_without_a_path_and_without_others_tries_the_upstreams_itself():
    dispatcher = make_dispatcher(x=make_serving_vm(path_lost=True))
    decision = arrive(dispatcher)
    assert isinstance(decision, ev.Dispatch)
    assert not decision.upstream.startswith(VM_PREFIX)


def test_a_vm_that_is_gone_is_forgotten():
    dispatcher = make_dispatcher(x=make_serving_vm())
    dispatcher.set_serving_vms({})
    assert not [name for name in dispatcher.state.loads if name.startswith(VM_PREFIX)]
    dispatcher.apply_catalogue(make_catalogue())
    assert not arrive(dispatcher).upstream.startswith(VM_PREFIX)


@pytest.mark.parametrize("lost,listed", [(1, 5), (3, 3), (5, 6), (6, 6)])
def test_vms_without_a_path_are_left_out_unless_most_have_none(lost, listed):
    candidates = [Candidate(f"10.0.0.{n}:80", 100, n < lost) for n in range(6)]
    assert len(choose_addresses(candidates, "caller")) == listed


async def answer_slowly(request, writer) -> None:
    """Answer a stream event by event, and other requests after a while."""
    if request.line.split()[1].startswith(b"/s/"):
        await answer_stream(request, writer)
        return
    await asyncio.sleep(0.3)
    await answer_request_line(request, writer)


# Guards against crash marks for what a VM's own path has cut off (LOST).
@pytest.mark.parametrize("how", [LostPath.RESET, LostPath.HANG], ids=lambda h: h.value)
def test_a_lost_path_marks_no_request(how):
    async def scenario(site):
        calls = [
            site.call(0, "POST", "/u/x", b"%d" % n, Request_Id=f"u-{n}")
            for n in range(8)
        ]
        running = asyncio.gather(*calls)
        await asyncio.sleep(0.15)
        site.lose_path(0, how)
        await running
        for daemon in site.daemons:
            state = daemon.edge.broker.dispatcher.state
            now_ms = daemon.edge.clock.now_ms()
            assert state.quarantine.list_marks(now_ms) == []
            assert state.part_quarantine.list_crashes(now_ms) == []

    run_fleet(scenario, answer_slowly)


def test_a_vm_whose_path_is_back_serves_by_itself_again():
    async def scenario(site):
        state = site.daemons[0].edge.broker.dispatcher.state
        site.lose_path(0, LostPath.RESET)
        assert (await site.call(0, "GET", "/r/x"))[0] == 200
        assert state.path_lost
        await site.wait_until(lambda: knows_lost_path(site.daemons[1], "vm-0"))
        site.paths[0].regain()
        await asyncio.sleep(REGAINED_AFTER_S)
        assert not state.path_lost
        assert not knows_lost_path(site.daemons[1], "vm-0")
        seen = site.daemons[0].edge.connection_pool.opened_count
        assert (await site.call(0, "GET", "/r/x", Request_Id="later"))[0] == 200
        assert site.daemons[0].edge.connection_pool.opened_count >= seen

    run_fleet(scenario, answer_request_line)


def knows_lost_path(daemon, name: str) -> bool:
    """Tell whether a node knows that another one has lost its path."""
    vms = daemon.edge.broker.dispatcher.state.serving_vms
    return vms[VM_PREFIX + name].path_lost


def test_an_upstream_stops_when_the_caller_leaves_a_vm_without_a_path():
    async def scenario(site):
        site.lose_path(0, LostPath.RESET)
        assert (await site.call(0, "GET", "/r/x"))[0] == 200
        task = asyncio.create_task(site.call(0, "GET", "/r/x", Request_Id="left"))
        await site.wait_until(lambda: site.count_received()[b"left"] == 1)
        task.cancel()
        await site.wait_until(
            lambda: sum(runner.closed_by_caller for runner in site.runners) == 1
        )

    run_fleet(scenario, answer_slowly)


def test_the_vm_that_serves_a_call_counts_it_for_the_usage_report():
    async def scenario(site):
        site.lose_path(0, LostPath.RESET)
        for number in range(5):
            result = await site.call(0, "GET", "/r/x", Request_Id=f"u-{number}")
            assert result[0] == 200
        counted = [count_starts(daemon) for daemon in site.daemons]
        assert counted[0] == 0
        assert sum(counted) == 5

    run_fleet(scenario, answer_request_line)


def count_starts(daemon) -> int:
    """Return how many requests a node has counted as started."""
    counter = daemon.edge.start_counter
    return sum(sum(record.counts.values()) for record in counter.list_records())


async def answer_until_cut(request, writer) -> None:
    """Answer a stream slowly, event by event."""
    last_id = int(request.headers.get(b"last-event-id", b"0"))
    events = [event + b"\n\n" for event in STREAM.split(b"\n\n") if event][last_id:]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
        b"Response-Seal: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for event in events:
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")


# Guards against streams that end with the path of the VM that brings them (LOST).
@pytest.mark.parametrize("how", [LostPath.RESET, LostPath.HANG], ids=lambda h: h.value)
def test_a_stream_goes_on_through_another_vm_without_a_gap(how):
    async def scenario(site):
        call = asyncio.create_task(site.call(0, "POST", "/s/x", b"prompt"))
        await site.wait_until(lambda: site.count_received()[b"id-1"] == 1)
        await asyncio.sleep(0.25)
        site.lose_path(0, how)
        status, _, body = await call
        assert (status, body) == (200, STREAM)
        assert site.count_received()[b"id-1"] == 2

    run_fleet(scenario, answer_until_cut)


# Guards against a second run of a call when the VM that serves it dies (TWICE).
def test_a_call_whose_serving_vm_dies_is_sent_again_only_if_it_may_run_twice():
    async def scenario(site):
        site.lose_path(0, LostPath.RESET)
        assert (await site.call(0, "GET", "/r/x", Request_Id="first"))[0] == 200
        calls = {
            name: asyncio.create_task(site.call(0, method, path, b"x", Request_Id=name))
            for name, method, path in (
                ("booking", "POST", "/u/x"),
                ("reading", "POST", "/r/x"),
            )
        }
        await site.wait_until(
            lambda: site.count_received().keys() >= {b"booking", b"reading"}
        )
        for daemon in site.daemons[1:]:
            await cut_calls(daemon)
        assert (await calls["booking"])[0] == 502
        assert site.count_received()[b"booking"] == 1
        assert (await calls["reading"])[0] == 200
        assert site.count_received()[b"reading"] == 2

    run_fleet(scenario, answer_slowly)


async def cut_calls(daemon) -> None:
    """Break the connections on which other VMs' calls come, as a crash does."""
    for service in daemon._services:
        if isinstance(service, VmCallServer) and service._server is not None:
            for handler in list(service._server.connections):
                handler.transport.abort()


# Guards against a 403 for a call whose serving VM has an older configuration (DENIED).
def test_a_call_that_a_vm_with_an_older_configuration_refuses_may_come_back():
    async def scenario(site):
        site.lose_path(0, LostPath.RESET)
        assert (await site.call(0, "GET", "/r/x"))[0] == 200
        for daemon in site.daemons[1:]:
            daemon.edge.broker.dispatcher.state.catalogue.classes.clear()
        status, headers, _ = await site.call(0, "GET", "/r/x", Request_Id="later")
        assert status == 503
        assert headers["Retry-After"]
        assert site.count_received()[b"later"] == 0

    run_fleet(scenario, answer_request_line)
