"""Peers that are not of the fleet, on the address for links between VMs."""

import asyncio
import struct
from functools import partial

import aiohttp
import pytest

from tests.excessclients import (
    MAX_SENT_BYTES,
    connect_clients,
    send_once,
    send_without_end,
)
from tests.processsite import ProcessSite, VmProcess, run_processes
from tests.test_client_limits import (
    answer,
    check_process,
    configure,
    send_ordinary,
    state_machine,
)

HELLO = b"\0SP\0" + struct.pack(">HH", 0x50, 0)
"""What a push socket sends first."""
MAX_FRAME_BYTES = 8_388_608
MAX_DROPPED_EVENTS = 100
WAIT_S = 25


def announce(size: int) -> bytes:
    """Return the head of a frame of that many bytes."""
    return struct.pack(">Q", size)


def send_part(size: int, total: int):
    """Yield the beginning of a frame."""
    yield HELLO + announce(size)
    for _ in range(total // 16_384):
        yield b"x" * 16_384


SHORT = announce(20) + b"x" * 20
FORGED = announce(20) + b"\x01" + b"x" * 19
KINDS = {
    "silent": (600, partial(send_once, b"")),
    "half-hello": (600, partial(send_once, HELLO[:4])),
    "hello": (600, partial(send_once, HELLO)),
    "announced": (300, partial(send_once, HELLO + announce(MAX_FRAME_BYTES))),
    "announced-far": (300, partial(send_once, HELLO + announce(1 << 62))),
    "half-frame": (300, partial(send_part, 60_000, 59_000)),
    "half-largest": (
        30,
        partial(send_part, MAX_FRAME_BYTES, MAX_SENT_BYTES - 100_000),
    ),
    "short-frames": (60, partial(send_without_end, HELLO + SHORT, SHORT * 100)),
    "forged-frames": (60, partial(send_without_end, HELLO + FORGED, FORGED * 100)),
    "not-hello": (300, partial(send_once, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")),
}


async def read_directory(vm: VmProcess) -> str:
    """Return the directory of a VM, empty if it does not answer."""
    url = f"http://127.0.0.1:{vm.ports[2]}/plantainwood/resolve"
    try:
        async with aiohttp.request("GET", url) as response:
            return await response.text()
    except aiohttp.ClientError:
        return ""


async def wait_until_named(at: VmProcess, vm: VmProcess, named: bool) -> None:
    """Wait until the directory of a VM names another one, or no longer does."""
    address = vm.caller_url.removeprefix("http://")
    async with asyncio.timeout(WAIT_S):
        while True:
            text = await read_directory(at)
            if text and (address in text) == named:
                return
            await asyncio.sleep(0.1)


# Guards against strangers on the links' address that end the process for its memory,
# use up its descriptors, fill its log, or keep a VM of the fleet from being heard.
@pytest.mark.parametrize("kind", KINDS)
def test_strangers_hold_little_and_the_fleet_is_heard(tmp_path, kind):
    count, make = KINDS[kind]

    async def scenario(site: ProcessSite) -> None:
        await configure(site)
        first, second = site.vms
        await wait_until_named(first, second, True)
        await second.kill()
        await wait_until_named(first, second, False)
        address = f"127.0.0.1:{first.ports[3]}"
        async with connect_clients(address, count, make):
            check_process(first)
            assert await send_ordinary(first.caller_url + "/u/x") == 200
            await second.start()
            await wait_until_named(first, second, True)
            await wait_until_named(second, first, True)
            check_process(first)
        assert len(first.list_events("frame_dropped")) < MAX_DROPPED_EVENTS

    run_processes(scenario, answer, tmp_path, 4, 2, more_settings=state_machine())
