"""VMs as processes of their own that send orders and reports to a platform.

Each VM reaches the store and the platform over paths of its own, which can be cut.
"""

import asyncio
import contextlib
import json
import time
from pathlib import Path

import msgspec

from fakes.runner import FakeRunner, make_response
from fakes.store import StoreCopy
from tests.edgesite import HOST, make_config
from tests.processsite import PORTS_PER_VM, ProcessSite, VmProcess
from tests.tcppath import TcpPath

VMS = 2
PORTS_PER_SITE = VMS * PORTS_PER_VM
CUSTOMERS = 2
CUSTOMER_NAME_CHARS = 2_500
"""Makes the reports longer than the least window of a receiver."""
SERVICE = {
    "name": "pool",
    "healthPath": "/health",
    "engine": {"kvCacheTokens": 400_000},
    "scaling": {
        "min": 0,
        "max": 4,
        "bootS": 4.0,
        "spotPrice": 0.4,
        "zonePrices": {"a": 1.0, "b": 1.0},
    },
}
SETTINGS = """bootstrap: true
duties:
  enabled: {duties}
  window_ms: 1000
  report_late_ms: 10000
drain:
  grace_ms: 8000
"""
REQUEST_PAUSE_S = 0.2


class DutyCall(msgspec.Struct, frozen=True):
    """An order or a report that the platform got, `at_s` on the test's clock.

    `fence` is 0 where the interface has none, `window` empty for an order. All calls of
    one `duty` are those of one holder at a time.
    """

    at_s: float
    vm: str
    fence: int
    duty: str
    subject: str
    window: str
    body: str


def find_faults(calls: list[DutyCall]) -> list[str]:
    """Return what breaks the rules for duties, in the calls' order of arrival.

    No call with a fence has a lower one than a call before; no two VMs send the same
    fence; no VM acts again after another one did; and a report that is sent again is
    the same. For calls of a scenario in which the duty passes on once.
    """
    last: dict[str, DutyCall] = {}
    earlier_holders: dict[str, set[str]] = {}
    reports: dict[str, str] = {}
    faults: list[str] = []
    for call in calls:
        holders = earlier_holders.setdefault(call.duty, set())
        before = last.setdefault(call.duty, call)
        if call.fence < before.fence:
            faults.append(f"lower fence than {before.fence}: {call}")
            continue
        if call.vm in holders:
            faults.append(f"acts again after {before.vm}: {call}")
            continue
        if call.vm != before.vm:
            holders.add(before.vm)
            if call.fence and call.fence == before.fence:
                faults.append(f"the fence of {before.vm} too: {call}")
        last[call.duty] = call
        if call.window and reports.setdefault(call.window, call.body) != call.body:
            faults.append(f"other counts for a window: {call}")
    return faults


class DutyVm(VmProcess):
    """A VM with paths of its own to the store and to the platform."""

    store_path: TcpPath
    platform_path: TcpPath

    def cut(self) -> None:
        """Cut this VM off from the store and from the platform."""
        self.store_path.cut()
        self.platform_path.cut()

    def heal(self) -> None:
        """Let everything pass again."""
        self.store_path.heal()
        self.platform_path.heal()


class DutySite(ProcessSite):
    """Two VMs that contend for the duties, the platform, and traffic to report."""

    def __init__(self, folder: Path, ports: list[int]) -> None:
        super().__init__(folder)
        self._ports = ports
        self.began_s = time.monotonic()
        self.calls: list[DutyCall] = []
        self.platform = FakeRunner(self._take_call)
        self.vms: list[DutyVm] = []
        self.subjects = {"usage"}
        """The subjects of the calls that are waited for."""
        self._copy: StoreCopy
        """The store as it was before the VMs started."""
        self._paths: list[TcpPath] = []

    async def _take_call(self, request, writer) -> None:
        """Take a call; spot engines in the failure domain b can't be had."""
        body = json.loads(request.body)
        path = request.line.split()[1].decode()
        subject = "usage" if path == "/usage" else f"{body['service']}/{body['zone']}"
        self.calls.append(
            DutyCall(
                time.monotonic() - self.began_s,
                request.headers[b"duty-holder"].decode(),
                int(request.headers[b"fencing-token"]),
                "fleet",
                subject,
                str(body.get("window", "")),
                request.body.decode(),
            )
        )
        refused = body.get("spot") and body.get("zone") == "b"
        writer.write(make_response(request, b"", 409 if refused else 200))

    async def start_duties(self, window_bytes: int = 0) -> None:
        """Start everything, and wait until a VM has sent orders and reports.

        Where the receivers' window is limited, there are reports only: it would hold
        orders.
        """
        duties = ["usage_reporting"]
        if not window_bytes:
            self.subjects.add("pool/b")
            duties.append("scaling")
        await self.store.start()
        await self.platform.start()
        for _ in range(3):
            await self.add_runner(answer_ok, spot=True, slots=64)
        customers = []
        for number in range(CUSTOMERS):
            name = f"c{number}" + "x" * CUSTOMER_NAME_CHARS
            customers.append({"name": name, "apiKeys": [f"key-{number}"]})
        self.store.put("op/config", make_config(services=[SERVICE], tenants=customers))
        self._copy = self.store.copy()
        for number in range(VMS):
            first = PORTS_PER_VM * number
            vm = DutyVm(self, number, self._ports[first : first + PORTS_PER_VM])
            vm.store_path = TcpPath(self.store.address)
            vm.platform_path = TcpPath(self.platform.address, window_bytes)
            for path in (vm.store_path, vm.platform_path):
                await path.start()
                self._paths.append(path)
            vm.store_address = vm.store_path.address
            vm.orders_address = vm.platform_path.address
            vm.more_settings = SETTINGS.format(duties=json.dumps(duties))
            self.vms.append(vm)
        async with asyncio.TaskGroup() as group:
            for vm in self.vms:
                group.create_task(vm.start())
        await self.wait_until(lambda: any(self.has_acted(vm) for vm in self.vms))

    async def wait_until(self, condition, timeout_s: float = 30.0) -> None:
        """Poll a condition until it holds; raise TimeoutError after `timeout_s`."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.002)

    async def send_requests(self) -> None:
        """Send requests of all customers to the VMs that answer, without end."""
        number = 0
        while True:
            await asyncio.sleep(REQUEST_PAUSE_S)
            number += 1
            for vm in self.vms:
                with contextlib.suppress(Exception):
                    async with asyncio.timeout(0.5):
                        await self._send_request(vm, number)

    async def _send_request(self, vm: DutyVm, number: int) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": f"{vm.name}-{number}",
            "Authorization": f"Token key-{number % CUSTOMERS}",
            "Deadline-Remaining": "2000",
        }
        async with self.session.get(vm.caller_url + "/r/x", headers=headers) as answer:
            await answer.read()

    def find_last(self) -> DutyCall:
        """Return the last call."""
        return self.calls[-1]

    def find_holder(self) -> DutyVm:
        """Return the VM that sent the last call."""
        return next(vm for vm in self.vms if vm.name == self.calls[-1].vm)

    def bring_store_back(self) -> None:
        """Lose all that was written since the VMs started."""
        self.store.come_back(self._copy)

    def has_acted(self, vm: DutyVm) -> bool:
        """Return whether a VM has performed all duties."""
        return self.subjects <= {c.subject for c in self.calls if c.vm == vm.name}

    async def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        await super().stop()
        for path in self._paths:
            await path.stop()
        await self.platform.stop()


async def answer_ok(request, writer) -> None:
    """Answer a request of a caller."""
    writer.write(make_response(request, b"ok"))
