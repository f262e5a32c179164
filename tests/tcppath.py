"""A path to a server whose network can be cut for the sender's kernel, on loopback.

A classic packet filter on the sockets of the path's near end drops what arrives there,
so that nothing is acknowledged: the sender's kernel sends it again, as behind a cut
link. This needs no privileges.
"""

import asyncio
import contextlib
import ctypes
import socket
import struct

import msgspec

from tests.kerneltable import SYN_SENT, TABLE

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
DROP = (0x06, 0, 0, 0)
ACCEPT = (0x06, 0, 0, 0xFFFFFFFF)
DROP_ALL = (DROP,)
DROP_PAYLOAD = (
    (0x30, 0, 0, 12),  # load the byte with the header's length in words
    (0x74, 0, 0, 4),  # shift right, which leaves the words
    (0x64, 0, 0, 2),  # shift left, which makes them bytes
    (0x07, 0, 0, 0),  # keep them in X
    (0x80, 0, 0, 0),  # load the segment's length
    (0x1D, 1, 0, 0),  # without a payload, skip the next instruction
    DROP,
    ACCEPT,
)
CHUNK_BYTES = 65_536
SMALL_WINDOW_BYTES = 1
"""The kernel raises this to the least window that it supports."""


def attach_filter(sock: socket.socket, instructions: tuple) -> None:
    """Let a filter drop segments that arrive at a socket."""
    code = b"".join(struct.pack("HBBI", *line) for line in instructions)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HL", len(instructions), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class Piece(msgspec.Struct, frozen=True):
    """What was read at once, and when it arrives, on the event loop's clock."""

    due_s: float
    data: bytes
    counted_bytes: int
    """The part of `bytes_under_way` that it is."""


class TcpPath:
    """Forward the connections of one sender to a target, unless the path is cut.

    `delay_s` is how long what the sender wrote is under way.
    """

    def __init__(self, target: str, window_bytes: int = 0) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._window_bytes = window_bytes
        self._listener = socket.socket()
        self._server: asyncio.Server
        self._sockets: set[socket.socket] = set()
        self._near_transports: set[asyncio.Transport] = set()
        self._dropped: tuple = ()
        """The instructions of the filter in force; empty without one."""
        self._passing = asyncio.Event()
        self._passing.set()
        self._answering = asyncio.Event()
        self._answering.set()
        self._tasks: set[asyncio.Task] = set()
        self.delay_s = 0.0
        self.bytes_under_way = 0
        """What the sender wrote and the delay holds back."""
        self.address = ""
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        if self._window_bytes:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._window_bytes
            )
        self._listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._forward, sock=self._listener)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        """Close the address and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Drop all that arrives from the sender, and hold back the answers to it.

        What arrived before, and so was acknowledged, goes on to the target.
        """
        self._answering.clear()
        self._attach(DROP_ALL)

    def cut_after_connecting(self) -> None:
        """Let connections open, but drop all that is written on them."""
        self._attach(DROP_PAYLOAD)

    def stop_reading(self) -> None:
        """Read no more: the sender's kernel keeps what exceeds the window."""
        self._passing.clear()
        for transport in self._near_transports:
            transport.pause_reading()

    def heal(self) -> None:
        """Let everything pass again."""
        self._dropped = ()
        for sock in [self._listener, *self._sockets]:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        for transport in self._near_transports:
            transport.resume_reading()
        self._passing.set()
        self._answering.set()

    def _attach(self, instructions: tuple) -> None:
        self._dropped = instructions
        for sock in [self._listener, *self._sockets]:
            # A connection may have ended that is still in the set.
            if sock.fileno() >= 0:
                attach_filter(sock, instructions)

    def hold_answers(self) -> None:
        """Hold back the answers to the sender."""
        self._answering.clear()

    def has_unacknowledged_bytes(self) -> bool:
        """Return whether the sender's kernel keeps bytes for this path."""
        return any(entry.queued_bytes for entry in TABLE.list_connections(self.port))

    def is_connecting(self) -> bool:
        """Return whether the sender's kernel opens a connection on this path."""
        return any(e.state == SYN_SENT for e in TABLE.list_connections(self.port))

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        near = writer.get_extra_info("socket")
        self._sockets.add(near)
        self._near_transports.add(writer.transport)
        if not self._passing.is_set():
            # Nothing was read yet, as this comes before the loop's first look.
            writer.transport.pause_reading()
        if self._dropped and near.fileno() >= 0:
            # The connection may have been opened just before the filter was attached.
            attach_filter(near, self._dropped)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._target)
            back = asyncio.create_task(self._copy(up_reader, writer, is_back=True))
            try:
                await self._copy(reader, up_writer)
                await back
            finally:
                back.cancel()
                up_writer.transport.abort()
        except OSError:
            pass
        finally:
            self._sockets.discard(near)
            self._near_transports.discard(writer.transport)
            self._tasks.discard(task)
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool = False,
    ) -> None:
        """Copy bytes in order; end without the rest if the sender resets.

        What was read before that is under way, and arrives all the same.
        """
        under_way: asyncio.Queue[Piece] = asyncio.Queue()
        delivery = asyncio.create_task(self._deliver(under_way, writer))
        loop = asyncio.get_running_loop()
        data = b"-"
        try:
            while data:
                await self._passing.wait()
                data = await reader.read(CHUNK_BYTES)
                await self._passing.wait()
                if is_back:
                    await self._answering.wait()
                delay_s = 0.0 if is_back else self.delay_s
                counted_bytes = len(data) if delay_s else 0
                self.bytes_under_way += counted_bytes
                piece = Piece(loop.time() + delay_s, data, counted_bytes)
                under_way.put_nowait(piece)
            await delivery
        except OSError:
            await under_way.join()
            raise
        finally:
            delivery.cancel()

    async def _deliver(
        self,
        under_way: asyncio.Queue[Piece],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write each piece when it is due; end after the empty one."""
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            piece = await under_way.get()
            await asyncio.sleep(max(0.0, piece.due_s - loop.time()))
            self.bytes_under_way -= piece.counted_bytes
            data = piece.data
            if data:
                writer.write(data)
                await writer.drain()
            under_way.task_done()
        writer.write_eof()


class OwnPaths:
    """The paths of one VM to the store and to the platform."""

    store_path: TcpPath
    platform_path: TcpPath

    def cut(self) -> None:
        """Cut this VM off from the store and from the platform."""
        self.store_path.cut()
        self.platform_path.cut()

    def heal(self) -> None:
        """Let everything pass again."""
        self.store_path.heal()
        self.platform_path.heal()
