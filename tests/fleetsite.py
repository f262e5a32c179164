"""A fleet of edge nodes for tests over real sockets, of which some can lose their path.

The nodes share one fake store and the fake runners.
"""

import asyncio
from collections import Counter
from enum import Enum

import aiohttp

from bridge.daemon import EdgeDaemon
from fakes.runner import FakeRunner
from fakes.store import FakeKvStore
from plantainwood.attempterrors import make_unreached_error
from plantainwood.connections import Connection
from plantainwood.edgesettings import EdgeAddresses, EdgeSettings, EdgeStore
from standins.ports import find_ports
from tests.edgesite import AUTHORIZATION, HOST, make_config, make_entry

HANG_S = 0.35
PORTS_PER_VM = 6
TIMEOUT_S = 40


class LostPath(Enum):
    """What becomes of connections to upstreams while a VM's path to them is lost."""

    RESET = "reset"
    """Open ones are reset, and new ones are refused."""
    HANG = "hang"
    """Open ones go silent, and new ones never open."""
    NEW_REFUSED = "new_refused"
    """Open ones live on, and new ones are refused."""


class SilentTransport:
    """A transport whose written bytes never arrive."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._transport.pause_reading()

    def write(self, data: bytes) -> None:
        """Drop the bytes."""

    def is_closing(self) -> bool:
        """Tell whether the connection is being closed."""
        return self._transport.is_closing()

    def abort(self) -> None:
        """Close the connection."""
        self._transport.abort()


class Path:
    """One VM's path to the upstreams, which can be lost and found again."""

    def __init__(self, daemon: EdgeDaemon) -> None:
        self._pool = daemon.edge.connection_pool
        self._connect = self._pool._connect
        self._pool._connect = self._connect_on_path
        self._connections: list[Connection] = []
        self._runner_addresses: set[str] = set()
        self._lost: LostPath | None = None

    async def _connect_on_path(self, address: str) -> Connection:
        if self._lost is not None and address in self._runner_addresses:
            if self._lost is LostPath.HANG:
                await asyncio.sleep(HANG_S)
            raise make_unreached_error("no path")
        connection = await self._connect(address)
        self._connections.append(connection)
        return connection

    def lose(self, how: LostPath, addresses: set[str]) -> None:
        """Lose the path to some addresses."""
        self._runner_addresses = addresses
        self._lost = how
        for connection in self._connections:
            if connection.address not in addresses:
                continue
            if how is LostPath.RESET and not connection._transport.is_closing():
                connection.connection_lost(ConnectionResetError("no path"))
                connection._transport.abort()
            if how is LostPath.HANG and not connection._transport.is_closing():
                connection._transport = SilentTransport(connection._transport)
        self._connections.clear()

    def regain(self) -> None:
        """Find the path again."""
        self._lost = None


class FleetSite:
    """Nodes with their store and runners, and a session for callers' requests."""

    def __init__(self) -> None:
        self.store = FakeKvStore()
        self.runners: list[FakeRunner] = []
        self.daemons: list[EdgeDaemon] = []
        self.paths: list[Path] = []
        self.session: aiohttp.ClientSession

    async def start(self, script, runners: int, vms: int) -> None:
        """Start the store, the runners and the nodes."""
        await self.store.start()
        for number in range(runners):
            runner = FakeRunner(script)
            await runner.start()
            self.runners.append(runner)
            entry = make_entry(runner, zone="ab"[number % 2])
            self.store.put(f"servers/i-{number}", entry)
        self.store.put("op/config", make_config())
        ports = find_ports(PORTS_PER_VM * vms)
        for number in range(vms):
            first = PORTS_PER_VM * number
            self._add_daemon(number, ports[first : first + PORTS_PER_VM])
        for daemon in self.daemons:
            await daemon.start()

    def _add_daemon(self, number: int, ports: list[int]) -> None:
        addresses = [f"127.0.0.1:{port}" for port in ports]
        settings = EdgeSettings(
            node=f"vm-{number}",
            domain="ab"[number % 2],
            domains=["a", "b"],
            addresses=EdgeAddresses(
                *addresses[:4], metrics_port=ports[4], calls=addresses[5]
            ),
            store=EdgeStore(self.store.address, "127.0.0.1:1"),
            fleet="0123456789abcdef",
        )
        daemon = EdgeDaemon(settings)
        self.daemons.append(daemon)
        self.paths.append(Path(daemon))

    async def stop(self) -> None:
        """Stop everything that was started."""
        for daemon in self.daemons:
            await daemon.stop()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()

    def is_complete(self) -> bool:
        """Tell whether each node knows all runners and all other nodes."""
        for daemon in self.daemons:
            edge = daemon.edge
            if len(edge.view.catalogue.upstreams) < len(self.runners):
                return False
            live = edge.vms.list_fresh(edge.awake_clock.now_ms())
            ready = [heartbeat for heartbeat in live if heartbeat.caller_address]
            if len(ready) < len(self.daemons) - 1:
                return False
        return True

    async def wait_until(self, condition) -> None:
        """Poll a condition until it holds."""
        while not condition():
            await asyncio.sleep(0.01)

    def lose_path(
        self, vm: int, how: LostPath, runners: list[int] | None = None
    ) -> None:
        """Cut a VM off from some runners, or from all."""
        cut = self.runners
        if runners is not None:
            cut = [self.runners[number] for number in runners]
        self.paths[vm].lose(how, {runner.address for runner in cut})

    async def call(self, vm: int, method: str, path: str, body: bytes = b"", **headers):
        """Send a caller's request to a VM; return (status, headers, body)."""
        address = self.daemons[vm].settings.addresses.callers
        all_headers = {
            "Host": HOST,
            "Request-Id": "id-1",
            "Authorization": AUTHORIZATION,
            "Deadline-Remaining": "4000",
        }
        all_headers.update(
            {name.replace("_", "-"): text for name, text in headers.items()}
        )
        async with self.session.request(
            method, f"http://{address}{path}", data=body or None, headers=all_headers
        ) as response:
            return response.status, response.headers, await response.read()

    def count_received(self) -> Counter[bytes]:
        """Return how often each request reached a runner, by its id."""
        found: Counter[bytes] = Counter()
        for runner in self.runners:
            found.update(request.request_id for request in runner.received)
        return found


def run_fleet(scenario, script, runners: int = 4, vms: int = 3) -> None:
    """Run a scenario on a new fleet whose nodes all know each other."""

    async def main() -> None:
        site = FleetSite()
        async with aiohttp.ClientSession() as session:
            site.session = session
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await site.start(script, runners, vms)
                    await site.wait_until(site.is_complete)
                    await scenario(site)
            finally:
                await site.stop()

    asyncio.run(main())
