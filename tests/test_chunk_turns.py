"""Bodies in tiny chunks take turns, so that others are served meanwhile."""

import asyncio
import time
from functools import partial

from plantainwood.chunkturns import ChunkTurns, TurnTaker
from tests.edgesite import AUTHORIZATION, HOST, make_config
from tests.excessclients import connect_clients, make_head, send_small_chunks
from tests.processsite import ProcessSite, run_processes
from tests.test_client_limits import answer

CLIENTS = 400
CHUNKS = 64_000
PRESS_S = 6.0
PAUSE_S = 0.3
CONFIG_S = 1.0
DEADLINE_S = 2.5
"""An ordinary caller's deadline, and 1 s more."""
SERVED_SHARE = 0.5
ALONE_BYTES = 1_000_000


class Reader(TurnTaker):
    """A connection that waits again after each of its turns."""

    def __init__(self, turns: ChunkTurns, name: str, taken: list[str]) -> None:
        self._turns = turns
        self._name = name
        self._taken = taken
        self.is_open = True

    def take_turn(self) -> bool:
        """Record the turn, and wait for the next."""
        if not self.is_open:
            return False
        self._taken.append(self._name)
        self._turns.wait(self)
        return True


# Guards against one connection that is read more often than others, or never again
# after one that waited before it has closed.
def test_connections_are_read_in_turn():
    async def scenario() -> list[str]:
        taken: list[str] = []
        turns = ChunkTurns()
        readers = [Reader(turns, name, taken) for name in "abc"]
        for reader in readers:
            turns.wait(reader)
        await asyncio.sleep(0.1)
        readers[0].is_open = False
        await asyncio.sleep(0.1)
        for reader in readers:
            reader.is_open = False
        await asyncio.sleep(0.05)
        return taken

    taken = asyncio.run(scenario())
    assert taken[:6] == list("abcabc")
    assert taken[-4:] in (list("bcbc"), list("cbcb"))
    assert abs(taken.count("b") - taken.count("c")) <= 1


# Guards against a crowd whose bodies come in chunks of one byte: the process answered
# nobody for ten seconds and more. A single such body is still served.
def test_others_are_served_beside_bodies_of_one_byte_chunks(tmp_path):
    head = make_head(HOST, "/u/x", "Transfer-Encoding: chunked", "")
    crowd = partial(send_small_chunks, head, 1, CHUNKS)

    async def scenario(site: ProcessSite) -> None:
        vm = site.vms[0]
        route = {
            "host": HOST,
            "timeoutMs": 15_000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "pool",
            "public": True,
        }
        routes = [
            {**route, "name": "r1", "prefix": "/u/", "kind": "unsafe"},
            {**route, "name": "r2", "prefix": "/r/", "kind": "safe"},
        ]
        limits = {"headerBytes": 16_384, "bodyBytes": 4_194_304}
        site.store.put("op/config", make_config(2, routes=routes, limits=limits))
        await site.wait_for_config(2, CONFIG_S)
        address = vm.caller_url.removeprefix("http://")
        served: list[bool] = []

        async def ask(number: int) -> None:
            began_s = time.monotonic()
            try:
                async with asyncio.timeout(DEADLINE_S):
                    status = (await site.call(vm, "/r/x", f"o-{number}"))[0]
            except TimeoutError:
                status = 0
            print("status, s:", status, time.monotonic() - began_s)
            served.append(status == 200)

        async with connect_clients(address, CLIENTS, crowd):
            calls = []
            for number in range(round(PRESS_S / PAUSE_S)):
                calls.append(asyncio.create_task(ask(number)))
                await asyncio.sleep(PAUSE_S)
            await asyncio.gather(*calls)
        assert sum(served) > SERVED_SHARE * len(served)
        await asyncio.sleep(1.0)
        assert await send_alone(vm.caller_url) == 200

    run_processes(scenario, answer, tmp_path, runners=2, vms=1)


async def send_alone(url: str) -> int:
    """Send a body in one-byte chunks; return the status of its answer."""
    host, _, port = url.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = (
            f"POST /u/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: alone\r\n"
            f"Authorization: {AUTHORIZATION}\r\nDeadline-Remaining: 14000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for _ in range(ALONE_BYTES // 1_000):
            writer.write(b"1\r\nx\r\n" * 1_000)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        async with asyncio.timeout(20):
            return int((await reader.readline()).split()[1])
    finally:
        writer.close()
