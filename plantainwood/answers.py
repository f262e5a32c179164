"""Response formats for callers: an event stream, a single JSON body, an error."""

import math

import msgspec
from aiohttp import web

from plantainwood.core.errors import RequestError
from plantainwood.core.relay import Answer
from plantainwood.pipeline.exchange import ApiKind, Exchange, TokenSink

OBJECT_TYPES = {ApiKind.CHAT: "chat.completion", ApiKind.COMPLETION: "text_completion"}


def render_error(error: RequestError, request_id: str) -> dict:
    """Return the JSON body of an error."""
    body: dict = {
        "code": error.code.value,
        "message": error.message,
        "outcome": error.outcome.value,
        "request_id": request_id,
    }
    if error.retry_after_ms is not None:
        body["retry_after_ms"] = error.retry_after_ms
    return {"error": body}


def make_error_response(error: RequestError, request_id: str) -> web.Response:
    """Return an error as an HTTP response, with Retry-After in whole seconds."""
    headers = {"X-Request-Id": request_id}
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_ms / 1_000)))
    return web.json_response(
        render_error(error, request_id), status=error.status, headers=headers
    )


class StreamSink(TokenSink):
    """Stream an answer as server-sent events; the first event starts the response."""

    __slots__ = ("response", "_exchange", "_chunk_prefix", "_chunk_suffix")

    def __init__(self, exchange: Exchange) -> None:
        self.response: web.StreamResponse | None = None
        self._exchange = exchange
        self._chunk_prefix, self._chunk_suffix = _make_chunk_frame(exchange)

    async def write(self, token: str) -> None:
        """Send one token."""
        response = await self._start()
        text = msgspec.json.encode(token)
        await response.write(self._chunk_prefix + text + self._chunk_suffix)

    async def finish(self, answer: Answer) -> None:
        """Send the finish reason and the usage, and end the stream."""
        response = await self._start()
        choice: dict = {"index": 0, "delta": {}, "finish_reason": "stop"}
        body = {
            "id": self._exchange.request_id,
            "choices": [choice],
            "usage": {"completion_tokens": len(answer.tokens)},
        }
        await response.write(b"data: " + msgspec.json.encode(body) + b"\n\n")
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()

    async def fail(self, error: RequestError) -> None:
        """Send an error as the last event of a started stream."""
        response = await self._start()
        body = render_error(error, self._exchange.request_id)
        await response.write(b"data: " + msgspec.json.encode(body) + b"\n\n")
        await response.write_eof()

    async def _start(self) -> web.StreamResponse:
        if self.response is None:
            headers = {
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                "X-Request-Id": self._exchange.request_id,
            }
            self.response = web.StreamResponse(headers=headers)
            await self.response.prepare(self._exchange.request)
        return self.response


def _make_chunk_frame(exchange: Exchange) -> tuple[bytes, bytes]:
    """Return the constant bytes before and after a token's JSON text."""
    head = {
        "id": exchange.request_id,
        "object": f"{OBJECT_TYPES[exchange.kind]}.chunk",
    }
    start = msgspec.json.encode(head)[:-1] + b',"choices":[{"index":0,'
    if exchange.kind is ApiKind.CHAT:
        return b"data: " + start + b'"delta":{"content":', b"}}]}\n\n"
    return b"data: " + start + b'"text":', b"}]}\n\n"


class JsonSink(TokenSink):
    """Send an answer as a single JSON body once it is complete."""

    __slots__ = ("response", "_exchange")

    def __init__(self, exchange: Exchange) -> None:
        self.response: web.Response | None = None
        self._exchange = exchange

    async def write(self, token: str) -> None:
        """Do nothing: the answer passed to finish() holds all tokens."""

    async def finish(self, answer: Answer) -> None:
        """Build the response from the complete answer."""
        text = "".join(answer.tokens)
        choice: dict = {"index": 0, "finish_reason": "stop"}
        if self._exchange.kind is ApiKind.CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        body = {
            "id": self._exchange.request_id,
            "object": OBJECT_TYPES[self._exchange.kind],
            "choices": [choice],
            "usage": {"completion_tokens": len(answer.tokens)},
        }
        self.response = web.json_response(
            body, headers={"X-Request-Id": self._exchange.request_id}
        )
