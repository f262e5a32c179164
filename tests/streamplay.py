"""A play of processes: long streams through VMs while something disturbs them.

It tells of each stream whether it came whole, was cut or refused, and of the cut ones
what the log of the VM that took them says.
"""

import asyncio
import re
from collections import Counter
from pathlib import Path
from typing import Awaitable, Callable

import aiohttp

from fakes.runner import make_response
from tests.edgesite import AUTHORIZATION, HOST, make_config, make_entry
from tests.playedstreams import Plan, Stream
from tests.processsite import ProcessSite, VmProcess, run_processes

TIMEOUT_MS = 15_000
GAP_TARGET_MS = 250
SLOTS = 64
BODY = b"b" * 1_400
PIECE_BYTES = 200
WARM_PATH = "/r/warm"
WARMING = 36
"""Connections that each VM opens to the runners before they take no more."""
WARM_S = 0.3
KNOWN_S = 1.0
"""How long the VMs have to learn of the runners and the configuration."""
Disruption = Callable[["StreamPlay"], Awaitable[None]]


class StreamPlay:
    """Callers, runners that can be silent, and the configuration of one play."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.site: ProcessSite
        self.streams: list[Stream] = []
        self.silent: dict[bytes, float] = {}
        """By runner, until when it sends nothing."""
        self.versions: dict[bytes, bytes] = {}
        self._config_version = 1

    async def answer(self, request, writer) -> None:
        """Answer as a runner: events, one after the other, unless it is silent."""
        instance = request.headers[b"expect-instance"]
        version = self.versions.get(instance, b"v1")
        first = int(request.headers.get(b"last-event-id", b"0")) + 1
        if WARM_PATH.encode() in request.line:
            await asyncio.sleep(WARM_S)
            keep = "Keep-Alive: timeout=60\r\n"
            writer.write(make_response(request, b"x", extra=keep))
            return
        await self._wait_until_heard(instance)
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
            b"Keep-Alive: timeout=60\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(first, self.plan.events + 1):
            await self._wait_until_heard(instance)
            event = b"id: %d\ndata: %s\n\n" % (number, version)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.plan.event_s)
        writer.write(b"0\r\n\r\n")

    async def _wait_until_heard(self, instance: bytes) -> None:
        loop = asyncio.get_running_loop()
        while (left_s := self.silent.get(instance, 0.0) - loop.time()) > 0:
            await asyncio.sleep(min(left_s, 0.05))

    def silence(self, numbers: list[int], seconds: float) -> None:
        """Let runners send nothing for a time; they run on."""
        until_s = asyncio.get_running_loop().time() + seconds
        for number in numbers:
            self.silent[b"i-%d" % number] = until_s

    def register(self, number: int, state: str = "ready", version: str = "v1") -> None:
        """Write a runner's entry."""
        self.versions[b"i-%d" % number] = version.encode()
        entry = make_entry(
            self.site.runners[number],
            version=version,
            slots=SLOTS,
            state=state,
            zone="ab"[number % 2],
        )
        self.site.store.put(f"servers/i-{number}", entry)

    def write_config(self, more_routes: int = 0, **changes) -> None:
        """Write the next configuration, with routes that nobody uses if asked for."""
        self._config_version += 1
        route = {
            "host": HOST,
            "kind": "stream",
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "pool",
            "gapTargetMs": GAP_TARGET_MS,
        }
        again = {"attempts": self.plan.attempts, "resumable": True}
        routes = [
            {**route, **again, "name": "again", "prefix": "/s/"},
            {**route, "attempts": 1, "name": "once", "prefix": "/n/"},
            {**route, "kind": "safe", "name": "warm", "prefix": WARM_PATH},
        ]
        for number in range(more_routes):
            name = f"more{number}"
            routes.append({**route, "name": name, "prefix": f"/{name}/"})
        config = {"routes": routes, **changes}
        self.site.store.put(
            "op/config", make_config(version=self._config_version, **config)
        )

    async def run(self, disturb: Disruption | None = None) -> None:
        """Send the requests, disturb meanwhile, and wait for the ends of all."""
        for number in range(len(self.site.runners)):
            self.register(number)
        self.write_config()
        await asyncio.sleep(KNOWN_S)
        if self.plan.through_others:
            await self._lose_path()
        disturbing = asyncio.create_task(disturb(self)) if disturb else None
        reading: list[asyncio.Task] = []
        count = round(self.plan.seconds * self.plan.rate_per_s)
        for number in range(count):
            reading.append(asyncio.create_task(self._call(number)))
            await asyncio.sleep(1 / self.plan.rate_per_s)
        await asyncio.gather(*reading)
        if disturbing is not None:
            disturbing.cancel()
            await asyncio.wait([disturbing])
            if not disturbing.cancelled():
                disturbing.result()

    async def _lose_path(self) -> None:
        """Let the runners accept no more connections; the first VM has none."""
        site = self.site
        calls = []
        for vm in site.vms[1:]:
            for number in range(WARMING):
                calls.append(site.call(vm, WARM_PATH, f"{vm.name}-{number}"))
        answers = await asyncio.gather(*calls)
        assert {status for status, _, _ in answers} == {200}
        for runner in site.runners:
            assert runner._server is not None
            runner._server.close()
        await site.call(site.vms[0], WARM_PATH, "first")

    async def _call(self, number: int) -> None:
        """Send one request, and take its stream up if it is cut and that is asked."""
        vm = self.site.vms[number % len(self.site.vms)]
        resumable = number % 4 < self.plan.resumable_of_4
        body: object = BODY
        if number % 5 < self.plan.chunked_of_5:
            body = _send_pieces()
        stream = await self._read(f"p-{number}", vm, resumable, body, {})
        first, seen = stream, stream.count_events()
        for again in range(self.plan.take_ups):
            if stream.is_complete or not resumable or first.status != 200:
                return
            extra = {"Resumes": first.name, "Last-Event-Id": str(seen)}
            vm = self.site.vms[(number + again + 1) % len(self.site.vms)]
            name = f"p-{number}-{again}"
            stream = await self._read(name, vm, resumable, BODY, extra if seen else {})
            seen += stream.count_events()

    async def _read(
        self, name: str, vm: VmProcess, resumable: bool, body, extra: dict[str, str]
    ) -> Stream:
        loop = asyncio.get_running_loop()
        stream = Stream(name, vm, resumable)
        self.streams.append(stream)
        headers = {
            "Host": HOST,
            "Request-Id": name,
            "Authorization": AUTHORIZATION,
            "Deadline-Remaining": str(TIMEOUT_MS),
            **extra,
        }
        url = vm.caller_url + ("/s/x" if resumable else "/n/x")
        stream.sent_s = loop.time()
        try:
            async with self.site.session.post(
                url, data=body, headers=headers
            ) as response:
                stream.status = response.status
                async for chunk in response.content.iter_any():
                    stream.body += chunk
                    stream.last_event_s = loop.time()
                stream.is_complete = True
        except aiohttp.ClientError:
            pass
        stream.ended_s = loop.time()
        return stream

    def list_cut(self) -> list[str]:
        """Return what is known of each stream that was cut or refused."""
        found: list[str] = []
        for stream in self.streams:
            if stream.outcome == "whole":
                continue
            silent_ms = round(1_000 * (stream.ended_s - stream.last_event_s))
            took_ms = round(1_000 * (stream.ended_s - stream.sent_s))
            found.append(
                f"{stream.name} at {stream.vm.name}: {stream.outcome}"
                f" ({stream.status}) after {took_ms} ms,"
                f" {silent_ms if stream.body else '-'} ms after its last event;"
                f" {stream.find_reason()}"
            )
        return found

    def count(self) -> Counter:
        """Return how many streams had which outcome."""
        return Counter(stream.outcome for stream in self.streams)

    def list_mixed(self) -> list[str]:
        """Return the streams whose events are out of order or of two versions."""
        found: list[str] = []
        for stream in self.streams:
            ids = [int(n) for n in re.findall(rb"id: (\d+)\n", stream.body)]
            versions = set(re.findall(rb"data: (v\d+)\n\n", stream.body))
            if ids and ids != list(range(ids[0], ids[0] + len(ids))):
                found.append(f"{stream.name}: {ids}")
            if len(versions) > 1:
                found.append(f"{stream.name}: {sorted(versions)!r}")
        return found


async def _send_pieces():
    for start in range(0, len(BODY), PIECE_BYTES):
        yield BODY[start : start + PIECE_BYTES]


def run_play(
    plan: Plan, disturb: Disruption | None, folder: Path, vms: int = 2, **options
) -> StreamPlay:
    """Run a play on new VMs and return it, with all that its callers saw."""
    play = StreamPlay(plan)

    async def scenario(site: ProcessSite) -> None:
        play.site = site
        await play.run(disturb)

    run_processes(scenario, play.answer, folder, vms=vms, **options)
    return play
