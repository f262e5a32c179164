"""The HTTP server for calls that other VMs can't serve themselves."""

import asyncio
import logging
from typing import Callable

from mode import Service

from plantainwood import web
from plantainwood.bodyreading import read_whole_body
from plantainwood.bodyroom import BodyReservation
from plantainwood.calls import Call, ResponseSink
from plantainwood.clienthandler import ClientServer
from plantainwood.clientlistener import close_connections, listen_for_clients
from plantainwood.core.errors import RequestError
from plantainwood.core.frames import FrameError
from plantainwood.edge import Edge
from plantainwood.forwarding import Forwarder
from plantainwood.logs import log_event
from plantainwood.takeups import confirm_version
from plantainwood.vmcalls import CALLS_PATH, decode_call, encode_refusal

REFUSED_STATUS = 503
IDLE_S = 15.0
MAX_FRAME_FACTOR = 2
FRAME_SLACK_BYTES = 1_048_576
"""A frame holds a call's body, its head, and a prompt's parts."""


class VmCallServer(Service):
    """Serve the calls of VMs without a path to the upstreams; never pass them on."""

    def __init__(
        self,
        edge: Edge,
        forwarder: Forwarder,
        make_sink: Callable[[web.BaseRequest, Edge], ResponseSink],
        **kwargs,
    ) -> None:
        self.edge = edge
        self._forwarder = forwarder
        self._make_sink = make_sink
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None
        super().__init__(**kwargs)

    async def on_start(self) -> None:
        """Listen for other VMs, if the settings have an address for that."""
        address = self.edge.settings.addresses.calls
        if address is None:
            return
        self._server = ClientServer(
            self._handle,
            self.edge.client_guard,
            handler_cancellation=True,
            keepalive_timeout=IDLE_S,
        )
        host, _, port = address.rpartition(":")
        self._listener = await listen_for_clients(self._server, host, int(port))

    async def on_stop(self) -> None:
        """Close the address and all connections."""
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            await close_connections(self._server)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != CALLS_PATH:
            return web.Response(status=404)
        with BodyReservation(self.edge.client_guard.body_room) as reservation:
            return await self._read_and_serve(request, reservation)

    async def _read_and_serve(
        self, request: web.BaseRequest, reservation: BodyReservation
    ) -> web.StreamResponse:
        edge = self.edge
        limit = MAX_FRAME_FACTOR * edge.view.limits.body_bytes + FRAME_SLACK_BYTES
        try:
            frame = await read_whole_body(request, limit, reservation)
        except RequestError as error:
            log_event("frame_dropped", logging.WARNING, reason=str(error))
            response = web.Response(status=error.status, body=encode_refusal(error))
            response.force_close()
            return response
        try:
            call = decode_call(frame, edge.clock.now_ms(), edge.settings.fleet)
        except FrameError as error:
            log_event("frame_dropped", logging.WARNING, reason=str(error))
            return web.Response(status=403)
        edge.open_call_count += 1
        try:
            return await self._serve(request, call)
        finally:
            edge.open_call_count -= 1

    async def _serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        sink = self._make_sink(request, self.edge)
        try:
            await confirm_version(self.edge, call)
            summary = await self._forwarder.forward(call, sink, self.edge.clock)
        except RequestError as error:
            log_event(
                "vm_call_refused",
                request=call.request_id,
                vm=call.from_vm,
                code=error.code.value,
                outcome=error.outcome.value,
                reason=error.message,
            )
            return self._refuse(error, sink)
        finally:
            sink.release()
        log_event(
            "vm_call_served",
            request=call.request_id,
            vm=call.from_vm,
            upstream=summary.upstream,
            status=summary.status,
            attempts=summary.attempts,
            took_ms=self.edge.clock.now_ms() - call.arrived_ms,
        )
        assert sink.response is not None
        return sink.response

    def _refuse(self, error: RequestError, sink: ResponseSink) -> web.StreamResponse:
        """Return a refusal, or cut off an answer that has begun."""
        if sink.started:
            sink.abort()
            assert sink.response is not None
            return sink.response
        return web.Response(
            status=REFUSED_STATUS,
            body=encode_refusal(error),
            content_type="application/json",
        )
