"""Runners that send bytes without end, until the node closes the connection."""

import asyncio
import time

import aiohttp
import pytest

from fakes.runner import make_response
from tests.edgesite import STREAM, answer_stream, make_entry, run
from tests.processsite import ProcessSite, run_processes
from tests.test_body_memory import read_peak_mb

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


# Guards against a stream that is held until its deadline by bytes that are no event,
# also slow ones, so that the connection is never silent.
@pytest.mark.parametrize("pause_s", [0.0, TRICKLE_PAUSE_S])
@pytest.mark.parametrize("unit", [b"y", b"\n", b":\n\n", b"data: y\n"])
def test_a_stream_without_the_end_of_an_event_goes_on_elsewhere(unit, pause_s):
    prefix = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
        b"Content-Type: text/event-stream\r\n\r\n" + STREAM[: STREAM.index(b"id: 3")]
    )
    chunk = unit if pause_s else unit * 16_384
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


MEMORY_MB = 128
"""The memory of the smallest VM."""
STREAMS = 120
"""A third of a service's connectionLimit of 360, as one of three VMs has."""
UNENDED = {
    "events": b"data: " + b"x" * 16_378,
    "tiny chunks": b"1\r\nx\r\n" * 4_000,
    "trailers": b"x-debug: 0\r\n" * 2_000,
}


# Guards against many bounded streams that together take a process over its memory.
@pytest.mark.parametrize("name", UNENDED)
def test_many_streams_without_end_stay_within_the_memory_of_a_vm(name, tmp_path):
    framing = (
        b"Connection: close" if name == "events" else b"Transfer-Encoding: chunked"
    )
    last_chunk = b"0\r\n" if name == "trailers" else b""

    async def script(request, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: s\r\n" + framing + b"\r\n\r\n" + last_chunk
        )
        for _ in range(MAX_SENT_BYTES // len(UNENDED[name])):
            writer.write(UNENDED[name])
            await writer.drain()

    async def scenario(site: ProcessSite) -> None:
        vm = site.vms[0]
        for runner in range(3):
            entry = {"slots": STREAMS, "sequence": 2}
            site.store.put(
                f"servers/i-{runner}", make_entry(site.runners[runner], **entry)
            )
        await asyncio.sleep(0.5)
        statuses = set()

        async def call(number: int) -> None:
            try:
                statuses.add((await site.call(vm, "/s/x", f"r-{number}"))[0])
            except aiohttp.ClientError:
                statuses.add(0)

        async with asyncio.TaskGroup() as group:
            for number in range(STREAMS):
                group.create_task(call(number))
        assert statuses <= {0, 502, 503, 504}
        assert vm.process.returncode is None
        assert read_peak_mb(vm) < MEMORY_MB

    more_settings = f"memory_mb: {MEMORY_MB}\n"
    run_processes(
        scenario, script, tmp_path, runners=3, vms=1, more_settings=more_settings
    )
