"""Clients of the soak: they keep their connections, and take up broken streams."""

import asyncio
import random
import re

import aiohttp

from soak.runners import EVENTS, STREAM_MS
from tests.edgesite import HOST
from tests.processsite import ProcessSite, VmProcess

RETRY_LATER = (429, 503)
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")
TIMEOUT_S = 8.0
PAUSE_S = 0.05
CHUNKED_SHARE = 0.3
CHUNKS = 3
SLOW_SHARE = 0.1
"""The part of requests that come in two pieces on a connection of their own."""
FIRST_PIECE_S = (0.0, 0.6)
"""How long after connecting, or after half a head, the rest is sent."""


class Call:
    """One client attempt: what was sent where, and what came back."""

    __slots__ = (
        "request_id",
        "kind",
        "key",
        "vm",
        "sent_s",
        "status",
        "body",
        "leaving",
        "ended_s",
        "in_pieces",
    )

    def __init__(
        self, request_id: str, kind: str, key: str, vm: VmProcess, sent_s: float
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.key = key
        self.vm = vm
        self.sent_s = sent_s
        self.status = 0
        """0 without a whole answer."""
        self.body = b""
        self.leaving = ""
        """The runner whose leaving the answer tells of, if it does."""
        self.ended_s = 0.0
        self.in_pieces = False
        """Whether a connection was made for it, and it came in two pieces."""


class Client:
    """Send requests of all kinds to any VM until told to stop."""

    def __init__(
        self, site: ProcessSite, number: int, source: random.Random, keys: list[str]
    ) -> None:
        self.site = site
        self.calls: list[Call] = []
        self.mixed_streams: list[str] = []
        self._number = number
        self._source = source
        self._keys = keys
        """The keys in use; withdrawn ones stay in it for a while."""

    async def run(self, stop: asyncio.Event) -> None:
        """Send one request after the other."""
        while not stop.is_set():
            kind = self._source.choice(["r", "u", "s", "s"])
            if self._source.random() < SLOW_SHARE:
                await self._send_in_pieces()
            elif kind == "s":
                await self._read_stream()
            else:
                await self._send(kind, {})
            await asyncio.sleep(PAUSE_S)

    def _make_call(self, kind: str) -> tuple[Call, dict[str, str]]:
        """Return a call at a VM drawn at random, and its headers."""
        vm = self._source.choice(self.site.vms)
        key = self._source.choice(self._keys)
        name = f"c{self._number}-{len(self.calls)}"
        call = Call(name, kind, key, vm, asyncio.get_running_loop().time())
        self.calls.append(call)
        headers = {
            "Host": HOST,
            "Request-Id": name,
            "Authorization": f"Token {key}",
            "Deadline-Remaining": str(STREAM_MS if kind == "s" else 4_000),
        }
        return call, headers

    async def _send_in_pieces(self) -> None:
        """Send an unsafe call in two pieces; the first may be empty."""
        call, headers = self._make_call("u")
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Length: 1", "Connection: close", "", "b"]
        request = "\r\n".join(["POST /u/x HTTP/1.1", *lines]).encode()
        cut = self._source.choice([0, len(request) // 2])
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", call.vm.ports[0]
                )
                call.in_pieces = True
                writer.write(request[:cut])
                await asyncio.sleep(self._source.uniform(*FIRST_PIECE_S))
                writer.write(request[cut:])
                head, _, body = (await reader.read()).partition(b"\r\n\r\n")
                writer.close()
                if head:
                    call.status = int(head.split()[1])
                    call.body = body
        except (OSError, TimeoutError):
            pass
        call.ended_s = asyncio.get_running_loop().time()

    async def _send(self, kind: str, extra: dict[str, str]) -> Call:
        """Send a request to a VM drawn at random; return the call with its answer."""
        call, headers = self._make_call(kind)
        headers.update(extra)
        method = "GET" if kind == "r" else "POST"
        is_chunked = method == "POST" and self._source.random() < CHUNKED_SHARE
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with self.site.session.request(
                    method,
                    f"{call.vm.caller_url}/{kind}/x",
                    headers=headers,
                    data=_send_chunks() if is_chunked else None,
                ) as response:
                    async for chunk in response.content.iter_any():
                        call.body += chunk
                    call.status = response.status
                    if "Server-Leaving" in response.headers:
                        call.leaving = response.headers["Instance"]
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        call.ended_s = asyncio.get_running_loop().time()
        return call

    async def _read_stream(self) -> None:
        """Read a stream; take it up twice at most if it breaks off."""
        versions: set[bytes] = set()
        last_id = 0
        extra: dict[str, str] = {}
        begun = ""
        for _ in range(3):
            call = await self._send("s", extra)
            for number, version in EVENT_PATTERN.findall(call.body):
                if int(number) != last_id + 1:
                    self.mixed_streams.append(f"{call.request_id}: event {number!r}")
                last_id = int(number)
                versions.add(version)
                begun = begun or call.request_id
            if last_id >= EVENTS or call.status not in (0, *RETRY_LATER):
                break
            if begun:
                extra = {"Resumes": begun, "Last-Event-Id": str(last_id)}
        if len(versions) > 1:
            self.mixed_streams.append(f"{begun}: {sorted(versions)!r}")


async def _send_chunks():
    """Yield a body in chunks."""
    for number in range(CHUNKS):
        yield b"chunk %d" % number
        await asyncio.sleep(0)
