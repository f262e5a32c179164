"""Links that are reset: a push socket of nng's is not used any more after that."""

import asyncio
import socket
import struct

from plantainwood import transport
from plantainwood.core.linkstream import PULL_HELLO, PUSH_HELLO
from plantainwood.transport import NngTransport

GAP_MS = 300
OBSERVED_S = 1.0
TIMEOUT_S = 10
FRAME = b"frame"


class ResettingPeer:
    """Name the protocol on each connection, and reset it after a first frame."""

    def __init__(self) -> None:
        self.connections = 0
        self.resets = 0
        self.received = asyncio.Event()
        self.address = ""
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"tcp://127.0.0.1:{port}"

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        writer.write(PULL_HELLO)
        await reader.readexactly(len(PUSH_HELLO) + 8 + len(FRAME))
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        self.resets += 1
        self.received.set()

    def close(self) -> None:
        """Close the port."""
        self._server.close()


class NoListener:
    """A listener that nothing is received from."""

    def close(self) -> None:
        """Do nothing."""


def run(scenario, monkeypatch) -> None:
    """Run a scenario on a peer and a transport that dials again after short pauses."""
    monkeypatch.setattr(transport, "RECONNECT_MIN_MS", 20)
    monkeypatch.setattr(transport, "RECONNECT_MAX_MS", 20)
    monkeypatch.setattr(transport, "MIN_RECONNECT_GAP_MS", GAP_MS)

    async def main() -> None:
        peer = ResettingPeer()
        await peer.start()
        sender = NngTransport(NoListener())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(peer, sender)
        finally:
            sender.close()
            peer.close()

    asyncio.run(main())


async def lose_link(peer: ResettingPeer, sender: NngTransport) -> None:
    """Send a frame and wait until its connection is reset, and that is known here."""
    sender.send(peer.address, FRAME)
    await peer.received.wait()
    peer.received.clear()
    await asyncio.sleep(0.1)


# Guards against a process that ends with code 139: nng dialled again with the socket of
# a lost connection, whose list of ready connections may hold the freed one.
def test_a_socket_whose_connection_was_reset_connects_no_more(monkeypatch):
    async def scenario(peer, sender):
        await lose_link(peer, sender)
        await asyncio.sleep(OBSERVED_S)
        assert peer.connections == 1

    run(scenario, monkeypatch)


# Guards against the same by a frame that is sent on that socket, and against what was
# sent to a VM that is away for a moment and never arrives there.
def test_the_next_frame_waits_for_another_socket(monkeypatch):
    async def scenario(peer, sender):
        await lose_link(peer, sender)
        lost = sender._push_sockets[peer.address]
        sender.send(peer.address, FRAME)
        assert sender._push_sockets[peer.address] is not lost
        await asyncio.sleep(GAP_MS / 1_000)
        sender.send(peer.address, FRAME)
        await peer.received.wait()
        assert peer.connections == 2

    run(scenario, monkeypatch)


# Guards against a peer that resets each connection and is dialled without a pause.
def test_a_peer_that_resets_each_connection_is_dialled_after_a_pause(monkeypatch):
    async def scenario(peer, sender):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + OBSERVED_S
        while loop.time() < until_s:
            sender.send(peer.address, FRAME)
            await asyncio.sleep(0.005)
        assert 2 <= peer.connections <= 1 + OBSERVED_S * 1_000 / GAP_MS

    run(scenario, monkeypatch)
