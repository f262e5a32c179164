"""Reading of answers from an upstream's connection: complete events or a whole body."""

from typing import Awaitable, Callable

from plantainwood.attempterrors import AttemptError
from plantainwood.connections import Connection
from plantainwood.core.eventstream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLong,
    NoContinuation,
)

MAX_ANSWER_BYTES = 1_048_576
"""The size of an answer that is collected in memory before it is relayed."""
UNRESERVED_BYTES = 65_536
"""An answer, or an incomplete event, up to this size needs no room."""


async def reserve_nothing(size_bytes: int) -> None:
    """Return at once: the default where answers need no room."""


async def read_whole_answer(
    connection: Connection, reserve: Callable[[int], Awaitable[None]] = reserve_nothing
) -> bytes:
    """Return the body of an answer; raise AttemptError if it fails or is too large.

    `reserve` waits for room for an answer that is not small; meanwhile the upstream is
    not read.
    """
    body = bytearray()
    while True:
        chunk = await connection.read_chunk()
        if not chunk:
            return bytes(body)
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            message = f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
            raise AttemptError(message, False, proved_not_run=False)
        if len(body) > UNRESERVED_BYTES:
            await reserve(MAX_ANSWER_BYTES)


class EventReader:
    """Read one attempt's event stream; the splitter lives as long as its call."""

    __slots__ = ("_connection", "_splitter", "_reserve", "_has_read")

    def __init__(
        self,
        connection: Connection,
        splitter: EventSplitter,
        reserve: Callable[[int], Awaitable[None]] = reserve_nothing,
    ) -> None:
        self._connection = connection
        self._splitter = splitter
        self._reserve = reserve
        """Waits for room for an event that is not small."""
        self._has_read = False
        splitter.begin_attempt()

    async def read(self) -> bytes:
        """Return the next complete events, empty at the end of a complete stream.

        Bytes that complete no event, as comments, don't count as progress. Raises
        AttemptError for a stream that was broken off: one that ends inside an event, or
        with its connection before its first event; and for one that does not continue
        the events relayed so far.
        """
        while True:
            chunk = await self._connection.read_chunk()
            if not chunk:
                self._check_end()
                return self._splitter.take_rest()
            try:
                complete_events = self._splitter.feed(chunk)
            except (EventTooLong, NoContinuation) as error:
                raise AttemptError(str(error), False, False) from error
            if complete_events:
                self._has_read = True
                return complete_events
            if self._splitter.held_bytes > UNRESERVED_BYTES:
                await self._reserve(MAX_EVENT_BYTES)

    def _check_end(self) -> None:
        if self._splitter.is_inside_event:
            message = "the stream ended in the middle of an event"
            raise AttemptError(message, False, False)
        if not self._has_read and self._connection.ends_with_connection:
            message = "the connection ended before the first event"
            raise AttemptError(message, False, False)
