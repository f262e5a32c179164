"""An upstream that stops in the middle of its answer's head: no caller gets a 200."""

import asyncio

import aiohttp
import pytest

from fakes.runner import make_response, reset_connection
from plantainwood.engines import (
    AttemptError,
    PlainCall,
    PlainClient,
    make_single_connection_config,
)
from tests.edgesite import run

START = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: s\r\n"
FRAMINGS = {
    "length": "Content-Length: 400\r\n\r\n",
    "chunks": "Transfer-Encoding: chunked\r\n\r\n",
    "neither": "\r\n",
    "empty": "Content-Length: 0\r\nX-Later: x\r\n\r\n",
}
STEP_BYTES = 23


async def get_status(site, path: str) -> int:
    """Send a request; return its status, or 0 if the VM closes without an answer."""
    try:
        return (await site.call("POST", path, b"b", Deadline_Remaining="400"))[0]
    except aiohttp.ClientError:
        return 0


# Guards against a head that breaks off and is answered as a whole 200 (MIXED, ORDER).
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", ["/s/x", "/u/x", "/r/x"])
def test_a_head_that_breaks_off_is_no_answer(path, framing, resets):
    cut = 0

    async def script(request, writer):
        if b"whole" in request.line:
            writer.write(make_response(request, b"id: 1\ndata: whole\n\n"))
            return
        head = START.format(request.request_id.decode()) + FRAMINGS[framing]
        writer.write(head[:cut].encode())
        await writer.drain()
        if resets:
            reset_connection(writer)
        else:
            writer.close()

    async def scenario(site):
        nonlocal cut
        whole = len(START.format("id-1") + FRAMINGS[framing])
        for cut in [*range(1, whole, STEP_BYTES), whole - 1]:
            state = site.daemon.edge.broker.dispatcher.state
            for load in state.loads.values():
                load.paused_until_ms = 0
            state.quarantine._marks.clear()
            # The connection to the upstream is a kept one every second time.
            if cut % 2:
                assert await get_status(site, path + "/whole") == 200
            assert await get_status(site, path) in (0, 502, 503, 504)

    run(scenario, script=script)


# Guards against the same in the product's client of plain services.
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_plain_service_whose_head_breaks_off_has_not_answered(framing):
    async def call_cut(head: bytes) -> None:
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        trace_configs = [make_single_connection_config()]
        async with aiohttp.ClientSession(trace_configs=trace_configs) as session:
            call = PlainCall("POST", "/x", b"b", {})
            with pytest.raises(AttemptError) as raised:
                await PlainClient(session).call(f"http://127.0.0.1:{port}", call)
        assert not raised.value.proved_not_run
        server.close()

    async def scenario() -> None:
        head = (START.format("a") + FRAMINGS[framing]).encode()
        for cut in [*range(0, len(head), STEP_BYTES), len(head) - 1]:
            await call_cut(head[:cut])

    asyncio.run(scenario())
