"""Stand-in for a plain service: a booking service that counts its runs."""

import asyncio
from collections import Counter

from aiohttp import web

from standins.faults import FAULTS, drop_connection, make_app

RUNS = web.AppKey("runs", Counter)
RECEIVED = web.AppKey("received", bytearray)


async def handle_call(request: web.Request) -> web.Response:
    """Run a booking: count it by its body, then answer."""
    body = await request.read()
    request.app[RECEIVED].extend(repr(request.raw_headers).encode() + body)
    request.app[RUNS][body.decode()] += 1
    faults = request.app[FAULTS]
    if faults.lose_replies > 0:
        faults.lose_replies -= 1
        drop_connection(request)
    await asyncio.sleep(faults.token_ms / 1_000)
    return web.json_response({"booked": True, "path": request.path})


async def handle_runs(request: web.Request) -> web.Response:
    """Answer /runs with the number of runs by body."""
    return web.json_response(dict(request.app[RUNS]))


async def handle_received(request: web.Request) -> web.Response:
    """Answer /received with every byte received so far."""
    return web.Response(body=bytes(request.app[RECEIVED]))


async def handle_load(request: web.Request) -> web.Response:
    """Answer /load with no load, since calls are short."""
    return web.json_response({"by_tier": [0] * 10, "lag_ms": 0})


def build_app() -> web.Application:
    """Return the plain stand-in as a web application."""
    app = make_app()
    app[RUNS] = Counter()
    app[RECEIVED] = bytearray()
    app.router.add_get("/runs", handle_runs)
    app.router.add_get("/received", handle_received)
    app.router.add_get("/load", handle_load)
    app.router.add_route("*", "/{path:.*}", handle_call)
    return app
