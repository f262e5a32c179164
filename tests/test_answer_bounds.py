"""What a connection keeps of an upstream's bytes, in each state of its parser."""

import asyncio
import contextlib
import gc
import tracemalloc

import aiohttp
import pytest

from fakes.runner import make_response, reset_connection
from plantainwood.answerparser import AnswerParser
from plantainwood.attempterrors import AttemptError
from plantainwood.calls import Call
from plantainwood.connections import Connection
from plantainwood.core.clock import make_clock
from plantainwood.core.errors import RequestError
from plantainwood.core.eventstream import EventSplitter
from tests.edgesite import run

BLOCK_BYTES = 65_536
MAX_FED_BYTES = 1_048_576
"""Far above any head, and below what a machine notices."""
MAX_KEPT_BYTES = 524_288
"""By connection: the spare 64 MB of a VM of 128 MB, for 120 connections at once."""
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\n"

BEFORE_AND_IN_HEADS = {
    "empty lines": (b"", b"\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim fields": (b"HTTP/1.1 100 Continue\r\n", b"x: 0\r\n"),
    "fields": (HEAD, b"x: 0\r\n"),
    "fields of one byte": (HEAD, b"x:\r\n"),
    "field name": (HEAD, b"x"),
    "field value": (HEAD + b"x: ", b"x"),
    "folded value": (HEAD + b"x: ", b"y\r\n "),
    "foreign heads": (b"", FOREIGN + b"Content-Length: 0\r\n\r\n"),
    "foreign fields": (FOREIGN, b"x: 0\r\n"),
    "foreign body": (FOREIGN + b"\r\n", b"x"),
    "foreign chunks": (FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "foreign trailers": (
        FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"x: 0\r\n",
    ),
    "no HTTP": (b"", b"\x00\xff"),
    "switching protocols": (b"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n", b"x"),
}
IN_BODIES = {
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"x"),
    "extensions of empty values": (CHUNKED + b"5", b";x=y"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"x-debug: 0\r\n"),
    "trailer name": (CHUNKED + b"1\r\nx\r\n0\r\n", b"x"),
    "trailer value": (CHUNKED + b"1\r\nx\r\n0\r\nx: ", b"x"),
    "extensions of each chunk": (CHUNKED, b"1;" + b"y" * 4_000 + b"\r\nx\r\n"),
}
AFTER_ENDS = {
    "bytes": b"x",
    "fields": b"x: 0\r\n",
    "empty lines": b"\r\n",
    "answers": FOREIGN + b"Content-Length: 0\r\n\r\n",
    "field value": FOREIGN + b"x: " + b"x" * BLOCK_BYTES,
}


class FakeTransport(asyncio.Transport):
    """Record whether the connection reads, and whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = True
        self.aborted = False

    def write(self, data: bytes) -> None:
        """Drop what is written."""

    def pause_reading(self) -> None:
        """Record that the connection reads no more."""
        self.reads = False

    def resume_reading(self) -> None:
        """Record that the connection reads again."""
        self.reads = True

    def is_closing(self) -> bool:
        """Return whether the connection was aborted."""
        return self.aborted

    def abort(self) -> None:
        """Record the abort."""
        self.aborted = True


def open_connection() -> tuple[Connection, FakeTransport]:
    """Return a connection that has sent request "a"."""
    connection = Connection("address", make_clock())
    transport = FakeTransport()
    connection.connection_made(transport)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", b"a", b"request-id")
    return connection, transport


def make_block(unit: bytes) -> bytes:
    """Return as many units as one read brings."""
    return unit * max(1, BLOCK_BYTES // len(unit))


def feed_without_end(
    connection: Connection, transport: FakeTransport, unit: bytes
) -> int:
    """Feed units until the connection reads no more; return the bytes fed."""
    block = make_block(unit)
    fed = 0
    while transport.reads and not transport.aborted and fed <= MAX_FED_BYTES:
        connection.data_received(block)
        fed += len(block)
    return fed


async def read_answer(connection: Connection) -> bytes:
    """Return the body of a complete answer."""
    await connection.read_head()
    body = b""
    while chunk := await connection.read_chunk():
        body += chunk
    return body


def run_measured(scenario) -> int:
    """Run a scenario; return the most bytes that Python held in it."""
    tracemalloc.start()
    try:
        asyncio.run(scenario())
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# Guards against bytes without end that are no body: fields after a last chunk filled
# the memory of the process within half a second.
@pytest.mark.parametrize("name", [*BEFORE_AND_IN_HEADS, *IN_BODIES])
def test_bytes_that_are_no_body_end_the_connection(name):
    prefix, unit = {**BEFORE_AND_IN_HEADS, **IN_BODIES}[name]

    async def scenario():
        connection, transport = open_connection()
        connection.data_received(prefix)
        assert feed_without_end(connection, transport, unit) <= MAX_FED_BYTES
        assert transport.aborted
        with pytest.raises(AttemptError) as raised:
            await read_answer(connection)
        assert not raised.value.proved_not_run
        connection.finish()
        assert not connection.usable

    assert run_measured(scenario) < MAX_KEPT_BYTES


# Guards against bytes after a complete answer, which were parsed and kept until its
# reader, that may wait for a slow client, had taken the body.
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("name", AFTER_ENDS)
def test_bytes_after_a_complete_answer_are_not_read(name, framing):
    answer = HEAD + b"Content-Length: 2\r\n\r\nok"
    if framing == "chunks":
        answer = CHUNKED + b"2\r\nok\r\n0\r\n\r\n"

    async def scenario():
        connection, transport = open_connection()
        connection.data_received(answer)
        assert feed_without_end(connection, transport, AFTER_ENDS[name]) <= (
            2 * BLOCK_BYTES
        )
        assert await read_answer(connection) == b"ok"
        connection.finish()
        assert not connection.usable

    assert run_measured(scenario) < MAX_KEPT_BYTES


# Guards against bodies in tiny chunks that wait to be read: each byte took forty.
@pytest.mark.parametrize("size", [1, 2, 16, 1_000])
def test_a_body_that_waits_takes_the_memory_of_its_bytes(size):
    unit = b"%x\r\n%s\r\n" % (size, b"x" * size)

    async def scenario():
        connection, transport = open_connection()
        connection.data_received(CHUNKED)
        feed_without_end(connection, transport, unit)
        assert not transport.reads and not transport.aborted

    assert run_measured(scenario) < MAX_KEPT_BYTES


# Guards against a bound that sound answers meet: long ones in small chunks with
# extensions, large fields, trailers, interim answers and one to another request.
def test_sound_answers_of_any_form_are_read():
    chunk = b"1;x=y\r\nx\r\n"
    fields = b"".join(b"x-%d: %s\r\n" % (n, b"y" * 500) for n in range(100))
    answer = (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        + FOREIGN
        + b"Content-Length: 5\r\n\r\nother"
        + HEAD
        + fields
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + chunk * 60_000
        + b"0\r\n"
        + fields
        + b"\r\n"
    )

    async def scenario():
        connection, transport = open_connection()
        body = b""
        for start in range(0, len(answer), 1_000):
            connection.data_received(answer[start : start + 1_000])
            head = await connection.read_head() if start > 100_000 else None
            if head is not None and not transport.reads:
                body += await connection.read_chunk()
        body += await read_answer(connection)
        assert body == b"x" * 60_000
        assert len(head.headers) == 103

    asyncio.run(scenario())


def count_kept(kinds: tuple[type, ...]) -> dict[str, int]:
    """Return how many objects of each kind are in memory."""
    kept = dict.fromkeys([kind.__name__ for kind in kinds], 0)
    for each in gc.get_objects():
        if isinstance(each, kinds):
            kept[type(each).__name__] += 1
    return kept


# Guards against failed calls that refer to themselves: their bodies and the bytes of
# their answers stayed in memory until a garbage collection, which may come much later.
@pytest.mark.parametrize("name", ["trailers", "event", "reset", "refusal"])
@pytest.mark.parametrize("path", ["/s/x", "/u/x", "/r/x"])
def test_a_failed_call_leaves_nothing_in_memory(path, name):
    kinds = (AnswerParser, Call, EventSplitter, RequestError)

    async def script(request, writer):
        if name == "refusal":
            extra = "Not-Executed: 1\r\n"
            writer.write(make_response(request, b"", 503, extra))
            return
        writer.write(CHUNKED.replace(b" a", b" " + request.request_id))
        if name == "reset":
            reset_connection(writer)
            return
        end = b"" if name == "event" else b"1\r\nx\r\n0\r\n"
        unit = b"1000\r\n%s\r\n" % (b"x" * 4_096) if name == "event" else b"x-y: 0\r\n"
        writer.write(end + make_block(unit) * 32)
        await writer.drain()

    async def scenario(site):
        gc.collect()
        before = count_kept(kinds)
        gc.disable()
        try:
            for _ in range(5):
                with contextlib.suppress(aiohttp.ClientError):
                    await site.call("POST", path, b"b", Deadline_Remaining="300")
            await asyncio.sleep(0.2)
            kept = count_kept(kinds)
        finally:
            gc.enable()
        for kind, count in kept.items():
            assert count - before[kind] <= 2, f"{kind}s are kept"

    run(scenario, script=script, runners=2)
