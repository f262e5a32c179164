"""Messages between daemons: signed frames over the transport, counted by direction."""

import logging
import resource
from functools import partial
from typing import AsyncIterator, Iterable

from plantainwood.core.clientlimits import compute_max_strangers
from plantainwood.core.fleetmessages import Message
from plantainwood.core.frames import (
    FrameError,
    decode_frame,
    encode_frame,
    is_authentic,
)
from plantainwood.linklistener import LinkListener, ListenerClosed
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics
from plantainwood.transport import NngTransport, Transport


class Messenger:
    """Send and receive the messages of one daemon; a message may be lost."""

    def __init__(self, transport: Transport, secret: str, metrics: Metrics) -> None:
        self._transport = transport
        self._secret = secret.encode()
        self._metrics = metrics

    def send(self, addresses: Iterable[str], message: Message) -> int:
        """Send a message to each address without waiting; return the bytes sent."""
        frame = encode_frame(message, self._secret)
        sent_bytes = 0
        for address in addresses:
            self._count_frame("out", frame)
            self._transport.send(address, frame)
            sent_bytes += len(frame)
        return sent_bytes

    def reconnect(self, address: str) -> None:
        """Dial an address with the next message, unless it is connected."""
        self._transport.reconnect(address)

    async def receive(self) -> AsyncIterator[Message]:
        """Yield messages until the sockets close; log and drop invalid frames."""
        while True:
            try:
                frame = await self._transport.receive()
            except ListenerClosed:
                return
            self._count_frame("in", frame)
            try:
                message = decode_frame(frame, self._secret)
            except FrameError as error:
                log_event("frame_dropped", logging.WARNING, reason=str(error))
                continue
            yield message

    def _count_frame(self, direction: str, frame: bytes) -> None:
        self._metrics.link_bytes.add({"direction": direction}, len(frame))
        self._metrics.link_messages.inc({"direction": direction})

    def close_idle(self, in_use: set[str]) -> None:
        """Close the connections to addresses that are no longer used; log drops."""
        dropped = self._transport.take_dropped()
        if dropped:
            log_event("link_full", logging.WARNING, dropped=dropped)
        self._transport.close_idle(in_use)

    def close(self) -> None:
        """Close the sockets."""
        self._transport.close()


def make_messenger(
    host: str,
    port: int,
    secret: str,
    metrics: Metrics,
    descriptors: float | None = None,
) -> Messenger:
    """Return a messenger that listens on an address.

    `descriptors` are those that the process may open; None stands for its limit.
    """
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    listener = LinkListener(
        host,
        port,
        compute_max_strangers(min(descriptors or soft_limit, soft_limit)),
        partial(is_authentic, secret=secret.encode()),
        metrics,
    )
    return Messenger(NngTransport(listener), secret, metrics)
