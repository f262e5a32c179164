"""VMs as processes of their own that send orders and reports to a platform.

Each VM reaches the store and the platform over paths of its own, which can be cut.
"""

import asyncio
import contextlib
from pathlib import Path

from fakes.runner import make_response
from fakes.store import StoreCopy
from tests.dutyplatform import SERVICE, DutyCall, FakePlatform, make_duty_settings
from tests.edgesite import HOST, make_config
from tests.processsite import PORTS_PER_VM, ProcessSite, VmProcess
from tests.tcppath import OwnPaths, TcpPath

VMS = 2
PORTS_PER_SITE = VMS * PORTS_PER_VM
CUSTOMERS = 2
CUSTOMER_NAME_CHARS = 2_500
"""Makes the reports longer than the least window of a receiver."""
REQUEST_PAUSE_S = 0.2


class DutyVm(VmProcess, OwnPaths):
    """A VM with paths of its own to the store and to the platform."""


class DutySite(ProcessSite):
    """Two VMs that contend for the duties, the platform, and traffic to report."""

    def __init__(self, folder: Path, ports: list[int]) -> None:
        super().__init__(folder)
        self._ports = ports
        self.platform = FakePlatform()
        self.vms: list[DutyVm] = []
        self.subjects = {"usage"}
        """The subjects of the calls that are waited for."""
        self._copy: StoreCopy
        """The store as it was before the VMs started."""
        self._paths: list[TcpPath] = []

    @property
    def calls(self) -> list[DutyCall]:
        """Return the calls that the platform got."""
        return self.platform.calls

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
            vm.more_settings = make_duty_settings(duties, bootstrap=True)
            self.vms.append(vm)
        async with asyncio.TaskGroup() as group:
            for vm in self.vms:
                group.create_task(vm.start())
        for vm in self.vms:
            vm.more_settings = make_duty_settings(duties, bootstrap=False)
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
