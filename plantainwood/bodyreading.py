"""Reading of whole bodies within the room for them."""

from plantainwood import web
from plantainwood.bodyroom import BodyReservation
from plantainwood.core.errors import ErrorCode, RequestError

PIECE_BYTES = 65_536
"""Smaller pieces of a body are joined: each has an overhead of some 50 bytes."""


async def read_whole_body(
    request: web.BaseRequest, limit: int, reservation: BodyReservation
) -> bytes:
    """Return a request's body; wait for room if it is large or memory is short.

    Raise RequestError if it is larger than `limit` bytes or is refused while it comes.
    """
    length = request.content_length
    if length is not None and length > limit:
        raise make_too_large_error(limit)
    request.protocol.hold(request.content, reservation)
    await reservation.reserve(length or 0)
    pieces: list[bytearray] = []
    size = 0
    while True:
        chunk = await request.content.readany()
        if not chunk:
            return b"".join(pieces)
        size += len(chunk)
        if size > limit:
            raise make_too_large_error(limit)
        reservation.count(len(chunk))
        if pieces and len(pieces[-1]) < PIECE_BYTES:
            pieces[-1] += chunk
        else:
            pieces.append(bytearray(chunk))
        if size > reservation.free_size:
            await reservation.reserve(length or limit)


def make_too_large_error(limit: int) -> RequestError:
    """Return the error of a request whose body is too large."""
    return RequestError(
        ErrorCode.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
    )
