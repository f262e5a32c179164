"""Clients outside the limits do not end a VM's process of the platform's interface."""

import asyncio
import signal
from functools import partial

import aiohttp
import pytest

from fakes.runner import make_response
from plantainwood.edgesettings import EdgeSettings
from tests.edgesite import AUTHORIZATION, HOST, make_config
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
from tests.processsite import ProcessSite, run_processes
from tests.test_body_memory import read_peak_mb

MEMORY_MB = 128
"""The memory of the smallest VM: what the process may have resident at most."""
DESCRIPTORS = 400
BODY_BYTES = 4_194_304
TRIES = 30
WAIT_S = 20
CONFIG_S = 1.0
CONFIG_VERSION = 2
ORDINARY_BYTES = 100_000
REFUSED_CLIENTS = 150
REFUSALS_S = 8.0
"""Long enough for some ten rounds of refusals, as many as review/8 has."""
ANSWER_BYTES = 1_000_000
LONG_EVENT = b"data: %s\n\n" % (b"x" * 9_000)
LONG_EVENTS = 1_500
SLOTS = 32
"""What the runners of the pool have together."""
CHUNKED = "Transfer-Encoding: chunked"
FAR_TOO_LONG = "Content-Length: 400000000"


def make_kinds(key: str) -> dict:
    """Return by name how many clients there are and what each sends."""
    chunked = make_head(HOST, "/u/x", CHUNKED, key)
    announced = make_head(HOST, "/u/x", FAR_TOO_LONG, key)
    allowed = make_head(HOST, "/u/x", "Content-Length: 4000000", key)
    small = make_head(HOST, "/u/x", "Content-Length: 60000", key)
    middle = make_head(HOST, "/u/x", "Content-Length: 1000000", key)
    stalled = make_head(HOST, "/u/stall", "", key, "GET")
    padding = "X-Padding: " + "x" * 12_000
    padded = make_head(HOST, "/u/stall", padding, key, "GET")
    large = make_head(HOST, "/u/large", "", key, "GET")
    stream = make_head(HOST, "/s/large", "", key, "GET")
    extension = b";" + b"e" * 4_000
    short = BODY_BYTES - 1_024
    return {
        "stalled": (100, partial(send_chunks, chunked, 16_384, short)),
        "stalled-large-chunks": (60, partial(send_chunks, chunked, 1_000_000, short)),
        "stalled-small-chunks": (100, partial(send_small_chunks, chunked, 2, 64_000)),
        "one-byte-chunks": (40, partial(send_small_chunks, chunked, 1, short)),
        "stalled-length": (100, partial(send_plain, allowed, 3_900_000)),
        "stalled-middle": (60, partial(send_plain, middle, 990_000)),
        "stalled-small": (300, partial(send_plain, small, 59_000)),
        "announced": (60, partial(send_plain, announced, 8_000_000)),
        "endless": (60, partial(send_chunks, chunked, 65_536, 8_000_000)),
        "slow": (60, partial(send_slowly, chunked, frame(b"x"))),
        "extensions": (
            60,
            partial(send_without_end, chunked + b"1" + extension, extension),
        ),
        "extension-each": (
            60,
            partial(send_without_end, chunked, frame(b"x", extension)),
        ),
        "trailers": (60, partial(send_trailers, chunked)),
        "head": (60, partial(send_without_end, stalled[:-2], b"X-A: " + b"x" * 1_000)),
        "short-heads": (300, partial(send_once, stalled[:-2])),
        "many-headers": (60, partial(send_without_end, stalled[:-2], b"a:b\r\n" * 100)),
        "silent": (600, partial(send_once, b"")),
        "pipelined": (100, partial(send_once, stalled + padded * 100)),
        "pipelined-body": (60, partial(send_once, small + padded * 100)),
        "unread": (100, partial(send_once, large * 4)),
        "unread-stream": (100, partial(send_once, stream)),
    }


CASES = [(kind, "") for kind in make_kinds("")]
for kind in ("stalled", "stalled-small", "pipelined"):
    CASES.append((kind, AUTHORIZATION))
KINDS_WITHOUT_STORE = [
    "stalled",
    "stalled-length",
    "stalled-small",
    "one-byte-chunks",
    "announced",
    "endless",
    "short-heads",
    "silent",
    "pipelined",
    "unread",
]
KINDS_BEFORE_THE_LARGEST = [
    "stalled",
    "stalled-middle",
    "stalled-small",
    "stalled-small-chunks",
    "pipelined-body",
    "unread",
]


async def answer_at_length(request, writer) -> None:
    """Answer with a stream that no buffer holds, as far as it is read."""
    length = len(LONG_EVENT) * LONG_EVENTS
    head = make_response(request, b"")
    writer.write(head.replace(b"Content-Length: 0", b"Content-Length: %d" % length))
    for _ in range(LONG_EVENTS):
        writer.write(LONG_EVENT)
        await writer.drain()


async def answer(request, writer) -> None:
    """Answer with the size of the body; with much, or not at all, if asked to."""
    if b"/s/long" in request.line:
        await answer_at_length(request, writer)
        return
    if b"stall" in request.line:
        await asyncio.sleep(30)
    body = b"%d" % len(request.body)
    if b"large" in request.line:
        body = b"x" * ANSWER_BYTES
    if b"/s/" in request.line:
        body = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * 900) for n in range(1_000))
    writer.write(make_response(request, body))


async def configure(site: ProcessSite) -> None:
    """Write the limits and routes that the clients meet to the store.

    What stalls has a pool of its own, so that the others' has room for ordinary work.
    """
    await site.add_runner(answer, service="slow", slots=200)
    route = {
        "host": HOST,
        "timeoutMs": 12_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "pool",
        "public": True,
    }
    slow = {**route, "service": "slow"}
    routes = [
        {**slow, "name": "r0", "prefix": "/u/stall", "kind": "unsafe"},
        {**route, "name": "r1", "prefix": "/s/", "kind": "stream"},
        {**route, "name": "r2", "prefix": "/u/", "kind": "unsafe"},
        {**route, "name": "r3", "prefix": "/k/", "kind": "unsafe", "public": False},
    ]
    limits = {
        "headerBytes": 16_384,
        "bodyBytes": BODY_BYTES,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    }
    services = [{"name": "pool"}, {"name": "slow"}]
    changes = {"routes": routes, "limits": limits, "services": services}
    site.store.put("op/config", make_config(CONFIG_VERSION, **changes))


def state_machine() -> str:
    """Return the settings that state the machine's memory and descriptors."""
    if "memory_mb" not in EdgeSettings.__struct_fields__:
        return ""
    return f"memory_mb: {MEMORY_MB}\nfile_descriptors: {DESCRIPTORS}\n"


async def send_ordinary(url: str, method: str = "POST") -> int:
    """Send an ordinary request until it is answered; return the last status."""
    headers = {"Host": HOST, "Request-Id": "ordinary", "Deadline-Remaining": "9000"}
    headers["Authorization"] = AUTHORIZATION
    status = 0
    for _ in range(TRIES):
        body = b"x" * ORDINARY_BYTES if method == "POST" else None
        try:
            async with aiohttp.request(
                method, url, data=body, headers=headers
            ) as response:
                await response.read()
                status = response.status
        except aiohttp.ClientError:
            status = 0
        if status == 200:
            break
        await asyncio.sleep(0.3)
    return status


def check_process(vm) -> None:
    """Fail unless the process lives within its memory and descriptors."""
    assert vm.process.returncode is None
    figures = read_memory_mb(vm.process.pid), count_descriptors(vm.process.pid)
    print("memory_mb, descriptors:", figures)
    assert figures[0] < MEMORY_MB and figures[1] < DESCRIPTORS


def run_vm(scenario, folder) -> None:
    """Run a scenario on one VM that has the limits."""

    async def configured(site: ProcessSite) -> None:
        await configure(site)
        await site.wait_for_config(CONFIG_VERSION, CONFIG_S)
        await scenario(site, site.vms[0])

    run_processes(configured, answer, folder, 4, 1, more_settings=state_machine())


# Guards against a process that is ended for its memory or runs out of descriptors, and
# against clients that keep everyone else from being served.
@pytest.mark.parametrize(("kind", "key"), CASES)
def test_the_process_stays_within_its_machine_and_serves_others(tmp_path, kind, key):
    count, make = make_kinds(key)[kind]

    async def scenario(site: ProcessSite, vm) -> None:
        address = vm.caller_url.removeprefix("http://")
        async with connect_clients(address, count, make):
            check_process(vm)
            assert await send_ordinary(vm.caller_url + "/u/x") == 200
            check_process(vm)

    run_vm(scenario, tmp_path)


# Guards against a crowd that is measured before the first of its bodies are refused:
# what refused ones held stayed in memory, so that the process grew with each refusal.
@pytest.mark.parametrize("kind", ["stalled", "stalled-large-chunks", "stalled-length"])
def test_the_process_stays_within_its_machine_while_bodies_are_refused(tmp_path, kind):
    _, make = make_kinds("")[kind]

    async def scenario(site: ProcessSite, vm) -> None:
        address = vm.caller_url.removeprefix("http://")
        async with connect_clients(address, REFUSED_CLIENTS, make):
            await asyncio.sleep(REFUSALS_S)
            assert await send_ordinary(vm.caller_url + "/u/x") == 200
        assert vm.process.returncode is None
        assert vm.list_events("clients_refused")
        print("peak_mb:", read_peak_mb(vm))
        assert read_peak_mb(vm) < MEMORY_MB

    run_vm(scenario, tmp_path)


# Guards against clients that hold all slots of the upstreams and do not read: an
# ordinary request waited for them until its time was over (9 s here), and got 503.
def test_a_request_waits_for_no_clients_that_hold_all_slots_and_do_not_read(tmp_path):
    stream = make_head(HOST, "/s/long", "", "", "GET")

    async def scenario(site: ProcessSite, vm) -> None:
        address = vm.caller_url.removeprefix("http://")
        async with connect_clients(address, SLOTS + 8, partial(send_once, stream)):
            headers = {"Host": HOST, "Request-Id": "o", "Deadline-Remaining": "9000"}
            async with site.session.post(
                vm.caller_url + "/u/x", data=b"x", headers=headers
            ) as response:
                assert response.status == 200, await response.text()

    run_vm(scenario, tmp_path)


# Guards against the addresses beside the callers': anyone who reaches them can hold
# memory and descriptors of the same process.
@pytest.mark.parametrize("kind", ["stalled", "announced", "silent", "head"])
@pytest.mark.parametrize("port", [1, 2, 4, 5], ids=["ready", "list", "metrics", "call"])
def test_the_other_addresses_are_bounded_too(tmp_path, port, kind):
    count, make = make_kinds("")[kind]
    if port == 5:
        make = partial(_replace_path, make)

    async def scenario(site: ProcessSite, vm) -> None:
        async with connect_clients(f"127.0.0.1:{vm.ports[port]}", count, make):
            check_process(vm)
            assert await send_ordinary(vm.caller_url + "/u/x") == 200
            check_process(vm)
        ready = f"http://127.0.0.1:{vm.ports[1]}/plantainwood/ready"
        assert await send_ordinary(ready, "GET") == 200

    run_vm(scenario, tmp_path)


def _replace_path(make):
    for piece in make():
        yield piece.replace(b"/u/x", b"/calls").replace(b"/u/stall", b"/calls")


# Guards against a planned stop that waits for clients that never finish.
def test_a_planned_stop_ends_with_such_clients_connected(tmp_path):
    count, make = make_kinds("")["stalled"]

    async def scenario(site: ProcessSite, vm) -> None:
        address = vm.caller_url.removeprefix("http://")
        async with connect_clients(address, count, make):
            vm.signal(signal.SIGTERM)
            assert await vm.process.wait() == 0

    run_vm(scenario, tmp_path)


# Guards against requests that pile up while nobody can be matched to a route.
@pytest.mark.parametrize("kind", KINDS_WITHOUT_STORE)
def test_the_loss_of_the_store_changes_nothing(tmp_path, kind):
    count, make = make_kinds("")[kind]

    async def scenario(site: ProcessSite, vm) -> None:
        site.store.faults.down = True
        address = vm.caller_url.removeprefix("http://")
        async with connect_clients(address, count, make):
            assert await send_ordinary(vm.caller_url + "/u/x") == 200
            check_process(vm)

    run_vm(scenario, tmp_path)


# Guards against clients that a VM serves before it has read the store: their requests
# match no route, and the configured limits are not known.
@pytest.mark.parametrize("kind", KINDS_WITHOUT_STORE)
def test_a_vm_starts_with_such_clients_connected(tmp_path, kind):
    count, make = make_kinds("")[kind]

    async def scenario(site: ProcessSite, vm) -> None:
        await vm.kill()
        site.store.faults.down = True
        starting = asyncio.create_task(vm.start())
        address = vm.caller_url.removeprefix("http://")
        await wait_until_listening(address)
        async with connect_clients(address, count, make):
            check_process(vm)
            site.store.faults.down = False
            await starting
            assert await send_ordinary(vm.caller_url + "/u/x") == 200
            check_process(vm)

    run_vm(scenario, tmp_path)


# Guards against bounds that a client inside the limits meets: the largest bodies, with
# a length and in chunks, and a connection idle for most of the allowed time.
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_the_largest_body_is_served(tmp_path, is_chunked):
    async def send_pieces():
        for _ in range(BODY_BYTES // 65_536):
            yield b"x" * 65_536

    async def scenario(site: ProcessSite, vm) -> None:
        headers = {"Host": HOST, "Request-Id": "o", "Deadline-Remaining": "9000"}
        for _ in range(3):
            body = send_pieces() if is_chunked else b"x" * BODY_BYTES
            async with site.session.post(
                vm.caller_url + "/u/x", data=body, headers=headers
            ) as response:
                assert response.status == 200
                assert await response.read() == b"%d" % BODY_BYTES
        check_process(vm)

    run_vm(scenario, tmp_path)


async def send_largest(site: ProcessSite, vm) -> int:
    """Send the largest body in chunks, once; return the status, 0 if there is none."""

    async def send_pieces():
        for _ in range(BODY_BYTES // 65_536):
            yield b"x" * 65_536

    headers = {"Host": HOST, "Request-Id": "largest", "Deadline-Remaining": "9000"}
    try:
        async with site.session.post(
            vm.caller_url + "/u/x", data=send_pieces(), headers=headers
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


async def wait_until_gone(vm, descriptors: int) -> None:
    """Wait until the process has seen that the clients have gone."""
    async with asyncio.timeout(WAIT_S):
        while count_descriptors(vm.process.pid) > descriptors + 8:
            await asyncio.sleep(0.1)


# Guards against room that is not given back when clients go, and against a large body
# in chunks that waits for good behind smaller ones. While the clients are there it may
# be rejected; once they have gone, the first attempt is served.
@pytest.mark.parametrize("kind", KINDS_BEFORE_THE_LARGEST)
def test_a_large_body_is_served_once_such_clients_have_gone(tmp_path, kind):
    count, make = make_kinds("")[kind]

    async def scenario(site: ProcessSite, vm) -> None:
        descriptors = count_descriptors(vm.process.pid)
        address = vm.caller_url.removeprefix("http://")
        async with connect_clients(address, count, make):
            sending = asyncio.create_task(send_largest(site, vm))
            await asyncio.sleep(0.3)
        assert await sending in (0, 200, 408, 429, 503)
        await wait_until_gone(vm, descriptors)
        assert await send_largest(site, vm) == 200
        check_process(vm)

    run_vm(scenario, tmp_path)


def test_a_connection_idle_for_most_of_the_allowed_time_is_kept(tmp_path):
    async def scenario(site: ProcessSite, vm) -> None:
        host, _, port = vm.caller_url.removeprefix("http://").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(2):
            writer.write(make_head(HOST, "/u/x", "", "", "GET"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head
            await reader.readexactly(1)
            await asyncio.sleep(12)
        assert not reader.at_eof()
        writer.close()

    run_vm(scenario, tmp_path)
