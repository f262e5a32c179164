"""Orders and reports that are given up don't arrive later."""

import asyncio

import pytest

from bridge.cloud import CloudClient
from plantainwood.core.clock import make_clock
from plantainwood.core.effects import SendDesiredCount
from plantainwood.core.errors import StoreError
from plantainwood.dutycalls import DutyCaller

TIMEOUT_MS = 200
BEFORE_DEADLINE_MS = 5_000


# Guards against an order that the system goes on sending after it was given up, and
# that arrives after the next holder's once a cut link has healed (ONE).
def test_a_call_that_is_given_up_is_reset_not_closed():
    ended: list[object] = []

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            ended.append(await reader.read(65_536) and await reader.read())
        except ConnectionError as error:
            ended.append(error)
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        clock = make_clock()
        caller = DutyCaller(clock, TIMEOUT_MS)
        client = CloudClient(caller, f"127.0.0.1:{port}", "vm-1")
        deadline_ms = clock.now_ms() + BEFORE_DEADLINE_MS
        order = SendDesiredCount("pool", "a", 2, False, 1, deadline_ms, deadline_ms)
        with pytest.raises(StoreError):
            await client.send_count(order)
        await asyncio.sleep(0.1)
        server.close()

    asyncio.run(main())
    assert len(ended) == 1 and isinstance(ended[0], ConnectionResetError)
