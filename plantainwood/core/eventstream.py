"""Splitting of a server-sent event stream into complete events, byte for byte.

An event ends with an empty line. Bytes after the last complete event are buffered
until the event is complete, and are discarded if the stream breaks off.
"""

import re

from plantainwood.core.decoding import MalformedError, parse_count

MAX_EVENT_BYTES = 1_048_576
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventTooLong(Exception):
    """Raised when an incomplete event exceeds MAX_EVENT_BYTES."""


class NoContinuation(Exception):
    """Raised when what should continue a stream does not begin after its last event."""


class EventSplitter:
    """Buffer the bytes of a stream and return them as complete events."""

    __slots__ = ("last_id", "event_count", "_partial", "_continues")

    def __init__(self) -> None:
        self.last_id = ""
        """The id of the last complete event that has one; empty before that."""
        self.event_count = 0
        self._partial = b""
        self._continues = False
        """Whether the next event is the first of an attempt that continues a stream."""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that this data completes.

        Raises EventTooLong if the incomplete event exceeds MAX_EVENT_BYTES, and
        NoContinuation if the first event of an attempt does not follow the last one of
        the attempt before it.
        """
        buffer = self._partial + data
        end = 0
        for match in _END.finditer(buffer):
            self._record_event(buffer[end : match.end()])
            end = match.end()
        self._partial = buffer[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return buffer[:end]

    def _record_event(self, event: bytes) -> None:
        found = _ID.search(event)
        event_id = found.group(1).decode("latin-1") if found is not None else ""
        if self._continues and not _follows(event_id, self.last_id):
            raise NoContinuation(f"event {event_id!r} after event {self.last_id!r}")
        self._continues = False
        self.event_count += 1
        self.last_id = event_id or self.last_id

    @property
    def partial(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._partial

    def begin_attempt(self) -> None:
        """Discard the incomplete event that a broken stream left."""
        self._partial = b""
        self._continues = self.event_count > 0


def _follows(event_id: str, last_id: str) -> bool:
    """Tell whether an event may come after another one; ids that are numbers rise."""
    if not event_id or not last_id:
        return False
    try:
        return parse_count(event_id) > parse_count(last_id)
    except MalformedError:
        return event_id != last_id
