"""A small deployment for the scripts of this review: VMs as processes, stand-ins here.

The store and the runners are the project's own stand-ins (platform/fakes). The cloud
API, the key parts of the settings and the watch on memory are written here, as
DEPLOY.md and PROTOCOL.md describe them. Everything listens on loopback.
"""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "target/deps"), str(ROOT / "platform"), str(ROOT)]

import aiohttp  # noqa: E402
import msgspec  # noqa: E402
from aiohttp import web  # noqa: E402

from fakes.runner import FakeRunner, make_response  # noqa: E402
from fakes.store import FakeKvStore  # noqa: E402
from standins.ports import find_ports  # noqa: E402

HOST = "front.example"
KEY = "Token key-of-acme"
ZONES = ("ba-norte", "ba-oeste", "ba-sur")
MEMORY_MB = 150
DESCRIPTORS = 4_100
BODY_BYTES = 4_194_304
"""`body_bytes` of the site file."""
RESTART_S = 0.5
START_S = 30.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble() -> bool:
    """Return whether the disruption is on; TROUBLE=0 turns it off."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of what was sent, answered and run; written to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._began_s = time.monotonic()
        self._path.write_text("")

    def add(self, text: str) -> None:
        """Add one line with the seconds since the start."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        with self._path.open("a") as file:
            file.write(line + "\n")
        print(line, flush=True)


class Cloud:
    """The platform's API: accepts all reports and orders, and keeps them."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, int, dict]] = []
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_post("/{call}", self._handle)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        holder = request.headers["Duty-Holder"]
        fence = int(request.headers["Fencing-Token"])
        self.calls.append((request.match_info["call"], holder, fence, body))
        return web.Response(status=200)


class Vm:
    """One machine: its process, started with the command of deploy/system.toml."""

    def __init__(self, site: "Site", number: int, ports: list[int]) -> None:
        self.site = site
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.ports = ports
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[str] = []
        """Why its process ended, each time, other than at the end of the script."""
        self.most_mb = 0.0
        self.log_path = site.folder / f"{self.name}.log"

    @property
    def address(self) -> str:
        """Return the address that clients use."""
        return f"127.0.0.1:{self.ports[0]}"

    def _write_settings(self) -> Path:
        host = "127.0.0.1"
        site = self.site
        zones = ", ".join(f'"{zone}"' for zone in ZONES)
        regions = ", ".join(f'"{zone}": "ba-centro"' for zone in ZONES)
        seeds = ", ".join(f'"{host}:{vm.ports[6]}"' for vm in site.vms[:3])
        path = site.folder / f"{self.name}.yaml"
        path.write_text(f"""node: "{self.name}"
domain: "{self.zone}"
regions: {{ {regions} }}
domains: [{zones}]
addresses:
  callers: "{host}:{self.ports[0]}"
  ready: "{host}:{self.ports[1]}"
  directory: "{host}:{self.ports[2]}"
  links: "{host}:{self.ports[3]}"
  metrics_port: {self.ports[4]}
  calls: "{host}:{self.ports[5]}"
store:
  address: "{site.store.address}"
  orders_address: "{site.cloud.address}"
fleet: "{site.store.address}/{site.cloud.address}"
bootstrap: {"false" if self.ends else "true"}
seeds: [{seeds}]
cpu_share: 0.537
cores: 2
link_mbps: 1000.0
memory_mb: {MEMORY_MB}
file_descriptors: {DESCRIPTORS}
duties:
  enabled: ["usage_reporting", "scaling"]
  window_ms: 5000
  report_late_ms: 10000
  least_lease_ms: 3000
retries:
  ratio: 0.2
  slack: 54
drain:
  grace_ms: 8000
""")
        return path

    async def start(self) -> None:
        """Start the process; do not wait until it is ready."""
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PLANTAINWOOD_SETTINGS": str(self._write_settings()),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "platform/main.py"),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )

    async def is_ready(self) -> bool:
        """Ask the ready address, as the platform does."""
        url = f"http://127.0.0.1:{self.ports[1]}/plantainwood/ready"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.site.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return False

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        async with asyncio.timeout(START_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def read_memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1_024
        return 0.0


class Site:
    """The VMs, with one store, one cloud API and the runners."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = FakeKvStore()
        self.cloud = Cloud()
        self.vms: list[Vm] = []
        self.runners: list[FakeRunner] = []
        self.session: aiohttp.ClientSession
        self._watch: asyncio.Task | None = None
        self.kills_for_memory = True

    async def add_runner(self, script, instance: str, **entry) -> FakeRunner:
        """Start a runner and register it in the store."""
        runner = FakeRunner(script)
        await runner.start()
        self.runners.append(runner)
        value = {
            "service": "agenda-app",
            "address": runner.address,
            "zone": ZONES[len(self.runners) % len(ZONES)],
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_790_000_000_000,
            **entry,
        }
        self.store.put(f"servers/{instance}", msgspec.json.encode(value))
        return runner

    async def start(self, count: int, config: dict) -> None:
        """Start the VMs; return once all are ready and have had a moment to meet."""
        self.session = aiohttp.ClientSession()
        await self.cloud.start()
        self.store.put("op/config", msgspec.json.encode(config))
        ports = find_ports(7 * count)
        for number in range(count):
            self.vms.append(Vm(self, number, ports[7 * number : 7 * number + 7]))
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await vm.wait_ready()
        self._watch = asyncio.create_task(self._watch_processes())
        await asyncio.sleep(2.0)

    async def _watch_processes(self) -> None:
        """Kill what exceeds its machine's memory, start what has ended (DEPLOY.md)."""
        while True:
            for vm in self.vms:
                assert vm.process is not None
                used_mb = vm.read_memory_mb()
                vm.most_mb = max(vm.most_mb, used_mb)
                if used_mb > MEMORY_MB and self.kills_for_memory:
                    self.record.add(f"{vm.name} holds {used_mb:.0f} MB: killed")
                    vm.process.send_signal(signal.SIGKILL)
                    await vm.process.wait()
                    vm.ends.append("memory")
                    await asyncio.sleep(RESTART_S)
                    await vm.start()
                elif vm.process.returncode is not None:
                    self.record.add(f"{vm.name} ended with {vm.process.returncode}")
                    vm.ends.append("exit")
                    await asyncio.sleep(RESTART_S)
                    await vm.start()
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """End everything that was started."""
        if self._watch is not None:
            # A process that it is just starting ends with it.
            self._watch.cancel()
            await asyncio.gather(self._watch, return_exceptions=True)
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGKILL)
        for vm in self.vms:
            if vm.process is not None:
                await vm.process.wait()
        for runner in self.runners:
            await runner.stop()
        await self.cloud.stop()
        await self.store.stop()
        await self.session.close()


def make_route(name: str, prefix: str, kind: str, **changes) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1_500,
        "targetLatencyMs": 125,
        "priority": 2,
        "service": "agenda-app",
        "attempts": 2 if kind == "safe" else 1,
        "public": False,
        **changes,
    }


def make_config(routes: list[dict], services: list[dict], version: int = 1) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "headerBytes": 16_384,
            "bodyBytes": BODY_BYTES,
            "headerTimeoutMs": 10_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "acme", "apiKeys": [KEY.split()[1]]}],
    }


def make_head(method: str, path: str, request_id: str, *more: str) -> bytes:
    """Return the head of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Authorization: {KEY}",
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body."""
    body = b""
    while True:
        size = int(await reader.readline(), 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return body
        body += piece[:-2]


async def send(
    address: str, method: str, path: str, request_id: str, body: bytes = b"", ms=1_500
) -> tuple[int, bytes]:
    """Send a request on a new connection; return status and body, 0 without one."""
    host, _, port = address.rpartition(":")
    more = [f"Deadline-Remaining: {ms}"]
    if method == "POST":
        more.append(f"Content-Length: {len(body)}")
    try:
        async with asyncio.timeout(ms / 1_000 + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(make_head(method, path, request_id, *more) + body)
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split()[1])
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                if b"chunked" in head.lower():
                    return status, await read_chunks(reader)
                return status, await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, b""


def make_answer(request, body: bytes) -> bytes:
    """Return a sound answer of a plain runner."""
    return make_response(request, body, extra="Server-Load: 1,0,6\r\n")


def run(scenario, folder: Path, limit_s: float = 110.0) -> None:
    """Run a scenario and exit with its result; 2 if it could not run."""
    record = Record(folder)
    work = Path(tempfile.mkdtemp())

    async def main() -> int:
        site = Site(work, record)
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await site.store.start()
        try:
            async with asyncio.timeout(limit_s):
                return await scenario(site, record)
        finally:
            await site.stop()

    try:
        result = asyncio.run(main())
    except BaseException as error:  # The case could not run, or was ended.
        record.add(f"could not run: {error!r}")
        result = NOT_RUN
    finally:
        shutil.rmtree(work, ignore_errors=True)
    record.add(f"result {result}")
    sys.exit(result)
