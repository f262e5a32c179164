"""Listening for clients that are not controlled, and the end of their connections."""

import asyncio
import ssl

from plantainwood import web

BACKLOG = 1_024
"""Connections that the system keeps until they are accepted."""
ACCEPTED_AT_ONCE = 16
"""Connections that are accepted before the first of them counts as open; three such
rounds may be open beyond the bound on connections."""
CLOSE_TIMEOUT_S = 0.05
"""How long a stop waits for a request in progress to end, and for its handler to end
once it is cancelled."""


async def listen_for_clients(
    server: web.Server, host: str, port: int, context: ssl.SSLContext | None = None
) -> asyncio.Server:
    """Return a listener whose connections the server's handlers serve.

    asyncio accepts as many connections at once as its backlog, so the system's queue
    gets its length afterwards.
    """
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        server, host, port, ssl=context, backlog=ACCEPTED_AT_ONCE
    )
    for sock in listener.sockets:
        with sock.dup() as queue:
            queue.listen(BACKLOG)
    return listener


async def close_connections(
    server: web.Server, timeout_s: float = CLOSE_TIMEOUT_S
) -> None:
    """Close a server's connections: idle ones at once, others after two timeouts."""
    server.pre_shutdown()
    await server.shutdown(timeout_s)
