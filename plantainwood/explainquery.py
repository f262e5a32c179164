"""Queries for explanations of routes, and the form of their answers."""

from typing import Any, Mapping

import msgspec

from plantainwood.core.decoding import MalformedError, parse_count
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.explanations import Explanation

MAX_FIELD_CHARS = 4_096
UNKNOWN_FIELD = "query"
"""Stands for a field of another name, which is not repeated in an answer or a log: it
may be a key that was pasted in the wrong place."""


class FieldError(RequestError):
    """A field of a query that is missing or can't be read."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(ErrorCode.BAD_REQUEST, f"{field}: {reason}")
        self.field = field


def read_fields(query: Mapping[str, str], known: tuple[str, ...]) -> dict[str, str]:
    """Return the fields of a query; raise FieldError for one that is not allowed."""
    found: dict[str, str] = {}
    for name, text in query.items():
        if name not in known:
            raise FieldError(UNKNOWN_FIELD, "a field of another name")
        if name in found:
            raise FieldError(name, "given more than once")
        if len(text) > MAX_FIELD_CHARS or not (text.isascii() and text.isprintable()):
            raise FieldError(name, "too long, or not printable ASCII")
        found[name] = text
    return found


def require_field(fields: dict[str, str], name: str) -> str:
    """Return a field; raise FieldError if it is missing or empty."""
    text = fields.get(name, "")
    if not text:
        raise FieldError(name, "missing")
    return text


def read_count(fields: dict[str, str], name: str) -> int | None:
    """Return a field that is a count; None if it is missing."""
    text = fields.get(name)
    if text is None:
        return None
    try:
        return parse_count(text)
    except MalformedError as error:
        raise FieldError(name, str(error)) from error


def render_explanation(explanation: Explanation, **context: Any) -> dict[str, Any]:
    """Return an explanation as JSON objects, with what else the answer names."""
    found = msgspec.to_builtins(explanation)
    return {**context, "admitted": explanation.admitted, **found}


def render_field_error(error: RequestError) -> dict[str, Any]:
    """Return an error as JSON objects, with the invalid field if there is one."""
    body: dict[str, Any] = {"code": error.code.value, "message": error.message}
    if isinstance(error, FieldError):
        body["field"] = error.field
    return {"error": body}
