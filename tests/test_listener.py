"""Heads and bodies that arrive in pieces, some event loop turns apart."""

import asyncio

import pytest
from aiohttp import web

from bridge.listener import StrictServer
from plantainwood.clientguard import ClientGuard
from plantainwood.edge import CallerLimits
from plantainwood.metrics import Metrics

LIMITS = CallerLimits(header_timeout_ms=50)
HEAD = b"POST /o/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n"


class MemoryTransport(asyncio.Transport):
    """Record the bytes that are written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data) -> None:
        """Record the bytes."""
        self.written += bytes(data)

    def writelines(self, pieces) -> None:
        """Record the bytes of all pieces."""
        self.write(b"".join(pieces))

    def close(self) -> None:
        """Record that the transport was closed."""
        self.closed = True

    def is_closing(self) -> bool:
        """Return whether the transport was closed."""
        return self.closed

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""


async def answer_after_head_timeout(request: web.BaseRequest) -> web.Response:
    """Answer after the time limit for heads has passed."""
    body = await request.read()
    await asyncio.sleep(0.15)
    return web.Response(body=body)


def feed_pieces(
    pieces: list[bytes], turns: int, handle=answer_after_head_timeout
) -> MemoryTransport:
    """Feed pieces to a connection, a number of event loop turns apart."""

    async def scenario() -> MemoryTransport:
        guard = ClientGuard(None, None, Metrics())
        server = StrictServer(handle, guard, lambda: LIMITS)
        handler = server()
        transport = MemoryTransport()
        handler.connection_made(transport)
        for piece in pieces:
            handler.data_received(piece)
            for _ in range(turns):
                await asyncio.sleep(0)
        await asyncio.sleep(0.4)
        await server.shutdown(0.1)
        return transport

    return asyncio.run(scenario())


@pytest.mark.parametrize("turns", range(6))
def test_a_body_after_its_head_is_not_treated_as_a_slow_head(turns):
    transport = feed_pieces([HEAD, b"bo", b"dy"], turns)
    assert transport.written.count(b"HTTP/1.1 ") == 1
    assert transport.written.startswith(b"HTTP/1.1 200")
    assert transport.written.endswith(b"body")


@pytest.mark.parametrize("turns", range(6))
def test_a_head_in_pieces_is_served_if_complete_in_time(turns):
    transport = feed_pieces([HEAD[:20], HEAD[20:], b"body"], turns)
    assert transport.written.startswith(b"HTTP/1.1 200")


def test_an_idle_connection_after_a_request_is_not_treated_as_a_slow_head():
    async def answer(request):
        return web.Response(body=await request.read())

    transport = feed_pieces([HEAD, b"body"], 3, answer)
    assert transport.written.count(b"HTTP/1.1 ") == 1
    assert b" 408 " not in transport.written


def test_a_second_head_that_is_never_complete_is_408():
    async def answer(request):
        return web.Response(body=await request.read())

    transport = feed_pieces([HEAD + b"body", HEAD[:20]], 6, answer)
    assert transport.written.count(b"HTTP/1.1 ") == 2
    assert b" 408 " in transport.written
