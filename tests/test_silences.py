"""Answers of upstreams that fall silent for longer than an attempt's limit."""

import asyncio
from collections import Counter

import pytest

from fakes.runner import make_response
from plantainwood.core.retries import RetryBudget
from tests.edgesite import (
    STREAM,
    Site,
    answer_stream,
    make_config,
    make_entry,
    run,
)
from tests.fleetsite import FleetSite, LostPath, run_fleet

SILENCE_S = 2.0
"""Longer than any limit of the tests' routes, and shorter than their time."""
FOREVER_S = 60.0
EVENTS = [event + b"\n\n" for event in STREAM.split(b"\n\n") if event]
BEGINNING_S = 0.3
"""How long a stream takes until its upstream falls silent, at least."""
BEGUN = 2
"""The events of a stream before its upstream falls silent."""
CROWD = 40
MAX_PROBES = 5
"""Of an upstream in the time of a silence; failures share a result for 0.2 s."""
KINDS = {
    "stream": ("POST", "/s/x"),
    "stream-once": ("POST", "/n/x"),
    "safe": ("GET", "/r/x"),
    "unsafe": ("POST", "/u/x"),
}


class EmptyBudget(RetryBudget):
    """A budget without a retry."""

    def has_left(self, tier: int) -> bool:
        """Return False."""
        return False

    def spend(self, tier: int) -> bool:
        """Return False."""
        return False


class SilentOnce:
    """A script that falls silent in the first attempt of one request only."""

    def __init__(self, silence_s: float, within: bool = False) -> None:
        self._silence_s = silence_s
        self._within = within
        """Whether it falls silent within a stream, otherwise before the head."""
        self.reached: Counter[bytes] = Counter()

    async def __call__(self, request, writer) -> None:
        self.reached[request.request_id] += 1
        is_first = self.reached[b"id-1"] == 1 and request.request_id == b"id-1"
        is_stream = b" /s/" in request.line or b" /n/" in request.line
        if is_first and not (self._within and is_stream):
            await asyncio.sleep(self._silence_s)
        if not is_stream:
            writer.write(make_response(request, request.line))
            return
        if not (is_first and self._within):
            await answer_stream(request, writer)
            return
        await self._answer_with_gap(request, writer)

    async def _answer_with_gap(self, request, writer) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number, event in enumerate(EVENTS):
            if number == BEGUN:
                await asyncio.sleep(self._silence_s)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def check_whole(kind: str, status: int, body: bytes) -> None:
    """Check that an answer is complete, with each event once."""
    assert status == 200
    if kind.startswith("stream"):
        assert body == STREAM
    else:
        assert body.split()[1].decode() == KINDS[kind][1]


def list_silences(caplog) -> list[tuple[str, str]]:
    """Return what was decided on silent attempts, and why they were kept."""
    found: list[tuple[str, str]] = []
    for record in caplog.records:
        if record.getMessage() == "attempt_silent":
            found.append((record.decision, record.why))
    return found


def empty_budgets(*daemons) -> None:
    """Leave no retry to any VM."""
    for daemon in daemons:
        daemon.edge.broker.dispatcher.state.budget = EmptyBudget()


async def lose_path_of_first(site: FleetSite) -> None:
    """Let the first VM lose its path to the upstreams, and find that out."""
    site.lose_path(0, LostPath.RESET)
    await site.call(0, "GET", "/r/x", Request_Id="first")
    state = site.daemons[0].edge.broker.dispatcher.state
    await site.wait_until(lambda: state.path_lost)


CASES = [(kind, False) for kind in KINDS] + [("stream", True), ("stream-once", True)]


# Guards against answers that end early because their upstream is silent for a while and
# no retry is left (LOST).
@pytest.mark.parametrize("in_chunks", [False, True])
@pytest.mark.parametrize(("kind", "within"), CASES)
def test_a_silence_ends_no_answer_while_no_retry_is_left(
    kind, within, in_chunks, caplog
):
    caplog.set_level("INFO", "plantainwood")
    script = SilentOnce(SILENCE_S, within)
    method, path = KINDS[kind]

    async def send_body():
        yield b"in "
        yield b"chunks"

    async def scenario(site: Site) -> None:
        empty_budgets(site.daemon)
        body = send_body() if in_chunks and method == "POST" else b"whole"
        status, _, received = await site.call(method, path, body)
        check_whole(kind, status, received)
        assert script.reached == {b"id-1": 1}

    run(scenario, script, runners=2)
    repeatable = kind in ("stream", "safe")
    assert list_silences(caplog) == [("kept", "no_budget")] * repeatable


# Guards against a request that stays with an upstream which is dead (TIME).
@pytest.mark.parametrize(
    ("kind", "within"), [("stream", False), ("stream", True), ("safe", False)]
)
def test_a_dead_upstream_is_left_after_the_limit(kind, within, caplog):
    caplog.set_level("INFO", "plantainwood")
    script = SilentOnce(FOREVER_S, within)

    async def scenario(site: Site) -> None:
        status, _, body = await site.call(*KINDS[kind])
        check_whole(kind, status, body)
        assert script.reached == {b"id-1": 2}
        await site.wait_until(
            lambda: any(runner.closed_by_caller for runner in site.runners)
        )

    run(scenario, script, runners=2)
    assert list_silences(caplog) == [("moved", "-")]


# Guards against a second run of a call that may run once (TWICE).
def test_a_dead_upstream_is_not_left_by_a_call_that_may_run_once():
    script = SilentOnce(FOREVER_S)

    async def scenario(site: Site) -> None:
        status, _, body = await site.call(*KINDS["unsafe"])
        assert status == 504
        assert b'"outcome":"unknown"' in body
        assert script.reached == {b"id-1": 1}

    run(scenario, script, runners=2)


# Guards against a request that is proved to have run nowhere after a silent attempt
# that may have run (TWICE).
def test_a_request_left_by_no_upstream_may_have_run():
    async def stay_silent(request, writer) -> None:
        await asyncio.sleep(FOREVER_S)

    async def scenario(site: Site) -> None:
        status, _, body = await site.call(*KINDS["safe"])
        assert status == 504
        assert b'"outcome":"unknown"' in body
        assert sum(len(runner.received) for runner in site.runners) == 2

    run(scenario, stay_silent, runners=2)


# Guards against a stream that ends for silence while a release leaves one upstream of
# its version (LOST).
def test_a_silent_stream_goes_on_at_the_last_upstream_of_its_version(caplog):
    caplog.set_level("INFO", "plantainwood")
    script = SilentOnce(SILENCE_S, within=True)

    async def scenario(site: Site) -> None:
        for number, runner in enumerate(site.runners):
            entry = make_entry(runner, version=f"v{number}", sequence=2)
            site.store.put(f"servers/i-{number}", entry)
        upstreams = site.daemon.edge.broker.dispatcher.state.loads
        await site.wait_until(
            lambda: {load.entry.software_version for load in upstreams.values()}
            == {"v0", "v1"}
        )
        status, _, body = await site.call(*KINDS["stream"])
        check_whole("stream", status, body)

    run(scenario, script, runners=2)
    assert list_silences(caplog) == [("kept", "version")]


# Guards against an answer that ends for silence where no other upstream is (LOST).
@pytest.mark.parametrize(
    ("kind", "within"), [("stream", False), ("stream", True), ("safe", False)]
)
def test_a_silence_of_the_only_upstream_ends_no_answer(kind, within, caplog):
    caplog.set_level("INFO", "plantainwood")
    script = SilentOnce(SILENCE_S, within)

    async def scenario(site: Site) -> None:
        status, _, body = await site.call(*KINDS[kind])
        check_whole(kind, status, body)
        assert script.reached == {b"id-1": 1}

    run(scenario, script)
    why = "version" if within else "no_upstream"
    assert list_silences(caplog) == [("kept", why)]


# Guards against an answer that ends for silence at the last of its attempts (LOST).
def test_a_silence_of_the_last_attempt_ends_no_answer(caplog):
    script = SilentOnce(SILENCE_S, within=True)
    caplog.set_level("INFO", "plantainwood")

    async def scenario(site: Site) -> None:
        config = make_config(version=2).replace(b'"attempts":2', b'"attempts":1')
        site.store.put("op/config", config)
        edge = site.daemon.edge
        await site.wait_until(lambda: edge.view.routes.version == 2)
        status, _, body = await site.call(*KINDS["stream"])
        check_whole("stream", status, body)

    run(scenario, script, runners=2)


# Guards against a call through another VM that the asking VM ends for a silence which
# the serving VM bears with (LOST).
@pytest.mark.parametrize(("kind", "within"), CASES)
def test_a_silence_ends_no_answer_through_another_vm(kind, within, caplog):
    caplog.set_level("INFO", "plantainwood")
    script = SilentOnce(SILENCE_S, within)
    method, path = KINDS[kind]

    async def scenario(site: FleetSite) -> None:
        await lose_path_of_first(site)
        empty_budgets(*site.daemons)
        status, _, body = await site.call(0, method, path)
        check_whole(kind, status, body)
        assert script.reached[b"id-1"] == 1

    run_fleet(scenario, script, runners=2, vms=2)
    decisions = list_silences(caplog)
    assert all(decision == "kept" for decision, _ in decisions), decisions


# Guards against a stream that loses or repeats events where its serving VM replaces a
# silent attempt (ORDER).
@pytest.mark.parametrize("within", [False, True])
def test_the_serving_vm_leaves_a_dead_upstream(within, caplog):
    caplog.set_level("INFO", "plantainwood")
    script = SilentOnce(FOREVER_S, within)

    async def scenario(site: FleetSite) -> None:
        await lose_path_of_first(site)
        status, _, body = await site.call(0, *KINDS["stream"])
        check_whole("stream", status, body)
        assert script.reached[b"id-1"] == 2

    run_fleet(scenario, script, runners=2, vms=2)
    assert list_silences(caplog) == [("moved", "-")]


# Guards against more connections than an upstream takes, one more for each attempt that
# is silent there (LOST).
def test_many_silent_attempts_bring_few_probes():
    reached: Counter[bytes] = Counter()

    async def pause(request, writer) -> None:
        reached[request.request_id] += 1
        await asyncio.sleep(SILENCE_S)
        await answer_stream(request, writer)

    async def scenario(site: Site) -> None:
        (runner,) = site.runners
        site.store.put("servers/i-0", make_entry(runner, slots=64, sequence=2))
        loads = site.daemon.edge.broker.dispatcher.state.loads
        await site.wait_until(
            lambda: any(load.entry.slots == 64 for load in loads.values())
        )
        names = [f"s-{number}" for number in range(CROWD)]
        calls = [site.call("POST", "/s/x", b"b", Request_Id=name) for name in names]
        for status, _, body in await asyncio.gather(*calls):
            check_whole("stream", status, body)
        assert set(reached.values()) == {1}
        assert runner.connections <= CROWD + MAX_PROBES

    run(scenario, pause)


async def accept_no_connections(site: FleetSite) -> None:
    """Let no VM open a further connection to a runner; those that are open live on."""
    for vm, path in enumerate(site.paths):
        path._connections.clear()
        site.lose_path(vm, LostPath.RESET)


# Guards against a stream that is given up in silence for an upstream that its VM knows
# to be out of reach, or for other VMs that reach none either (LOST).
@pytest.mark.parametrize(
    ("vms", "decision"), [(1, ("kept", "path")), (5, ("moved", "-"))]
)
def test_a_silence_ends_no_stream_while_upstreams_accept_no_connections(
    vms, decision, caplog
):
    caplog.set_level("INFO", "plantainwood")
    script = SilentOnce(SILENCE_S, within=True)

    async def scenario(site: FleetSite) -> None:
        calling = asyncio.create_task(site.call(0, *KINDS["stream"]))
        await site.wait_until(lambda: script.reached)
        await asyncio.sleep(BEGINNING_S)
        await accept_no_connections(site)
        status, _, body = await calling
        check_whole("stream", status, body)

    run_fleet(scenario, script, runners=2, vms=vms)
    assert list_silences(caplog)[0] == decision
