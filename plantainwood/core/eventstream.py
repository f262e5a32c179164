"""Splitting of a server-sent event stream into complete events, byte for byte.

An event ends with an empty line after a line that is neither empty nor a comment. What
comes before such a line belongs to the event that follows. Bytes after the last
complete event are buffered until the event is complete, and are discarded if the stream
breaks off.
"""

import re

from plantainwood.core.decoding import MalformedError, parse_count

MAX_EVENT_BYTES = 1_048_576
_END = re.compile(rb"(\r\n\r\n|\n\n|\r\r)[\r\n]*")
"""The end of an event, and the empty lines after it."""
_END_OVERLAP_BYTES = 3
"""How many bytes of an end may have come before the others."""
_NO_FIELD = b":\r\n"
"""A line that begins with one of these is a comment or empty."""
_FIELD = re.compile(rb"[\r\n][^:\r\n]")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventTooLong(Exception):
    """Raised when an incomplete event exceeds MAX_EVENT_BYTES."""


class NoContinuation(Exception):
    """Raised when what should continue a stream does not begin after its last event."""


class EventSplitter:
    """Buffer the bytes of a stream and return them as complete events."""

    __slots__ = ("last_id", "event_count", "_partial", "_blank_bytes", "_continues")

    def __init__(self) -> None:
        self.last_id = ""
        """The id of the last complete event that has one; empty before that."""
        self.event_count = 0
        self._partial = bytearray()
        self._blank_bytes = 0
        """The bytes at its beginning that are comments and empty lines."""
        self._continues = False
        """Whether the next event is the first of an attempt that continues a stream."""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that this data completes.

        Each byte is searched about once, however many pieces an event comes in. Raises
        EventTooLong if the incomplete event exceeds MAX_EVENT_BYTES, and
        NoContinuation if the first event of an attempt does not follow the last one of
        the attempt before it.
        """
        buffer = self._partial
        search_from = max(self._blank_bytes, len(buffer) - _END_OVERLAP_BYTES)
        buffer += data
        event_end = 0
        block_begin = self._blank_bytes
        for match in _END.finditer(buffer, search_from):
            if _has_field(buffer, block_begin, match.end()):
                self._record_event(bytes(buffer[event_end : match.end(1)]))
                event_end = match.end(1)
            block_begin = match.end()
        complete_events = bytes(buffer[:event_end])
        del buffer[:event_end]
        self._blank_bytes = block_begin - event_end
        if len(buffer) > MAX_EVENT_BYTES:
            self._discard()
            raise EventTooLong(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return complete_events

    def _record_event(self, event: bytes) -> None:
        found = _ID.search(event)
        event_id = found.group(1).decode("latin-1") if found is not None else ""
        if self._continues and not _follows(event_id, self.last_id):
            raise NoContinuation(f"event {event_id!r} after event {self.last_id!r}")
        self._continues = False
        self.event_count += 1
        self.last_id = event_id or self.last_id

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes of an incomplete event."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return _has_field(self._partial, self._blank_bytes, len(self._partial))

    def take_rest(self) -> bytes:
        """Return the comments and empty lines after the last event of a stream."""
        rest = bytes(self._partial)
        self._discard()
        return rest

    def begin_attempt(self) -> None:
        """Discard the incomplete event that a broken stream left."""
        self._discard()
        self._continues = self.event_count > 0

    def _discard(self) -> None:
        self._partial = bytearray()
        self._blank_bytes = 0


def _has_field(data: bytearray, begin: int, end: int) -> bool:
    """Tell whether a part has a line that is neither empty nor a comment."""
    if begin >= end:
        return False
    if data[begin] not in _NO_FIELD:
        return True
    return _FIELD.search(data, begin, end) is not None


def _follows(event_id: str, last_id: str) -> bool:
    """Tell whether an event may come after another one; ids that are numbers rise."""
    if not event_id or not last_id:
        return False
    try:
        return parse_count(event_id) > parse_count(last_id)
    except MalformedError:
        return event_id != last_id
