"""Bytes of an upstream that come in the turn in which it is found silent."""

import asyncio
import contextlib
from collections import Counter

import aiohttp
import pytest

from fakes.runner import make_response
from plantainwood.connections import Connection
from plantainwood.forwarding import SentAttempt
from tests.edgesite import (
    STREAM,
    Site,
    answer_stream,
    make_config,
    make_entry,
    run,
)

FOREVER_S = 60.0
ANSWER_S = 8.0
EVENTS = [event + b"\n\n" for event in STREAM.split(b"\n\n") if event]
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"


def make_chunk(data: bytes) -> bytes:
    """Return data as a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class LateBytes:
    """Deliver bytes on a call's first connection just before its silence is judged."""

    def __init__(self, monkeypatch, data: bytes) -> None:
        self._data: bytes | None = data
        self._connection: Connection | None = None
        send = Connection.send
        examine = SentAttempt.examine_silence

        def record(connection: Connection, *args, **options) -> None:
            if self._connection is None:
                self._connection = connection
            send(connection, *args, **options)

        async def deliver(attempt: SentAttempt) -> None:
            await examine(attempt)
            data, self._data = self._data, None
            if data is not None:
                assert self._connection is not None
                self._connection.data_received(data)

        monkeypatch.setattr(Connection, "send", record)
        monkeypatch.setattr(SentAttempt, "examine_silence", deliver)


class SilentFirst:
    """A script that begins an answer and falls silent, but only the first time."""

    def __init__(self, beginning: bytes) -> None:
        self._beginning = beginning
        self.resumed: Counter[bytes] = Counter()
        self.count = 0

    async def __call__(self, request, writer) -> None:
        self.count += 1
        if self.count == 1:
            writer.write(self._beginning)
            await writer.drain()
            await asyncio.sleep(FOREVER_S)
        if b" /r/" in request.line:
            writer.write(make_response(request, request.line))
            return
        self.resumed[request.headers.get(b"last-event-id", b"")] += 1
        await answer_stream(request, writer)


async def set_longer_time(site: Site) -> None:
    """Give streams the time for a second silence."""
    config = make_config(version=2).replace(b'"timeoutMs":3000', b'"timeoutMs":9000')
    site.store.put("op/config", config)
    await site.wait_until(lambda: site.daemon.edge.view.routes.version == 2)


async def set_versions(site: Site) -> None:
    """Give each runner a software version of its own."""
    for number, runner in enumerate(site.runners):
        entry = make_entry(runner, version=f"v{number}", sequence=2)
        site.store.put(f"servers/i-{number}", entry)
    loads = site.daemon.edge.broker.dispatcher.state.loads
    await site.wait_until(
        lambda: {load.entry.software_version for load in loads.values()} == {"v0", "v1"}
    )


# Guards against a stream of two versions: its first events come in the turn in which
# its upstream is found silent, before the version is known (ORDER).
def test_a_stream_that_begins_as_it_is_found_silent_keeps_its_version(monkeypatch):
    LateBytes(monkeypatch, HEAD + make_chunk(EVENTS[0]) + make_chunk(EVENTS[1]))
    script = SilentFirst(b"")

    async def scenario(site: Site) -> None:
        await set_versions(site)
        await set_longer_time(site)
        # The runner of the first attempt sends nothing more.
        with contextlib.suppress(TimeoutError, aiohttp.ClientPayloadError):
            await asyncio.wait_for(site.call("POST", "/s/x"), ANSWER_S)
        assert not script.resumed.keys() - {b""}, "resumed at another version"

    run(scenario, script, runners=2)


# Guards against events that are lost or come twice as an attempt is given up (ORDER).
@pytest.mark.parametrize(
    ("beginning", "late"),
    [
        (b"", HEAD + make_chunk(EVENTS[0])),
        (b"", HEAD),
        (HEAD, make_chunk(EVENTS[0] + EVENTS[1][:5])),
        (HEAD + make_chunk(EVENTS[0]), make_chunk(EVENTS[1])),
        (HEAD + make_chunk(EVENTS[0]), make_chunk(b"".join(EVENTS[1:])) + END),
        (HEAD, make_chunk(STREAM) + END),
    ],
)
def test_a_stream_goes_on_whole_though_it_is_heard_as_it_is_found_silent(
    monkeypatch, beginning, late
):
    LateBytes(monkeypatch, late)
    script = SilentFirst(beginning)

    async def scenario(site: Site) -> None:
        await set_longer_time(site)
        status, _, body = await site.call("POST", "/s/x")
        assert (status, body) == (200, STREAM)

    run(scenario, script, runners=2)
