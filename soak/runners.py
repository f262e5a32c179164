"""Runners of the soak: they record what they run, and misbehave now and then."""

import asyncio
import random

from fakes.runner import FakeRunner, make_response, reset_connection

EVENTS = 24
EVENT_S = 0.05
STREAM_MS = 6_000
"""The time of a stream, by its route and its client: a silence fits into it."""
WORK_S = 0.02


class Run:
    """A request that a runner ran: by which runner, when, and for which customer."""

    __slots__ = ("request_id", "instance", "at_s", "tenant", "is_resumed", "broke_off")

    def __init__(
        self,
        request_id: str,
        instance: str,
        at_s: float,
        tenant: str,
        is_resumed: bool,
    ) -> None:
        self.request_id = request_id
        self.instance = instance
        self.at_s = at_s
        self.tenant = tenant
        self.is_resumed = is_resumed
        self.broke_off = False
        """Whether the runner cut the answer off."""


class SoakRunner(FakeRunner):
    """A runner of one software version that breaks off, refuses and repeats itself."""

    def __init__(
        self, instance: str, version: str, source: random.Random, runs: list[Run]
    ) -> None:
        super().__init__(self._answer)
        self.instance = instance
        self.version = version
        self._source = source
        self._runs = runs
        self._last_refusal = b""
        self.silent_until_s = 0.0
        """Until when it sends nothing; it runs on."""
        self.says_leaving = False
        """Whether its answers say that it leaves, whatever its entry says."""

    async def _answer(self, request, writer) -> None:
        if request.headers.get(b"expect-instance", b"").decode() != self.instance:
            writer.write(make_response(request, b"", 421))
            return
        chance = self._source.random()
        if chance < 0.02:
            refusal = make_response(request, b"", 503, "Not-Executed: 1\r\n")
            self._last_refusal = refusal
            writer.write(refusal)
            return
        run = Run(
            request.request_id.decode(),
            self.instance,
            asyncio.get_running_loop().time(),
            request.headers.get(b"tenant", b"").decode(),
            b"last-event-id" in request.headers,
        )
        self._runs.append(run)
        if chance > 0.99:
            writer.write(self._last_refusal)
        if chance > 0.98:
            run.broke_off = True
            reset_connection(writer)
            return
        if request.line.split()[1].startswith(b"/s/"):
            run.broke_off = chance > 0.9
            await self._stream(request, writer, run.broke_off)
            return
        await asyncio.sleep(WORK_S)
        await self._wait_until_heard()
        extra = f"Instance: {self.instance}\r\n"
        if self.says_leaving:
            extra += "Server-Leaving: 1\r\n"
        writer.write(make_response(request, request.request_id, extra=extra))

    async def _wait_until_heard(self) -> None:
        loop = asyncio.get_running_loop()
        while (left_s := self.silent_until_s - loop.time()) > 0:
            await asyncio.sleep(left_s)

    async def _stream(self, request, writer, breaks_off: bool) -> None:
        await self._wait_until_heard()
        first = int(request.headers.get(b"last-event-id", b"0")) + 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(first, EVENTS + 1):
            await self._wait_until_heard()
            event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            if breaks_off and number == first + 3:
                reset_connection(writer)
                return
        writer.write(b"0\r\n\r\n")
