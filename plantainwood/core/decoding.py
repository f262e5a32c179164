"""Decoding of data that others write: any bytes give a value or MalformedError.

Decoders raise more than they document on what others may write: RecursionError where
JSON is deeply nested, UnicodeDecodeError, or ValueError for numbers of many digits.
Whoever reads such data calls these functions, so that one kind of error covers all.
"""

import math
from typing import Any

import msgspec

from plantainwood.core.errors import StoreError

MAX_DIGITS = 18
"""The most digits of a count in a header; any such number fits in 64 bits."""


class MalformedError(ValueError):
    """Data that can't be read; the text says why."""


def decode(decoder: msgspec.json.Decoder | msgspec.msgpack.Decoder, data: bytes) -> Any:
    """Return the value in data; raise MalformedError if there is none."""
    try:
        return decoder.decode(data)
    except (ValueError, RecursionError, OverflowError) as error:
        raise MalformedError(str(error)) from error


def decode_json(data: bytes, value_type: Any) -> Any:
    """Return the value of this type in JSON; raise MalformedError if there is none."""
    try:
        return msgspec.json.decode(data, type=value_type)
    except (ValueError, RecursionError, OverflowError) as error:
        raise MalformedError(str(error)) from error


def decode_record(data: bytes, record_type: Any) -> Any:
    """Return a record that a VM stored; raise StoreError if it can't be read."""
    try:
        return decode_json(data, record_type)
    except MalformedError as error:
        raise StoreError(f"unreadable {record_type.__name__}: {error}") from error


def parse_count(text: bytes | str) -> int:
    """Return the number that decimal digits spell; raise MalformedError otherwise."""
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        raise MalformedError(f"not a count of at most {MAX_DIGITS} digits")
    return int(text)


def parse_amount(data: bytes, most: float) -> float:
    """Return the number from 0 in JSON, at most `most`; 0 for no data.

    Raise MalformedError for anything else.
    """
    if not data:
        return 0.0
    amount = decode_json(data, float)
    if not math.isfinite(amount) or amount < 0:
        raise MalformedError(f"not a number from 0: {amount}")
    return min(amount, most)
