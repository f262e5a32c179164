"""The parts of aiohttp's server that the interface on the platform uses.

`aiohttp.web` also loads routes, static files and WebSockets, 5% of the CPU time of a
start, for which callers wait after a loss of all VMs.
"""

from aiohttp.web_protocol import PayloadAccessError, RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

__all__ = [
    "BaseRequest",
    "PayloadAccessError",
    "RequestHandler",
    "Response",
    "Server",
    "StreamResponse",
]
