"""The end of connections in a planned stop, which has the end of the grace period."""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from bridge import daemon
from plantainwood.clientguard import ClientGuard
from plantainwood.clienthandler import ClientServer
from plantainwood.clientlistener import (
    CLOSE_TIMEOUT_S,
    close_connections,
    listen_for_clients,
)
from plantainwood.edgesettings import EdgeDrain
from plantainwood.metrics import Metrics

HANGS_S = 20.0
TIMEOUT = aiohttp.ClientTimeout(total=HANGS_S)


async def answer(request: web.BaseRequest) -> web.Response:
    """Answer at once, or never."""
    if request.path == "/never":
        await asyncio.Event().wait()
    return web.Response()


# Guards against a stop that waits its whole timeout for connections without a request:
# each address did, one after the other, and a VM ended after its grace period.
def test_idle_connections_are_not_waited_for():
    async def scenario() -> None:
        server = ClientServer(answer, ClientGuard(None, None, Metrics()))
        listener = await listen_for_clients(server, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            async with session.get(f"http://127.0.0.1:{port}/") as response:
                assert response.status == 200
            assert server.connections
            async with asyncio.timeout(HANGS_S / 2):
                await close_connections(server, timeout_s=HANGS_S)
        listener.close()

    asyncio.run(scenario())


# Guards against a stop that lasts as long as a request that never ends.
def test_a_request_in_progress_is_waited_for_no_longer_than_the_timeouts():
    async def scenario() -> None:
        server = ClientServer(answer, ClientGuard(None, None, Metrics()))
        listener = await listen_for_clients(server, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            call = asyncio.create_task(session.get(f"http://127.0.0.1:{port}/never"))
            while not server.connections:
                await asyncio.sleep(0.01)
            listener.close()
            async with asyncio.timeout(HANGS_S):
                await close_connections(server)
            with pytest.raises(aiohttp.ClientError):
                await call

    asyncio.run(scenario())


# Guards against waits in a stop that, one after the other, outlast the grace period.
def test_all_waits_after_the_last_request_fit_in_the_margin():
    closing_ms = 2 * CLOSE_TIMEOUT_S * 1_000
    waits_ms = daemon.LAST_ANSWERS_MS + 2 * daemon.DRAIN_POLL_MS + closing_ms
    exit_ms = daemon.STOP_MARGIN_MS - waits_ms
    assert exit_ms >= EdgeDrain().grace_ms / 40
