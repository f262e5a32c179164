"""Connections to upstreams: late answers, extra bytes, no length, silent closes."""

import asyncio

import pytest

from fakes.runner import FakeRunner, make_answer, reset_connection
from plantainwood.connectionpool import ConnectionPool
from plantainwood.core.clock import make_clock
from plantainwood.engines import AttemptError

ID_HEADER = b"request-id"


async def ask(pool: ConnectionPool, runner: FakeRunner, name: str) -> bytes:
    """Send one request and return the body of its answer."""
    connection = await pool.acquire(runner.address)
    try:
        data = f"GET / HTTP/1.1\r\nRequest-Id: {name}\r\n\r\n".encode()
        connection.send(data, name.encode(), ID_HEADER)
        await connection.read_head()
        body = b""
        while piece := await connection.read_chunk():
            body += piece
    except BaseException:
        connection.close()
        raise
    pool.release(connection)
    return body


def run(script, scenario) -> None:
    """Run a scenario against a runner with a script."""

    async def main() -> None:
        runner = FakeRunner(script)
        await runner.start()
        pool = ConnectionPool(make_clock())
        try:
            async with asyncio.timeout(10):
                await scenario(pool, runner)
        finally:
            pool.close()
            await runner.stop()

    asyncio.run(main())


async def answer_plainly(seen, writer) -> None:
    """Answer with the request's own id as the body."""
    writer.write(make_answer(seen, seen.request_id))


def test_a_connection_is_used_again():
    async def scenario(pool, runner):
        assert await ask(pool, runner, "a") == b"a"
        assert await ask(pool, runner, "b") == b"b"
        assert runner.connections == 1

    run(answer_plainly, scenario)


def test_an_extra_answer_to_an_earlier_request_is_passed_over():
    async def script(seen, writer):
        if seen.request_id == b"b":
            late = make_answer(seen, b"of an earlier one").replace(
                b"Request-Id: b", b"Request-Id: a"
            )
            writer.write(late)
        writer.write(make_answer(seen, seen.request_id))

    async def scenario(pool, runner):
        assert await ask(pool, runner, "a") == b"a"
        assert await ask(pool, runner, "b") == b"b"
        assert await ask(pool, runner, "c") == b"c"
        assert runner.connections == 2

    run(script, scenario)


def test_bytes_after_a_whole_answer_end_the_connection():
    async def script(seen, writer):
        writer.write(make_answer(seen, seen.request_id) + b"HTTP/1.1 200 OK\r\n")

    async def scenario(pool, runner):
        assert await ask(pool, runner, "a") == b"a"
        assert await ask(pool, runner, "b") == b"b"
        assert runner.connections == 2

    run(script, scenario)


def test_bytes_on_an_idle_connection_end_it():
    async def script(seen, writer):
        writer.write(make_answer(seen, seen.request_id))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(make_answer(seen, b"twice"))

    async def scenario(pool, runner):
        assert await ask(pool, runner, "a") == b"a"
        await asyncio.sleep(0.1)
        assert await ask(pool, runner, "b") == b"b"
        assert runner.connections == 2

    run(script, scenario)


def test_an_answer_without_a_length_ends_with_the_connection():
    async def script(seen, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nfirst,")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(b"second")
        writer.close()

    async def scenario(pool, runner):
        assert await ask(pool, runner, "a") == b"first,second"

    run(script, scenario)


@pytest.mark.parametrize("head", [b"", b"Content-Length: 100\r\n"])
def test_an_answer_that_is_reset_is_not_whole(head):
    async def script(seen, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n" + head + b"\r\npart")
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer)

    async def scenario(pool, runner):
        with pytest.raises(AttemptError) as caught:
            await ask(pool, runner, "a")
        assert not caught.value.proved_not_run

    run(script, scenario)


def test_a_close_after_the_request_was_written_proves_nothing():
    async def script(seen, writer):
        writer.transport.abort()

    async def scenario(pool, runner):
        with pytest.raises(AttemptError) as caught:
            await ask(pool, runner, "a")
        assert not caught.value.proved_not_run

    run(script, scenario)


def test_a_refused_connection_proves_that_nothing_ran():
    async def scenario(pool, runner):
        await runner.stop()
        with pytest.raises(AttemptError) as caught:
            await ask(pool, runner, "a")
        assert caught.value.proved_not_run

    run(answer_plainly, scenario)


def test_an_answer_that_says_close_ends_the_connection():
    async def script(seen, writer):
        writer.write(make_answer(seen, seen.request_id, extra="Connection: close\r\n"))

    async def scenario(pool, runner):
        await ask(pool, runner, "a")
        await ask(pool, runner, "b")
        assert runner.connections == 2

    run(script, scenario)


def test_the_time_that_an_upstream_keeps_a_connection_is_heeded():
    async def script(seen, writer):
        writer.write(
            make_answer(seen, seen.request_id, extra="Keep-Alive: timeout=0\r\n")
        )

    async def scenario(pool, runner):
        await ask(pool, runner, "a")
        await asyncio.sleep(0.01)
        await ask(pool, runner, "b")
        assert runner.connections == 2

    run(script, scenario)


def test_bytes_that_are_no_answer_fail_the_attempt():
    async def script(seen, writer):
        writer.write(b"\x00\x01garbage\r\n\r\n")

    async def scenario(pool, runner):
        with pytest.raises(AttemptError):
            await ask(pool, runner, "a")

    run(script, scenario)
