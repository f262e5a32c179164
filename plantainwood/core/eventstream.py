"""Splitting of an event stream into whole events; bytes are never changed.

An event ends with an empty line. What follows the last whole event stays here
until the rest of it comes, and is dropped where the stream breaks off.
"""

import re

MAX_EVENT_BYTES = 1_048_576
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventTooLong(Exception):
    """Report an event that exceeds MAX_EVENT_BYTES."""


class EventSplitter:
    """Take bytes in and give whole events out."""

    __slots__ = ("last_id", "event_count", "_partial")

    def __init__(self) -> None:
        self.last_id = ""
        """The id of the last whole event; empty before the first."""
        self.event_count = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that are whole now."""
        buffer = self._partial + data
        end = 0
        for match in _END.finditer(buffer):
            self._note_event(buffer[end : match.end()])
            end = match.end()
        self._partial = buffer[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong(f"more than {MAX_EVENT_BYTES} bytes without an end")
        return buffer[:end]

    def _note_event(self, event: bytes) -> None:
        self.event_count += 1
        found = _ID.search(event)
        if found is not None:
            self.last_id = found.group(1).decode("latin-1")

    @property
    def partial(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return self._partial

    def discard_partial(self) -> None:
        """Forget the part of an event that a broken stream left."""
        self._partial = b""
