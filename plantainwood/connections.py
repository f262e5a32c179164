"""Connections to upstreams: HTTP/1.1 with one request at a time on each.

The client library cannot pass over an answer to an earlier request, and it repeats
some calls by itself. Here a response is matched by its request id, a connection with
bytes that nobody asked for is closed, and whether any byte was written is known.
"""

import asyncio
import socket
from collections import deque

import httptools

from plantainwood.core.clock import Clock
from plantainwood.engines import AttemptError

DEFAULT_IDLE_MS = 4_000
IDLE_MARGIN_MS = 600
USER_TIMEOUT_MS = 1_500
HIGH_WATER_BYTES = 262_144
MAX_FOREIGN_RESPONSES = 4
BODILESS_STATUSES = (204, 304)

Headers = list[tuple[bytes, bytes]]


class Response:
    """The head of a response, and whether its end can be told from a broken one."""

    __slots__ = ("status", "headers")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers

    def get_header(self, name: bytes) -> bytes | None:
        """Return the value of a header by its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """One connection; reads responses and hands out their bodies piece by piece."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.address = address
        self.usable = True
        self.idle_until_ms = 0
        self.request_written = False
        """Whether a byte of the current request was written."""
        self.request_count = 0
        self._clock = clock
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._heads: deque[Response] = deque()
        self._body_chunks: deque[bytes] = deque()
        self._awaiting_response = False
        self._in_message = False
        self._response_complete = False
        self._body_until_close = False
        self._skipping = False
        self._lost_reason: str | None = None
        self._buffered_bytes = 0
        self._waiter: asyncio.Future | None = None
        self._request_id = b""
        self._id_header = b""
        self._foreign_responses = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; bound the time that sent bytes stay unacknowledged."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes outside of a request end the connection."""
        if not self._awaiting_response:
            self._fail("bytes came that belong to no request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {error}")
        except Exception as error:
            self._fail(f"parsing failed: {error!r}")
        self._wake()

    def eof_received(self) -> bool:
        """Take the orderly end of the connection."""
        if self._in_message and self._body_until_close and not self._response_complete:
            self._response_complete = True
            self.usable = False
            self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note the loss; a response that is not whole stays incomplete."""
        self.usable = False
        if self._lost_reason is None:
            self._lost_reason = (
                repr(error) if error is not None else "closed by the upstream"
            )
        self._wake()

    def on_message_begin(self) -> None:
        """Start a response, or find that an unwanted one follows a whole one."""
        if self._response_complete:
            self.usable = False
            self._skipping = True
            return
        self._in_message = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if not self._response_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the end of a head; tell a foreign response by its request id."""
        if self._response_complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        response = Response(status, self._headers)
        given = response.get_header(self._id_header) if self._id_header else None
        self._skipping = given is not None and given != self._request_id
        if self._skipping:
            self._foreign_responses += 1
            if self._foreign_responses > MAX_FOREIGN_RESPONSES:
                self._fail("too many responses to other requests")
            return
        chunked = (
            response.get_header(b"transfer-encoding") or b""
        ).lower() == b"chunked"
        has_length = response.get_header(b"content-length") is not None
        self._body_until_close = not (
            chunked or has_length or status in BODILESS_STATUSES
        )
        if (response.get_header(b"connection") or b"").lower() == b"close":
            self.usable = False
        self._heads.append(response)

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self._skipping or self._response_complete:
            return
        self._body_chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Take the end of a response."""
        if self._response_complete or self._parser.get_status_code() < 200:
            return
        if self._skipping:
            self._skipping = False
            self._in_message = False
            return
        self._response_complete = True

    def send(self, data: bytes, request_id: bytes, id_header: bytes) -> None:
        """Write a request; from here on its effect is unknown until proved."""
        self._awaiting_response = True
        self._in_message = False
        self._response_complete = False
        self._body_until_close = False
        self._skipping = False
        self._foreign_responses = 0
        self._heads.clear()
        self._body_chunks.clear()
        self._buffered_bytes = 0
        self._request_id = request_id
        self._id_header = id_header
        self.request_written = True
        self.request_count += 1
        self._transport.write(data)

    async def read_head(self) -> Response:
        """Return the head of the response; raise AttemptError where none comes."""
        while not self._heads:
            if self._lost_reason is not None:
                raise AttemptError(
                    self._lost_reason, crashed=True, proved_not_run=False
                )
            await self._wait()
        return self._heads[0]

    async def read_chunk(self) -> bytes:
        """Return the next piece of the body, empty at its proper end."""
        while not self._body_chunks:
            if self._response_complete:
                return b""
            if self._lost_reason is not None:
                raise AttemptError(
                    self._lost_reason, crashed=True, proved_not_run=False
                )
            await self._wait()
        data = b"".join(self._body_chunks)
        self._body_chunks.clear()
        self._buffered_bytes = 0
        if not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    @property
    def lost_reason(self) -> str | None:
        """Return why the connection is lost, None while it is not."""
        return self._lost_reason

    def finish(self) -> None:
        """End the current request; keep the connection only if nothing is left over."""
        is_complete = (
            self._response_complete and not self._body_chunks and not self._skipping
        )
        self._awaiting_response = False
        self.request_written = False
        if not is_complete or self._body_until_close or self._foreign_responses:
            self.usable = False
        if not self.usable:
            self.close()
            return
        self.idle_until_ms = self._clock.now_ms() + self._compute_idle_ms()

    def _compute_idle_ms(self) -> int:
        """Return how long the upstream keeps the connection, less a margin."""
        keep_alive = self._heads[0].get_header(b"keep-alive") if self._heads else None
        if keep_alive is None:
            return DEFAULT_IDLE_MS
        for item in keep_alive.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return max(0, int(value) * 1_000 - IDLE_MARGIN_MS)
        return DEFAULT_IDLE_MS

    def close(self) -> None:
        """Close the connection at once, which cancels what it still runs."""
        self.usable = False
        if self._lost_reason is None:
            self._lost_reason = "closed here"
        self._transport.abort()

    def _fail(self, reason: str) -> None:
        self.usable = False
        if self._lost_reason is None:
            self._lost_reason = reason
        self._transport.abort()
        self._wake()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
