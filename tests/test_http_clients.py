"""Answers without end to calls of the store, the cloud API, engines and services."""

import asyncio
import gzip
import struct
import time
import tracemalloc

import pytest

from bridge.store import KvStoreClient
from plantainwood.attempterrors import AttemptError
from plantainwood.core.clock import make_clock
from plantainwood.core.errors import StoreError
from plantainwood.core.linkstream import PULL_HELLO
from plantainwood.core.mirror import Mirror
from plantainwood.dutycalls import DutyCaller
from plantainwood.engines import (
    EngineCall,
    OpenAiEngine,
    PlainCall,
    PlainClient,
    make_single_connection_config,
)
from plantainwood.httpclient import MAX_BODY_BYTES, make_session
from plantainwood.metrics import Metrics
from plantainwood.platform import HttpPlatform
from plantainwood.store import EtcdClient
from plantainwood.transport import NngTransport

MAX_SENT_BYTES = 64 * 1_048_576
MAX_KEPT_BYTES = 4 * MAX_BODY_BYTES
"""A body that is held twice as its pieces are joined, here and in the stand-in."""
TIMEOUT_MS = 4_000
TIMEOUT_S = 10
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ZEROS = gzip.compress(b" " * MAX_SENT_BYTES)
ANSWERS = {
    "body": (HEAD + b"\r\n", b" " * 65_536),
    "list": (HEAD + b"\r\n[", b"0," * 32_768),
    "chunks": (CHUNKED, b"1000\r\n" + b" " * 4_096 + b"\r\n"),
    "trailers": (CHUNKED + b"2\r\n{}\r\n0\r\n", b"x-debug: 0\r\n" * 2_000),
    "fields": (HEAD, b"x-debug: 0\r\n" * 2_000),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000),
    "encoded": (
        HEAD
        + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(ZEROS)
        + ZEROS,
        b"",
    ),
}


class EndlessServer:
    """Answer each request with a prefix, then with bytes without end."""

    def __init__(self, prefix: bytes, chunk: bytes) -> None:
        self._prefix = prefix
        self._chunk = chunk
        self.sent_bytes = 0
        self.port = 0
        self._server: asyncio.Server

    async def __aenter__(self) -> "EndlessServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *error: object) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._prefix)
            while self._chunk and self.sent_bytes < MAX_SENT_BYTES:
                writer.write(self._chunk)
                self.sent_bytes += len(self._chunk)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


async def read_platform_store(session, url: str) -> None:
    """Read a key from the platform's store."""
    address = url.removeprefix("http://")
    clock = make_clock()
    client = KvStoreClient(session, address, TIMEOUT_MS, clock, Metrics(), Mirror())
    with pytest.raises(StoreError):
        await client.scan("")


async def read_etcd(session, url: str) -> None:
    """Read a key from a store with etcd's interface."""
    client = EtcdClient(session, [url], TIMEOUT_MS, 100, make_clock(), Metrics())
    with pytest.raises(StoreError):
        await client.scan("a")


async def list_vms(session, url: str) -> None:
    """Read the platform's list of VMs."""
    caller = DutyCaller(make_clock(), TIMEOUT_MS)
    client = HttpPlatform(session, caller, "", "", url)
    assert await client.list_vms() is None


async def report_usage(session, url: str) -> None:
    """Make a call of a duty."""
    clock = make_clock()
    caller = DutyCaller(clock, TIMEOUT_MS)
    until_ms = clock.now_ms() + TIMEOUT_MS
    with pytest.raises(StoreError):
        await caller.post(url, {}, b"{}", until_ms, until_ms)


async def read_load(session, url: str) -> None:
    """Read an engine's load report."""
    assert await OpenAiEngine(session).read_load(url) is None


async def call_plain(session, url: str) -> None:
    """Call a plain service."""
    call = PlainCall("POST", "/x", b"b", {})
    with pytest.raises(AttemptError) as raised:
        await PlainClient(session).call(url, call)
    assert not raised.value.proved_not_run


async def stream_engine(session, url: str) -> None:
    """Read an engine's stream."""
    call = EngineCall("/x", {}, 0, 0, "", {})
    with pytest.raises(AttemptError):
        async for _ in OpenAiEngine(session).stream(url, call):
            pass


READERS = [
    read_platform_store,
    read_etcd,
    list_vms,
    report_usage,
    read_load,
    call_plain,
    stream_engine,
]


async def read_without_end(reader, prefix: bytes, chunk: bytes) -> EndlessServer:
    """Let a reader read such an answer; return the server."""
    trace_configs = [make_single_connection_config()] if reader is call_plain else []
    async with EndlessServer(prefix, chunk) as server:
        async with make_session(trace_configs=trace_configs) as session:
            async with asyncio.timeout(TIMEOUT_S):
                await reader(session, f"http://127.0.0.1:{server.port}")
        return server


CASES = [(reader, name) for reader in READERS for name in ANSWERS]
CASES.remove((report_usage, "encoded"))
"""That one is complete and small, as nothing decodes it: only its status is read."""


# Guards against an answer without end, or one that expands without end, which the
# callers of the store, the cloud API, reports, engines and services kept until their
# time-out.
@pytest.mark.parametrize(("reader", "name"), CASES)
def test_an_answer_without_end_has_a_bound(reader, name, monkeypatch):
    monkeypatch.setattr("plantainwood.engines.READ_TIMEOUT_S", TIMEOUT_MS / 1_000)
    prefix, chunk = ANSWERS[name]
    tracemalloc.start()
    try:
        server = asyncio.run(read_without_end(reader, prefix, chunk))
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_KEPT_BYTES
    assert server.sent_bytes < MAX_SENT_BYTES


UNUSED = {
    "comments": b":\n\n",
    "empty lines": b"\n",
    "no choices": b"data: {}\n\n",
    "one event": b"data: ",
}


# Guards against a stream of an engine that goes on without a part of its answer.
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("name", UNUSED)
def test_an_engine_that_sends_no_part_is_given_up(name, pause_s, monkeypatch):
    monkeypatch.setattr("plantainwood.engines.READ_TIMEOUT_S", 0.5)
    unit = UNUSED[name] if pause_s else UNUSED[name] * 8_192

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b'\r\ndata: {"choices":[{"text":"a"}]}\n\n')
        try:
            while True:
                writer.write(unit)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            return

    async def scenario() -> list[str]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        tokens: list[str] = []
        async with make_session() as session:
            call = EngineCall("/x", {}, 0, 0, "", {})
            engine = OpenAiEngine(session)
            with pytest.raises(AttemptError):
                async for part in engine.stream(f"http://127.0.0.1:{port}", call):
                    tokens.append(part.token)
        server.close()
        return tokens

    began_s = time.monotonic()
    assert asyncio.run(scenario()) == ["a"]
    assert time.monotonic() - began_s < 3.0


# Guards against an engine whose answer never ends, of which each token was kept.
def test_the_tokens_of_an_answer_have_a_bound():
    prefix = HEAD + b"\r\n"
    chunk = b'data: {"choices":[{"text":"abcd"}]}\n\n' * 1_000
    server = asyncio.run(read_without_end(stream_engine, prefix, chunk))
    assert server.sent_bytes < MAX_SENT_BYTES


# Guards against a peer on a link between VMs that sends without end where nothing is to
# be received: nng kept a message of any announced size.
def test_a_link_that_only_sends_keeps_nothing_that_it_receives(tmp_path):
    sent_bytes = 0

    async def serve(reader, writer) -> None:
        nonlocal sent_bytes
        try:
            await reader.readexactly(len(PULL_HELLO))
            writer.write(PULL_HELLO + struct.pack(">Q", MAX_SENT_BYTES))
            while sent_bytes < MAX_SENT_BYTES:
                writer.write(b"x" * 65_536)
                sent_bytes += 65_536
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return

    class Listener:
        """A listener that nothing is received from."""

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        transport = NngTransport(Listener())
        transport.send(f"tcp://127.0.0.1:{port}", b"frame")
        await asyncio.sleep(1.5)
        for push_socket in transport._push_sockets.values():
            push_socket.close()
        server.close()

    asyncio.run(scenario())
    assert sent_bytes < MAX_SENT_BYTES // 4
