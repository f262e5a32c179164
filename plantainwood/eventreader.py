"""Reading of complete events from an upstream's connection."""

from plantainwood.connections import Connection
from plantainwood.core.eventstream import EventSplitter, EventTooLong
from plantainwood.engines import AttemptError


class EventReader:
    """Read one attempt's event stream; the splitter lives as long as its call."""

    __slots__ = ("_connection", "_splitter", "_has_read")

    def __init__(self, connection: Connection, splitter: EventSplitter) -> None:
        self._connection = connection
        self._splitter = splitter
        self._has_read = False
        splitter.discard_partial()

    async def read(self) -> bytes:
        """Return the next complete events, empty at the end of a complete stream.

        Bytes that complete no event don't count as progress. Raises AttemptError for a
        stream that was broken off: one that ends inside an event, or with its
        connection before its first event.
        """
        while True:
            chunk = await self._connection.read_chunk()
            if not chunk:
                self._check_end()
                return b""
            try:
                complete_events = self._splitter.feed(chunk)
            except EventTooLong as error:
                raise AttemptError(str(error), False, False) from error
            if complete_events:
                self._has_read = True
                return complete_events

    def _check_end(self) -> None:
        if self._splitter.partial:
            message = "the stream ended in the middle of an event"
            raise AttemptError(message, False, False)
        if not self._has_read and self._connection.ends_with_connection:
            message = "the connection ended before the first event"
            raise AttemptError(message, False, False)
