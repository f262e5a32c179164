"""Clients outside the limits do not end a daemon of the product's own interface."""

import asyncio
import signal
from functools import partial

import pytest

from plantainwood.settings import Settings
from standins.fleet import Fleet
from tests.calls import send_booking
from tests.excessclients import (
    connect_clients,
    count_descriptors,
    frame,
    make_head,
    read_memory_mb,
    send_chunks,
    send_once,
    send_plain,
    send_slowly,
    send_small_chunks,
    send_trailers,
    send_without_end,
    wait_until_listening,
)
from tests.test_link_strangers import KINDS as STRANGERS

MEMORY_MB = 128
"""The memory of the VM as its settings state it."""
DESCRIPTORS = 400
BODY_BYTES = 1_048_576
WAIT_S = 20
KINDS_WITHOUT_STORE = ["stalled", "stalled-small", "announced", "silent", "unread"]
CHUNKED = "Transfer-Encoding: chunked"
HOST = "node.example"
PATH = "/services/booking/excess"


def make_kinds(key: str) -> dict:
    """Return by name how many clients there are and what each sends."""
    chunked = make_head(HOST, PATH, CHUNKED, key)
    announced = make_head(HOST, PATH, "Content-Length: 400000000", key)
    small = make_head(HOST, PATH, "Content-Length: 60000", key)
    padded = make_head(HOST, PATH, "X-Padding: " + "x" * 12_000, key, "GET")
    health = make_head(HOST, "/healthz", "", "", "GET")
    extension = b";" + b"e" * 4_000
    short = BODY_BYTES - 1_024
    return {
        "stalled": (250, partial(send_chunks, chunked, 16_384, short)),
        "stalled-small-chunks": (150, partial(send_small_chunks, chunked, 2, 64_000)),
        "stalled-small": (250, partial(send_plain, small, 59_000)),
        "announced": (60, partial(send_plain, announced, 8_000_000)),
        "endless": (60, partial(send_chunks, chunked, 65_536, 8_000_000)),
        "slow": (60, partial(send_slowly, chunked, frame(b"x"))),
        "extensions": (
            60,
            partial(send_without_end, chunked + b"1" + extension, extension),
        ),
        "trailers": (60, partial(send_trailers, chunked)),
        "head": (60, partial(send_without_end, health[:-2], b"X-A: " + b"x" * 1_000)),
        "short-heads": (300, partial(send_once, health[:-2])),
        "silent": (600, partial(send_once, b"")),
        "pipelined-body": (100, partial(send_once, small + padded * 100)),
        "unread": (60, partial(send_without_end, health, health * 100)),
    }


CASES = [(kind, False) for kind in make_kinds("")] + [("stalled", True)]


def make_fleet() -> Fleet:
    """Return a fleet of one daemon whose settings state its machine."""
    callers = {"idle_timeout_ms": 15_000}
    if "machine" not in Settings.__struct_fields__:
        return Fleet(1, 1, callers=callers)
    machine = {"memory_mb": MEMORY_MB, "file_descriptors": DESCRIPTORS}
    return Fleet(1, 1, callers=callers, machine=machine)


def check_process(fleet: Fleet) -> None:
    """Fail unless the daemon lives within its memory and descriptors."""
    process = fleet.processes["vm-1"]
    assert process.poll() is None
    figures = read_memory_mb(process.pid), count_descriptors(process.pid)
    print("memory_mb, descriptors:", figures)
    assert figures[0] < MEMORY_MB and figures[1] < DESCRIPTORS


async def send_ordinary(fleet: Fleet, key: str) -> int:
    """Send an ordinary request until it is answered; return the last status."""
    status = 0
    for number in range(10):
        try:
            response = await asyncio.to_thread(
                send_booking, fleet, key, f"ordinary {number}"
            )
            status = response.status
        except OSError:
            status = 0
        if status == 200:
            break
        await asyncio.sleep(0.3)
    return status


def run_case(role: str, kind: str, with_key: bool) -> None:
    """Start a daemon, connect the clients, and check the daemon."""
    fleet = make_fleet()
    try:
        fleet.start()
        fleet.load_catalogue()
        key = fleet.grant()[0]
        kinds = make_kinds(f"Bearer {key}" if with_key else "")
        count, make = (STRANGERS if role == "links" else kinds)[kind]

        async def scenario() -> None:
            address = fleet.url(f"vm-1/{role}").removeprefix("http://")
            async with connect_clients(address, count, make):
                check_process(fleet)
                assert await send_ordinary(fleet, key) == 200
                check_process(fleet)

        asyncio.run(scenario())
    finally:
        fleet.stop()


# Guards against a daemon that is ended for its memory or runs out of descriptors, and
# against clients that keep everyone else from being served.
@pytest.mark.parametrize(("kind", "with_key"), CASES)
def test_the_daemon_stays_within_its_machine_and_serves_others(kind, with_key):
    run_case("callers", kind, with_key)


# Guards against the administration address: anyone who reaches it can hold memory and
# descriptors of the same process.
@pytest.mark.parametrize("kind", ["stalled", "announced", "silent", "head"])
def test_the_administration_address_is_bounded_too(kind):
    run_case("admin", kind, False)


# Guards against strangers on the links' address that hold memory or descriptors.
@pytest.mark.parametrize("kind", ["silent", "hello", "half-largest"])
def test_the_links_address_is_bounded_too(kind):
    run_case("links", kind, False)


# Guards against clients whose requests a daemon reads before it has read the store.
@pytest.mark.parametrize("kind", KINDS_WITHOUT_STORE)
def test_the_daemon_starts_with_such_clients_connected(kind):
    fleet = make_fleet()
    try:
        fleet.start()
        fleet.load_catalogue()
        key = fleet.grant()[0]
        fleet.kill("vm-1")
        fleet.processes["vm-1"].wait(WAIT_S)
        fleet.kill("keyvalue", signal.SIGSTOP)
        fleet.start_node("vm-1")
        asyncio.run(check_with_store_back(fleet, key, kind))
    finally:
        fleet.stop()


# Guards against requests that pile up while the store is away.
@pytest.mark.parametrize("kind", KINDS_WITHOUT_STORE)
def test_the_loss_of_the_store_changes_nothing(kind):
    fleet = make_fleet()
    try:
        fleet.start()
        fleet.load_catalogue()
        key = fleet.grant()[0]
        fleet.kill("keyvalue", signal.SIGSTOP)
        asyncio.run(check_with_store_back(fleet, key, kind))
    finally:
        fleet.stop()


async def check_with_store_back(fleet: Fleet, key: str, kind: str) -> None:
    """Connect clients, let the store go on, and check the daemon."""
    address = fleet.url("vm-1/callers").removeprefix("http://")
    await wait_until_listening(address)
    count, make = make_kinds("")[kind]
    async with connect_clients(address, count, make):
        check_process(fleet)
        fleet.kill("keyvalue", signal.SIGCONT)
        assert await send_ordinary(fleet, key) == 200
        check_process(fleet)
