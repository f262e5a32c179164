"""Requests that ask for the head of an answer only."""

import pytest

from fakes.runner import make_response
from tests.edgesite import run
from tests.processsite import ProcessSite, run_processes
from tests.test_failures_through_vms import read_all
from tests.test_streams_of_lost_vms import answer as answer_warming
from tests.test_streams_of_lost_vms import set_up

BODY = b"id: 1\ndata: hello\n\n"
TYPE = "Content-Type: text/event-stream\r\n"
PATHS = ["/r/x", "/o/x", "/u/x", "/s/x", "/n/x"]
FRAMINGS = {
    "length": lambda head: head,
    "no length": lambda head: head.replace(b"Content-Length", b"X-Length"),
    "chunks": lambda head: head.replace(
        b"Content-Length: 19", b"Transfer-Encoding: chunked"
    ),
}


def make_head_only(request, framing: str, status: int = 200) -> bytes:
    """Return an answer without the body that its head announces."""
    head, end, _ = make_response(request, BODY, status, TYPE).partition(b"\r\n\r\n")
    return FRAMINGS[framing](head) + end


# Guards against a HEAD request that waits for the body that its answer's head announces
# until the caller gives up, and runs again meanwhile.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", PATHS)
def test_the_head_of_an_answer_is_all_of_it(path, framing):
    async def script(request, writer) -> None:
        if request.line.startswith(b"HEAD "):
            writer.write(make_head_only(request, framing))
            return
        writer.write(make_response(request, BODY, 200, TYPE))

    async def scenario(site) -> None:
        for _ in range(2):
            status, headers, body = await site.call("HEAD", path)
            assert (status, body) == (200, b"")
            assert headers["Response-Seal"] == "seal-id-1"
            assert headers["Content-Type"] == "text/event-stream"
            assert (await site.call("GET", path))[2] == BODY
        assert sum(len(runner.received) for runner in site.runners) == 4

    run(scenario, script=script, runners=1)


# Guards against what a runner sends after such a head all the same: it is no part of an
# answer, neither of this one nor of the next.
@pytest.mark.parametrize("path", PATHS)
def test_a_body_that_comes_all_the_same_is_dropped(path):
    async def script(request, writer) -> None:
        writer.write(make_response(request, BODY, 200, TYPE))

    async def scenario(site) -> None:
        for _ in range(3):
            assert (await site.call("HEAD", path))[2] == b""
            assert (await site.call("GET", path))[2] == BODY

    run(scenario, script=script, runners=1)


# Guards against a head that counts though no runner sealed it.
@pytest.mark.parametrize("path", PATHS)
def test_a_head_without_a_seal_does_not_count(path):
    async def script(request, writer) -> None:
        head = make_head_only(request, "length")
        writer.write(head.replace(b"Response-Seal", b"X-Seal"))

    async def scenario(site) -> None:
        assert (await site.call("HEAD", path))[0] == 502

    run(scenario, script=script, runners=2)


# Guards against the same where another VM serves the call.
@pytest.mark.parametrize("path", ["/r/x", "/u/x", "/s/x"])
def test_the_head_of_an_answer_comes_through_another_vm(path, tmp_path):
    async def script(request, writer) -> None:
        if request.line.startswith(b"HEAD "):
            writer.write(make_head_only(request, "length"))
            return
        await answer_warming(request, writer)

    async def scenario(site: ProcessSite) -> None:
        await set_up(site)
        for number in range(6):
            received = await read_all(site, path, f"head-{number}", "HEAD")
            head, end, rest = received.partition(b"\r\n\r\n")
            assert head.split()[1] == b"200" and end and not rest, received
        assert sum(len(vm.list_events("vm_call_served")) for vm in site.vms[1:])

    run_processes(scenario, script, tmp_path, runners=4)
