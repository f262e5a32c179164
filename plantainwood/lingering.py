"""Closing of callers' connections in the middle of a request.

A connection that is closed with bytes unread, or that receives bytes afterwards, is
reset, and the caller may lose the response that it was sent (RFC 9112, 9.6).
"""

import asyncio
import contextlib

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler, _ErrInfo

MAX_ERROR_CHARS = 200
"""The library's parse errors quote what was read, up to 32 KB at four characters for a
byte, in the log and in the response."""
LINGERING_S = 1.0
"""How long bytes are read and dropped after a response that ends a connection."""


class LingeringHandler(RequestHandler):
    """Serve one connection; drop what follows a malformed request, then close it."""

    __slots__ = ("_is_ending",)

    def __init__(self, manager, **kwargs) -> None:
        super().__init__(manager, lingering_time=LINGERING_S, **kwargs)
        self._is_ending = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; drop them once the connection is ending."""
        if self._is_ending:
            return
        super().data_received(data)
        if self._messages:
            self._messages[-1] = _shorten_error(self._messages[-1])

    def has_malformed_message(self) -> bool:
        """Return whether an error of the parser waits to be handled."""
        return bool(self._messages) and isinstance(self._messages[-1][0], _ErrInfo)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to a request that failed.

        Raise ConnectionError, which closes the connection, if the response has begun.
        """
        self.end_if_malformed(exc)
        return super().handle_error(request, status, exc, message)

    def end_if_malformed(self, error: BaseException | None) -> None:
        """End the connection after the next response if a request was malformed."""
        if isinstance(error, HttpProcessingError):
            self._is_ending = True

    async def finish_response(self, request, resp, start_time):
        """Send a response to its end; if the connection is ending, wait for its end."""
        finished = await super().finish_response(request, resp, start_time)
        if self._is_ending:
            self._stop_sending()
            await asyncio.sleep(LINGERING_S)
        return finished

    def end(self, response: bytes) -> None:
        """Send a response's bytes in place of any other, and end the connection."""
        assert self.transport is not None
        self._is_ending = True
        self.transport.write(response)
        self._stop_sending()
        self._loop.call_later(LINGERING_S, self.force_close)

    def _stop_sending(self) -> None:
        transport = self.transport
        if transport is None or not transport.can_write_eof():
            return
        # The client may have gone; that is seen only once its connection is read.
        with contextlib.suppress(OSError):
            transport.write_eof()


def _shorten_error(item: tuple) -> tuple:
    """Return what the parser yielded, with a short message if that is an error.

    The error loses its traceback, whose frames hold the input: it stays until the next
    garbage collection.
    """
    message, body = item
    if not isinstance(message, _ErrInfo):
        return item
    error = message.exc.with_traceback(None)
    error.__context__ = None
    short = message.message[:MAX_ERROR_CHARS]
    error.message = short
    error.args = (short,)
    return _ErrInfo(message.status, error, short), body
