"""Frames in the byte stream of a link: what nng's push sockets send over TCP.

Each side first sends eight bytes that name its protocol; then each frame follows its
length in eight bytes.
"""

from plantainwood.core.frames import FrameError

PUSH_HELLO = b"\x00SP\x00\x00\x50\x00\x00"
PULL_HELLO = b"\x00SP\x00\x00\x51\x00\x00"
LENGTH_BYTES = 8
MAX_FRAME_BYTES = 8_388_608
"""A larger frame closes its connection; without a bound, a sender that is not part of
the fleet could announce any size."""


class FrameSplitter:
    """Split the bytes that a push socket sends into frames."""

    __slots__ = ("_buffer", "_has_hello")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._has_hello = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add received bytes; raise FrameError if no push socket sends them."""
        self._buffer += data
        if self._has_hello:
            return
        hello = bytes(self._buffer[: len(PUSH_HELLO)])
        if not PUSH_HELLO.startswith(hello):
            raise FrameError("not a push socket")
        if hello == PUSH_HELLO:
            self._has_hello = True
            del self._buffer[: len(PUSH_HELLO)]

    def take(self) -> bytes | None:
        """Return the next complete frame; raise FrameError if it would be too long."""
        if not self._has_hello or len(self._buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[:LENGTH_BYTES])
        if size > MAX_FRAME_BYTES:
            raise FrameError("frame too long")
        end = LENGTH_BYTES + size
        if len(self._buffer) < end:
            return None
        frame = bytes(memoryview(self._buffer)[LENGTH_BYTES:end])
        del self._buffer[:end]
        return frame
