"""Splitting of a server-sent event stream into complete events, byte for byte.

An event ends with an empty line. Bytes after the last complete event are buffered
until the event is complete, and are discarded if the stream breaks off.
"""

import re

MAX_EVENT_BYTES = 1_048_576
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventTooLong(Exception):
    """Raised when an incomplete event exceeds MAX_EVENT_BYTES."""


class EventSplitter:
    """Buffer the bytes of a stream and return them as complete events."""

    __slots__ = ("last_id", "event_count", "_partial")

    def __init__(self) -> None:
        self.last_id = ""
        """The id of the last complete event that has one; empty before that."""
        self.event_count = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that this data completes.

        Raises EventTooLong if the incomplete event exceeds MAX_EVENT_BYTES.
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
        self.event_count += 1
        found = _ID.search(event)
        if found is not None:
            self.last_id = found.group(1).decode("latin-1")

    @property
    def partial(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._partial

    def discard_partial(self) -> None:
        """Discard the incomplete event that a broken stream left."""
        self._partial = b""
