"""Connections of clients outside our control: what each holds is bounded.

A ClientGuard (clientguard.py) looks at all connections of the process at intervals and
decides which of them are refused or dropped.
"""

import asyncio
from typing import TYPE_CHECKING, Awaitable, Callable

from aiohttp import StreamReader

from plantainwood import web
from plantainwood.bodyroom import BodyReservation
from plantainwood.chunkturns import TurnTaker
from plantainwood.core.endcauses import EndCause
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.lingering import LingeringHandler
from plantainwood.sendqueue import count_queued_bytes

if TYPE_CHECKING:
    from plantainwood.clientguard import ClientGuard

READ_BYTES = 32_768
"""Bytes of one read from a connection."""
READ_BUFFER_BYTES = 8_192
"""Reading pauses above twice as much of a body that waits for room."""
MAX_WAITING_REQUESTS = 2
"""Requests read from a connection behind the one that is served."""
MAX_FRAMING_FACTOR = 8
"""Bytes received for each byte of a body; chunks of one byte need six."""
FRAMING_SLACK_BYTES = 65_536
MAX_DROPPED_BYTES = 4_194_304
"""Bytes that are read and dropped after a response that ends a connection."""
MAX_HEAD_BYTES = 65_536
MIN_READ_BYTES_PER_S = 8_192
"""A client that reads more slowly, while a response waits for it, counts as quiet."""
UNREAD_QUIET_MS = 750
"""How long a client may read nothing until this node counts as waiting for it."""


class ClientHandler(LingeringHandler, TurnTaker):
    """Serve one connection within bounds on its bytes, in either direction."""

    __slots__ = (
        "guard",
        "_reservation",
        "_reserved_body",
        "waited_ms",
        "quiet_ms",
        "_body",
        "_wire_bytes",
        "_head_part_bytes",
        "_dropped_bytes",
        "_progress",
        "_max_head_bytes",
        "_awaits_turn",
        "_resumed_bytes",
        "closed_by",
        "call_id",
    )

    def __init__(self, manager, guard: "ClientGuard", **kwargs) -> None:
        super().__init__(manager, read_bufsize=READ_BUFFER_BYTES, **kwargs)
        self._msg_queue_resume_size = MAX_WAITING_REQUESTS - 1
        self.guard = guard
        self._reservation: BodyReservation | None = None
        self._reserved_body: StreamReader | None = None
        """The body that the reservation is for."""
        self.waited_ms = 0
        """How long this node has waited for the client, since it last had reason to."""
        self.quiet_ms = 0
        """How much of that since the client last sent or read a byte of a body."""
        self._body: StreamReader | None = None
        """The body of the latest request whose head is complete."""
        self._wire_bytes = 0
        """Bytes received for this body, with its framing."""
        self._head_part_bytes = 0
        """Bytes received of a head that is not complete yet."""
        self._dropped_bytes = 0
        self._progress = 0
        self._awaits_turn = False
        """Whether the body comes in tiny chunks and is parsed in turn with others."""
        self._resumed_bytes = 0
        """Bytes of the body that had come when its parsing was last resumed."""
        self.closed_by: EndCause | None = None
        """Why this VM closed the connection, if it did so under an answer."""
        self.call_id = ""
        """The dispatcher's id of the request that is served; empty if it has none."""
        limit = 2 * kwargs.get("max_field_size", 0)
        self._max_head_bytes = max(MAX_HEAD_BYTES, limit)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve; the guard may drop another connection for this one."""
        transport.max_size = READ_BYTES
        super().connection_made(transport)
        self.guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.guard.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse framing without end and heads without end."""
        if self._is_ending:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > MAX_DROPPED_BYTES:
                self.force_close()
            return
        request_count = self._request_count
        was_reading_body = self.is_reading_body()
        super().data_received(data)
        if self._request_count > request_count:
            if was_reading_body and self.has_malformed_message():
                message = "the body is malformed"
                self.refuse_body(RequestError(ErrorCode.BAD_REQUEST, message))
            self._body = self._messages[-1][1]
            self._resumed_bytes = 0
            self._wire_bytes = 0
            self._head_part_bytes = 0
            self._start_waiting()
        self._pause_behind_requests()
        if self.is_reading_body():
            self._wire_bytes += len(data)
            self._check_framing()
        elif not was_reading_body and self._request_count == request_count:
            self._check_head_bytes(len(data))

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on with a body whose bytes were read, in turn if its chunks are tiny.

        The library parses some hundred chunks and then waits for their reader, so few
        bytes since the last time mean that they came in tiny chunks.
        """
        if not resume_parser or not self._has_tiny_chunks():
            if self._body is not None:
                self._resumed_bytes = self._body.total_bytes
            super().resume_reading(resume_parser)
            return
        if not self._awaits_turn:
            self._awaits_turn = True
            self.guard.chunk_turns.wait(self)

    def _has_tiny_chunks(self) -> bool:
        if self._body is None or self._is_ending:
            return False
        received, before = self._body.total_bytes, self._resumed_bytes
        return received - before < READ_BUFFER_BYTES

    def take_turn(self) -> bool:
        """Go on with the body; return False if the connection waits no longer."""
        if not self._awaits_turn or self.transport is None:
            return False
        self._awaits_turn = False
        if self._body is not None:
            self._resumed_bytes = self._body.total_bytes
        super().resume_reading()
        return True

    def _pause_behind_requests(self) -> None:
        if len(self._messages) >= MAX_WAITING_REQUESTS and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _check_framing(self) -> None:
        body = self._body
        assert body is not None
        allowed = MAX_FRAMING_FACTOR * body.total_bytes + FRAMING_SLACK_BYTES
        if self._wire_bytes > allowed and body.exception() is None:
            self.guard.note_refusal("framing")
            message = "the chunks of the body are mostly framing"
            self.refuse_body(RequestError(ErrorCode.BAD_REQUEST, message))

    def _check_head_bytes(self, received: int) -> None:
        self._head_part_bytes += received
        if self._head_part_bytes > self._max_head_bytes and not self._is_ending:
            self.guard.note_refusal("head")
            self.force_close()

    def hold(self, body: StreamReader, reservation: BodyReservation) -> None:
        """Record the reservation for the body of the request that is served."""
        self._reserved_body = body
        self._reservation = reservation

    @property
    def reservation(self) -> BodyReservation | None:
        """Return the room of the latest request, None before it is served."""
        return self._reservation if self._reserved_body is self._body else None

    def may_refuse_body(self) -> bool:
        """Return whether a body is not complete and is not refused yet."""
        if self._body is None or not self.is_reading_body():
            return False
        return not self._is_ending and self._body.exception() is None

    def is_reading_body(self) -> bool:
        """Return whether the latest request's body is not complete yet."""
        return self._body is not None and not self._body.is_eof()

    def is_idle(self) -> bool:
        """Return whether the connection waits for a request and answers none.

        aiohttp knows no current request before the handler's task has started and
        while the answer is being written.
        """
        return self._waiter is not None and not self._waiter.done()

    @property
    def request_count(self) -> int:
        """Return how many requests have come on the connection."""
        return self._request_count

    @property
    def is_ending(self) -> bool:
        """Return whether received bytes are dropped until the connection closes."""
        return self._is_ending

    def count_unread(self) -> int:
        """Return the bytes of responses that wait for the client to read."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def count_body(self) -> int:
        """Return the bytes that an incomplete body holds."""
        if self._body is None or not self.is_reading_body():
            return 0
        return self._body.total_bytes

    def observe(self, elapsed_ms: int) -> None:
        """Add an interval to the time that this node has waited for the client.

        It does not count while reading is paused: then the client waits for this node.
        """
        unread_bytes = self.count_unread()
        progress = self.count_body() + self._count_written() - unread_bytes
        least_bytes = 1
        if unread_bytes:
            progress -= self._count_queued()
            least_bytes += MIN_READ_BYTES_PER_S * self.quiet_ms // 1_000
        moved_bytes = progress - self._progress
        # It falls with a new request, and once a response begins to wait.
        if moved_bytes < 0 or moved_bytes >= least_bytes:
            self._progress = progress
            self.quiet_ms = 0
        if unread_bytes or not self._is_paused():
            self.waited_ms += elapsed_ms
            self.quiet_ms += elapsed_ms

    def _count_written(self) -> int:
        request = self._current_request
        return request.writer.output_size if request is not None else 0

    def _count_queued(self) -> int:
        """Return the bytes that the kernel holds for the client.

        Its buffer takes more only once much of it is free, which lasts long for a
        client that reads slowly.
        """
        sock = self.transport.get_extra_info("socket") if self.transport else None
        return count_queued_bytes(sock) if sock is not None else 0

    def _is_paused(self) -> bool:
        return self._reading_paused or self._buffer_paused

    def _start_waiting(self) -> None:
        self.waited_ms = 0
        self.quiet_ms = 0

    def is_waiting_for_client(self) -> bool:
        """Return whether the client, not this node, is to go on with a request.

        A request that was read and has no response in progress is this node's turn.
        """
        if self.is_ending:
            return True
        if self.count_unread():
            return self.quiet_ms >= UNREAD_QUIET_MS
        if self.is_reading_body():
            return not self._is_paused()
        return self.is_idle()

    def refuse_body(self, error: RequestError) -> None:
        """Let the reading of the incomplete body end with an error; free its room."""
        if self._body is None or self._body.exception() is not None:
            return
        self._body.set_exception(error)
        self._pause_transport_reading()
        reservation = self.reservation
        if reservation is not None:
            reservation.release()

    def drop(self) -> None:
        """Close the connection at once."""
        self.closed_by = EndCause.CLIENT_DROPPED
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection because the process ends."""
        self.closed_by = self.closed_by or EndCause.VM_STOPS
        await super().shutdown(timeout)

    def _end_early(self) -> None:
        """Drop what still comes after the next response, within the guard's bound."""
        if not self.guard.may_linger():
            self._lingering_time = 0.0
            return
        self._is_ending = True
        self._awaits_turn = False
        self._resume_transport_reading()

    async def finish_response(self, request, resp, start_time):
        """Send a response; drop what still comes if it ends the connection early."""
        is_complete = request.content.is_eof()
        if not is_complete and resp is not None and resp.keep_alive is False:
            self._end_early()
        finished = await super().finish_response(request, resp, start_time)
        if self._is_ending and not is_complete:
            request.content.feed_eof()
        self.call_id = ""
        self._start_waiting()
        return finished


class ClientServer(web.Server):
    """Create a ClientHandler for each connection."""

    def __init__(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        guard: "ClientGuard",
        **kwargs,
    ) -> None:
        super().__init__(handle, access_log=None, **kwargs)
        self._guard = guard

    def __call__(self) -> ClientHandler:
        """Return the handler of a new connection."""
        return ClientHandler(self, self._guard, loop=self._loop, **self._kwargs)
