"""Runners that send bytes without end, until the node closes the connection."""

import asyncio
import time

import pytest

from fakes.runner import make_response
from tests.edgesite import STREAM, answer_stream, run

CHUNK = b"x" * 16_384
MAX_SENT_BYTES = 16 * 1_048_576
TRICKLE_PAUSE_S = 0.05
BOUND_S = 2.5
"""Within the route's time of 3 s, so that a second runner can still answer."""


class EndlessRunner:
    """A script: the first request gets a prefix and endless bytes, others an answer."""

    def __init__(self, prefix: bytes, chunk: bytes = CHUNK, pause_s: float = 0.0):
        self.prefix = prefix
        self.chunk = chunk
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.used = False
        self.ended = False
        """Whether the endless answer was cut off by the node, or reached its bound."""

    async def __call__(self, request, writer):
        if self.used:
            if request.line.startswith(b"POST /s/"):
                await answer_stream(request, writer)
                return
            writer.write(make_response(request, b"ok"))
            return
        self.used = True
        writer.write(self.prefix.replace(b"{id}", request.request_id))
        try:
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(self.chunk)
                self.sent_bytes += len(self.chunk)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        finally:
            self.ended = True


HEADS = {
    "header value": b"HTTP/1.1 200 OK\r\nX-Long: ",
    "header name": b"HTTP/1.1 200 OK\r\nX-",
    "interim responses": b"",
    "foreign body": b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
    "own body": b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\n",
    "no HTTP": b"\x00\xff",
    "trailers": b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
    "chunk extension": b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5;",
}
UNITS = {
    "interim responses": b"HTTP/1.1 100 Continue\r\n\r\n" * 500,
    "trailers": b"x-debug: 0\r\n" * 4_000,
}


# Guards against bytes without end in a head or a body: they filled the memory of the
# node and held the caller until its deadline.
@pytest.mark.parametrize("name", HEADS)
def test_a_safe_call_is_answered_by_another_runner(name):
    script = EndlessRunner(HEADS[name], UNITS.get(name, CHUNK))

    async def scenario(site):
        start = time.monotonic()
        status, _, body = await site.call("GET", "/r/x")
        assert (status, body) == (200, b"ok")
        assert time.monotonic() - start < BOUND_S
        await site.wait_until(lambda: script.ended)
        assert script.sent_bytes < MAX_SENT_BYTES, "the node read on"

    run(scenario, script=script, runners=2)


@pytest.mark.parametrize("name", HEADS)
def test_an_unsafe_call_ends_with_an_error_that_promises_nothing(name):
    script = EndlessRunner(HEADS[name], UNITS.get(name, CHUNK))

    async def scenario(site):
        start = time.monotonic()
        status, _, _ = await site.call("POST", "/u/x", b"b")
        assert status == 502
        assert time.monotonic() - start < BOUND_S
        assert sum(len(runner.received) for runner in site.runners) == 1

    run(scenario, script=script, runners=2)


@pytest.mark.parametrize("pause_s", [0.0, TRICKLE_PAUSE_S])
def test_a_stream_without_the_end_of_an_event_goes_on_elsewhere(pause_s):
    """Also where the bytes come slowly, so that the connection is never silent."""
    prefix = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
        b"Content-Type: text/event-stream\r\n\r\n" + STREAM[: STREAM.index(b"id: 3")]
    )
    chunk = b"y" if pause_s else CHUNK
    script = EndlessRunner(prefix, chunk, pause_s)

    async def scenario(site):
        start = time.monotonic()
        status, _, body = await site.call("POST", "/s/x", b"b")
        assert (status, body) == (200, STREAM)
        assert time.monotonic() - start < BOUND_S

    run(scenario, script=script, runners=2)


# Guards against fields without end after a last chunk, of which each takes thirty
# times its bytes: the process was ended by the platform, with all that it served.
@pytest.mark.parametrize("events", [3, 6])
def test_a_stream_with_trailers_without_end_goes_on_elsewhere(events):
    sent = STREAM[: STREAM.index(b"id: 4")] if events == 3 else STREAM
    prefix = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%s\r\n0\r\n" % (len(sent), sent)
    )
    script = EndlessRunner(prefix, UNITS["trailers"])

    async def scenario(site):
        start = time.monotonic()
        status, _, body = await site.call("POST", "/s/x", b"b")
        assert (status, body) == (200, STREAM)
        assert time.monotonic() - start < BOUND_S
        await site.wait_until(lambda: script.ended)
        assert script.sent_bytes < MAX_SENT_BYTES, "the node read on"

    run(scenario, script=script, runners=2)
