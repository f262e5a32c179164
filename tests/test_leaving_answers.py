"""Runners that say in an answer that they leave get no further requests."""

import asyncio

import pytest

from bridge.codec import RunnerCodec
from fakes.runner import make_response
from plantainwood.answerparser import ResponseHead
from plantainwood.upstreamreports import ReportRecorder
from tests.edgesite import make_entry, run

REQUESTS = 12
CONFIG_APPLY_S = 2.0
"""How long a change of the store may take to be in force."""


def make_script(leaving_runner: list):
    """Return a script with which one runner says in its answers that it leaves."""

    async def script(request, writer) -> None:
        own = request.headers[b"expect-instance"].decode()
        extra = "Server-Leaving: 1\r\n" if own in leaving_runner else ""
        writer.write(make_response(request, own.encode(), extra=extra))

    return script


# Guards against new requests to a runner whose answer said that it leaves (DRAIN).
def test_a_runner_that_says_it_leaves_gets_no_further_request():
    leaving = ["i-0", "i-1"]

    async def scenario(site):
        served: list[str] = []
        for number in range(REQUESTS):
            status, _, body = await site.call("GET", "/r/x", Request_Id=f"r-{number}")
            assert status == 200
            served.append(body.decode())
        for name in leaving:
            assert served.count(name) <= 1
        assert served.count("i-2") >= REQUESTS - len(leaving)

    run(scenario, script=make_script(leaving), runners=3)


def test_a_value_that_is_not_one_says_nothing():
    async def script(request, writer) -> None:
        body = request.headers[b"expect-instance"]
        writer.write(make_response(request, body, extra="Server-Leaving: 0\r\n"))

    async def scenario(site):
        for number in range(REQUESTS):
            result = await site.call("GET", "/r/x", Request_Id=f"r-{number}")
            assert result[0] == 200

    run(scenario, script=script)


# Guards against blaming a runner for the answer of another process at its address.
def test_another_process_at_the_address_does_not_make_a_runner_leave():
    async def script(request, writer) -> None:
        if request.request_id == b"r-0":
            extra = "Server-Leaving: 1\r\nNot-Executed: 1\r\n"
            writer.write(make_response(request, b"", status=421, extra=extra))
            return
        writer.write(make_response(request, b"served"))

    async def scenario(site):
        await site.call("GET", "/r/x", Request_Id="r-0")
        status, _, body = await site.call("GET", "/r/x", Request_Id="r-1")
        assert (status, body) == (200, b"served")

    run(scenario, script=script)


def find_load(site, number: int):
    """Return what the VM knows of a runner; None if it knows none of its name."""
    loads = site.daemon.edge.broker.dispatcher.state.loads
    return next((loads[n] for n in loads if n.startswith(f"i-{number}@")), None)


async def take_entry_away(site, number: int, change: str) -> None:
    """Remove a runner's entry, or let it say that the runner drains; wait for it."""
    if change == "removed":
        site.store.remove(f"servers/i-{number}")
    else:
        entry = make_entry(site.runners[number], state=change)
        site.store.put(f"servers/i-{number}", entry)

    def is_in_force() -> bool:
        load = find_load(site, number)
        return load is None or load.leaving

    await site.wait_until(is_in_force)


async def bring_entry_back(site, number: int) -> None:
    """Write a runner's entry as it was, and wait until it is in force."""
    site.store.put(f"servers/i-{number}", make_entry(site.runners[number]))
    await asyncio.sleep(CONFIG_APPLY_S)
    assert find_load(site, number) is not None


async def count_served(site, instance: bytes) -> int:
    """Send some requests; return how many of them a runner served."""
    count = 0
    for number in range(REQUESTS):
        status, _, body = await site.call("GET", "/r/x", Request_Id=f"r-{number}")
        assert status == 200
        count += body == instance
    return count


# Guards against new requests to a runner that has said that it leaves, after its entry
# lapsed, or said so too, and came back as before (DRAIN).
@pytest.mark.parametrize("change", ["removed", "draining"])
def test_a_runner_that_leaves_stays_left_when_its_entry_comes_back(change):
    is_taken = asyncio.Event()

    async def script(request, writer) -> None:
        own = request.headers[b"expect-instance"]
        extra = ""
        if request.request_id == b"held":
            await is_taken.wait()
            extra = "Server-Leaving: 1\r\n"
        writer.write(make_response(request, own, extra=extra))

    async def scenario(site):
        held = asyncio.create_task(site.call("GET", "/r/x", Request_Id="held"))
        await site.wait_until(lambda: any(r.received for r in site.runners))
        number = int(not site.runners[0].received)
        await take_entry_away(site, number, change)
        is_taken.set()
        status, headers, body = await held
        assert (status, headers["Server-Leaving"]) == (200, "1")
        await bring_entry_back(site, number)
        assert await count_served(site, body) == 0

    run(scenario, script=script, runners=2)


# Guards against new requests to a runner whose leaving another VM's answer told, while
# this VM did not know its entry (DRAIN).
def test_a_runner_that_another_vm_tells_of_stays_left_when_its_entry_comes():
    async def script(request, writer) -> None:
        writer.write(make_response(request, request.headers[b"expect-instance"]))

    async def scenario(site):
        broker = site.daemon.edge.broker
        name = find_load(site, 0).name
        await take_entry_away(site, 0, "removed")
        assert find_load(site, 0) is None
        head = ResponseHead(200, [(b"server-leaving", b"1")])
        ReportRecorder(broker, RunnerCodec()).record_elsewhere(name, "r", head)
        await bring_entry_back(site, 0)
        assert await count_served(site, b"i-0") == 0

    run(scenario, script=script, runners=2)
