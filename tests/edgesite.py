"""An edge site for tests over real sockets: one node, a fake store and fake runners."""

import asyncio
import contextlib

import aiohttp
import msgspec

from bridge.daemon import EdgeDaemon
from fakes.runner import FakeRunner, make_response, reset_connection
from fakes.store import FakeKvStore
from plantainwood.edgesettings import (
    EdgeAddresses,
    EdgeSettings,
    EdgeStore,
)
from standins.ports import find_ports

AUTHORIZATION = "Token secret-key"
HOST = "front.example"
TIMEOUT_S = 15


def make_config(version: int = 1, **changes) -> bytes:
    """Return a configuration with stream, unsafe, safe and public routes.

    `changes` replace top-level fields.
    """
    base = {
        "host": HOST,
        "timeoutMs": 3_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "pool",
        "attempts": 2,
        "public": False,
    }
    routes = [
        {**base, "name": "r1", "prefix": "/s/", "kind": "stream", "resumable": True},
        {**base, "name": "r2", "prefix": "/u/", "kind": "unsafe", "attempts": 1},
        {**base, "name": "r3", "prefix": "/r/", "kind": "safe"},
        {**base, "name": "r4", "prefix": "/o/", "kind": "safe", "public": True},
        {**base, "name": "r5", "prefix": "/t/", "kind": "safe", "timeoutMs": 300},
        {**base, "name": "r6", "prefix": "/s/deep/", "kind": "safe"},
        {**base, "name": "r7", "prefix": "/n/", "kind": "stream", "timeoutMs": 9_000},
    ]
    config = {
        "version": version,
        "routes": routes,
        "services": [{"name": "pool", "healthPath": "/health"}],
        "limits": {"headerBytes": 16_384, "bodyBytes": 10_000},
        "tenants": [{"name": "acme", "apiKeys": ["secret-key"]}],
        **changes,
    }
    return msgspec.json.encode(config)


def make_entry(runner: FakeRunner, **changes) -> bytes:
    """Return the registration that a runner writes to the store."""
    entry = {
        "service": "pool",
        "address": runner.address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1_000,
        **changes,
    }
    return msgspec.json.encode(entry)


class Site:
    """A node with its store and runners, and a session that sends callers' requests."""

    def __init__(self) -> None:
        self.store = FakeKvStore()
        self.runners: list[FakeRunner] = []
        self.daemon: EdgeDaemon
        self.base_url = ""
        self.session: aiohttp.ClientSession

    async def call(self, method: str, path: str, body: bytes = b"", **headers):
        """Send a caller's request; return (status, headers, body).

        Underscores in the names of extra headers are sent as hyphens.
        """
        all_headers = {
            "Host": HOST,
            "Request-Id": "id-1",
            "Authorization": AUTHORIZATION,
            "Deadline-Remaining": "9000",
        }
        all_headers.update(
            {name.replace("_", "-"): text for name, text in headers.items()}
        )
        async with self.session.request(
            method, self.base_url + path, data=body or None, headers=all_headers
        ) as response:
            return response.status, response.headers, await response.read()

    async def lose_vm(self) -> None:
        """End the node's services without a drain, as a loss of the VM does."""
        await self.daemon.stop()

    async def start_vm(self) -> None:
        """Start a new process on the VM; it knows nothing of before."""
        self.daemon = EdgeDaemon(self.daemon.settings)
        await self.daemon.start()
        await self.wait_until(self.daemon.edge.is_ready)

    async def wait_until(self, condition) -> None:
        """Poll a condition until it holds."""
        while not condition():
            await asyncio.sleep(0.01)

    @property
    def usable_upstream_count(self) -> int:
        """Return the number of upstreams in the catalogue that are not leaving."""
        upstreams = self.daemon.edge.view.catalogue.upstreams.values()
        return sum(1 for upstream in upstreams if not upstream.leaving)


@contextlib.asynccontextmanager
async def run_site(script, runners: int = 1, configured: bool = True):
    """Start a site whose runners answer with a script, and stop it at the end.

    If `configured`, the node has a configuration and knows all runners from the start
    of the block; otherwise the store holds no configuration.
    """
    site = Site()
    await site.store.start()
    for number in range(runners):
        runner = FakeRunner(script)
        await runner.start()
        site.runners.append(runner)
        site.store.put(f"servers/i-{number}", make_entry(runner))
    if configured:
        site.store.put("op/config", make_config())
    ports = find_ports(5)
    addresses = [f"127.0.0.1:{port}" for port in ports]
    settings = EdgeSettings(
        node="vm-1",
        domain="a",
        domains=["a"],
        addresses=EdgeAddresses(*addresses[:4], metrics_port=ports[4]),
        store=EdgeStore(site.store.address, "127.0.0.1:1"),
        fleet="0123456789abcdef",
    )
    site.daemon = EdgeDaemon(settings)
    site.base_url = f"http://{addresses[0]}"
    site.session = aiohttp.ClientSession()
    await site.daemon.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            if configured:
                await site.wait_until(lambda: site.usable_upstream_count == runners)
            yield site
    finally:
        await site.session.close()
        await site.daemon.stop()
        for runner in site.runners:
            await runner.stop()
        await site.store.stop()


async def answer_request_line(request, writer) -> None:
    """Answer with the request line as the body."""
    writer.write(make_response(request, request.line))


def run(scenario, script=answer_request_line, **options) -> None:
    """Run a scenario on a new site."""

    async def main() -> None:
        async with run_site(script, **options) as site:
            await scenario(site)

    asyncio.run(main())


STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))


async def answer_stream(request, writer) -> None:
    """Answer with the events after the one that Last-Event-Id names, or with all."""
    last_id = int(request.headers.get(b"last-event-id", b"0"))
    events = [e + b"\n\n" for e in STREAM.split(b"\n\n") if e][last_id:]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
        b"Response-Seal: " + request.headers[b"expect-instance"] + b"\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for event in events:
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.005)
    writer.write(b"0\r\n\r\n")


async def reset_unless_resumed(request, writer) -> None:
    """Reset the connection within the fourth event, unless the stream is resumed."""
    if b"last-event-id" in request.headers:
        await answer_stream(request, writer)
        return
    partial = STREAM[: STREAM.index(b"id: 4") + 9]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
        b"Response-Seal: first\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%s\r\n" % (len(partial), partial)
    )
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_connection(writer)
