"""Faults that a stand-in shows on command, by a control route on loopback."""

import asyncio

import msgspec
from aiohttp import web


class Faults(msgspec.Struct):
    """The faults in force; all off at the start."""

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    """How many of the next writes take effect and then lose their reply."""
    crash_on: str = ""
    """A text in a prompt that ends the stand-in's process, as a crash would."""
    cut_after: int = -1
    """After how many tokens streams are reset; -1 never."""
    garbage: bool = False
    token_ms: float = 5.0
    lag_ms: int = 0


FAULTS = web.AppKey("faults", Faults)


async def handle_control(request: web.Request) -> web.Response:
    """Change some of the faults: a JSON object with their names."""
    faults = request.app[FAULTS]
    for name, value in (await request.json()).items():
        setattr(faults, name, value)
    return web.json_response(msgspec.to_builtins(faults))


@web.middleware
async def apply_faults(request: web.Request, handler) -> web.StreamResponse:
    """Be down or slow before any handler but the control route."""
    if request.path == "/control":
        return await handler(request)
    faults = request.app[FAULTS]
    if faults.down:
        drop_connection(request)
        raise web.HTTPServiceUnavailable()
    if faults.slow_ms:
        await asyncio.sleep(faults.slow_ms / 1_000)
    return await handler(request)


def drop_connection(request: web.Request) -> None:
    """Reset the connection of a request."""
    if request.transport is not None:
        request.transport.abort()


def make_app() -> web.Application:
    """Return an application with the control route and the fault middleware."""
    app = web.Application(middlewares=[apply_faults], client_max_size=8_000_000)
    app[FAULTS] = Faults()
    app.router.add_post("/control", handle_control)
    return app
