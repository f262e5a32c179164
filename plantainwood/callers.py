"""HTTP server for callers: model routes, plain services, addresses and health."""

import asyncio
import secrets
import ssl

import msgspec
from aiohttp import web
from mode import Service

from plantainwood.answerends import find_cause, record_end
from plantainwood.answers import JsonSink, StreamSink, make_error_response
from plantainwood.bodyreading import read_whole_body
from plantainwood.bodyroom import BodyReservation
from plantainwood.clientlistener import listen_for_clients
from plantainwood.clientrunner import ClientRunner
from plantainwood.core.decoding import MalformedError, decode_json
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.keys import check_key
from plantainwood.core.messages import NodeState
from plantainwood.core.placement import (
    LIFETIME_MS,
    Candidate,
    compute_spread,
    pick_addresses,
)
from plantainwood.logs import log_event
from plantainwood.node import Node
from plantainwood.pipeline.exchange import ApiKind, Exchange
from plantainwood.pipeline.path import run_filters
from plantainwood.settings import Callers, Tls
from plantainwood.traces import read_context

MAX_REQUEST_ID_CHARS = 64


def make_tls_context(tls: Tls) -> ssl.SSLContext | None:
    """Return a server's TLS context (TLS 1.2 or later), or None if TLS is off."""
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    return context


class CallerServer(Service):
    """Serve callers until the daemon has drained."""

    def __init__(self, node: Node, **kwargs) -> None:
        self.node = node
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        super().__init__(**kwargs)

    async def on_start(self) -> None:
        """Start listening on the callers' address."""
        callers: Callers = self.node.settings.callers
        app = web.Application(client_max_size=callers.max_body_bytes)
        app.router.add_get("/healthz", self.handle_health)
        app.router.add_get("/readyz", self.handle_ready)
        app.router.add_get("/v1/addresses", self.handle_addresses)
        app.router.add_post("/v1/chat/completions", self.handle_chat)
        app.router.add_post("/v1/completions", self.handle_completion)
        app.router.add_route("*", "/services/{service}/{path:.*}", self.handle_plain)
        self._runner = ClientRunner(
            app,
            self.node.client_guard,
            handler_cancellation=True,
            max_line_size=callers.max_header_bytes,
            max_field_size=callers.max_header_bytes,
            keepalive_timeout=callers.idle_timeout_ms / 1_000,
        )
        await self._runner.setup()
        assert self._runner.server is not None
        self._listener = await listen_for_clients(
            self._runner.server,
            callers.host,
            callers.port,
            make_tls_context(callers.tls),
        )

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def handle_health(self, request: web.Request) -> web.Response:
        """Report that the process is running."""
        return web.json_response({"status": "ok"})

    async def handle_ready(self, request: web.Request) -> web.Response:
        """Report whether this node accepts new requests: 200 if so, else 503."""
        node = self.node
        ready = node.state is NodeState.LIVE and node.may_serve()
        body = {"ready": ready, "revision": node.catalogue.revision}
        return web.json_response(body, status=200 if ready else 503)

    async def handle_addresses(self, request: web.Request) -> web.Response:
        """Return the addresses that a caller should use, and their lifetime in ms."""
        node = self.node
        try:
            identity = check_key(node.catalogue, request.headers.get("Authorization"))
        except RequestError as error:
            return make_error_response(error, _make_request_id(request))
        customers = node.catalogue.customers
        weight = customers[identity.customer].weight
        total = sum(customer.weight for customer in customers.values())
        candidates = find_address_candidates(node)
        picked = pick_addresses(
            candidates,
            identity.customer,
            request.query.get("domain", node.settings.domain),
            compute_spread(weight, total, len(candidates)),
            request.query.get("conversation", ""),
        )
        addresses = [{"address": p.address, "weight": p.weight} for p in picked]
        body = {"addresses": addresses, "lifetime_ms": LIFETIME_MS}
        return web.json_response(body)

    async def handle_chat(self, request: web.Request) -> web.StreamResponse:
        """Serve a request for a chat completion."""
        return await self._serve(request, ApiKind.CHAT)

    async def handle_completion(self, request: web.Request) -> web.StreamResponse:
        """Serve a request for a text completion."""
        return await self._serve(request, ApiKind.COMPLETION)

    async def handle_plain(self, request: web.Request) -> web.StreamResponse:
        """Forward a request to a plain service."""
        return await self._serve(request, ApiKind.PLAIN)

    async def _serve(self, request: web.Request, kind: ApiKind) -> web.StreamResponse:
        request_id = _make_request_id(request)
        reservation = BodyReservation(self.node.client_guard.body_room)
        try:
            body = await self._read_body(request, reservation)
        except RequestError as error:
            response = make_error_response(error, request_id)
            response.force_close()
            return response
        exchange = Exchange(self.node, request, request_id, kind, body)
        if kind is ApiKind.PLAIN:
            # The call must not be cancelled halfway if the caller disconnects.
            task = asyncio.ensure_future(self._run_and_respond(exchange, reservation))
            self.node.background_tasks.add(task)
            task.add_done_callback(self.node.background_tasks.discard)
            return await asyncio.shield(task)
        return await self._run_and_respond(exchange, reservation)

    async def _read_body(
        self, request: web.Request, reservation: BodyReservation
    ) -> bytes:
        """Return the body; the reservation is released unless it is complete."""
        callers = self.node.settings.callers
        try:
            async with asyncio.timeout(callers.body_timeout_ms / 1_000):
                return await read_whole_body(
                    request, callers.max_body_bytes, reservation
                )
        except TimeoutError as error:
            reservation.release()
            message = "the body did not come in time"
            raise RequestError(ErrorCode.BAD_REQUEST, message) from error
        except BaseException:
            reservation.release()
            raise

    async def _run_and_respond(
        self, exchange: Exchange, reservation: BodyReservation
    ) -> web.StreamResponse:
        """Run the filters and return the response in the format that was asked for."""
        with reservation, exchange.answer_reservation:
            return await self._run_filters(exchange)

    async def _run_filters(self, exchange: Exchange) -> web.StreamResponse:
        sink = _make_sink(exchange)
        exchange.sink = sink
        context = read_context(exchange.request.headers.get("traceparent"))
        try:
            with self.node.tracer.start_as_current_span("request", context=context):
                await run_filters(exchange)
        except RequestError as error:
            log_event("refused", request=exchange.request_id, code=error.code.value)
            if isinstance(sink, StreamSink) and sink.response is not None:
                _record_end(exchange, error)
                await sink.fail(error)
                return sink.response
            return make_error_response(error, exchange.request_id)
        except BaseException as error:
            if isinstance(sink, StreamSink) and sink.response is not None:
                _record_end(exchange, error)
            raise
        if exchange.kind is ApiKind.PLAIN:
            return _make_plain_response(exchange)
        assert sink.response is not None
        return sink.response


def _record_end(exchange: Exchange, error: BaseException) -> None:
    """Log and count a stream that has begun and ends unfinished."""
    node = exchange.node
    now_ms = node.clock.now_ms()
    record_end(
        node.metrics,
        find_cause(error),
        request=exchange.request_id,
        upstream=exchange.upstream,
        attempt=exchange.attempts,
        events=len(exchange.answer.tokens),
        took_ms=now_ms - exchange.arrived_ms,
        registry=node.catalogue.revision,
    )


def find_address_candidates(node: Node) -> list[Candidate]:
    """Return the live VMs, including this one, that callers may be sent to."""
    candidates: list[Candidate] = []
    profiles = [(node.make_profile(), node.state, 0)]
    for member in node.members.list_live(node.clock.now_ms()):
        if member.heartbeat is None:
            continue
        heartbeat = member.heartbeat
        profiles.append((member.profile, heartbeat.state, heartbeat.busy_percent))
    for profile, state, busy_percent in profiles:
        if state is NodeState.LEAVING or node.is_listed_leaving(profile.origin):
            continue
        candidates.append(
            Candidate(
                profile.origin, profile.caller_address, profile.domain, busy_percent
            )
        )
    return candidates


def _make_request_id(request: web.Request) -> str:
    """Return an id that is unique on this node, even if callers reuse their own ids.

    A well-formed X-Request-Id becomes its prefix.
    """
    own = secrets.token_hex(8)
    given = request.headers.get("X-Request-Id", "")[:MAX_REQUEST_ID_CHARS]
    if given and given.isascii() and given.replace("-", "").isalnum():
        return f"{given}.{own}"
    return own


def _make_sink(exchange: Exchange) -> StreamSink | JsonSink:
    if b'"stream"' in exchange.body and _wants_stream(exchange.body):
        return StreamSink(exchange)
    return JsonSink(exchange)


def _wants_stream(body: bytes) -> bool:
    """Return whether a body asks for a stream; a malformed one is rejected later."""
    try:
        return decode_json(body, StreamFlag).stream
    except MalformedError:
        return False


class StreamFlag(msgspec.Struct):
    """The field of a body that asks for a streamed answer; others are ignored."""

    stream: bool = False


def _make_plain_response(exchange: Exchange) -> web.Response:
    answer = exchange.plain_answer
    if answer is None:
        error = RequestError(ErrorCode.INTERNAL, "no answer", Outcome.UNKNOWN)
        return make_error_response(error, exchange.request_id)
    headers = {"X-Request-Id": exchange.request_id}
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    return web.Response(status=answer.status, body=answer.body, headers=headers)
