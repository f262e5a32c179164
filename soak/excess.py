"""Clients of the soak that exceed the limits: none of their requests is complete."""

import asyncio
import random
from functools import partial

from tests.edgesite import HOST
from tests.excessclients import (
    connect_clients,
    make_head,
    read_memory_mb,
    send_chunks,
    send_once,
    send_plain,
)
from tests.processsite import ProcessSite

MEMORY_MB = 128
MACHINE = f"memory_mb: {MEMORY_MB}\nfile_descriptors: 400\n"
"""Settings of each VM, so that a few such clients are many."""
HELD_S = (0.0, 2.0)
AT_ONCE = (5, 30)
TLS_HELLO = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"x" * 500
LINK_FRAME = b"\0SP\0\0\x50\0\0" + (8_388_608).to_bytes(8)
"""The beginning of a frame of the largest size on the links' address."""
CALLERS_PORT = 0
LINKS_PORT = 3


class ExcessClients:
    """Groups of such clients at VMs drawn by a seed, one group after the other."""

    def __init__(self, site: ProcessSite, source: random.Random, keys: list[str]):
        self._site = site
        self._source = source
        self._keys = keys

    async def run(self, stop: asyncio.Event) -> None:
        """Connect one group after the other until told to stop."""
        while not stop.is_set():
            vm = self._source.choice(self._site.vms)
            port, make = self._choose_kind()
            address = f"127.0.0.1:{vm.ports[port]}"
            async with connect_clients(address, self._source.randint(*AT_ONCE), make):
                await asyncio.sleep(self._source.uniform(*HELD_S))

    def _choose_kind(self):
        """Return the number of the port, and what each client of a group sends."""
        key = self._source.choice(["", f"Token {self._source.choice(self._keys)}"])
        make = partial(make_head, HOST, "/u/x")
        chunked = make("Transfer-Encoding: chunked", key)
        announced = make("Content-Length: 400000000", key)
        allowed = make("Content-Length: 60000", key)
        kinds = [
            (CALLERS_PORT, partial(send_chunks, chunked, 16_384, 1_000_000)),
            (CALLERS_PORT, partial(send_plain, announced, 1_000_000)),
            (CALLERS_PORT, partial(send_plain, allowed, 59_000)),
            (CALLERS_PORT, partial(send_once, chunked[:-2])),
            (CALLERS_PORT, partial(send_once, TLS_HELLO)),
            (LINKS_PORT, partial(send_plain, LINK_FRAME, 1_000_000)),
            (LINKS_PORT, partial(send_once, b"")),
        ]
        return self._source.choice(kinds)


def list_large(site: ProcessSite) -> list[str]:
    """Return the VMs whose process has had more memory than its machine."""
    found: list[str] = []
    for vm in site.vms:
        if vm.process.returncode is not None:
            continue
        memory_mb = read_memory_mb(vm.process.pid)
        if memory_mb >= MEMORY_MB:
            found.append(f"MEMORY: {vm.name}, {memory_mb:.0f} MB")
    return found
