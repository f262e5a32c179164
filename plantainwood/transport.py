"""Transport of frames between nodes over TCP, where a frame may be lost.

nng's push sockets send; what they send is read by linklistener.py. A connection that is
lost while a frame is being sent may stay in its push socket's list of those that are
ready, and the next send, or the next connection of that socket, uses freed memory. So a
push socket has one connection at most, and is closed once that is lost.
"""

import contextlib
import logging
from abc import ABC, abstractmethod

import pynng

from plantainwood.core.clock import make_clock
from plantainwood.linklistener import LinkListener
from plantainwood.logs import log_event

SEND_BUFFER_MESSAGES = 64
MAX_IDLE_ROUNDS = 30
RECONNECT_MIN_MS = 1_000
RECONNECT_MAX_MS = 4_000
"""The longest pause between two dials, a random part of which is waited.

A refused dial costs nng 2.5 ms of CPU time: with a constant pause of up to 1 s, 76
addresses of lost VMs took 0.27 of a core. A VM that is heard again is dialled at once,
see `Transport.reconnect`.
"""

MIN_RECONNECT_GAP_MS = 1_000
"""A VM that has just started may need some hundred ms to accept; closing its connection
meanwhile would drop the frames that wait for it."""

NEVER_MS = 2_000_000_000
"""A pause after which no process dials any more."""

MAX_RECEIVED_BYTES = 1
"""What a peer may send on a connection that only sends; nng's own value is no bound."""


class Transport(ABC):
    """Send frames to other daemons; a frame may be lost."""

    @abstractmethod
    def send(self, address: str, frame: bytes) -> None:
        """Send a frame without waiting; drop it if it can't be buffered."""

    @abstractmethod
    def reconnect(self, address: str) -> None:
        """Dial an address with the next frame, unless it is connected.

        For a daemon that was heard, so it listens now; frames that wait are dropped.
        """

    @abstractmethod
    def take_dropped(self) -> int:
        """Return how many frames full buffers dropped since the last call."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the next received frame; raise ListenerClosed after `close`."""

    @abstractmethod
    def close_idle(self, in_use: set[str]) -> None:
        """Close the connections to addresses that are no longer used."""

    @abstractmethod
    def close(self) -> None:
        """Close all connections and stop listening."""


class PushSocket:
    """A push socket that connects in the background, once.

    nng calls `_note_connected` and `_note_lost` on threads of its own.
    """

    __slots__ = ("nng_socket", "dial_at_ms", "dialed_ms", "idle_rounds", "is_lost")

    def __init__(self, dial_at_ms: int) -> None:
        self.dial_at_ms = dial_at_ms
        """From when on it may be dialled; frames wait until then."""
        self.dialed_ms: int | None = None
        self.idle_rounds = 0
        self.is_lost = False
        """Whether it was connected and is no longer."""
        self.nng_socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            recv_max_size=MAX_RECEIVED_BYTES,
        )
        self.nng_socket.add_pre_pipe_connect_cb(self._note_connected)
        self.nng_socket.add_post_pipe_remove_cb(self._note_lost)

    def is_dial_due(self, now_ms: int) -> bool:
        """Tell whether to dial now."""
        return self.dialed_ms is None and now_ms >= self.dial_at_ms

    def dial(self, address: str, now_ms: int) -> None:
        """Begin to connect; raise NNGException if there is no such address."""
        self.dialed_ms = now_ms
        self.nng_socket.dial(address, block=False)
        if self.nng_socket.pipes:
            # It was connected before its dialer was known to `_note_connected`.
            self._stop_dialing()

    def _note_connected(self, pipe: pynng.Pipe) -> None:
        self._stop_dialing()

    def _stop_dialing(self) -> None:
        # A socket that is being closed has no dialer that could be told.
        with contextlib.suppress(pynng.exceptions.NNGException):
            for dialer in self.nng_socket.dialers:
                dialer.reconnect_time_max = NEVER_MS
                dialer.reconnect_time_min = NEVER_MS

    def _note_lost(self, pipe: pynng.Pipe) -> None:
        self.is_lost = True

    def close(self) -> None:
        """Close the socket; frames that wait are dropped."""
        self.nng_socket.close()


class NngTransport(Transport):
    """Use one nng push socket per address and one listener for all senders."""

    def __init__(self, listener: LinkListener) -> None:
        self._listener = listener
        self._push_sockets: dict[str, PushSocket] = {}
        self._dropped_frames = 0
        self._refused_addresses: set[str] = set()
        self._clock = make_clock()
        self._reconnected_ms: dict[str, int] = {}

    def send(self, address: str, frame: bytes) -> None:
        """Send a frame; the first one to an address dials it in the background."""
        push_socket = self._find_socket(address)
        if push_socket is None:
            return
        push_socket.idle_rounds = 0
        try:
            push_socket.nng_socket.send(frame, block=False)
        except pynng.exceptions.TryAgain:
            self._dropped_frames += 1

    def _find_socket(self, address: str) -> PushSocket | None:
        """Return a socket that is connected, or connects in the background.

        One takes the place of a lost one after a pause, in which frames wait. Return
        None if there is no such address; this is logged once.
        """
        now_ms = self._clock.now_ms()
        push_socket = self._push_sockets.get(address)
        if push_socket is None:
            if address in self._refused_addresses:
                return None
            push_socket = self._push_sockets[address] = PushSocket(now_ms)
        elif push_socket.is_lost:
            dial_at_ms = (push_socket.dialed_ms or now_ms) + MIN_RECONNECT_GAP_MS
            self._close_socket(address)
            push_socket = self._push_sockets[address] = PushSocket(dial_at_ms)
        if not push_socket.is_dial_due(now_ms):
            return push_socket
        try:
            push_socket.dial(address, now_ms)
        except pynng.exceptions.NNGException as error:
            self._close_socket(address)
            self._refused_addresses.add(address)
            log_event(
                "link_refused", logging.WARNING, address=address, reason=str(error)
            )
            return None
        return push_socket

    def reconnect(self, address: str) -> None:
        """Close the socket of an address that is not connected; it waits to redial."""
        push_socket = self._push_sockets.get(address)
        if push_socket is None or push_socket.nng_socket.pipes:
            return
        now_ms = self._clock.now_ms()
        last_ms = self._reconnected_ms.get(address)
        if last_ms is not None and now_ms - last_ms < MIN_RECONNECT_GAP_MS:
            return
        self._reconnected_ms[address] = now_ms
        self._close_socket(address)

    def _close_socket(self, address: str) -> None:
        self._push_sockets.pop(address).close()

    def take_dropped(self) -> int:
        """Return how many frames full buffers dropped since the last call."""
        dropped, self._dropped_frames = self._dropped_frames, 0
        return dropped

    async def receive(self) -> bytes:
        """Return the next received frame from any sender."""
        return await self._listener.receive()

    def close_idle(self, in_use: set[str]) -> None:
        """Close sockets that were unused for more than MAX_IDLE_ROUNDS calls."""
        for address, push_socket in list(self._push_sockets.items()):
            if address in in_use:
                continue
            push_socket.idle_rounds += 1
            if push_socket.idle_rounds > MAX_IDLE_ROUNDS:
                self._close_socket(address)

    def close(self) -> None:
        """Close all sockets."""
        for push_socket in self._push_sockets.values():
            push_socket.close()
        self._push_sockets.clear()
        self._listener.close()
