"""Daemons of the product's own interface that send orders and reports to a platform.

Each daemon reaches the key-value service and the platform over paths of its own.
"""

import asyncio
import contextlib
import copy
import json
import signal
import time

import yaml
from aiohttp import web

from fakes.runner import FakeRunner, make_response
from plantainwood.core.leaserecords import LEASE_PREFIX
from standins import keyvalue
from standins.fleet import DOMAINS, Fleet
from tests.dutyplatform import DutyCall
from tests.tcppath import OwnPaths, TcpPath

VMS = 2
PORTS_PER_FLEET = 4 + 3 * VMS
"""Those of the stand-ins, which are not used, too."""
DEAD_ADDRESS = "http://127.0.0.1:1"
ORDERS = "orders"
REPORTS = "reports"
DUTIES = {
    "lease_term_ms": 3_000,
    "lease_margin_ms": 500,
    "planner": "static",
    "plan_every_ms": 300,
    "billing_window_ms": 1_000,
    "billing_grace_ms": 300,
}


class NodeVm(OwnPaths):
    """A daemon with paths of its own to the key-value service and to the platform."""

    def __init__(self, fleet: "DutyFleet", name: str) -> None:
        self._fleet = fleet
        self.name = name

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        process = self._fleet.processes[self.name]
        if process.poll() is None:
            process.send_signal(signum)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self._fleet.processes[self.name].wait)

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self._fleet.start_node(self.name)
        await asyncio.to_thread(self._fleet.wait_until_listening, self.name)


class DutyFleet(Fleet):
    """Daemons whose outside systems are the test's own."""

    def __init__(self, ports: list[int]) -> None:
        super().__init__(nodes=VMS, engines=1, duties=DUTIES)
        self.ports = dict(zip(self.ports, ports, strict=True))
        self.vms = {name: NodeVm(self, name) for name in self.nodes}

    def make_settings(self, node: str) -> dict:
        """Return the settings of a node, which knows its own paths only."""
        settings = super().make_settings(node)
        vm = self.vms[node]
        platform = f"http://{vm.platform_path.address}"
        settings["store"]["endpoints"] = [f"http://{vm.store_path.address}"]
        settings["platform"]["orders_url"] = f"{platform}/{ORDERS}"
        settings["platform"]["reports_url"] = f"{platform}/{REPORTS}"
        return settings

    def make_catalogue(self) -> dict:
        """Return a catalogue with an engine that is not running."""
        catalogue = super().make_catalogue()
        for name in self.engines:
            catalogue["upstreams"][name]["address"] = DEAD_ADDRESS
            catalogue["upstreams"][name]["domain"] = DOMAINS[0]
        return catalogue


class NodeDutySite:
    """Two daemons that contend for the duties, and the platform."""

    subject = ORDERS
    """The duty whose holder is watched: reports carry no fence."""

    def __init__(self, ports: list[int]) -> None:
        self._fleet = DutyFleet(ports)
        self._began_s = time.monotonic()
        self._store_app = keyvalue.build_app()
        self._store_runner = web.AppRunner(self._store_app, access_log=None)
        self._platforms: list[FakeRunner] = []
        self._paths: list[TcpPath] = []
        self._copy: keyvalue.KeyValueStore
        self.calls: list[DutyCall] = []
        self.vms = list(self._fleet.vms.values())

    def _make_platform(self, vm: NodeVm) -> FakeRunner:
        """Return the platform's end of a VM's path; it refuses all orders."""

        async def take_call(request, writer) -> None:
            subject = request.line.split()[1].decode().removeprefix("/")
            body = json.loads(request.body)
            at_s = time.monotonic() - self._began_s
            window = str(body["id"]) if subject == REPORTS else ""
            call = DutyCall(
                at_s,
                vm.name,
                body.get("fence", 0),
                subject,
                subject,
                window,
                request.body.decode(),
            )
            self.calls.append(call)
            status = 409 if subject == ORDERS else 200
            writer.write(make_response(request, b"", status))

        return FakeRunner(take_call)

    async def start_duties(self, window_bytes: int = 0) -> None:
        """Start everything, and wait until orders and reports were sent."""
        await self._store_runner.setup()
        site = web.TCPSite(self._store_runner, "127.0.0.1", 0)
        await site.start()
        store_address = f"127.0.0.1:{self._store_runner.addresses[0][1]}"
        for vm in self.vms:
            platform = self._make_platform(vm)
            await platform.start()
            self._platforms.append(platform)
            vm.store_path = TcpPath(store_address)
            vm.platform_path = TcpPath(platform.address, window_bytes)
            for path in (vm.store_path, vm.platform_path):
                await path.start()
                self._paths.append(path)
        async with asyncio.TaskGroup() as group:
            for vm in self.vms:
                group.create_task(vm.start())
        await asyncio.to_thread(self._load_catalogue)
        self.copy_store()
        await self.wait_until(lambda: {ORDERS, REPORTS} <= self._list_subjects())

    def _load_catalogue(self) -> None:
        body = {
            "text": yaml.safe_dump(self._fleet.make_catalogue()),
            "author": "test",
            "base_revision": self._fleet.admin("GET", "/admin/status")["revision"],
        }
        self._fleet.admin("POST", "/admin/catalogue", body)

    def _list_subjects(self) -> set[str]:
        return {call.subject for call in self.calls}

    def copy_store(self) -> None:
        """Make a copy as of before the first holder of any duty."""
        self._copy = copy.deepcopy(self._store_app[keyvalue.STORE])
        for key in list(self._copy.items):
            if LEASE_PREFIX.encode() in key:
                del self._copy.items[key]

    def bring_store_back(self) -> None:
        """Lose all that was written since the copy was made."""
        store = self._store_app[keyvalue.STORE]
        store.items = copy.deepcopy(self._copy.items)
        store.revision = self._copy.revision

    async def wait_until(self, condition, timeout_s: float = 40.0) -> None:
        """Poll a condition until it holds; raise TimeoutError after `timeout_s`."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.002)

    async def send_requests(self) -> None:
        """Send nothing: windows without usage are reported too."""

    def find_last(self) -> DutyCall:
        """Return the last order."""
        return [call for call in self.calls if call.subject == self.subject][-1]

    def find_holder(self) -> NodeVm:
        """Return the VM that sent the last order."""
        return self._fleet.vms[self.find_last().vm]

    async def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for process in self._fleet.processes.values():
            process.kill()
        for process in self._fleet.processes.values():
            await asyncio.to_thread(process.wait)
        for path in self._paths:
            await path.stop()
        for platform in self._platforms:
            await platform.stop()
        with contextlib.suppress(RuntimeError):
            await self._store_runner.cleanup()
