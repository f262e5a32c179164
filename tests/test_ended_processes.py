"""The processes of a test end with it, also if its end is cancelled."""

import asyncio
import contextlib
import sys

from tests.processsite import ProcessSite, VmProcess

LIFETIME_S = 60
END_S = 10.0


async def cancel_the_end(site: ProcessSite) -> list[int]:
    """Cancel the end of a site with two processes; return how the processes ended."""
    for number in range(2):
        vm = VmProcess(site, number, [])
        vm.process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", f"import time; time.sleep({LIFETIME_S})"
        )
        site.vms.append(vm)
    end = asyncio.create_task(site.stop())
    await asyncio.sleep(0)
    end.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await end
    async with asyncio.timeout(END_S):
        return [await vm.process.wait() for vm in site.vms]


# Guards against daemons that live on after a test whose sites failed one after the
# other: they held the ports of the next test.
def test_all_processes_end_though_the_end_is_cancelled(tmp_path):
    assert asyncio.run(cancel_the_end(ProcessSite(tmp_path))) == [-9, -9]
