"""Connections to upstreams: late or extra responses, missing lengths and closes."""

import asyncio

import pytest

from fakes.runner import FakeRunner, make_response, reset_connection
from plantainwood.attempterrors import AttemptError
from plantainwood.connectionpool import ConnectionPool
from plantainwood.core.clock import make_clock

ID_HEADER = b"request-id"


async def send_request(
    pool: ConnectionPool, runner: FakeRunner, request_id: str
) -> bytes:
    """Send one request and return the body of its response."""
    connection = await pool.acquire(runner.address)
    try:
        data = f"GET / HTTP/1.1\r\nRequest-Id: {request_id}\r\n\r\n".encode()
        connection.send(data, request_id.encode(), ID_HEADER)
        await connection.read_head()
        body = b""
        while chunk := await connection.read_chunk():
            body += chunk
    except BaseException:
        connection.close()
        raise
    pool.release(connection)
    return body


def run(script, scenario) -> None:
    """Run a scenario against a fake runner that answers with a script."""

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


async def answer_with_id(request, writer) -> None:
    """Answer with the request's id as the body."""
    writer.write(make_response(request, request.request_id))


def test_a_connection_is_reused():
    async def scenario(pool, runner):
        assert await send_request(pool, runner, "a") == b"a"
        assert await send_request(pool, runner, "b") == b"b"
        assert runner.connections == 1

    run(answer_with_id, scenario)


def test_a_response_to_an_earlier_request_is_skipped():
    async def script(request, writer):
        if request.request_id == b"b":
            late_response = make_response(request, b"of an earlier one").replace(
                b"Request-Id: b", b"Request-Id: a"
            )
            writer.write(late_response)
        writer.write(make_response(request, request.request_id))

    async def scenario(pool, runner):
        assert await send_request(pool, runner, "a") == b"a"
        assert await send_request(pool, runner, "b") == b"b"
        assert await send_request(pool, runner, "c") == b"c"
        assert runner.connections == 2

    run(script, scenario)


def test_bytes_after_a_complete_response_prevent_reuse():
    async def script(request, writer):
        writer.write(
            make_response(request, request.request_id) + b"HTTP/1.1 200 OK\r\n"
        )

    async def scenario(pool, runner):
        assert await send_request(pool, runner, "a") == b"a"
        assert await send_request(pool, runner, "b") == b"b"
        assert runner.connections == 2

    run(script, scenario)


def test_bytes_on_an_idle_connection_prevent_reuse():
    async def script(request, writer):
        writer.write(make_response(request, request.request_id))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(make_response(request, b"twice"))

    async def scenario(pool, runner):
        assert await send_request(pool, runner, "a") == b"a"
        await asyncio.sleep(0.1)
        assert await send_request(pool, runner, "b") == b"b"
        assert runner.connections == 2

    run(script, scenario)


def test_a_response_without_a_length_ends_when_the_connection_closes():
    async def script(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nfirst,")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(b"second")
        writer.close()

    async def scenario(pool, runner):
        assert await send_request(pool, runner, "a") == b"first,second"

    run(script, scenario)


@pytest.mark.parametrize("head", [b"", b"Content-Length: 100\r\n"])
def test_a_response_cut_off_by_a_reset_fails_the_attempt(head):
    async def script(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n" + head + b"\r\npart")
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer)

    async def scenario(pool, runner):
        with pytest.raises(AttemptError) as caught:
            await send_request(pool, runner, "a")
        assert not caught.value.proved_not_run

    run(script, scenario)


def test_a_close_after_the_request_was_sent_does_not_prove_that_nothing_ran():
    async def script(request, writer):
        writer.transport.abort()

    async def scenario(pool, runner):
        with pytest.raises(AttemptError) as caught:
            await send_request(pool, runner, "a")
        assert not caught.value.proved_not_run

    run(script, scenario)


def test_a_refused_connection_proves_that_nothing_ran():
    async def scenario(pool, runner):
        await runner.stop()
        with pytest.raises(AttemptError) as caught:
            await send_request(pool, runner, "a")
        assert caught.value.proved_not_run

    run(answer_with_id, scenario)


def test_a_response_with_connection_close_prevents_reuse():
    async def script(request, writer):
        writer.write(
            make_response(request, request.request_id, extra="Connection: close\r\n")
        )

    async def scenario(pool, runner):
        await send_request(pool, runner, "a")
        await send_request(pool, runner, "b")
        assert runner.connections == 2

    run(script, scenario)


def test_the_keep_alive_timeout_of_an_upstream_is_respected():
    async def script(request, writer):
        writer.write(
            make_response(
                request, request.request_id, extra="Keep-Alive: timeout=0\r\n"
            )
        )

    async def scenario(pool, runner):
        await send_request(pool, runner, "a")
        await asyncio.sleep(0.01)
        await send_request(pool, runner, "b")
        assert runner.connections == 2

    run(script, scenario)


def test_a_malformed_response_fails_the_attempt():
    async def script(request, writer):
        writer.write(b"\x00\x01garbage\r\n\r\n")

    async def scenario(pool, runner):
        with pytest.raises(AttemptError):
            await send_request(pool, runner, "a")

    run(script, scenario)
