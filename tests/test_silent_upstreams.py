"""Sound upstreams that fall silent for a while, and what the sockets to them allow."""

import asyncio
import errno
import socket

import pytest

from fakes.runner import ReceivedRequest, make_response
from plantainwood.connectionpool import ConnectionPool
from plantainwood.connections import SURELY_TAKEN_BYTES, USER_TIMEOUT_MS
from plantainwood.core.clock import make_clock
from tests.edgesite import answer_request_line, make_config, make_entry, run

SILENCE_S = 1.2
LATE_S = 2.2
"""Longer than USER_TIMEOUT_MS, and shorter than the time of a call."""
READER_LIMIT_BYTES = 4_096


# Guards against marks of requests that ran on an upstream which fell silent (LOST).
def test_a_connection_that_timed_out_is_no_crash():
    async def stay_silent(request, writer) -> None:
        await asyncio.sleep(60)

    async def scenario(site):
        opened = record_connections(site.daemon.edge.connection_pool)
        call = asyncio.create_task(site.call("POST", "/u/x", b"booking"))
        await site.wait_until(lambda: any(runner.received for runner in site.runners))
        busy = next(runner for runner in site.runners if runner.received)
        assert busy._server is not None
        busy._server.close()
        opened[-1].connection_lost(TimeoutError(errno.ETIMEDOUT, "timed out"))
        status, _, _ = await call
        assert status == 502
        state = site.daemon.edge.broker.dispatcher.state
        assert state.quarantine.list_marks(site.daemon.edge.clock.now_ms()) == []

    run(scenario, script=stay_silent, runners=2)


def record_connections(pool: ConnectionPool) -> list:
    """Return a list to which the connections that a pool opens are added."""
    opened = []
    connect = pool._connect

    async def connect_and_record(address: str):
        opened.append(await connect(address))
        return opened[-1]

    pool._connect = connect_and_record
    return opened


def test_an_idle_connection_has_a_user_timeout_and_no_probes():
    """With both, the user timeout would end an idle connection in place of the probes.

    See tcp(7), TCP_USER_TIMEOUT.
    """

    async def scenario(site):
        pool = ConnectionPool(make_clock())
        connection = await pool.acquire(site.runners[0].address)
        sock = connection._transport.get_extra_info("socket")
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) > 0
        assert not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        connection.close()

    run(scenario, script=answer_request_line)


# Guards against a second run of a call whose upstream is silent for a while (TWICE).
def test_a_call_on_an_upstream_that_is_silent_for_a_second_is_served_once():
    async def pause(request, writer) -> None:
        await asyncio.sleep(SILENCE_S)
        await answer_request_line(request, writer)

    async def scenario(site):
        status, _, _ = await site.call("POST", "/u/x", b"booking")
        assert status == 200
        assert sum(len(runner.received) for runner in site.runners) == 1
        state = site.daemon.edge.broker.dispatcher.state
        assert state.quarantine.list_marks(site.daemon.edge.clock.now_ms()) == []
        assert not state.path_lost

    run(scenario, script=pause, runners=2)


async def read_late(reader, writer) -> None:
    """Read a request's head, its body after a silence; answer with its length."""
    lines = (await reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
    headers: dict[bytes, bytes] = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    await asyncio.sleep(LATE_S)
    body = await reader.readexactly(int(headers[b"content-length"]))
    request = ReceivedRequest(lines[0], headers, body)
    writer.write(make_response(request, b"%d" % len(body)))
    await writer.drain()
    writer.close()


# Guards against a large call that its own kernel ends because a sound upstream doesn't
# read it for a while (LOST).
@pytest.mark.parametrize("path", ["/u/x", "/r/x"])
@pytest.mark.parametrize("size", [100_000, 1_000_000])
def test_an_upstream_may_read_a_large_call_late(path, size):
    async def scenario(site) -> None:
        limits = {"headerBytes": 16_384, "bodyBytes": 8_000_000}
        site.store.put("op/config", make_config(version=2, limits=limits))
        edge = site.daemon.edge
        await site.wait_until(lambda: edge.view.routes.version == 2)
        server = await asyncio.start_server(
            read_late, "127.0.0.1", 0, limit=READER_LIMIT_BYTES
        )
        port = server.sockets[0].getsockname()[1]
        site.runners[0].address = f"127.0.0.1:{port}"
        site.store.put("servers/i-0", make_entry(site.runners[0], sequence=2))
        await site.wait_until(
            lambda: any(
                load.entry.address.endswith(f":{port}")
                for load in edge.broker.dispatcher.state.loads.values()
            )
        )
        status, _, body = await site.call("POST", path, b"x" * size)
        assert (status, body) == (200, b"%d" % size)
        server.close()

    run(scenario, runners=1)


def test_the_user_timeout_holds_again_after_a_large_request():
    async def scenario(site) -> None:
        connection = await site.daemon.edge.connection_pool.acquire(
            site.runners[0].address
        )
        sock = connection._transport.get_extra_info("socket")

        def read_timeout_ms() -> int:
            return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

        for size in (SURELY_TAKEN_BYTES, 10):
            head = b"POST / HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: %d\r\n\r\n"
            data = head % size + b"x" * size
            connection.send(data, b"a", b"request-id")
            assert (read_timeout_ms() == 0) == (len(data) > SURELY_TAKEN_BYTES)
            await connection.read_head()
            await connection.read_chunk()
            connection.finish()
            assert read_timeout_ms() == USER_TIMEOUT_MS
        connection.close()

    run(scenario, script=answer_request_line)
