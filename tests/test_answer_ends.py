"""One log line tells why a begun answer ended unfinished; a metric counts it."""

import asyncio
import re

import aiohttp
import pytest

from bridge.sink import CallerSink
from fakes.runner import reset_connection
from plantainwood.core import events as ev
from plantainwood.core.endcauses import EndCause
from plantainwood.core.errors import ErrorCode
from tests.edgesite import HOST, Site, answer_stream, run

BEGUN = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
EVENT = b"id: 1\ndata: x\n\n"
KEY = {"Authorization": "Token secret-key"}
LOG_S = 2.0


async def begin(request, writer) -> None:
    """Send a head and one event."""
    writer.write(BEGUN.format(request.request_id.decode()).encode())
    writer.write(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))
    await writer.drain()


async def begin_and_wait(request, writer) -> None:
    """Send a head and one event, and then nothing."""
    await begin(request, writer)
    await asyncio.sleep(60)


async def begin_and_reset(request, writer) -> None:
    """Break off after one event."""
    await begin(request, writer)
    await asyncio.sleep(0.05)
    reset_connection(writer)


async def read(site: Site, path: str, remaining_ms: int = 9_000) -> bool:
    """Read an answer that begins; return whether it came whole."""
    headers = {
        "Host": HOST,
        "Request-Id": "id-1",
        "Deadline-Remaining": str(remaining_ms),
        **KEY,
    }
    try:
        async with site.session.post(
            site.base_url + path, headers=headers, data=b"b"
        ) as response:
            assert response.status == 200
            await response.read()
    except aiohttp.ClientError:
        return False
    return True


async def find_cut(caplog) -> list:
    """Wait for the records of cut answers; return them."""
    found: list = []
    async with asyncio.timeout(LOG_S):
        while not found:
            await asyncio.sleep(0.02)
            found = [each for each in caplog.records if each.msg == "answer_cut"]
    return found


def check(site: Site, found: list, cause: EndCause) -> None:
    """Check that one line and one count tell the cause."""
    assert [each.cause for each in found] == [cause.value]
    (line,) = found
    assert line.request == "id-1"
    assert line.upstream.startswith("i-0@")
    assert line.events == 1
    text, _ = site.daemon.edge.metrics.render(["text/plain"])
    assert re.search(
        rb'pw_cut_answers_total\{cause="%s"\} 1' % cause.value.encode(), text
    )


# Guards against cut streams whose log doesn't tell which end of the call's time,
# failure of the upstream or error of this program cut them.
@pytest.mark.parametrize(
    ("script", "path", "remaining_ms", "cause"),
    [
        (begin_and_wait, "/n/x", 400, EndCause.DEADLINE),
        (begin_and_reset, "/n/x", 9_000, EndCause.ATTEMPT_FAILED),
    ],
)
def test_a_cut_stream_is_logged_with_its_cause(
    script, path, remaining_ms, cause, caplog
):
    caplog.set_level("INFO")

    async def scenario(site: Site) -> None:
        assert not await read(site, path, remaining_ms)
        found = await find_cut(caplog)
        check(site, found, cause)
        assert found[0].attempt == 1
        assert found[0].config == 1

    run(scenario, script)


# Guards against a client that leaves, is dropped or loses its VM being told apart only
# by guessing.
@pytest.mark.parametrize("how", ["left", "dropped", "stopped", "withdrawn"])
def test_a_stream_that_this_side_ends_is_logged_with_its_cause(how, caplog):
    caplog.set_level("INFO")
    causes = {
        "left": EndCause.CLIENT_LEFT,
        "dropped": EndCause.CLIENT_DROPPED,
        "stopped": EndCause.VM_STOPS,
        "withdrawn": EndCause.KEY_LOST,
    }

    async def scenario(site: Site) -> None:
        edge = site.daemon.edge
        reading = asyncio.create_task(read(site, "/n/x"))
        await site.wait_until(lambda: edge.broker.active_requests)
        await site.wait_until(lambda: site.runners[0].received)
        await asyncio.sleep(0.1)
        (local_id,) = edge.broker.active_requests
        if how == "left":
            reading.cancel()
        elif how == "dropped":
            for connection in list(edge.client_guard._connections):
                connection.drop()
        elif how == "stopped":
            edge.broker.feed(ev.Stopping())
        else:
            lost = ev.AuthorizationLost(local_id, ErrorCode.KEY_WITHDRAWN)
            edge.broker.feed(lost)
        check(site, await find_cut(caplog), causes[how])
        if how != "left":
            assert not await reading

    run(scenario, begin_and_wait)


# Guards against an error of this program that looks like one of an upstream.
def test_a_stream_that_an_error_of_this_program_ends_is_logged_as_such(
    caplog, monkeypatch
):
    caplog.set_level("INFO")

    async def fail(self, data: bytes) -> None:
        raise KeyError("pool")

    monkeypatch.setattr(CallerSink, "write", fail)

    async def scenario(site: Site) -> None:
        assert not await read(site, "/n/x")
        check(site, await find_cut(caplog), EndCause.ROUTER_FAILED)

    run(scenario, begin_and_wait)


# Guards against a line for each whole answer, which would cost time under load.
def test_a_whole_stream_is_not_logged_as_cut(caplog):
    caplog.set_level("INFO")

    async def scenario(site: Site) -> None:
        assert await read(site, "/s/x")
        events: list[str] = []
        while "served" not in events:
            await asyncio.sleep(0.02)
            events = [each.msg for each in caplog.records]
        assert "answer_cut" not in events

    run(scenario, answer_stream)
