"""VMs as processes of their own; the store and the runners run in the test's."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import aiohttp

from fakes.runner import FakeRunner
from fakes.store import FakeKvStore
from standins.ports import find_ports
from tests.edgesite import AUTHORIZATION, HOST, make_config, make_entry

ROOT = Path(__file__).resolve().parent.parent
PORTS_PER_VM = 6
START_TIMEOUT_S = 20
SCENARIO_TIMEOUT_S = 60
POLL_S = 0.02


class VmProcess:
    """One VM's daemon, started from a source tree as deploy/system.toml says."""

    def __init__(self, site: "ProcessSite", number: int, ports: list[int]) -> None:
        self.site = site
        self.name = f"vm-{number}"
        self.domain = "ab"[number % 2]
        self.ports = ports
        self.root = ROOT
        """The source tree that the daemon runs from."""
        self.store_address = site.store.address
        self.orders_address = "127.0.0.1:1"
        self.more_settings = ""
        """Further sections of the settings file, as YAML."""
        self.process: asyncio.subprocess.Process
        self._log_path = site.folder / f"{self.name}.log"

    @property
    def caller_url(self) -> str:
        """Return the URL that callers use."""
        return f"http://127.0.0.1:{self.ports[0]}"

    def _write_settings(self) -> Path:
        host = "127.0.0.1"
        path = self.site.folder / f"{self.name}.yaml"
        path.write_text(f"""node: "{self.name}"
domain: "{self.domain}"
domains: ["a", "b"]
addresses:
  callers: "{host}:{self.ports[0]}"
  ready: "{host}:{self.ports[1]}"
  directory: "{host}:{self.ports[2]}"
  links: "{host}:{self.ports[3]}"
  metrics_port: {self.ports[4]}
  calls: "{host}:{self.ports[5]}"
store:
  address: "{self.store_address}"
  orders_address: "{self.orders_address}"
fleet: "0123456789abcdef"
{self.more_settings}""")
        return path

    async def start(self) -> None:
        """Start the daemon and wait until it is ready."""
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "PLANTAINWOOD_SETTINGS": str(self._write_settings()),
        }
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/main.py",
                cwd=self.root,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(
                        f"{self.name} ended: {self._read_log()[-2_000:]}"
                    )
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        url = f"http://127.0.0.1:{self.ports[1]}/plantainwood/ready"
        try:
            async with self.site.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process.returncode is None:
            self.process.send_signal(signum)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def list_events(self, event: str) -> list[str]:
        """Return the log lines of an event."""
        lines = self._read_log().splitlines()
        return [line for line in lines if f" event={event} " in f"{line} "]

    def has_logged(self, event: str, field: str) -> bool:
        """Return whether the log has an event with a field, written as name=value."""
        return any(f" {field} " in f"{line} " for line in self.list_events(event))

    def list_lines(self, request_id: str) -> list[str]:
        """Return the log lines of a caller's request."""
        lines = self._read_log().splitlines()
        return [line for line in lines if f" request={request_id} " in line]

    def _read_log(self) -> str:
        return self._log_path.read_text(errors="replace")


class ProcessSite:
    """VMs that share one fake store and the fake runners."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = FakeKvStore()
        self.runners: list[FakeRunner] = []
        self.vms: list[VmProcess] = []
        self.more_settings = ""
        self.session: aiohttp.ClientSession

    async def add_runner(self, script, **entry) -> FakeRunner:
        """Start a runner and register it as the next i-N."""
        runner = FakeRunner(script)
        await runner.start()
        number = len(self.runners)
        self.runners.append(runner)
        entry = {"zone": "ab"[number % 2], **entry}
        self.store.put(f"servers/i-{number}", make_entry(runner, **entry))
        return runner

    async def start(self, script, runners: int, vms: int, roots: list[Path]) -> None:
        """Start the store, the runners and the VMs, these in turn from the trees."""
        await self.store.start()
        for _ in range(runners):
            await self.add_runner(script)
        self.store.put("op/config", make_config())
        ports = find_ports(PORTS_PER_VM * vms)
        for number in range(vms):
            first = PORTS_PER_VM * number
            vm = VmProcess(self, number, ports[first : first + PORTS_PER_VM])
            vm.root = roots[number % len(roots)]
            vm.more_settings = self.more_settings
            self.vms.append(vm)
        async with asyncio.TaskGroup() as group:
            for vm in self.vms:
                group.create_task(vm.start())

    async def call(self, vm: VmProcess, path: str, request_id: str, **headers):
        """Send a caller's request on a connection; return (status, headers, body)."""
        all_headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Authorization": AUTHORIZATION,
            "Deadline-Remaining": "4000",
        }
        for name, text in headers.items():
            all_headers[name.replace("_", "-")] = text
        async with self.session.get(
            vm.caller_url + path, headers=all_headers
        ) as response:
            return response.status, response.headers, await response.read()

    async def wait_for_config(self, version: int, at_most_s: float) -> None:
        """Wait until each VM has a version of the configuration in force.

        What was written to the store before it is in force too. Go on after
        `at_most_s`: what the test then sees is for its assertions to judge.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(at_most_s):
                await self._poll_for_config(version)
                return
        print(f"configuration {version} not in force everywhere in {at_most_s} s")

    async def _poll_for_config(self, version: int) -> None:
        for vm in self.vms:
            while not vm.has_logged("config_in_force", f"version={version}"):
                await asyncio.sleep(POLL_S)

    def list_ended(self) -> list[str]:
        """Return the VMs whose process has ended."""
        return [vm.name for vm in self.vms if vm.process.returncode is not None]

    async def stop(self) -> None:
        """End all processes that were started, and the stand-ins.

        The processes end even if this is cancelled.
        """
        started = [vm for vm in self.vms if hasattr(vm, "process")]
        for vm in started:
            vm.signal(signal.SIGKILL)
        for vm in started:
            await vm.process.wait()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()


def run_processes(
    scenario,
    script,
    folder: Path,
    runners: int = 3,
    vms: int = 3,
    roots=(ROOT,),
    more_settings: str = "",
) -> None:
    """Run a scenario on new VMs that are ready; all processes have ended after it.

    `more_settings` is added to the settings file of each VM, as YAML.
    """

    async def main() -> None:
        site = ProcessSite(folder)
        site.more_settings = more_settings
        async with aiohttp.ClientSession() as session:
            site.session = session
            try:
                async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                    await site.start(script, runners, vms, list(roots))
                    await scenario(site)
            finally:
                await site.stop()

    asyncio.run(main())
