"""Connections to upstreams: HTTP/1.1 with one request at a time on each.

aiohttp's client can't skip a response to an earlier request, and it retries
some requests by itself. Here a response is matched to its request by id, a connection
that receives unsolicited bytes is closed, and it is known whether any byte of a
request was written.
"""

import asyncio
import socket

from plantainwood.answerparser import AnswerError, AnswerParser, ResponseHead
from plantainwood.attempterrors import AttemptError
from plantainwood.core.clock import Clock

DEFAULT_IDLE_MS = 4_000
IDLE_MARGIN_MS = 600
USER_TIMEOUT_MS = 1_500
NO_USER_TIMEOUT_MS = 0
SURELY_TAKEN_BYTES = 32_768
"""A request of this size is acknowledged even if no process reads it; more may fill the
upstream's receive buffer, and the kernel counts that as unacknowledged."""
HIGH_WATER_BYTES = 32_768
"""Bytes of a body that wait to be relayed; above this the upstream is not read."""
READ_BYTES = 32_768
"""Bytes of one read from a connection."""


class Connection(asyncio.Protocol):
    """One connection; parses responses and returns their bodies in chunks."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.address = address
        self.usable = True
        self.idle_until_ms = 0
        self.request_written = False
        """Whether a byte of the current request was written."""
        self.timed_out = False
        """Whether the connection was lost because sent bytes were not acknowledged."""
        self._clock = clock
        self._transport: asyncio.Transport
        self._parser = AnswerParser()
        self._awaiting_response = False
        self._is_large = False
        """Whether the current request may be more than the upstream's kernel takes."""
        self._lost_reason: str | None = None
        self._waiter: asyncio.Future | None = None
        self._is_held = False
        """Whether what comes wakes no reader for the time being."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; limit how long sent bytes may stay unacknowledged."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.max_size = READ_BYTES
        self._set_user_timeout(USER_TIMEOUT_MS)

    def _set_user_timeout(self, timeout_ms: int) -> None:
        sock = self._transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited ones close the connection.

        So do those after a complete answer, whose body can still be read.
        """
        if not self._awaiting_response or self._parser.is_complete:
            self._fail("received data that belongs to no request")
            return
        try:
            self._parser.feed(data)
        except AnswerError as error:
            self._fail(str(error))
        if len(self._parser.body) > HIGH_WATER_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Treat an orderly close as the end of a body without a stated length."""
        self._parser.end()
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
        self._parser.stop()
        self._wake()

    def send(
        self,
        data: bytes,
        request_id: bytes,
        id_header: bytes,
        may_omit_id: bool = False,
        is_bodiless: bool = False,
    ) -> None:
        """Write a request; from here on it may have run unless proved otherwise.

        With `may_omit_id`, a response without an id always counts as the request's; if
        it `is_bodiless`, its head is all of it. An upstream that doesn't read a large
        request for a while loses no connection by that.
        """
        self._is_large = len(data) > SURELY_TAKEN_BYTES
        if self._is_large:
            self._set_user_timeout(NO_USER_TIMEOUT_MS)
        self._awaiting_response = True
        self._parser.expect(request_id, id_header, may_omit_id, is_bodiless)
        self.request_written = True
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the response's head; raise AttemptError if the connection is lost."""
        while self._parser.head is None:
            self._check_open()
            await self._wait()
        return self._parser.head

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, empty at the end of a complete one.

        Raise AttemptError if the connection is lost before that.
        """
        while not self._parser.body:
            if self._parser.is_complete:
                return b""
            self._check_open()
            await self._wait()
        data = self._parser.take_body()
        if not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    def _check_open(self) -> None:
        """Raise AttemptError if the connection is lost."""
        if self._lost_reason is not None:
            raise AttemptError(self._lost_reason, crashed=True, proved_not_run=False)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the body has neither a length nor chunks."""
        return self._parser.ends_with_connection

    @property
    def is_waited_for(self) -> bool:
        """Return whether a reader waits, and nothing has come that wakes it."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def lost_reason(self) -> str | None:
        """Return why the connection was lost; None while it is open."""
        return self._lost_reason

    def finish(self) -> None:
        """End the current request; close the connection unless it can be reused.

        For reuse, the response must be complete, fully read and of stated length, and
        no response to another request may have come.
        """
        self._awaiting_response = False
        self.request_written = False
        if not self._parser.may_follow:
            self.usable = False
        if not self.usable:
            self.close()
            return
        if self._is_large:
            self._set_user_timeout(USER_TIMEOUT_MS)
        self.idle_until_ms = self._clock.now_ms() + self._compute_idle_ms()

    def _compute_idle_ms(self) -> int:
        """Return how long the upstream keeps an idle connection, less a margin."""
        kept_ms = self._parser.read_keep_alive_ms()
        if kept_ms is None:
            return DEFAULT_IDLE_MS
        return max(0, kept_ms - IDLE_MARGIN_MS)

    def close(self) -> None:
        """Close the connection at once, which cancels the request that runs on it."""
        self.usable = False
        if self._lost_reason is None:
            self._lost_reason = "closed by this node"
        self._parser.stop()
        self._parser.take_body()
        self._transport.abort()

    def _fail(self, reason: str) -> None:
        self.usable = False
        if self._lost_reason is None:
            self._lost_reason = reason
        self._parser.stop()
        self._transport.abort()
        self._wake()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def hold(self) -> None:
        """Let the reader wait, whatever comes, until `go_on`."""
        self._is_held = True

    def go_on(self) -> None:
        """Let the reader see what has come since `hold`."""
        self._is_held = False
        self._wake()

    def _wake(self) -> None:
        if self._is_held:
            return
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
