"""Which connections between VMs are kept, and that their frames arrive."""

import asyncio
import contextlib
import socket
from functools import partial

import pynng
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainwood.core.clientlimits import STRANGER_BYTES
from plantainwood.core.frames import FrameError, is_authentic, seal
from plantainwood.core.linkstream import MAX_FRAME_BYTES, PUSH_HELLO, FrameSplitter
from plantainwood.linklistener import MAX_QUEUED_FRAMES, LinkListener
from plantainwood.metrics import Metrics
from standins.ports import find_ports

SECRET = b"0123456789abcdef"
MAX_STRANGERS = 25
VMS = 320
STRANGERS = 200
WAIT_S = 30


class Site:
    """A listener, and sockets that connect to it."""

    def __init__(self) -> None:
        self.port = find_ports(1)[0]
        self.listener = LinkListener(
            "127.0.0.1",
            self.port,
            MAX_STRANGERS,
            partial(is_authentic, secret=SECRET),
            Metrics(),
        )
        self._opened = contextlib.ExitStack()

    def push(self) -> pynng.Push0:
        """Return a push socket that connects in the background."""
        push_socket = pynng.Push0(send_buffer_size=64)
        self._opened.callback(push_socket.close)
        push_socket.dial(f"tcp://127.0.0.1:{self.port}", block=False)
        return push_socket

    def connect(self) -> socket.socket:
        """Return a connection that has sent nothing."""
        sock = socket.create_connection(("127.0.0.1", self.port))
        self._opened.callback(sock.close)
        return sock

    async def receive(self, count: int) -> list[bytes]:
        """Return that many frames."""
        async with asyncio.timeout(WAIT_S):
            return [await self.listener.receive() for _ in range(count)]

    def close(self) -> None:
        """Close everything."""
        self.listener.close()
        self._opened.close()


def run(scenario) -> None:
    """Run a scenario on a new site."""

    async def main() -> None:
        site = Site()
        try:
            await scenario(site)
        finally:
            site.close()

    asyncio.run(main())


# Guards against VMs of the largest fleet that are not heard when all connect at once,
# with strangers in all places for new connections.
def test_all_vms_are_heard_beside_strangers():
    async def scenario(site: Site) -> None:
        for _ in range(STRANGERS):
            site.connect()
        frames = {seal(b"vm-%d" % number, SECRET) for number in range(VMS)}
        for frame in frames:
            site.push().send(frame, block=False)
        assert set(await site.receive(VMS)) == frames

    run(scenario)


# Guards against a VM whose connection is dropped in favour of a stranger's.
def test_a_known_sender_keeps_its_connection():
    async def scenario(site: Site) -> None:
        known = site.connect()
        frame = seal(b"first", SECRET)
        known.sendall(PUSH_HELLO + len(frame).to_bytes(8) + frame)
        await site.receive(1)
        for _ in range(STRANGERS):
            site.connect()
        await asyncio.sleep(1.0)
        known.sendall(len(frame).to_bytes(8) + frame)
        assert await site.receive(1) == [frame]

    run(scenario)


# Guards against a frame that somebody else signed, and is queued.
def test_a_forged_frame_ends_its_connection_and_is_not_queued():
    async def scenario(site: Site) -> None:
        forged, known = site.connect(), site.connect()
        frame, own = seal(b"x", b"f" * 16), seal(b"x", SECRET)
        forged.sendall(PUSH_HELLO + len(frame).to_bytes(8) + frame)
        await asyncio.sleep(0.1)
        known.sendall(PUSH_HELLO + len(own).to_bytes(8) + own)
        assert await site.receive(1) == [own]
        forged.settimeout(WAIT_S)
        with contextlib.suppress(ConnectionResetError):
            while forged.recv(64):
                pass

    run(scenario)


# Guards against many strangers that each hold a frame within its own bound.
def test_strangers_hold_a_bounded_number_of_bytes_together():
    async def scenario(site: Site) -> None:
        receiving = asyncio.create_task(site.listener.receive())
        loop = asyncio.get_running_loop()
        for _ in range(MAX_STRANGERS // 2):
            sock = site.connect()
            sock.setblocking(False)
            start = PUSH_HELLO + MAX_FRAME_BYTES.to_bytes(8)
            with contextlib.suppress(OSError):
                await loop.sock_sendall(sock, start + bytes(MAX_FRAME_BYTES // 2))
        await asyncio.sleep(0.2)
        held = sum(each.held_bytes for each in site.listener._strangers)
        assert 0 < held <= STRANGER_BYTES
        receiving.cancel()

    run(scenario)


# Guards against a bound that a frame of the largest size meets, or many in a row.
def test_the_largest_frame_and_many_in_a_row_arrive():
    async def scenario(site: Site) -> None:
        push_socket = site.push()
        largest = seal(b"x" * 100, SECRET)
        payload = bytes(MAX_FRAME_BYTES - len(largest))
        frame = _sign(payload)
        await push_socket.asend(frame)
        assert await site.receive(1) == [frame]
        small = seal(b"y", SECRET)

        async def send() -> None:
            for _ in range(3 * MAX_QUEUED_FRAMES):
                await push_socket.asend(small)

        sending = asyncio.create_task(send())
        await asyncio.sleep(0.5)
        assert await site.receive(3 * MAX_QUEUED_FRAMES) == [small] * (
            3 * MAX_QUEUED_FRAMES
        )
        await sending

    run(scenario)


def _sign(payload: bytes) -> bytes:
    """Return the frame of a payload that is not compressed."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("plantainwood.core.frames.MIN_COMPRESSED_BYTES", 1 << 40)
        return seal(payload, SECRET)


# Guards against frames that are cut or joined where reads happen to end.
@given(st.lists(st.binary(max_size=40)), st.lists(st.integers(1, 30), min_size=1))
def test_frames_do_not_depend_on_how_the_stream_is_split(frames, sizes):
    stream = PUSH_HELLO
    for frame in frames:
        stream += len(frame).to_bytes(8) + frame
    splitter = FrameSplitter()
    found = []
    at = step = 0
    while at < len(stream):
        size = sizes[step % len(sizes)]
        splitter.feed(stream[at : at + size])
        while (frame := splitter.take()) is not None:
            found.append(frame)
        at, step = at + size, step + 1
    assert found == frames and splitter.held_bytes == 0


# Guards against input that is no link's and is collected.
@pytest.mark.parametrize(
    "data",
    [b"GET / HTTP/1.1\r\n", b"\x16\x03\x01\x02\x00", bytes(8)]
    + [PUSH_HELLO + (MAX_FRAME_BYTES + 1).to_bytes(8)],
)
def test_other_input_is_refused(data):
    splitter = FrameSplitter()
    with pytest.raises(FrameError):
        splitter.feed(data)
        splitter.take()
