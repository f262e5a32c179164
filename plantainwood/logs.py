"""Logs: one line of key=value pairs for each event."""

import logging
import os
import sys
from typing import Any

import msgspec
from pythonjsonlogger.core import BaseJsonFormatter

LOGGER_NAME = "plantainwood"
MAX_BUFFERED_BYTES = 262_144
LOG_FIELDS = ["asctime", "levelname", "message"]
FIELD_NAMES = {"asctime": "time", "levelname": "level", "message": "event"}


class KeyValueFormatter(BaseJsonFormatter):
    """Render the fields that BaseJsonFormatter collects as key=value pairs."""

    default_time_format = "%Y-%m-%dT%H:%M:%S"
    default_msec_format = "%s.%03d"

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the fields as one line; values with spaces or quotes are quoted."""
        return " ".join(f"{key}={_render(value)}" for key, value in log_data.items())


class JsonFormatter(BaseJsonFormatter):
    """Render the collected fields as one JSON object."""

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the fields as one line of JSON."""
        return msgspec.json.encode(log_data, enc_hook=str).decode()


def _render(value: Any) -> str:
    text = str(value)
    if text and not any(char in text for char in ' ="\n\t\r'):
        return text
    return msgspec.json.encode(text).decode()


def should_log(record: logging.LogRecord) -> bool:
    """Return whether a record is this program's, or a library's from WARNING up."""
    return record.name == LOGGER_NAME or record.levelno >= logging.WARNING


class BoundedHandler(logging.Handler):
    """Write lines to a non-blocking descriptor, and count the lines that it drops.

    What can't be written yet is buffered up to MAX_BUFFERED_BYTES; beyond that whole
    lines are dropped, and a line says how many once the buffer is empty again.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer = bytearray()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; buffer or drop it if that would block."""
        try:
            line = self.format(record).encode("utf-8", "backslashreplace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self.flush()
            return
        if self.dropped and not self._buffer:
            self._buffer += b"event=log_lines_dropped count=%d\n" % self.dropped
            self.dropped = 0
        self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reading end is closed; there is nowhere left to report it.
                self.dropped += 1
                self._buffer.clear()
                return
            del self._buffer[:written]


def setup_logs(
    level: str, as_json: bool, handler: logging.Handler | None = None
) -> None:
    """Send this program's events to a handler, by default to standard output."""
    formatter_class = JsonFormatter if as_json else KeyValueFormatter
    handler = handler or BoundedHandler(sys.stdout.fileno())
    handler.addFilter(should_log)
    handler.setFormatter(formatter_class(LOG_FIELDS, rename_fields=FIELD_NAMES))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level)


def reconfigure_logs(level: str, as_json: bool) -> None:
    """Change the level and format of the events; the handler and its buffer stay."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedHandler):
            setup_logs(level, as_json, handler)
            return


def log_event(event: str, /, level: int = logging.INFO, **fields: Any) -> None:
    """Log one event with its fields."""
    logging.getLogger(LOGGER_NAME).log(level, event, extra=fields)
