"""Applications of the product's own interface, served by a ClientHandler."""

from aiohttp import web

from plantainwood.clientguard import ClientGuard
from plantainwood.clienthandler import ClientServer


class ClientRunner(web.AppRunner):
    """Run an application whose connections are served by a ClientHandler."""

    def __init__(self, app: web.Application, guard: ClientGuard, **kwargs) -> None:
        super().__init__(app, access_log=None, **kwargs)
        self._guard = guard

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return ClientServer(
            server.request_handler,
            self._guard,
            request_factory=server.request_factory,
            **{key: self._kwargs[key] for key in self._kwargs if key != "access_log"},
        )
