"""Failures of upstreams that come to a caller through a second VM."""

import asyncio

import pytest

from fakes.runner import make_response, reset_connection
from tests.edgesite import AUTHORIZATION, HOST
from tests.processsite import ProcessSite, run_processes
from tests.test_failed_continuations import FAILURES
from tests.test_streams_of_lost_vms import answer as answer_warming
from tests.test_streams_of_lost_vms import set_up

TIMEOUT_S = 20
HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
CUTS = (5, 30, 60, 100)


async def read_all(
    site: ProcessSite, path: str, name: str, method: str = "POST"
) -> bytes:
    """Send a request to the first VM; return all that comes back."""
    port = site.vms[0].ports[0]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
            f"Authorization: {AUTHORIZATION}\r\nDeadline-Remaining: 6000\r\n"
            "Connection: close\r\n"
        )
        body = "Content-Length: 1\r\n\r\nb" if method == "POST" else "\r\n"
        writer.write((head + body).encode())
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()
    finally:
        writer.close()


async def break_off(request, writer) -> None:
    """Send two events and half of a third, and reset the connection."""
    events = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda"
    writer.write(HEAD.format(request.request_id.decode()).encode())
    writer.write(b"%x\r\n%s\r\n" % (len(events), events))
    await writer.drain()
    await asyncio.sleep(0.1)
    reset_connection(writer)


# Guards against a failure, or its head, inside a stream that another VM serves, and
# against such a stream that ends as if it were complete (MIXED, ORDER).
@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, FAILURES[1]),
        (200, b"id: 2\ndata: failed to go on after it\n\n"),
        (404, FAILURES[0]),
        (500, FAILURES[2]),
    ],
)
def test_a_failure_to_go_on_is_not_passed_on_by_a_second_vm(status, body, tmp_path):
    async def script(request, writer) -> None:
        if b"/s/" not in request.line:
            await answer_warming(request, writer)
            return
        if b"last-event-id" not in request.headers:
            await break_off(request, writer)
            return
        writer.write(make_response(request, body, status))

    async def scenario(site: ProcessSite) -> None:
        await set_up(site)
        received = await read_all(site, "/s/x", "f-1")
        assert received.startswith(b"HTTP/1.1 200"), received
        assert received.count(b"HTTP/1.") == 1, received
        assert received.count(b"id: 2\n") == 1, received
        assert b"failed" not in received, received
        assert not received.endswith(b"0\r\n\r\n"), received
        served = [len(vm.list_events("vm_call_refused")) for vm in site.vms[1:]]
        assert sum(served) > 0, "the stream went through no other VM"

    run_processes(scenario, script, tmp_path, runners=4)


# Guards against a head that breaks off and comes through another VM as a whole answer.
@pytest.mark.parametrize("path", ["/s/x", "/r/cut"])
def test_a_head_that_breaks_off_comes_through_no_second_vm(path, tmp_path):
    async def script(request, writer) -> None:
        name = request.request_id.decode()
        if not name.startswith("h-"):
            await answer_warming(request, writer)
            return
        writer.write(HEAD.format(name)[: int(name.rpartition("-")[2])].encode())
        await writer.drain()
        writer.close()

    async def scenario(site: ProcessSite) -> None:
        await set_up(site)
        for cut in CUTS:
            received = await read_all(site, path, f"h-{cut}")
            assert received.split()[1] in (b"502", b"503", b"504"), received

    run_processes(scenario, script, tmp_path, runners=4)
