"""What a caller gets of a stream that no upstream goes on with."""

import asyncio

import pytest

from fakes.runner import make_response
from plantainwood.answerparser import ResponseHead
from plantainwood.forwarding import Forwarder
from tests.edgesite import AUTHORIZATION, HOST, reset_unless_resumed, run

REQUEST = (
    f"POST /s/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-1\r\n"
    f"Authorization: {AUTHORIZATION}\r\nDeadline-Remaining: 3000\r\n"
    "Content-Length: 1\r\n\r\nb"
).encode()
TIMEOUT_S = 8
FAILURES = [
    b"failed",
    b'{"error": "failed"}\n\n',
    b"event: error\ndata: failed\n\n",
    b"id: 3\ndata: failed to go on after it\n\n",
]
"""Bodies in place of the events after the third: an error, or the wrong events."""


async def read_all(site) -> bytes:
    """Send REQUEST; return all that comes back until the connection ends."""
    host, port = site.base_url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(REQUEST)
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()
    finally:
        writer.close()


# Guards against a second answer inside a stream that has begun (MIXED).
@pytest.mark.parametrize("body", FAILURES)
@pytest.mark.parametrize("status", [400, 404, 500, 204, 206, 302, 200])
def test_a_failure_to_go_on_is_not_written_into_the_stream(status, body):
    async def script(request, writer):
        if b"last-event-id" not in request.headers:
            await reset_unless_resumed(request, writer)
            return
        content = b"" if status == 204 else body
        writer.write(make_response(request, content, status))

    async def scenario(site):
        received = await read_all(site)
        assert received.startswith(b"HTTP/1.1 200")
        assert received.count(b"HTTP/1.") == 1
        assert received.count(b"id: 3\n") == 1
        assert b"failed" not in received
        # Without the last chunk the answer does not look complete.
        assert not received.endswith(b"0\r\n\r\n")

    run(scenario, script=script, runners=2)


# Guards against a second answer inside a stream, or behind it, when the handler of its
# request fails in a way that nobody expected (MIXED).
@pytest.mark.parametrize("ends", [False, True])
def test_an_unexpected_error_writes_no_second_answer(ends, monkeypatch):
    async def fail_late(forwarder, call, sink, clock):
        headers = [(b"Response-Seal", b"s")]
        await sink.start_stream(ResponseHead(200, headers))
        await sink.write(b"id: 1\ndata: x\n\n")
        if ends:
            await sink.finish()
        raise LookupError("unexpected")

    monkeypatch.setattr(Forwarder, "forward", fail_late)

    async def scenario(site):
        received = await read_all(site)
        assert received.startswith(b"HTTP/1.1 200")
        assert received.count(b"HTTP/1.") == 1
        assert received.endswith(b"0\r\n\r\n") == ends

    run(scenario)
