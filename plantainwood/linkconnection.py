"""One connection from which frames of another daemon are read."""

import asyncio
import socket
from typing import TYPE_CHECKING

from plantainwood.core.frames import FrameError
from plantainwood.core.linkstream import PULL_HELLO, FrameSplitter

if TYPE_CHECKING:
    from plantainwood.linklistener import LinkListener

READ_BYTES = 65_536
KEEPALIVE = {
    socket.TCP_KEEPIDLE: 30,
    socket.TCP_KEEPINTVL: 10,
    socket.TCP_KEEPCNT: 3,
}
"""Seconds and probes after which a connection ends whose VM lost power."""


class LinkConnection(asyncio.Protocol):
    """Read frames; the sender is a stranger until one of them is authentic."""

    __slots__ = ("_listener", "_splitter", "_transport", "opened_s", "is_stranger")

    def __init__(self, listener: "LinkListener", opened_s: float) -> None:
        self._listener = listener
        self._splitter = FrameSplitter()
        self._transport: asyncio.Transport | None = None
        self.opened_s = opened_s
        self.is_stranger = True

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the incomplete frame."""
        return self._splitter.held_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Answer as a pull socket; the sender's time to send a frame begins."""
        self._transport = transport
        self.opened_s = asyncio.get_running_loop().time()
        transport.max_size = READ_BYTES
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE.items():
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        transport.write(PULL_HELLO)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._transport = None
        self._listener.remove(self)

    def data_received(self, data: bytes) -> None:
        """Hand on complete frames; end a connection that sends anything else."""
        try:
            self._splitter.feed(data)
            self._take_frames()
        except FrameError as error:
            self._listener.refuse(self, str(error))
            return
        if self.is_stranger:
            self._listener.bound_bytes()

    def _take_frames(self) -> None:
        while (frame := self._splitter.take()) is not None:
            if self.is_stranger:
                self._listener.admit(self, frame)
            self._listener.put(self, frame)

    def pause(self) -> None:
        """Read nothing more for now."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Go on reading."""
        if self._transport is not None:
            self._transport.resume_reading()

    def drop(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
