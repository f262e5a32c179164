"""The log handler never blocks: a stalled reader costs lines and bounded memory."""

import logging
import os

from plantainwood.logs import (
    FIELD_NAMES,
    LOG_FIELDS,
    MAX_BUFFERED_BYTES,
    BoundedHandler,
    KeyValueFormatter,
)


def make_handler(descriptor: int) -> BoundedHandler:
    """Return a handler that writes key=value lines."""
    handler = BoundedHandler(descriptor)
    handler.setFormatter(KeyValueFormatter(LOG_FIELDS, rename_fields=FIELD_NAMES))
    return handler


def emit(handler: BoundedHandler, event: str) -> None:
    """Log one event."""
    handler.emit(logging.LogRecord("plantainwood", 20, "", 1, event, None, None))


def test_a_stalled_reader_blocks_nothing_and_costs_bounded_memory():
    reader, writer = os.pipe()
    handler = make_handler(writer)
    for number in range(20_000):
        emit(handler, f"event-{number}")
    assert handler.dropped > 0
    assert len(handler._buffer) <= MAX_BUFFERED_BYTES
    os.close(reader)
    os.close(writer)


def test_dropped_lines_are_counted_in_a_line_once_there_is_room():
    reader, writer = os.pipe()
    handler = make_handler(writer)
    while not handler.dropped:
        emit(handler, "x" * 200)
    text = b""
    while handler._buffer:
        text += os.read(reader, 65_536)
        handler.flush()
    emit(handler, "after")
    text += os.read(reader, 65_536)
    assert b"event=log_lines_dropped count=1" in text
    assert text.endswith(b"event=after\n")
    os.close(reader)
    os.close(writer)


def test_a_closed_pipe_drops_the_line_and_raises_nothing():
    reader, writer = os.pipe()
    handler = make_handler(writer)
    os.close(reader)
    emit(handler, "x")
    assert handler.dropped == 1
    os.close(writer)
