"""Crashes of upstreams that no request caused refuse nobody."""

import asyncio

import aiohttp
import pytest

from fakes.runner import FakeRunner, make_response
from tests.edgesite import AUTHORIZATION, HOST, make_config, make_entry
from tests.processsite import ProcessSite, run_processes

RUNNERS = 8
SLOTS = 64
GAP_S = 0.05
SENDING_S = 5.0
BUSY_PAUSE_S = 0.01
BUSY_TIMEOUT_S = 2.0
BACK_S = 2.0
CONFIG_S = 1.0
CONTACT_S = 3.0
LATER = 20
MAX_DENIED = 5
CRASH_SUSPECT = 422


class Crowd:
    """Callers whose requests are much alike, and upstreams that crash under them."""

    def __init__(self, site: ProcessSite, first_s: float, path: str) -> None:
        self.site = site
        self.first_s = first_s
        self.path = path
        self.reading: dict[str, int] = {}
        """By upstream, the requests that it has begun no answer to."""
        self.statuses: list[int] = []
        self._crashed: set[str] = set()

    async def answer(self, request, writer) -> None:
        """Answer after the time that a first event takes."""
        instance = request.headers[b"expect-instance"].decode()
        self.reading[instance] = self.reading.get(instance, 0) + 1
        try:
            await asyncio.sleep(self.first_s)
        finally:
            self.reading[instance] -= 1
        writer.write(make_response(request, b"id: 1\ndata: x\n\n"))

    async def set_up(self) -> None:
        """Start the upstreams, with much room, under long routes."""
        for _ in range(RUNNERS):
            await self.site.add_runner(self.answer, slots=SLOTS)
        base = {
            "host": HOST,
            "timeoutMs": 15_000,
            "targetLatencyMs": round(1_000 * self.first_s),
            "priority": 1,
            "service": "pool",
            "attempts": 3,
        }
        routes = [
            {
                **base,
                "name": "r1",
                "prefix": "/s/",
                "kind": "stream",
                "resumable": True,
            },
            {**base, "name": "r3", "prefix": "/r/", "kind": "safe"},
        ]
        self.site.store.put("op/config", make_config(version=2, routes=routes))
        await self.site.wait_for_config(2, CONFIG_S)

    async def send(self, number: int) -> None:
        """Send a request, on a stream's route with a prompt that shares a part."""
        vm = self.site.vms[number % len(self.site.vms)]
        headers = {
            "Host": HOST,
            "Request-Id": f"r-{number}",
            "Authorization": AUTHORIZATION,
            "Deadline-Remaining": "14000",
        }
        body = b""
        if self.path.startswith("/s/"):
            body = b"%d" % number
            headers["Model"] = "m"
            headers["Token-Counts"] = "2800,20"
            headers["Prompt-Prefix"] = f"aa:2500,{0xB000 + number:x}:300"
        try:
            async with self.site.session.request(
                "POST" if body else "GET",
                vm.caller_url + self.path,
                data=body or None,
                headers=headers,
            ) as response:
                await response.read()
                self.statuses.append(response.status)
        except aiohttp.ClientError:
            self.statuses.append(0)

    def _list_busy(self) -> list[int]:
        """Return the upstreams that read a request and haven't crashed yet."""
        busy: list[int] = []
        for number in range(RUNNERS):
            name = f"i-{number}"
            if self.reading.get(name, 0) > 0 and name not in self._crashed:
                busy.append(number)
        return busy

    async def crash_one(self) -> None:
        """Let an upstream end while it reads a request; it is back a moment later."""
        async with asyncio.timeout(BUSY_TIMEOUT_S):
            while not (busy := self._list_busy()):
                await asyncio.sleep(BUSY_PAUSE_S)
        number = busy[0]
        name = f"i-{number}"
        self._crashed.add(name)
        old = self.site.runners[number]
        await old.stop()
        await asyncio.sleep(BACK_S)
        runner = FakeRunner(self.answer)
        runner.address = old.address
        port = int(old.address.rpartition(":")[2])
        runner._server = await asyncio.start_server(runner._serve, "127.0.0.1", port)
        self.site.runners[number] = runner
        entry = make_entry(runner, zone="ab"[number % 2], slots=SLOTS, born=2_000)
        self.site.store.put(f"servers/{name}", entry)

    async def come(self, crashes_s: tuple[float, ...]) -> None:
        """Send requests for SENDING_S, and let upstreams crash at times since then."""
        async with asyncio.TaskGroup() as group:
            for at_s in crashes_s:
                group.create_task(self._crash_at(at_s))
            for number in range(round(SENDING_S / GAP_S)):
                group.create_task(self.send(number))
                await asyncio.sleep(GAP_S)

    async def _crash_at(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        await self.crash_one()


# Guards against requests that are refused for crashes which others than they caused, as
# all that crashed had them in common (DENIED).
@pytest.mark.parametrize("path", ["/s/hint", "/r/hint"])
@pytest.mark.parametrize(
    ("first_s", "crashes_s"),
    [
        (1.2, (0.5,)),
        (1.2, (0.5,) * 6),
        (1.2, (0.3, 0.55, 0.8)),
        (4.0, (0.5, 1.7, 2.9)),
        (4.0, (0.5, 1.2, 1.9, 2.6)),
    ],
)
def test_crashes_before_the_first_answer_block_no_request(
    path, first_s, crashes_s, tmp_path
):
    async def scenario(site: ProcessSite) -> None:
        crowd = Crowd(site, first_s, path)
        await crowd.set_up()
        await crowd.come(crashes_s)
        await asyncio.sleep(CONTACT_S)
        early = crowd.statuses.count(CRASH_SUSPECT)
        async with asyncio.TaskGroup() as group:
            for number in range(1_000, 1_000 + LATER):
                group.create_task(crowd.send(number))
        denied = crowd.statuses.count(CRASH_SUSPECT)
        assert denied <= MAX_DENIED, (early, denied, len(crowd.statuses))

    run_processes(scenario, None, tmp_path, runners=0)
