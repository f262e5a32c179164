"""Sound upstreams that fall silent for a while, and what the sockets to them allow."""

import asyncio
import errno
import socket

from plantainwood.connectionpool import ConnectionPool
from plantainwood.core.clock import make_clock
from tests.edgesite import answer_request_line, run

SILENCE_S = 1.2


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
