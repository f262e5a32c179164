"""Fault injection for stand-ins, set through a control route on loopback."""

import asyncio

import msgspec
from aiohttp import web


class Faults(msgspec.Struct):
    """The active faults of a stand-in; all are off at the start."""

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    """Number of following writes that take effect but lose their reply."""
    crash_on: str = ""
    """Text in a prompt that ends the stand-in's process, as a crash would."""
    cut_after: int = -1
    """Number of tokens after which streams are reset; -1 for never."""
    garbage: bool = False
    token_ms: float = 5.0
    lag_ms: int = 0


FAULTS = web.AppKey("faults", Faults)


async def handle_control(request: web.Request) -> web.Response:
    """Set the faults that a JSON object names; answer with all of them."""
    faults = request.app[FAULTS]
    for name, value in (await request.json()).items():
        setattr(faults, name, value)
    return web.json_response(msgspec.to_builtins(faults))


@web.middleware
async def apply_faults(request: web.Request, handler) -> web.StreamResponse:
    """Apply `down` and `slow_ms` before all handlers but the control route."""
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
