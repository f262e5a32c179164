"""Requests that come late in a planned stop get an answer, or are not taken."""

import asyncio
import signal

import pytest

from fakes.runner import make_response
from plantainwood.core import events as ev
from plantainwood.core.dispatcher import Dispatcher
from plantainwood.core.errors import Outcome
from tests.catalogues import make_catalogue
from tests.edgesite import AUTHORIZATION, HOST, make_config, make_entry
from tests.processsite import ProcessSite, run_processes

TIMEOUT_MS = 15_000
RUN_S = 5.0
"""How long an upstream works on a request: less than the VM's grace period."""
GRACE_S = 8.0
SENDING_S = 4.0
GAP_S = 0.1
PAUSE_S = 0.3
CONFIG_S = 1.0
EXCUSED_S = 3.0
"""Only of requests sent earlier may the upstream outlast the grace period."""
SLOTS = 64
CLOSED = 0
STOPS_AT_MS = 9_000
WORK_S = (0.05, 0.7, 2.0, 4.0, 6.0, 7.3, 12.0)


async def answer_late(request, writer) -> None:
    """Answer as soon as the path says so, or after RUN_S."""
    if b"/quick" not in request.line:
        await asyncio.sleep(RUN_S)
    writer.write(make_response(request, request.request_id))


def make_long_config() -> bytes:
    """Return a configuration whose routes leave upstreams much time."""
    base = {
        "host": HOST,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": 6_000,
        "priority": 1,
        "service": "pool",
        "attempts": 1,
    }
    routes = [
        {**base, "name": "r1", "prefix": "/u/", "kind": "unsafe"},
        {**base, "name": "r2", "prefix": "/r/", "kind": "safe"},
    ]
    return make_config(version=2, routes=routes)


async def give_room(site: ProcessSite) -> None:
    """Let long routes be in force, and enough slots that no request waits."""
    for number, runner in enumerate(site.runners):
        site.store.put(f"servers/i-{number}", make_entry(runner, slots=SLOTS))
    site.store.put("op/config", make_long_config())
    await site.wait_for_config(2, CONFIG_S)


class LateCall:
    """A request sent during the stop: how long after its begin, and its status."""

    __slots__ = ("name", "sent_s", "status")

    def __init__(self, name: str, sent_s: float) -> None:
        self.name = name
        self.sent_s = sent_s
        self.status: int | None = None
        """CLOSED if the VM closed the connection; None if it was refused."""


async def send_late(vm, call: LateCall, path: str, remaining_ms: int) -> None:
    """Send a request on a connection of its own and record what comes back."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.ports[0])
    except OSError:
        return
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {call.name}\r\n"
        f"Authorization: {AUTHORIZATION}\r\nDeadline-Remaining: {remaining_ms}\r\n"
        "Content-Length: 1\r\n\r\nb"
    )
    try:
        writer.write(head.encode())
        received = await reader.read(65_536)
    except ConnectionError:
        received = b""
    finally:
        writer.close()
    call.status = int(received.split()[1]) if received else CLOSED


async def send_during_stop(site, path: str, remaining_ms: int) -> list[LateCall]:
    """Stop the first VM as planned; return the requests sent to it meanwhile."""
    vm = site.vms[0]
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    vm.signal(signal.SIGTERM)
    calls: list[LateCall] = []
    async with asyncio.TaskGroup() as group:
        while loop.time() - began_s < SENDING_S:
            call = LateCall(f"l-{len(calls)}", loop.time() - began_s)
            calls.append(call)
            group.create_task(send_late(vm, call, path, remaining_ms))
            await asyncio.sleep(GAP_S)
    await vm.process.wait()
    assert loop.time() - began_s < GRACE_S
    assert vm.process.returncode == 0
    return calls


# Guards against requests that are taken late in a planned stop, passed on, and cut with
# no answer at its end (LOST).
@pytest.mark.parametrize("path", ["/u/x", "/r/x"])
def test_a_request_that_comes_late_in_a_planned_stop_is_answered(path, tmp_path):
    async def scenario(site: ProcessSite) -> None:
        await give_room(site)
        calls = await send_during_stop(site, path, TIMEOUT_MS)
        ran = {r.request_id.decode() for u in site.runners for r in u.received}
        served = [call for call in calls if call.status == 200]
        assert served, "nothing was served"
        # What was passed on gets a whole answer, and late requests the upstream's own.
        for call in calls:
            if call.name not in ran:
                assert call.status in (503, None), (call.name, call.sent_s)
                continue
            assert call.status in (200, 502, 504), (call.name, call.sent_s)
            if call.sent_s > EXCUSED_S:
                assert call.status == 200, (call.name, call.sent_s)

    run_processes(scenario, answer_late, tmp_path, vms=2)


async def answer_as_asked(request, writer) -> None:
    """Answer after as many seconds as the end of the path says."""
    work_s = float(request.line.split()[1].rpartition(b"/")[2])
    await asyncio.sleep(work_s)
    writer.write(make_response(request, request.request_id))


# Guards against any moment of a planned stop, and any length of work, at which a
# request that was read gets no answer, or a promise that does not hold (LOST, REFUSED).
@pytest.mark.parametrize("kind", ["u", "r"])
def test_each_moment_and_length_of_work_gets_an_answer(kind, tmp_path):
    async def scenario(site: ProcessSite) -> None:
        await give_room(site)
        vm = site.vms[0]
        loop = asyncio.get_running_loop()
        calls: list[LateCall] = []
        group = asyncio.TaskGroup()
        began_s = 0.0

        def send_all() -> None:
            for work_s in WORK_S:
                sent_s = loop.time() - began_s
                call = LateCall(f"m-{work_s}-{len(calls)}", sent_s)
                calls.append(call)
                path = f"/{kind}/{work_s}"
                group.create_task(send_late(vm, call, path, TIMEOUT_MS))

        async with group:
            began_s = loop.time() + 1.0
            while loop.time() < began_s:
                send_all()
                await asyncio.sleep(0.25)
            vm.signal(signal.SIGTERM)
            began_s = loop.time()
            while site.list_ended() == []:
                send_all()
                await asyncio.sleep(0.25)
        ran = {r.request_id.decode() for u in site.runners for r in u.received}
        wrong = []
        for call in calls:
            allowed = (200, 502, 504) if call.name in ran else (503, None)
            if call.status not in allowed:
                wrong.append((call.name, round(call.sent_s, 2), call.status))
        assert wrong == []
        assert {call.status for call in calls} >= {200, 503, 504}

    run_processes(scenario, answer_as_asked, tmp_path, vms=2)


def make_parts(name: str, part: int) -> tuple[bytes, bytes]:
    """Return a request in two parts: nothing and all, or half a head and the rest."""
    request = (
        f"POST /u/0.05 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
        f"Authorization: {AUTHORIZATION}\r\nContent-Length: 1\r\n\r\nb"
    ).encode()
    at = part * len(request) // 2
    return request[:at], request[at:]


async def send_slowly(vm, call: LateCall, part: int) -> None:
    """Open a connection, pause, then send a request; record what comes back."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.ports[0])
    except OSError:
        return
    first, rest = make_parts(call.name, part)
    received = b""
    try:
        writer.write(first)
        await asyncio.sleep(PAUSE_S)
        writer.write(rest)
        received = await reader.read(65_536)
    except ConnectionError:
        pass
    finally:
        writer.close()
    call.status = int(received.split()[1]) if received else CLOSED


# Guards against connections that a stopping VM accepted and closed before their first
# request, or in the middle of a head (LOST); also beside a call that outlasts the VM.
@pytest.mark.parametrize("long_s", [12.0, 6.0, None])
@pytest.mark.parametrize("part", [0, 1])
def test_a_connection_opened_late_in_a_planned_stop_gets_an_answer(
    part, long_s, tmp_path
):
    async def scenario(site: ProcessSite) -> None:
        await give_room(site)
        vm = site.vms[0]
        loop = asyncio.get_running_loop()
        calls: list[LateCall] = []
        async with asyncio.TaskGroup() as group:
            if long_s is not None:
                call = LateCall("long", 0.0)
                group.create_task(send_late(vm, call, f"/u/{long_s}", TIMEOUT_MS))
            await asyncio.sleep(0.2)
            vm.signal(signal.SIGTERM)
            began_s = loop.time()
            while site.list_ended() == []:
                call = LateCall(f"s-{len(calls)}", loop.time() - began_s)
                calls.append(call)
                group.create_task(send_slowly(vm, call, part))
                await asyncio.sleep(GAP_S)
        closed = [round(call.sent_s, 2) for call in calls if call.status == CLOSED]
        assert closed == []
        assert {call.status for call in calls} >= {200, 503}
        assert loop.time() - began_s < GRACE_S
        assert vm.process.returncode == 0

    run_processes(scenario, answer_as_asked, tmp_path, vms=2)


# Guards against a request that a node takes though it may outlast the node (LOST).
def test_a_node_that_stops_takes_only_what_ends_before():
    dispatcher = Dispatcher("vm-1", 7)
    dispatcher.apply_catalogue(make_catalogue())
    dispatcher.decide(ev.StopPlanned(STOPS_AT_MS), 5_000)
    for deadline_ms, expected in (
        (STOPS_AT_MS, ev.Dispatch),
        (STOPS_AT_MS + 1, ev.Refuse),
    ):
        arrival = ev.Arrival(
            f"r-{deadline_ms}",
            "norte",
            "hint",
            "model/rounds",
            queue_deadline_ms=deadline_ms,
        )
        assert isinstance(dispatcher.decide(arrival, 5_000)[0], expected)


# Guards against a stop that leaves a running request without a word, or that says of it
# that it has not run (LOST, REFUSED).
def test_a_node_that_stops_ends_what_runs_as_unknown():
    dispatcher = Dispatcher("vm-1", 7)
    dispatcher.apply_catalogue(make_catalogue())
    arrival = ev.Arrival("r-1", "norte", "hint", "model/rounds")
    dispatcher.decide(arrival, 5_000)
    refusals = [
        decision
        for decision in dispatcher.decide(ev.Stopping(), 9_000)
        if isinstance(decision, ev.Refuse)
    ]
    assert [refusal.error.outcome for refusal in refusals] == [Outcome.UNKNOWN]
    assert not dispatcher.state.requests


# Guards against an error for a caller whose request another VM can still serve.
def test_a_node_that_stops_leaves_running_calls_to_the_vm_that_sent_them():
    dispatcher = Dispatcher("vm-1", 7)
    dispatcher.apply_catalogue(make_catalogue())
    arrival = ev.Arrival("r-1", "norte", "hint", "model/rounds", from_vm=True)
    dispatcher.decide(arrival, 5_000)
    assert dispatcher.decide(ev.Stopping(), 9_000) == []


# Guards against a stop that turns requests away which it could still answer.
def test_a_request_that_ends_within_the_grace_is_taken(tmp_path):
    async def scenario(site: ProcessSite) -> None:
        await give_room(site)
        calls = await send_during_stop(site, "/u/quick", remaining_ms=2_000)
        early = [call for call in calls if call.sent_s < EXCUSED_S]
        assert {call.status for call in early} == {200}

    run_processes(scenario, answer_late, tmp_path, vms=2)
