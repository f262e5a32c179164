"""The path whose network tests cut."""

import asyncio
import socket

import pytest

from tests.tcppath import SMALL_WINDOW_BYTES, TcpPath

HEARD_S = 0.3
REPORT_BYTES = 5_000
"""As long as a report of test_duty_handovers.py, each on a new connection."""
RESENT_S = 1.5
"""Within this the kernel sends again what was lost."""


async def listen() -> tuple[asyncio.Server, list[bytes]]:
    """Start a server; return it and what it has read."""
    heard: list[bytes] = []

    async def read(reader, writer) -> None:
        heard.append(await reader.read(10))
        writer.close()

    return await asyncio.start_server(read, "127.0.0.1", 0), heard


# Guards against a test that fails since a connection ends just when its path is cut.
@pytest.mark.parametrize("how", [TcpPath.cut, TcpPath.cut_after_connecting])
def test_a_path_is_cut_though_one_of_its_connections_has_ended(how):
    async def scenario() -> None:
        server, heard = await listen()
        port = server.sockets[0].getsockname()[1]
        path = TcpPath(f"127.0.0.1:{port}")
        await path.start()
        _, writer = await asyncio.open_connection("127.0.0.1", path.port)
        try:
            await asyncio.sleep(HEARD_S)
            ended = socket.socket()
            ended.close()
            path._sockets.add(ended)
            how(path)
            writer.write(b"lost")
            await asyncio.sleep(HEARD_S)
            assert not heard
            path.heal()
            await asyncio.sleep(RESENT_S)
            assert heard == [b"lost"]
        finally:
            writer.transport.abort()
            await path.stop()
            server.close()

    asyncio.run(scenario())


# Guards against a call that arrives later than its path's delay says: the delays of two
# pieces of one request added up.
def test_the_delays_of_two_pieces_do_not_add_up():
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        arrived: asyncio.Future[float] = loop.create_future()

        async def read(reader, writer) -> None:
            await reader.readexactly(2)
            arrived.set_result(loop.time())
            writer.close()

        server = await asyncio.start_server(read, "127.0.0.1", 0)
        path = TcpPath(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        path.delay_s = 1.0
        await path.start()
        _, writer = await asyncio.open_connection("127.0.0.1", path.port)
        try:
            writer.write(b"a")
            await asyncio.sleep(0.1)
            began_s = loop.time()
            writer.write(b"b")
            took_s = await arrived - began_s
            assert 1.0 <= took_s < 1.5
        finally:
            writer.transport.abort()
            await path.stop()
            server.close()

    asyncio.run(scenario())


# Guards against a test of a full window whose path reads all the same: what exceeds the
# window stayed at the sender for some milliseconds only.
@pytest.mark.parametrize(
    ("stops_first", "written_bytes"), [(True, REPORT_BYTES), (False, 4 * REPORT_BYTES)]
)
def test_what_exceeds_a_full_window_stays_at_the_sender(stops_first, written_bytes):
    async def scenario() -> None:
        server, heard = await listen()
        path = TcpPath(
            f"127.0.0.1:{server.sockets[0].getsockname()[1]}", SMALL_WINDOW_BYTES
        )
        await path.start()
        if stops_first:
            path.stop_reading()
        _, writer = await asyncio.open_connection("127.0.0.1", path.port)
        try:
            await asyncio.sleep(HEARD_S)
            path.stop_reading()
            writer.write(b"x" * written_bytes)
            for _ in range(3):
                await asyncio.sleep(HEARD_S)
                assert path.has_unacknowledged_bytes()
            assert not heard
            path.heal()
            await asyncio.sleep(RESENT_S)
            assert heard and not path.has_unacknowledged_bytes()
        finally:
            writer.transport.abort()
            await path.stop()
            server.close()

    asyncio.run(scenario())
