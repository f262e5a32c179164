"""Connections to upstreams: HTTP/1.1 with one request at a time on each.

aiohttp's client can't skip a response to an earlier request, and it retries
some requests by itself. Here a response is matched to its request by id, a connection
that receives unsolicited bytes is closed, and it is known whether any byte of a
request was written.
"""

import asyncio
import socket
from collections import deque

import httptools

from plantainwood.attempterrors import AttemptError
from plantainwood.core.clock import Clock
from plantainwood.core.decoding import MalformedError, parse_count

DEFAULT_IDLE_MS = 4_000
IDLE_MARGIN_MS = 600
USER_TIMEOUT_MS = 1_500
HIGH_WATER_BYTES = 65_536
"""Bytes of a body that wait to be relayed; above this the upstream is not read."""
READ_BYTES = 65_536
"""Bytes of one read from a connection."""
MAX_FOREIGN_RESPONSES = 4
MAX_BYTES_BEFORE_HEAD = 131_072
"""Bytes received for a request until the end of its response's head, those of interim
responses and of responses to other requests included."""
BODILESS_STATUSES = (204, 304)

Headers = list[tuple[bytes, bytes]]


class ResponseHead:
    """The head of a response: its status and headers."""

    __slots__ = ("status", "headers", "may_be_earlier")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self.may_be_earlier = False
        """Whether it may answer an earlier request, as it names none."""

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case; None if absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """One connection; parses responses and returns their bodies in chunks."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.address = address
        self.usable = True
        self.idle_until_ms = 0
        self.request_written = False
        """Whether a byte of the current request was written."""
        self.request_count = 0
        self.timed_out = False
        """Whether the connection was lost because sent bytes were not acknowledged."""
        self._clock = clock
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._heads: deque[ResponseHead] = deque()
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
        self._may_omit_id = False
        self._echoes_ids = False
        """Whether a response on this connection has named its request."""
        self._foreign_responses = 0
        self._bytes_before_head = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; limit how long sent bytes may stay unacknowledged."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.max_size = READ_BYTES
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited bytes close the connection."""
        if not self._awaiting_response:
            self._fail("received data that belongs to no request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"malformed HTTP response: {error}")
        except Exception as error:
            self._fail(f"failed to parse the response: {error!r}")
        if not self._heads:
            self._bytes_before_head += len(data)
            if self._bytes_before_head > MAX_BYTES_BEFORE_HEAD:
                self._fail(f"no head within {MAX_BYTES_BEFORE_HEAD} bytes")
        self._wake()

    def eof_received(self) -> bool:
        """Treat an orderly close as the end of a body without a stated length."""
        if self._in_message and self._body_until_close and not self._response_complete:
            self._response_complete = True
            self.usable = False
            self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record why the connection was lost; a partial response stays incomplete."""
        self.usable = False
        self.timed_out = isinstance(error, TimeoutError)
        if self._lost_reason is None:
            self._lost_reason = (
                repr(error) if error is not None else "closed by the upstream"
            )
        self._wake()

    def on_message_begin(self) -> None:
        """Start a response, or skip an unsolicited one after a complete response."""
        if self._response_complete:
            self.usable = False
            self._skipping = True
            return
        self._in_message = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header of the current response."""
        if not self._response_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Finish a head; skip the response if it is that to another request.

        That is so if it names another one, or none where others did.
        """
        if self._response_complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        response = ResponseHead(status, self._headers)
        self._skipping = self._is_foreign(response)
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

    def _is_foreign(self, response: ResponseHead) -> bool:
        """Tell whether a response is not that to the current request."""
        if not self._id_header:
            return False
        given = response.get_header(self._id_header)
        if given is None and self._may_omit_id:
            return False
        if given is None:
            response.may_be_earlier = self.request_count > 1
            return self._echoes_ids
        self._echoes_ids = True
        return given != self._request_id

    def on_body(self, data: bytes) -> None:
        """Buffer a chunk of the body; stop reading above HIGH_WATER_BYTES."""
        if self._skipping or self._response_complete:
            return
        self._body_chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the response as complete, or end the skipping of a foreign one."""
        if self._response_complete or self._parser.get_status_code() < 200:
            return
        if self._skipping:
            self._skipping = False
            self._in_message = False
            return
        self._response_complete = True

    def send(
        self,
        data: bytes,
        request_id: bytes,
        id_header: bytes,
        may_omit_id: bool = False,
    ) -> None:
        """Write a request; from here on it may have run unless proved otherwise.

        With `may_omit_id`, a response without an id always counts as the request's.
        """
        self._awaiting_response = True
        self._in_message = False
        self._response_complete = False
        self._body_until_close = False
        self._skipping = False
        self._foreign_responses = 0
        self._bytes_before_head = 0
        self._heads.clear()
        self._body_chunks.clear()
        self._buffered_bytes = 0
        self._request_id = request_id
        self._id_header = id_header
        self._may_omit_id = may_omit_id
        self.request_written = True
        self.request_count += 1
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the response's head; raise AttemptError if the connection is lost."""
        while not self._heads:
            if self._lost_reason is not None:
                raise AttemptError(
                    self._lost_reason, crashed=True, proved_not_run=False
                )
            await self._wait()
        return self._heads[0]

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, empty at the end of a complete one.

        Raise AttemptError if the connection is lost before that.
        """
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
    def ends_with_connection(self) -> bool:
        """Return whether the body has neither a length nor chunks."""
        return self._body_until_close

    @property
    def lost_reason(self) -> str | None:
        """Return why the connection was lost; None while it is open."""
        return self._lost_reason

    def finish(self) -> None:
        """End the current request; close the connection unless it can be reused.

        For reuse, the response must be complete, fully read and of stated length, and
        no response to another request may have come.
        """
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
        """Return how long the upstream keeps an idle connection, less a margin."""
        keep_alive = self._heads[0].get_header(b"keep-alive") if self._heads else None
        if keep_alive is None:
            return DEFAULT_IDLE_MS
        for item in keep_alive.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() != b"timeout":
                continue
            try:
                return max(0, parse_count(value) * 1_000 - IDLE_MARGIN_MS)
            except MalformedError:
                return DEFAULT_IDLE_MS
        return DEFAULT_IDLE_MS

    def close(self) -> None:
        """Close the connection at once, which cancels the request that runs on it."""
        self.usable = False
        if self._lost_reason is None:
            self._lost_reason = "closed by this node"
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
