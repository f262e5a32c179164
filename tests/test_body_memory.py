"""Large bodies that come at once are served within the memory of a small VM."""

import asyncio
import gc
import re
import tracemalloc
from pathlib import Path

import pytest

from fakes.runner import make_response
from plantainwood.bodyroom import (
    FREE_BYTES,
    MAX_BODY_BYTES,
    BodyReservation,
    BodyRoom,
)
from plantainwood.core.errors import ErrorCode
from tests.edgesite import AUTHORIZATION, HOST, make_config, run
from tests.processsite import ProcessSite, run_processes

BODY_BYTES = 4_194_304
BODIES = 30
WORK_S = 0.3
CONFIG_S = 1.0
MAX_MEMORY_MB = 150
"""The memory of the users' smallest VM."""


async def answer(request, writer) -> None:
    """Answer after some work with the size of the body."""
    await asyncio.sleep(WORK_S)
    writer.write(make_response(request, b"%d" % len(request.body)))


def read_peak_mb(vm) -> float:
    """Return the most memory that a VM's process has had resident."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) / 1_024


async def send_chunks(size: int):
    """Yield a body in chunks, so that its length is not known beforehand."""
    for _ in range(size // 65_536):
        yield b"x" * 65_536


# Guards against a process that is ended for its memory, with all its requests, when
# callers send large bodies at the same time (LOST).
def test_large_bodies_at_once_stay_within_the_memory_of_a_vm(tmp_path):
    async def scenario(site: ProcessSite) -> None:
        vm = site.vms[0]
        route = {
            "host": HOST,
            "timeoutMs": 30_000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "pool",
            "public": True,
        }
        routes = [{**route, "name": "r2", "prefix": "/u/", "kind": "unsafe"}]
        limits = {"headerBytes": 16_384, "bodyBytes": BODY_BYTES}
        site.store.put("op/config", make_config(2, routes=routes, limits=limits))
        await site.wait_for_config(2, CONFIG_S)

        async def send(number: int) -> tuple[int, bytes]:
            headers = {"Host": HOST, "Request-Id": f"b-{number}"}
            headers["Deadline-Remaining"] = "30000"
            body = b"x" * BODY_BYTES if number % 2 else send_chunks(BODY_BYTES)
            async with site.session.post(
                vm.caller_url + "/u/x", data=body, headers=headers
            ) as response:
                return response.status, await response.read()

        answers = await asyncio.gather(*(send(number) for number in range(BODIES)))
        assert read_peak_mb(vm) < MAX_MEMORY_MB
        assert set(answers) == {(200, b"%d" % BODY_BYTES)}

    run_processes(scenario, answer, tmp_path, runners=4, vms=1)


# Guards against room that is lost with a caller who leaves while a body waits for it.
def test_a_caller_that_leaves_gives_its_room_to_the_next():
    async def scenario() -> None:
        room = BodyRoom()

        async def hold(size: int, entered: asyncio.Event, leave: asyncio.Event) -> None:
            with BodyReservation(room) as reservation:
                await reservation.reserve(size)
                entered.set()
                await leave.wait()

        events = [asyncio.Event() for _ in range(4)]
        leave = asyncio.Event()
        first = asyncio.create_task(hold(MAX_BODY_BYTES, events[0], leave))
        await events[0].wait()
        waiting = asyncio.create_task(hold(MAX_BODY_BYTES, events[1], leave))
        last = asyncio.create_task(hold(BODY_BYTES, events[2], leave))
        small = asyncio.create_task(hold(FREE_BYTES, events[3], leave))
        await events[3].wait()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert not events[2].is_set()
        first.cancel()
        await asyncio.wait_for(events[2].wait(), 1)
        leave.set()
        await asyncio.gather(last, small)
        await asyncio.wait_for(room.take(MAX_BODY_BYTES), 1)

    asyncio.run(scenario())


# Guards against room that is lost for good with a client that leaves in the turn of the
# event loop in which it was granted: machines then refused each body in chunks.
@pytest.mark.parametrize("turns", range(6))
@pytest.mark.parametrize("leaves", ["cancelled", "released", "released and cancelled"])
@pytest.mark.parametrize("waits", [False, True])
def test_no_room_is_lost_whenever_a_client_leaves(waits, leaves, turns):
    async def scenario() -> None:
        room = BodyRoom()
        if waits:
            await room.take(MAX_BODY_BYTES)
        reservation = BodyReservation(room)

        async def hold() -> None:
            with reservation:
                await reservation.reserve(BODY_BYTES)
                await asyncio.sleep(3_600)

        task = asyncio.create_task(hold())
        if waits:
            await asyncio.sleep(0.01)
            room.give_back(MAX_BODY_BYTES)
        for _ in range(turns):
            await asyncio.sleep(0)
        if "released" in leaves:
            reservation.release()
        if "cancelled" in leaves:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.01)
        assert room.held_bytes == 0
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert room.held_bytes == 0
        await asyncio.wait_for(room.take(MAX_BODY_BYTES), 1)

    asyncio.run(scenario())


REFUSED = 20
REFUSED_BYTES = 500_000
MAX_LEFT_BYTES = 1_000_000
"""A tenth of what the refused bodies held."""


async def send_part(site, ending: str) -> asyncio.StreamWriter:
    """Send a chunked body without its end, or with one that is malformed."""
    host, port = site.base_url.removeprefix("http://").split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"POST /u/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: p-1\r\n"
        f"Authorization: {AUTHORIZATION}\r\nDeadline-Remaining: 9000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    for _ in range(REFUSED_BYTES // 10_000):
        writer.write(b"2710\r\n" + b"x" * 10_000 + b"\r\n")
        await writer.drain()
    if ending == "malformed":
        writer.write(b"no size\r\n")
    if ending == "too large":
        writer.write(b"100000\r\n" + b"x" * 1_048_576 + b"\r\n")
    return writer


# Guards against bodies that are refused while they come and stay in memory until a
# garbage collection: 300 clients took a process over its memory.
@pytest.mark.parametrize("ending", ["refused", "malformed", "too large", "left"])
def test_a_body_that_is_not_served_leaves_nothing_in_memory(ending):
    async def scenario(site):
        limits = {"headerBytes": 16_384, "bodyBytes": 1_048_576}
        site.store.put("op/config", make_config(2, limits=limits))
        edge = site.daemon.edge
        await site.wait_until(lambda: edge.view.limits.body_bytes == 1_048_576)
        guard = edge.client_guard
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            sending = [send_part(site, ending) for _ in range(REFUSED)]
            writers = await asyncio.gather(*sending)
            await asyncio.sleep(0.3)
            if ending == "refused":
                held = tracemalloc.get_traced_memory()[0] - before
                assert held > REFUSED * REFUSED_BYTES // 2
                for connection in list(guard._connections):
                    guard._refuse_body(connection, "stalled", ErrorCode.BODY_TIMEOUT)
            await asyncio.sleep(0.3)
            for writer in writers:
                writer.transport.abort()
            await asyncio.sleep(1.5)
            left = tracemalloc.get_traced_memory()[0] - before
        finally:
            tracemalloc.stop()
            gc.enable()
        assert left < MAX_LEFT_BYTES
        assert guard.body_room.held_bytes == 0

    run(scenario)
