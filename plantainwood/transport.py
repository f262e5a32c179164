"""Transport of frames between nodes over TCP, where a frame may be lost.

nng's push sockets send; what they send is read by linklistener.py.
"""

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


class NngTransport(Transport):
    """Use one nng push socket per address and one listener for all senders."""

    def __init__(self, listener: LinkListener) -> None:
        self._listener = listener
        self._push_sockets: dict[str, pynng.Push0] = {}
        self._idle_rounds: dict[str, int] = {}
        self._dropped_frames = 0
        self._refused_addresses: set[str] = set()
        self._clock = make_clock()
        self._reconnected_ms: dict[str, int] = {}

    def send(self, address: str, frame: bytes) -> None:
        """Send a frame; the first one to an address dials it in the background."""
        push_socket = self._push_sockets.get(address)
        if push_socket is None:
            push_socket = self._dial(address)
            if push_socket is None:
                return
            self._push_sockets[address] = push_socket
        self._idle_rounds[address] = 0
        try:
            push_socket.send(frame, block=False)
        except pynng.exceptions.TryAgain:
            self._dropped_frames += 1

    def _dial(self, address: str) -> pynng.Push0 | None:
        """Return a socket that connects in the background.

        Return None if there is no such address; this is logged once.
        """
        if address in self._refused_addresses:
            return None
        push_socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            recv_max_size=MAX_RECEIVED_BYTES,
        )
        try:
            push_socket.dial(address, block=False)
        except pynng.exceptions.NNGException as error:
            push_socket.close()
            self._refused_addresses.add(address)
            log_event(
                "link_refused", logging.WARNING, address=address, reason=str(error)
            )
            return None
        return push_socket

    def reconnect(self, address: str) -> None:
        """Close the socket of an address that is not connected; it waits to redial."""
        push_socket = self._push_sockets.get(address)
        if push_socket is None or push_socket.pipes:
            return
        now_ms = self._clock.now_ms()
        last_ms = self._reconnected_ms.get(address)
        if last_ms is not None and now_ms - last_ms < MIN_RECONNECT_GAP_MS:
            return
        self._reconnected_ms[address] = now_ms
        self._close_socket(address)

    def _close_socket(self, address: str) -> None:
        self._push_sockets.pop(address).close()
        del self._idle_rounds[address]

    def take_dropped(self) -> int:
        """Return how many frames full buffers dropped since the last call."""
        dropped, self._dropped_frames = self._dropped_frames, 0
        return dropped

    async def receive(self) -> bytes:
        """Return the next received frame from any sender."""
        return await self._listener.receive()

    def close_idle(self, in_use: set[str]) -> None:
        """Close sockets that were unused for more than MAX_IDLE_ROUNDS calls."""
        for address in list(self._push_sockets):
            if address in in_use:
                continue
            self._idle_rounds[address] += 1
            if self._idle_rounds[address] > MAX_IDLE_ROUNDS:
                self._close_socket(address)

    def close(self) -> None:
        """Close all sockets."""
        for push_socket in self._push_sockets.values():
            push_socket.close()
        self._push_sockets.clear()
        self._listener.close()
