"""Clients outside the limits, and what a process holds while they are connected.

Each client sends the pieces of its kind, reads nothing and keeps its connection open.
All of it is bounded in number, bytes and time.
"""

import asyncio
import contextlib
import itertools
import re
import socket
from pathlib import Path
from typing import Callable, Iterable

SEND_S = 4.0
"""How long the clients send; then those that are still open stay open."""
PAUSE_S = 0.1
MAX_SENT_BYTES = 8_388_608
RECEIVE_BUFFER_BYTES = 4_096

Pieces = Iterable[bytes | None]
"""What a client sends; None is a pause of PAUSE_S."""


def make_head(host: str, path: str, framing: str, key: str, method="POST") -> bytes:
    """Return the head of a request; `framing` is a header that states the body's."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Request-Id: excess"]
    lines.append("Deadline-Remaining: 20000")
    if key:
        lines.append(f"Authorization: {key}")
    if framing:
        lines.append(framing)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def frame(data: bytes, extension: bytes = b"") -> bytes:
    """Return a chunk."""
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def send_chunks(head: bytes, size: int, total: int) -> Pieces:
    """Yield a chunked body of that many bytes without its end."""
    yield head
    piece = frame(b"x" * size)
    for _ in range(total // size):
        yield piece


def send_small_chunks(head: bytes, size: int, total: int) -> Pieces:
    """Yield a chunked body in small chunks, many in a piece, without its end."""
    yield head
    chunks = 1_000
    piece = frame(b"x" * size) * chunks
    for _ in range(total // (size * chunks)):
        yield piece


def send_plain(head: bytes, total: int) -> Pieces:
    """Yield a body of stated length."""
    yield head
    for _ in range(total // 16_384):
        yield b"x" * 16_384


def send_slowly(start: bytes, piece: bytes) -> Pieces:
    """Yield a start, and one piece after each pause."""
    yield start
    for _ in range(1_000):
        yield None
        yield piece


def send_without_end(start: bytes, piece: bytes) -> Pieces:
    """Yield a start, and the same piece up to MAX_SENT_BYTES."""
    yield start
    for _ in range(MAX_SENT_BYTES // len(piece)):
        yield piece


def send_once(data: bytes) -> Pieces:
    """Yield one piece."""
    return [data]


def send_trailers(head: bytes) -> Pieces:
    """Yield a chunked body whose trailers have no end."""
    start = head + frame(b"x" * 100) + b"0\r\n"
    yield start
    for number in itertools.count():
        if number > MAX_SENT_BYTES // 10_000:
            return
        yield b"".join(b"t%d-%d: %s\r\n" % (number, n, b"x" * 80) for n in range(100))


async def _send(sock: socket.socket, pieces: Pieces) -> None:
    loop = asyncio.get_running_loop()
    sent = 0
    for piece in pieces:
        if piece is None:
            await asyncio.sleep(PAUSE_S)
            continue
        await loop.sock_sendall(sock, piece)
        sent += len(piece)
        if sent > MAX_SENT_BYTES:
            return
        await asyncio.sleep(0)


async def _run_client(address: str, pieces: Pieces, sockets: list) -> None:
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sockets.append(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_S):
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            await _send(sock, pieces)


@contextlib.asynccontextmanager
async def connect_clients(address: str, count: int, make: Callable[[], Pieces]):
    """Let clients send to an address; their connections stay open within the block."""
    sockets: list[socket.socket] = []
    try:
        await asyncio.gather(
            *(_run_client(address, make(), sockets) for _ in range(count))
        )
        yield
    finally:
        for sock in sockets:
            sock.close()


async def wait_until_listening(address: str) -> None:
    """Wait until an address accepts connections."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(SEND_S):
        while True:
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
                return
            await asyncio.sleep(0.01)


def read_memory_mb(pid: int, field: str = "VmHWM") -> float:
    """Return a process's resident memory; by default the most it has had."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(rf"{field}:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) / 1_024


def count_descriptors(pid: int) -> int:
    """Return the number of a process's open descriptors."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
