"""The address on which other daemons' frames arrive; strangers hold little there.

nng's pull socket accepts any number of connections, tells of none before its peer has
named its protocol, and allocates each frame at the size that its sender announces.
"""

import asyncio
import logging
import socket
from collections import Counter, deque
from typing import Callable

from plantainwood.core.clientlimits import STRANGER_BYTES
from plantainwood.core.frames import FrameError
from plantainwood.guardedtask import contain_errors
from plantainwood.linkconnection import LinkConnection
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics

BACKLOG = 1_024
MIN_STRANGER_S = 0.25
"""How long a new connection may take to send its first frame while others wait."""
MAX_QUEUED_FRAMES = 1_024
MAX_QUEUED_BYTES = 8_388_608
"""While more is queued, connections that send are not read."""
TAKEN_AT_ONCE = 16
"""Frames that are handled before the event loop does something else."""
ACCEPT_PAUSE_S = 0.1
"""The pause after an error of accepting, as when no descriptor is left."""
LOG_S = 1.0
"""Refusals are logged once in this time, with their number."""


class ListenerClosed(Exception):
    """The listener was closed; no frame follows."""


class LinkListener:
    """Accept connections and queue the frames of those that the fleet's secret signs.

    Starts to accept with the first call of `receive`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_strangers: int,
        is_authentic: Callable[[bytes], bool],
        metrics: Metrics,
    ) -> None:
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._max_strangers = max_strangers
        self._is_authentic = is_authentic
        self._metrics = metrics
        self._strangers: dict[LinkConnection, None] = {}
        """In the order of their arrival."""
        self._peers: set[LinkConnection] = set()
        self._stranger_left = asyncio.Event()
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._frame_arrived = asyncio.Event()
        self._paused: set[LinkConnection] = set()
        self._accepting: asyncio.Task[None] | None = None
        self._is_closed = False
        self._taken = 0
        self._refusals: Counter[str] = Counter()
        self._log_timer: asyncio.TimerHandle | None = None

    async def receive(self) -> bytes:
        """Return the next frame; raise ListenerClosed once the listener is closed."""
        if self._accepting is None and not self._is_closed:
            self._accepting = asyncio.create_task(self._accept())
        self._taken += 1
        if self._taken >= TAKEN_AT_ONCE:
            self._taken = 0
            await asyncio.sleep(0)
        while not self._frames and not self._is_closed:
            self._taken = 0
            self._frame_arrived.clear()
            await self._frame_arrived.wait()
        if self._is_closed:
            raise ListenerClosed
        frame = self._frames.popleft()
        self._queued_bytes -= len(frame)
        if self._paused and not self._is_half_full():
            self._resume()
        return frame

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._is_closed:
            await self._make_place()
            try:
                sock, _ = await loop.sock_accept(self._socket)
            except OSError:
                self._count_refusal("accept_failed")
                await asyncio.sleep(ACCEPT_PAUSE_S)
                continue
            await self._serve(sock)

    async def _serve(self, sock: socket.socket) -> None:
        """Read from an accepted connection; forget one that can't be read."""
        loop = asyncio.get_running_loop()
        connection = LinkConnection(self, loop.time())
        self._strangers[connection] = None
        self._report()
        with contain_errors("LinkListener"):
            await loop.connect_accepted_socket(lambda: connection, sock)
            return
        self.remove(connection)
        sock.close()

    async def _make_place(self) -> None:
        """Wait for a place for a new connection; drop the oldest stranger in time."""
        while len(self._strangers) >= self._max_strangers:
            oldest = next(iter(self._strangers))
            age_s = asyncio.get_running_loop().time() - oldest.opened_s
            if age_s >= MIN_STRANGER_S:
                self.refuse(oldest, "silent")
                continue
            self._stranger_left.clear()
            try:
                await asyncio.wait_for(
                    self._stranger_left.wait(), MIN_STRANGER_S - age_s
                )
            except TimeoutError:
                continue

    def admit(self, connection: LinkConnection, frame: bytes) -> None:
        """Make a stranger a peer; raise FrameError if its frame is not authentic."""
        if not self._is_authentic(frame):
            raise FrameError("not authentic")
        connection.is_stranger = False
        self._forget_stranger(connection)
        self._peers.add(connection)
        self._report()

    def put(self, connection: LinkConnection, frame: bytes) -> None:
        """Queue a frame; stop reading from its sender if too much is queued."""
        self._frames.append(frame)
        self._queued_bytes += len(frame)
        self._frame_arrived.set()
        is_full = len(self._frames) > MAX_QUEUED_FRAMES
        if is_full or self._queued_bytes > MAX_QUEUED_BYTES:
            connection.pause()
            self._paused.add(connection)

    def _is_half_full(self) -> bool:
        is_long = len(self._frames) > MAX_QUEUED_FRAMES // 2
        return is_long or self._queued_bytes > MAX_QUEUED_BYTES // 2

    def _resume(self) -> None:
        paused, self._paused = self._paused, set()
        for connection in paused:
            connection.resume()

    def bound_bytes(self) -> None:
        """Drop the strangers that hold most for longest while all hold too much."""
        held = sum(connection.held_bytes for connection in self._strangers)
        if held <= STRANGER_BYTES:
            return
        now_s = asyncio.get_running_loop().time()
        ranked = sorted(
            self._strangers,
            key=lambda each: each.held_bytes * (now_s - each.opened_s),
            reverse=True,
        )
        for connection in ranked:
            if held <= STRANGER_BYTES:
                return
            held -= connection.held_bytes
            self.refuse(connection, "memory")

    def refuse(self, connection: LinkConnection, reason: str) -> None:
        """Drop a connection; count it for the metric and the next log line."""
        self.remove(connection)
        connection.drop()
        self._count_refusal(reason.replace(" ", "_"))

    def _count_refusal(self, reason: str) -> None:
        self._metrics.refused_links.inc({"reason": reason})
        self._refusals[reason] += 1
        if self._log_timer is None:
            loop = asyncio.get_running_loop()
            self._log_timer = loop.call_later(LOG_S, self._log_refusals)

    def _log_refusals(self) -> None:
        self._log_timer = None
        refusals, self._refusals = self._refusals, Counter()
        open_links = len(self._strangers) + len(self._peers)
        log_event("links_refused", logging.WARNING, open=open_links, **refusals)

    def remove(self, connection: LinkConnection) -> None:
        """Forget a connection that is closed."""
        self._forget_stranger(connection)
        self._peers.discard(connection)
        self._paused.discard(connection)
        self._report()

    def _forget_stranger(self, connection: LinkConnection) -> None:
        if connection in self._strangers:
            del self._strangers[connection]
            self._stranger_left.set()

    def _report(self) -> None:
        self._metrics.link_connections.set({"kind": "new"}, len(self._strangers))
        self._metrics.link_connections.set({"kind": "fleet"}, len(self._peers))

    def close(self) -> None:
        """Stop to listen and close all connections."""
        self._is_closed = True
        self._frame_arrived.set()
        if self._log_timer is not None:
            self._log_timer.cancel()
        if self._accepting is not None:
            self._accepting.cancel()
        for connection in [*self._strangers, *self._peers]:
            connection.drop()
        self._socket.close()
