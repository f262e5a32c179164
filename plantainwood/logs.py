"""Logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

import msgspec
from pythonjsonlogger.core import BaseJsonFormatter

LOGGER_NAME = "plantainwood"
FIELDS = ["asctime", "levelname", "message"]
RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}


class KeyValueFormatter(BaseJsonFormatter):
    """Collect fields as the library does, and render them as key=value pairs."""

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


def is_ours(record: logging.LogRecord) -> bool:
    """Tell this program's events, and warnings of libraries, from their chatter."""
    return record.name == LOGGER_NAME or record.levelno >= logging.WARNING


def setup_logs(level: str, as_json: bool) -> None:
    """Send this program's events to standard error."""
    maker = JsonFormatter if as_json else KeyValueFormatter
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(is_ours)
    handler.setFormatter(maker(FIELDS, rename_fields=RENAMED))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level)


def log_event(event: str, /, level: int = logging.INFO, **fields: Any) -> None:
    """Log one event with its fields."""
    logging.getLogger(LOGGER_NAME).log(level, event, extra=fields)
