"""All VMs as processes lose power at once, and again while they return."""

import asyncio
import itertools
import signal

import aiohttp

from bridge.names import RESOLVE_PATH
from fakes.runner import make_response
from tests.processsite import ProcessSite, VmProcess, run_processes

VMS = 4
CALLERS = 8
RETURN_TIMEOUT_S = 30
SECOND_LOSS_S = 0.4
"""After the restart of the processes; some may be listening by then."""


async def answer(request, writer) -> None:
    """Answer after a moment, so that some requests run when their VM is lost."""
    await asyncio.sleep(0.02)
    writer.write(make_response(request, b"x"))


class UnsafeCaller:
    """A caller whose requests run at most once; each try has an id of its own."""

    def __init__(self, site: ProcessSite, name: str) -> None:
        self.site = site
        self.name = name
        self.served: list[str] = []
        self.refused: list[str] = []
        self.codes: set[int] = set()

    async def run(self) -> None:
        """Send requests to all VMs in turn, until this is cancelled."""
        for number in itertools.count():
            vm = self.site.vms[number % VMS]
            request_id = f"{self.name}-{number}"
            try:
                status, headers, _ = await self.site.call(vm, "/u/x", request_id)
            except (aiohttp.ClientError, OSError):
                await asyncio.sleep(0.01)
                continue
            self.codes.add(status)
            if status == 200:
                self.served.append(request_id)
            if status == 503:
                self.refused.append(request_id)
                assert float(headers["Retry-After"]) > 0


async def is_whole(site: ProcessSite, vm: VmProcess) -> bool:
    """Return whether a VM's directory names all VMs, for the usual time."""
    url = f"http://127.0.0.1:{vm.ports[2]}{RESOLVE_PATH}"
    try:
        async with site.session.get(url) as response:
            if response.status != 200:
                return False
            body = await response.json()
    except aiohttp.ClientError:
        return False
    return len(body["addresses"]) == VMS and body["ttlS"] == 1.0


async def lose_all(site: ProcessSite) -> None:
    """End all VMs at once."""
    for vm in site.vms:
        vm.signal(signal.SIGKILL)
    for vm in site.vms:
        await vm.process.wait()


async def restart_all(site: ProcessSite) -> None:
    """Start all VMs, and wait until each is ready."""
    await asyncio.gather(*(vm.start() for vm in site.vms))


# Guards against requests that run twice or are denied, and against VMs that don't find
# each other again.
def test_two_losses_of_all_vms_end_in_normal_service(tmp_path):
    async def scenario(site: ProcessSite) -> None:
        callers = [UnsafeCaller(site, f"c{n}") for n in range(CALLERS)]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(0.5)
        await lose_all(site)
        restart = asyncio.create_task(restart_all(site))
        await asyncio.sleep(SECOND_LOSS_S)
        await lose_all(site)
        await asyncio.gather(restart, return_exceptions=True)
        await restart_all(site)
        async with asyncio.timeout(RETURN_TIMEOUT_S):
            for vm in site.vms:
                while not await is_whole(site, vm):
                    await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        for task in tasks:
            assert not task.done()
            task.cancel()
        received: list[str] = []
        for runner in site.runners:
            received.extend(r.request_id.decode() for r in runner.received)
        unsafe = [one for one in received if one.startswith("c")]
        assert len(unsafe) == len(set(unsafe))
        for caller in callers:
            assert caller.served and set(caller.served) <= set(unsafe)
            assert not set(caller.refused) & set(unsafe)
            assert caller.codes <= {200, 502, 503, 504}

    run_processes(
        scenario, answer, tmp_path, vms=VMS, more_settings="bootstrap: false\n"
    )
