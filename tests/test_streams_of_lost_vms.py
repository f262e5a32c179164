"""Streams that one VM served for another go on after the loss of either, or of both."""

import asyncio
import signal

import aiohttp
import pytest

from fakes.runner import make_response
from tests.edgesite import AUTHORIZATION, HOST, make_config, make_entry
from tests.processsite import ProcessSite, run_processes

STREAMS = 12
EVENTS = 70
EVENT_S = 0.1
WARMING = 36
CONFIG_S = 1.5
VERSIONS = ["v1", "v2", "v1", "v2"]
TRIES = 12
TRY_PAUSE_S = 0.3
MAX_MIXED = 2


async def answer(request, writer) -> None:
    """Answer a stream with events that name the upstream's version."""
    if b"/s/" not in request.line:
        await asyncio.sleep(0.2)
        head = "Keep-Alive: timeout=30\r\n"
        writer.write(make_response(request, b"x", extra=head))
        return
    number = int(request.headers[b"expect-instance"].removeprefix(b"i-"))
    version = VERSIONS[number].encode()
    last_id = int(request.headers.get(b"last-event-id", b"0"))
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
        b"Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
        b"Keep-Alive: timeout=30\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for event_id in range(last_id + 1, EVENTS + 1):
        event = b"id: %d\ndata: %s\n\n" % (event_id, version)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")


class StreamReader:
    """A caller that takes its stream up again, at a VM in turn, until it is whole."""

    def __init__(self, site: ProcessSite, name: str) -> None:
        self.site = site
        self.name = name
        self.body = b""
        self.taken_up = False
        self.statuses: list[int] = []

    @property
    def last_id(self) -> int:
        """Return the id of the last whole event."""
        return self.body.count(b"\n\n")

    async def run(self) -> None:
        """Read from the first VM, then go on at the others that run."""
        for number in range(TRIES):
            running = [
                vm for vm in self.site.vms if vm.name not in self.site.list_ended()
            ]
            vm = self.site.vms[0] if number == 0 else running[number % len(running)]
            await self._read(vm, f"{self.name}-{number}")
            if self.last_id >= EVENTS:
                return
            await asyncio.sleep(TRY_PAUSE_S)

    async def _read(self, vm, request_id: str) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Authorization": AUTHORIZATION,
            "Deadline-Remaining": "14000",
        }
        if self.last_id:
            self.taken_up = True
            headers["Resumes"] = f"{self.name}-0"
            headers["Last-Event-Id"] = str(self.last_id)
        received = b""
        try:
            async with self.site.session.post(
                f"{vm.caller_url}/s/x", data=b"b", headers=headers
            ) as response:
                self.statuses.append(response.status)
                if response.status != 200:
                    return
                async for chunk in response.content.iter_any():
                    received += chunk
        except aiohttp.ClientError:
            pass
        finally:
            self.body += received[: received.rfind(b"\n\n") + 2]


async def set_up(site: ProcessSite) -> None:
    """Let the upstreams be of two versions, and all VMs but the first reach them.

    Those keep their open connections; new ones are refused, so that the first VM sends
    its calls to the others.
    """
    for number, runner in enumerate(site.runners):
        entry = make_entry(
            runner, version=VERSIONS[number], slots=64, zone="ab"[number // 2]
        )
        site.store.put(f"servers/i-{number}", entry)
    route = {
        "host": HOST,
        "timeoutMs": 15_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "pool",
        "attempts": 2,
    }
    stream = {**route, "kind": "stream", "resumable": True, "gapTargetMs": 1_000}
    routes = [
        {**stream, "name": "r1", "prefix": "/s/"},
        {**route, "name": "r2", "prefix": "/u/", "kind": "unsafe"},
        {**route, "name": "r3", "prefix": "/r/", "kind": "safe"},
    ]
    site.store.put("op/config", make_config(version=2, routes=routes))
    await site.wait_for_config(2, CONFIG_S)
    calls = []
    for vm in site.vms[1:]:
        for number in range(WARMING):
            calls.append(site.call(vm, "/r/x", f"warm-{vm.name}-{number}"))
    answers = await asyncio.gather(*calls)
    assert {status for status, _, _ in answers} == {200}
    for runner in site.runners:
        assert runner._server is not None
        runner._server.close()
    await site.call(site.vms[0], "/r/x", "first")


async def heal(site: ProcessSite) -> None:
    """Let the upstreams accept connections again."""
    for runner in site.runners:
        port = int(runner.address.rpartition(":")[2])
        runner._server = await asyncio.start_server(runner._serve, "127.0.0.1", port)


async def lose(site: ProcessSite, lost: tuple[int, ...], how: signal.Signals) -> None:
    """End VMs, or let them stand still for the rest of the test."""
    for number in lost:
        site.vms[number].signal(how)


# Guards against streams of two versions, and streams that nobody goes on with, when the
# VM that served them for another one is lost, that one, or both (ORDER, LOST).
@pytest.mark.parametrize(
    ("healed", "lost", "how"),
    [
        (True, (1,), signal.SIGKILL),
        (True, (1,), signal.SIGTERM),
        (False, (1,), signal.SIGSTOP),
        (False, (0,), signal.SIGKILL),
        (False, (0, 1), signal.SIGKILL),
    ],
)
def test_streams_served_for_another_vm_go_on_at_their_version(
    healed, lost, how, tmp_path
):
    async def scenario(site: ProcessSite) -> None:
        await set_up(site)
        readers = [StreamReader(site, f"s{number}") for number in range(STREAMS)]
        tasks = [asyncio.create_task(reader.run()) for reader in readers]
        await asyncio.sleep(2.0)
        served = [len(vm.list_events("dispatched")) for vm in site.vms[1:]]
        assert min(served) > WARMING, "no stream is served for the first VM"
        if healed:
            await heal(site)
            await asyncio.sleep(1.5)
        await lose(site, lost, how)
        if not healed:
            await asyncio.sleep(2.0)
            await heal(site)
        await asyncio.gather(*tasks)
        mixed = []
        for reader in readers:
            if b"v1" in reader.body and b"v2" in reader.body:
                mixed.append(reader.name)
        statuses = [reader.statuses for reader in readers]
        assert len(mixed) <= MAX_MIXED, (mixed, statuses)
        whole = sum(reader.last_id == EVENTS for reader in readers)
        assert whole >= STREAMS // 2, (whole, statuses)

    run_processes(scenario, answer, tmp_path, runners=4)
