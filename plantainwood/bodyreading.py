"""Reading of whole bodies within the room for them."""

from aiohttp.http_exceptions import HttpProcessingError

from plantainwood import web
from plantainwood.bodyroom import BodyReservation
from plantainwood.core.errors import ErrorCode, RequestError

PIECE_BYTES = 65_536
"""Smaller pieces of a body are joined: each has an overhead of some 50 bytes."""


async def read_whole_body(
    request: web.BaseRequest, limit: int, reservation: BodyReservation
) -> bytes:
    """Return a request's body; wait for room if it is large or memory is short.

    Raise RequestError if it is larger than `limit` bytes, can't be read or is refused
    while it comes, ConnectionError if the client leaves. What was read is dropped then.
    """
    try:
        return await _read_pieces(request, limit, reservation)
    except RequestError as error:
        _forget_frames(error)
        raise _copy_error(error) from None
    except (HttpProcessingError, web.PayloadAccessError, ValueError) as error:
        _forget_frames(error)
        message = f"the body can't be read: {error!r}"
        raise RequestError(ErrorCode.BAD_REQUEST, message) from None
    except ConnectionError as error:
        _forget_frames(error)
        raise ConnectionResetError(str(error)) from None


async def _read_pieces(
    request: web.BaseRequest, limit: int, reservation: BodyReservation
) -> bytes:
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


def _forget_frames(error: BaseException) -> None:
    """Drop the frames of an error that the request's stream keeps.

    They hold the request and the pieces of its body, so that these would refer to
    themselves and stay in memory until a garbage collection.
    """
    error.with_traceback(None)
    error.__context__ = None
    error.__cause__ = None


def _copy_error(error: RequestError) -> RequestError:
    return RequestError(error.code, error.message, error.outcome, error.retry_after_ms)


def make_too_large_error(limit: int) -> RequestError:
    """Return the error of a request whose body is too large."""
    return RequestError(
        ErrorCode.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
    )
