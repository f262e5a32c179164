"""Run one stand-in on loopback until the process is ended."""

import asyncio

from absl import app, flags
from aiohttp import web

from standins import engine, keyvalue, plain, platform

_KIND = flags.DEFINE_enum(
    "kind", None, ["keyvalue", "engine", "plain", "platform"], "Which stand-in to run."
)
_PORT = flags.DEFINE_integer("port", None, "Loopback port.", lower_bound=1)
_SLOTS = flags.DEFINE_integer("slots", 8, "Concurrent requests of an engine.")
flags.mark_flags_as_required(["kind", "port"])


def build_app_of_kind(kind: str, slots: int) -> web.Application:
    """Return the application of a kind; only engines use `slots`."""
    if kind == "engine":
        return engine.build_app(slots)
    builders = {
        "keyvalue": keyvalue.build_app,
        "plain": plain.build_app,
        "platform": platform.build_app,
    }
    return builders[kind]()


async def serve(application: web.Application, port: int) -> None:
    """Serve an application on loopback until cancelled."""
    runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def main(_: list[str]) -> None:
    """Run the stand-in that the flags name."""
    try:
        asyncio.run(serve(build_app_of_kind(_KIND.value, _SLOTS.value), _PORT.value))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    app.run(main)
