"""Calls of a duty: none arrives once another process may act for the duty.

Each call has a connection of its own, whose handshake shows that the path works and how
slow it is. The last bytes of a call are written only if they arrive in time, whatever
happens to this process then: the kernel gives up what is not acknowledged.
"""

import asyncio
import socket
import ssl
import struct
from functools import cache
from urllib.parse import SplitResult, urlsplit

import aiohttp

from plantainwood.answerreader import read_whole_answer
from plantainwood.attempterrors import AttemptError
from plantainwood.connections import Connection
from plantainwood.core.clock import Clock
from plantainwood.core.errors import NotAppliedError, StoreError
from plantainwood.core.flight import USER_TIMEOUT_MS, compute_flight_ms
from plantainwood.sendqueue import count_queued_bytes

SEGMENT_BYTES = 1_200
"""A request of at most this size is delivered whole or not at all."""
HELD_BACK_BYTES = 256
"""The last bytes of a longer request, without which it is no call."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Linger for no time: the option's two fields, as the kernel reads them."""
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
CHECK_PAUSE_MS = 50
"""How often a call that is under way looks at the clock; the event loop's own timers
don't count the time that the VM was suspended."""
ACKNOWLEDGEMENT_PAUSE_MS = 5
HTTP_PORT = 80
HTTPS = "https"
HTTPS_PORT = 443


class DutyConnection(Connection):
    """A connection whose unacknowledged bytes are dropped when it is given up."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make the kernel drop what is not acknowledged, on a close and in time."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def send_more(self, data: bytes) -> None:
        """Write a further part of the current request."""
        self._transport.write(data)

    def close_in_order(self) -> None:
        """Close the connection after the whole response."""
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_IN_ORDER)
        self.close()

    def count_unacknowledged_bytes(self) -> int:
        """Return how many written bytes wait here or in the kernel."""
        return self._transport.get_write_buffer_size() + count_queued_bytes(
            self._transport.get_extra_info("socket")
        )


@cache
def make_tls_context() -> ssl.SSLContext:
    """Return the TLS settings of all calls; reading the certificates takes long."""
    return ssl.create_default_context()


class DutyCall:
    """One call, on a connection of its own; `close` gives it up."""

    __slots__ = (
        "_clock",
        "_address",
        "_url",
        "_deadline_ms",
        "_arrive_by_ms",
        "_connection",
        "_written_ms",
        "_flight_ms",
        "_answered",
    )

    def __init__(
        self, clock: Clock, url: str, deadline_ms: int, arrive_by_ms: int
    ) -> None:
        self._clock = clock
        self._address = url
        self._url: SplitResult
        self._deadline_ms = deadline_ms
        self._arrive_by_ms = arrive_by_ms
        self._connection: DutyConnection | None = None
        self._written_ms: int | None = None
        """When the last bytes were written; None before that."""
        self._flight_ms = 0
        self._answered = False

    @property
    def is_written(self) -> bool:
        """Return whether the whole request was written."""
        return self._written_ms is not None

    @property
    def may_arrive_until_ms(self) -> int:
        """Return until when the call may arrive; 0 if it can't or is answered."""
        if self._written_ms is None or self._answered:
            return 0
        return self._written_ms + self._flight_ms

    async def perform(self, headers: dict[str, str], body: bytes) -> int:
        """Send the request and return the response's status.

        Raise ValueError or OverflowError if the URL names no address, OSError if there
        is no connection, NotAppliedError if the request could arrive too late,
        AttemptError if the connection is lost.
        """
        connection = await self._connect()
        data = self._encode(headers, body)
        if len(data) <= SEGMENT_BYTES:
            self._check_time()
            connection.send(data, b"", b"")
        else:
            connection.send(data[:-HELD_BACK_BYTES], b"", b"")
            await self._wait_for_acknowledgement(connection)
            self._check_time()
            connection.send_more(data[-HELD_BACK_BYTES:])
        self._written_ms = self._clock.now_ms()
        response = await connection.read_head()
        await read_whole_answer(connection)
        self._answered = True
        connection.close_in_order()
        return response.status

    async def _connect(self) -> DutyConnection:
        began_ms = self._clock.now_ms()
        self._url = urlsplit(self._address)
        if not self._url.hostname:
            raise ValueError(f"no host in {self._address!r}")
        is_secure = self._url.scheme == HTTPS
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: DutyConnection(self._url.netloc, self._clock),
            self._url.hostname,
            self._url.port or (HTTPS_PORT if is_secure else HTTP_PORT),
            ssl=make_tls_context() if is_secure else None,
        )
        self._connection = connection
        self._flight_ms = compute_flight_ms(self._clock.now_ms() - began_ms)
        return connection

    def _encode(self, headers: dict[str, str], body: bytes) -> bytes:
        target = self._url.path or "/"
        if self._url.query:
            target += f"?{self._url.query}"
        lines = [
            f"POST {target} HTTP/1.1",
            f"Host: {self._url.netloc.rpartition('@')[2]}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if self._url.username:
            auth = aiohttp.BasicAuth(self._url.username, self._url.password or "")
            lines.append(f"Authorization: {auth.encode()}")
        for name, value in headers.items():
            lines.append(f"{name}: {value}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _wait_for_acknowledgement(self, connection: DutyConnection) -> None:
        while connection.count_unacknowledged_bytes():
            if connection.lost_reason is not None:
                raise NotAppliedError(connection.lost_reason)
            await asyncio.sleep(ACKNOWLEDGEMENT_PAUSE_MS / 1_000)

    def _check_time(self) -> None:
        """Raise NotAppliedError if what is written now could arrive too late."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._deadline_ms:
            raise NotAppliedError("the lease ended before the request was written")
        if now_ms + self._flight_ms > self._arrive_by_ms:
            raise NotAppliedError("the path is too slow for the rest of the lease")

    def close(self) -> None:
        """Close the connection; what was not acknowledged is not sent again."""
        if self._connection is not None:
            self._connection.close()


class DutyCaller:
    """Send the calls of duties, and know until when one may still arrive."""

    __slots__ = ("timeout_ms", "_clock", "_open_calls", "_quiet_from_ms")

    def __init__(self, clock: Clock, timeout_ms: int) -> None:
        self.timeout_ms = timeout_ms
        self._clock = clock
        self._open_calls = 0
        self._quiet_from_ms = 0

    async def post(
        self,
        url: str,
        headers: dict[str, str],
        body: bytes,
        deadline_ms: int,
        arrive_by_ms: int,
    ) -> int:
        """Post JSON, written before a deadline; return the response's status.

        Raise NotAppliedError if the request was not written, StoreError if its effect
        is unknown. It can't arrive at or after `arrive_by_ms`.
        """
        call = DutyCall(self._clock, url, deadline_ms, arrive_by_ms)
        until_ms = min(self._clock.now_ms() + self.timeout_ms, arrive_by_ms)
        self._open_calls += 1
        try:
            return await self._perform(call, headers, body, until_ms)
        except (AttemptError, OSError, ValueError, OverflowError) as error:
            if call.is_written:
                raise StoreError(repr(error)) from error
            raise NotAppliedError(repr(error)) from error
        finally:
            call.close()
            self._open_calls -= 1
            self._quiet_from_ms = max(self._quiet_from_ms, call.may_arrive_until_ms)

    async def _perform(
        self, call: DutyCall, headers: dict[str, str], body: bytes, until_ms: int
    ) -> int:
        """Perform a call; raise TimeoutError once the clock is at `until_ms`."""
        task = asyncio.create_task(call.perform(headers, body))
        try:
            while not task.done():
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    raise TimeoutError("no response in time")
                pause_ms = min(left_ms, CHECK_PAUSE_MS)
                await asyncio.wait({task}, timeout=pause_ms / 1_000)
            return task.result()
        finally:
            task.cancel()

    async def wait_until_quiet(self) -> None:
        """Return once no call is open, and none that was given up may still arrive."""
        while self._open_calls or self._clock.now_ms() < self._quiet_from_ms:
            await asyncio.sleep(CHECK_PAUSE_MS / 1_000)
