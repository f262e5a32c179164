"""Transport of frames between nodes: nng over TCP, where a frame may be lost."""

import logging
from abc import ABC, abstractmethod

import pynng

from plantainwood.logs import log_event

SEND_BUFFER_MESSAGES = 64
IDLE_DIALER_ROUNDS = 30


class Transport(ABC):
    """Send frames to other daemons; a frame may be lost."""

    @abstractmethod
    def send(self, address: str, frame: bytes) -> None:
        """Send a frame without waiting; drop it where it can't be buffered."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the next frame that came in."""

    @abstractmethod
    def close_idle(self, in_use: set[str]) -> None:
        """Close the connections to addresses that are no longer used."""

    @abstractmethod
    def close(self) -> None:
        """Close everything."""


class NngTransport(Transport):
    """Push frames over TCP with nng, one pull socket for all that comes in."""

    def __init__(self, listen: str) -> None:
        self._pull = pynng.Pull0(listen=listen, recv_buffer_size=1_024)
        self._pushes: dict[str, pynng.Push0] = {}
        self._idle: dict[str, int] = {}

    def send(self, address: str, frame: bytes) -> None:
        """Send a frame, dialling the address on first use."""
        push = self._pushes.get(address)
        if push is None:
            push = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
            push.dial(address, block=False)
            self._pushes[address] = push
        self._idle[address] = 0
        try:
            push.send(frame, block=False)
        except pynng.exceptions.TryAgain:
            log_event("link_full", logging.DEBUG, address=address)

    async def receive(self) -> bytes:
        """Return the next frame."""
        return await self._pull.arecv()

    def close_idle(self, in_use: set[str]) -> None:
        """Close what was not used for some rounds."""
        for address in list(self._pushes):
            if address in in_use:
                continue
            self._idle[address] += 1
            if self._idle[address] > IDLE_DIALER_ROUNDS:
                self._pushes.pop(address).close()
                del self._idle[address]

    def close(self) -> None:
        """Close all sockets."""
        for push in self._pushes.values():
            push.close()
        self._pushes.clear()
        self._pull.close()


def make_transport(host: str, port: int) -> Transport:
    """Return the transport that listens on an address."""
    return NngTransport(f"tcp://{host}:{port}")
