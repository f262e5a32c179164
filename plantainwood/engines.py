"""HTTP clients of upstreams: model engines and plain services."""

import asyncio
from abc import ABC, abstractmethod
from types import SimpleNamespace
from typing import Any, AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec

from plantainwood.attempterrors import AttemptError, make_unreached_error
from plantainwood.core.decoding import MalformedError, decode_json
from plantainwood.core.eventstream import EventSplitter, EventTooLong
from plantainwood.httpclient import (
    BodyError,
    check_encoding,
    read_body,
    reserve_nothing,
)

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
"""The longest wait for the head of an answer, and for each of its parts."""
MAX_UNUSED_BYTES = 262_144
"""Bytes of a stream since its last part."""
MAX_ANSWER_BYTES = 8_388_608
"""The tokens of an answer, which are kept to its end."""
TOKEN_BYTES = 64
"""What a token takes beside its text."""
MAX_REPORT_BYTES = 65_536


class AnswerPart(msgspec.Struct, frozen=True):
    """A part of a streamed answer: a token, or the end and the token count if known."""

    token: str = ""
    end: bool = False
    count: int | None = None


class EngineCall(msgspec.Struct, frozen=True):
    """One attempt at a request, in the form that is sent to an engine."""

    path: str
    body: dict[str, Any]
    priority: int
    resume_from: int
    resume_text: str
    headers: dict[str, str]


class PlainCall(msgspec.Struct, frozen=True):
    """A request to a plain service."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str]


class PlainAnswer(msgspec.Struct, frozen=True):
    """The complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class EngineClient(ABC):
    """Call an engine; one subclass per engine API."""

    @abstractmethod
    def stream(self, address: str, call: EngineCall) -> AsyncIterator[AnswerPart]:
        """Yield the parts of an answer; closing the iterator cancels the request.

        Raise AttemptError if the attempt fails.
        """

    @abstractmethod
    async def read_load(self, address: str) -> tuple[tuple[int, ...], int] | None:
        """Return an upstream's load by tier and the report's lag in ms.

        Return None if the report cannot be read.
        """


class OpenAiEngine(EngineClient):
    """Call OpenAI-compatible routes, with extra fields for priority and resuming."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
        )

    async def stream(self, address: str, call: EngineCall) -> AsyncIterator[AnswerPart]:
        """Yield tokens as they arrive, then the end."""
        body = dict(call.body)
        body["stream"] = True
        body["priority"] = call.priority
        if call.resume_from:
            body["resume_from"] = call.resume_from
            body["resume_text"] = call.resume_text
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                response = await self._session.post(
                    address + call.path,
                    data=msgspec.json.encode(body),
                    headers={**call.headers, "Content-Type": "application/json"},
                    timeout=self._timeout,
                )
            async with response:
                if response.status != 200:
                    reason = f"the engine answered {response.status}"
                    raise AttemptError(reason, crashed=False, proved_not_run=False)
                check_encoding(response)
                async for part in _read_parts(response.content):
                    yield part
        except aiohttp.ClientConnectorError as error:
            raise make_unreached_error(repr(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise make_unreached_error(repr(error)) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError) as error:
            crashed = not isinstance(error, (asyncio.TimeoutError, BodyError))
            raise AttemptError(repr(error), crashed, False) from error

    async def read_load(self, address: str) -> tuple[tuple[int, ...], int] | None:
        """Fetch the engine's load report."""
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(
                f"{address}/load", timeout=timeout
            ) as response:
                data = await read_body(response, MAX_REPORT_BYTES)
            report = decode_json(data, LoadReport)
        except (aiohttp.ClientError, asyncio.TimeoutError, MalformedError):
            return None
        return report.by_tier, report.lag_ms


class LoadReport(msgspec.Struct, frozen=True):
    """An upstream's own count of its requests by tier, as it was lag_ms ago."""

    by_tier: tuple[int, ...]
    lag_ms: int = 0


async def _read_parts(content: aiohttp.StreamReader) -> AsyncIterator[AnswerPart]:
    """Yield the parts of an answer; raise AttemptError if the stream is malformed.

    Bytes that bring no part are no progress, whether they are many or slow.
    """
    parser = PartParser()
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + READ_TIMEOUT_S
    unused_bytes = 0
    while True:
        async with asyncio.timeout_at(deadline_s):
            chunk = await content.readany()
        parts = parser.feed(chunk) if chunk else parser.end()
        unused_bytes += len(chunk)
        for part in parts:
            yield part
            if part.end:
                return
        if not chunk:
            raise AttemptError(
                "the stream ended before [DONE]", crashed=True, proved_not_run=False
            )
        if parts:
            unused_bytes = 0
            deadline_s = loop.time() + READ_TIMEOUT_S
        if unused_bytes > MAX_UNUSED_BYTES:
            raise _make_malformed_error("too many bytes without a part of the answer")


class PartParser:
    """Parse an OpenAI-compatible stream; raise AttemptError if it is malformed."""

    __slots__ = ("_splitter", "_count", "_has_finished", "_held_bytes")

    def __init__(self) -> None:
        self._splitter = EventSplitter()
        self._count: int | None = None
        """The engine's own count of the answer's tokens."""
        self._has_finished = False
        self._held_bytes = 0

    def feed(self, data: bytes) -> list[AnswerPart]:
        """Return the parts that this data completes."""
        try:
            return self._parse_lines(self._splitter.feed(data))
        except EventTooLong as error:
            raise _make_malformed_error(str(error)) from error

    def end(self) -> list[AnswerPart]:
        """Return the parts after the last empty line."""
        return self._parse_lines(self._splitter.take_rest())

    def _parse_lines(self, text: bytes) -> list[AnswerPart]:
        parts: list[AnswerPart] = []
        for line in text.splitlines():
            line = line.strip()
            if not line or line.startswith(b":"):
                continue
            if not line.startswith(b"data:"):
                raise _make_malformed_error("a line is not an event")
            self._parse_data(line[len(b"data:") :].strip(), parts)
            if parts and parts[-1].end:
                break
        return parts

    def _parse_data(self, data: bytes, parts: list[AnswerPart]) -> None:
        if data == b"[DONE]":
            if not self._has_finished:
                raise _make_malformed_error("the stream ended without a finish reason")
            parts.append(AnswerPart(end=True, count=self._count))
            return
        chunk = _decode_chunk(data)
        if chunk.usage is not None:
            self._count = chunk.usage.completion_tokens
        for choice in chunk.choices:
            text = choice.delta.content or choice.text
            if text:
                parts.append(AnswerPart(token=text))
                self._count_token(text)
            self._has_finished = self._has_finished or choice.finish_reason is not None

    def _count_token(self, text: str) -> None:
        self._held_bytes += len(text) + TOKEN_BYTES
        if self._held_bytes > MAX_ANSWER_BYTES:
            raise _make_malformed_error("the answer is too long")


class Delta(msgspec.Struct, frozen=True):
    """The text that a chunk adds to a chat message."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """One choice of a chunk; text is used by the completions route."""

    delta: Delta = Delta()
    text: str = ""
    finish_reason: str | None = None


class UsageCount(msgspec.Struct, frozen=True):
    """The engine's own count of an answer's tokens."""

    completion_tokens: int


class Chunk(msgspec.Struct, frozen=True):
    """One event of an OpenAI-compatible stream."""

    choices: list[Choice] = []
    usage: UsageCount | None = None


def _decode_chunk(data: bytes) -> Chunk:
    try:
        return decode_json(data, Chunk)
    except MalformedError as error:
        raise _make_malformed_error(str(error)) from error


def _make_malformed_error(reason: str) -> AttemptError:
    return AttemptError(
        f"malformed stream: {reason}", crashed=False, proved_not_run=False
    )


class SingleConnection:
    """Record whether a call has used its only connection."""

    __slots__ = ("used",)

    def __init__(self) -> None:
        self.used = False


class SecondConnectionError(Exception):
    """Stop aiohttp from sending a call a second time."""


def make_single_connection_config() -> aiohttp.TraceConfig:
    """Return trace hooks that allow each call only one connection.

    Each request of the session must pass a SingleConnection as its trace context.
    """

    async def check(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        connection: SingleConnection = context.trace_request_ctx
        if connection.used:
            raise SecondConnectionError()
        connection.used = True

    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(check)
    config.on_connection_reuseconn.append(check)
    return config


class PlainClient:
    """Call a plain service over HTTP, sending each call at most once.

    The session must have the hooks of make_single_connection_config, because
    aiohttp otherwise repeats some methods after a disconnect.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(
            total=READ_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )

    async def call(
        self,
        address: str,
        call: PlainCall,
        reserve: Callable[[int], Awaitable[None]] = reserve_nothing,
    ) -> PlainAnswer:
        """Return the complete response; raise AttemptError if none arrived.

        `reserve` waits for room for a response that is not small.
        """
        try:
            async with self._session.request(
                call.method,
                address + call.path,
                data=call.body,
                headers=call.headers,
                timeout=self._timeout,
                allow_redirects=False,
                trace_request_ctx=SingleConnection(),
            ) as response:
                body = await read_body(response, MAX_ANSWER_BYTES, reserve)
                content_type = response.headers.get("Content-Type", "")
                return PlainAnswer(response.status, content_type, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise make_unreached_error(repr(error)) from error
        except BodyError as error:
            raise AttemptError(str(error), False, proved_not_run=False) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError) as error:
            raise AttemptError(repr(error), True, proved_not_run=False) from error
        except SecondConnectionError as error:
            reason = "the connection broke after the call was sent"
            raise AttemptError(reason, True, proved_not_run=False) from error
