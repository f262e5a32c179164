"""Sessions of aiohttp's client, whose answers are read within bounds.

aiohttp bounds the lines and fields of heads and trailers; the bodies are bounded here.
They are not decoded: what a few bytes expand to would have no bound.
"""

from typing import Awaitable, Callable

import aiohttp

MAX_BODY_BYTES = 8_388_608
UNRESERVED_BYTES = 65_536
"""A body up to this size needs no room."""
IDENTITY = "identity"


class BodyError(aiohttp.ClientError):
    """A body that is not read: too large, or encoded though that was not asked for."""


async def reserve_nothing(size_bytes: int) -> None:
    """Return at once: the default where bodies need no room."""


def make_session(**options) -> aiohttp.ClientSession:
    """Return a session with these options of aiohttp's."""
    return aiohttp.ClientSession(
        auto_decompress=False, headers={"Accept-Encoding": IDENTITY}, **options
    )


def check_encoding(response: aiohttp.ClientResponse) -> None:
    """Raise BodyError if a response is encoded."""
    encoding = response.headers.get("Content-Encoding", IDENTITY)
    if encoding.lower() != IDENTITY:
        raise BodyError(f"the body is encoded: {encoding[:20]!r}")


async def read_body(
    response: aiohttp.ClientResponse,
    limit: int = MAX_BODY_BYTES,
    reserve: Callable[[int], Awaitable[None]] = reserve_nothing,
) -> bytes:
    """Return the body of a response; raise BodyError if it exceeds `limit` bytes.

    `reserve` waits for room for a body that is not small; meanwhile nothing is read.
    """
    check_encoding(response)
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit:
            raise BodyError(f"the body exceeds {limit} bytes")
        if len(body) > UNRESERVED_BYTES:
            await reserve(limit)
    return bytes(body)
