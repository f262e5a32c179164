"""What the kernel still holds of the bytes that were written to a socket."""

import fcntl
import socket
import sys
import termios


def count_queued_bytes(sock: socket.socket) -> int:
    """Return the bytes in a socket's send queue; 0 where that can't be read."""
    buffer = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, buffer)
    except OSError:
        return 0
    return int.from_bytes(buffer, sys.byteorder)
