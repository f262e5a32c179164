"""Relay: run the attempts that the dispatcher decides on, and forward the answer."""

from contextlib import aclosing

from opentelemetry.trace import get_current_span

from plantainwood.attempterrors import AttemptError
from plantainwood.attempts import AttemptRunner
from plantainwood.core import events as ev
from plantainwood.core.relay import Step
from plantainwood.engines import EngineCall, PlainCall
from plantainwood.pipeline.exchange import ApiKind, Exchange, Filter, Proceed
from plantainwood.pipeline.meter import bill_tokens
from plantainwood.pipeline.schedule import make_fingerprint
from plantainwood.traces import make_traceparent

FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language", "Idempotency-Key")
"""The caller's headers that are sent to a plain service; all others are dropped."""
ENGINE_PATHS = {
    ApiKind.CHAT: "/v1/chat/completions",
    ApiKind.COMPLETION: "/v1/completions",
}
FORWARDED_FIELDS = (
    "model",
    "messages",
    "prompt",
    "max_tokens",
    "temperature",
    "top_p",
    "stop",
    "seed",
    "tools",
    "tool_choice",
    "response_format",
)
"""The fields of a caller's body that are sent to an engine; others are dropped."""


class Relay(Filter):
    """Carry out the dispatcher's decisions on one request until it ends."""

    name = "relay"

    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Forward the complete answer, or raise the dispatcher's refusal."""
        await ExchangeAttempts(exchange).follow_decisions()
        if exchange.kind is not ApiKind.PLAIN:
            await exchange.sink.finish(exchange.answer)
        await proceed()


class ExchangeAttempts(AttemptRunner):
    """Run the attempts of one exchange on engines or plain services."""

    def __init__(self, exchange: Exchange) -> None:
        super().__init__(exchange.node.broker, exchange.active_request)
        self._exchange = exchange

    async def prepare_refusal(self) -> None:
        """Wait until other nodes know what the request's attempts have crashed."""
        if self._exchange.attempts:
            await self._exchange.node.wait_for_marks(make_fingerprint(self._exchange))

    async def perform_attempt(self, dispatch: ev.Dispatch) -> None:
        """Call the upstream and forward its answer."""
        exchange = self._exchange
        exchange.attempts += 1
        exchange.upstream = dispatch.upstream
        entry = exchange.node.catalogue.upstreams.get(dispatch.upstream)
        if entry is None:
            raise AttemptError(
                "the upstream is no longer in the catalogue", False, True
            )
        with exchange.node.tracer.start_as_current_span("attempt") as span:
            span.set_attribute("upstream", dispatch.upstream)
            if exchange.kind is ApiKind.PLAIN:
                await _call_plain(exchange, dispatch, entry.address)
            else:
                await _relay_stream(exchange, dispatch, entry.address)


async def _relay_stream(
    exchange: Exchange, dispatch: ev.Dispatch, address: str
) -> None:
    """Forward an engine's tokens, resuming after those already forwarded."""
    answer = exchange.answer
    while answer.attempt < dispatch.attempt:
        answer.begin_attempt()
    index = len(answer.tokens)
    call = _make_engine_call(exchange, dispatch)
    engine = exchange.node.clients.engine
    async with aclosing(engine.stream(address, call)) as parts:
        async for part in parts:
            if part.end:
                count = part.count if part.count is not None else index
                if answer.finish(dispatch.attempt, count) is not Step.FORWARD:
                    raise AttemptError(
                        "the number of tokens differs from the engine's count",
                        False,
                        False,
                    )
                return
            step = answer.accept(dispatch.attempt, index, part.token)
            index += 1
            if step is Step.FORWARD:
                await _forward_token(exchange, dispatch, part.token)


async def _forward_token(exchange: Exchange, dispatch: ev.Dispatch, token: str) -> None:
    broker = exchange.node.broker
    if not exchange.first_token_ms:
        exchange.first_token_ms = exchange.node.clock.now_ms()
    request_id, attempt = dispatch.request_id, dispatch.attempt
    broker.feed(ev.AttemptStarted(request_id, attempt))
    broker.feed(ev.TokensRelayed(request_id, attempt, 1))
    bill_tokens(exchange, 1)
    await exchange.sink.write(token)


def _make_engine_call(exchange: Exchange, dispatch: ev.Dispatch) -> EngineCall:
    body = {}
    for name in FORWARDED_FIELDS:
        if name in exchange.parsed_body:
            body[name] = exchange.parsed_body[name]
    return EngineCall(
        path=ENGINE_PATHS[exchange.kind],
        body=body,
        priority=dispatch.priority,
        resume_from=len(exchange.answer.tokens),
        resume_text="".join(exchange.answer.tokens),
        headers=_make_request_headers(exchange),
    )


def _make_request_headers(exchange: Exchange) -> dict[str, str]:
    headers = {"X-Request-Id": exchange.request_id}
    traceparent = make_traceparent(get_current_span())
    if traceparent:
        headers["traceparent"] = traceparent
    return headers


async def _call_plain(exchange: Exchange, dispatch: ev.Dispatch, address: str) -> None:
    """Call a plain service and keep its complete answer."""
    request = exchange.request
    headers = _make_request_headers(exchange)
    for name in FORWARDED_HEADERS:
        if name in request.headers:
            headers[name] = request.headers[name]
    path = "/" + request.match_info["path"]
    if request.query_string:
        path = f"{path}?{request.query_string}"
    call = PlainCall(request.method, path, exchange.body, headers)
    exchange.plain_answer = await exchange.node.clients.plain.call(
        address, call, exchange.answer_reservation.reserve
    )
