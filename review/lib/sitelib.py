"""A small deployment on loopback: the project's daemons as processes, and stand-ins.

The daemons run with the command of deploy/system.toml. The store and the plain runner
are the project's own stand-ins (platform/fakes); the platform's API is here. All times
are seconds since the start of the case, on the real clock.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import web

from fakes.runner import FakeRunner
from fakes.store import FakeKvStore

REPO = Path(__file__).resolve().parents[2]
HOST = "front.example"
KEY = "secret-key"
TENANT = "acme"
GRACE_S = 8.0

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


def has_trouble() -> bool:
    """Tell whether to cause the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        print(f"{self.now():8.3f}  {text}", file=self._file, flush=True)


class Cloud:
    """The platform's API: accepts usage reports and orders, without a fencing check.

    An order for spot runners in one of `dry_zones` is answered 409: none to be had.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.dry_zones: set[str] = set()
        self.calls: list[dict] = []
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_post("/usage", self._handle)
        app.router.add_post("/scale", self._handle)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def _handle(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        call = {
            "at": self.record.now(),
            "path": request.path,
            "holder": request.headers.get("Duty-Holder"),
            "fence": int(request.headers.get("Fencing-Token", "0")),
            "body": body,
        }
        self.calls.append(call)
        self.record.write(
            f"platform: POST {request.path} from {call['holder']}"
            f" fence {call['fence']} {json.dumps(body)}"
        )
        is_dry = body.get("spot") and body.get("zone") in self.dry_zones
        return web.Response(status=409 if is_dry else 200)

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()


class Link:
    """One machine's link to one server of the platform, which can be cut.

    Bytes that a machine sends on an open connection during the cut arrive when TCP sends
    them again after it: 0.2, 0.6, 1.4, 3.0, 6.2 ... s after they were sent. They are lost
    if the machine resets the connection. A connection that is opened during the cut is
    never established, so what is written to it is dropped.
    """

    def __init__(self, target: str, record: Record, name: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._record = record
        self._name = name
        self._server: asyncio.Server | None = None
        self._cut_until: float | None = None
        self.healed_at = 0.0
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def cut(self, for_s: float) -> None:
        self._cut_until = self._record.now() + for_s
        self.healed_at = self._cut_until

    def _is_cut(self) -> bool:
        return self._cut_until is not None and self._record.now() < self._cut_until

    def _compute_arrival(self) -> float:
        """Return when bytes that are sent now arrive."""
        sent = self._record.now()
        if not self._is_cut():
            return sent
        pause = 0.2
        arrival = sent + pause
        while arrival <= self._cut_until:
            pause *= 2
            arrival += pause
        return arrival

    async def _serve(self, reader, writer) -> None:
        if self._is_cut():
            try:
                while await reader.read(65_536):
                    pass
            except OSError:
                pass
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        back = asyncio.create_task(self._pass_on(up_reader, writer, False))
        try:
            await self._pass_on(reader, up_writer, True)
        finally:
            back.cancel()
            writer.transport.abort()
            up_writer.transport.abort()

    async def _pass_on(self, reader, writer, is_outbound: bool) -> None:
        """Pass bytes on in order; end without the rest if the sender resets."""
        queue: asyncio.Queue = asyncio.Queue()
        was_reset = False

        async def deliver() -> None:
            last = 0.0
            while True:
                data, sent, arrival = await queue.get()
                last = max(last, arrival)
                await asyncio.sleep(max(0.0, last - self._record.now()))
                if was_reset:
                    return
                if not data:
                    if not writer.is_closing():
                        writer.write_eof()
                    return
                if is_outbound and arrival > sent + 0.05:
                    first = data.split(b"\r\n", 1)[0].decode("latin-1")
                    self._record.write(
                        f"link {self._name}: bytes sent at {sent:.3f} s arrive: {first}"
                    )
                writer.write(data)

        delivery = asyncio.create_task(deliver())
        try:
            data = b"-"
            while data:
                data = await reader.read(65_536)
                queue.put_nowait((data, self._record.now(), self._compute_arrival()))
        except OSError:
            was_reset = True
            queue.put_nowait((b"", self._record.now(), self._record.now()))
        try:
            await delivery
            if is_outbound:
                await asyncio.sleep(0.5)
        finally:
            delivery.cancel()


class Vm:
    """One machine with the daemon of the deploy file as a process of its own."""

    def __init__(self, site: "Site", number: int) -> None:
        self.site = site
        self.name = f"front-a-{number}"
        self.ip = f"127.{site.net}.0.{10 + number}"
        self.process: asyncio.subprocess.Process | None = None
        self.ended_by_case = False
        self.store_address = site.store.address
        self.cloud_address = site.cloud.address
        self.starts = 0

    @property
    def callers(self) -> tuple[str, int]:
        return self.ip, self.site.ports["front"]

    def write_settings(self, bootstrap: bool) -> Path:
        """Write deploy/settings.yaml as the platform fills it in."""
        site = self.site
        ports = site.ports
        seeds = ",".join(f'"{vm.ip}:{ports["control"]}"' for vm in site.vms[:3])
        text = f"""node: "{self.name}"
domain: "a"
domains: ["a","b","c",]
addresses:
  callers: "{self.ip}:{ports["front"]}"
  ready: "{self.ip}:{ports["ready"]}"
  directory: "{self.ip}:{ports["directory"]}"
  links: "{self.ip}:{ports["links"]}"
  metrics_port: {ports["metrics"]}
  calls: "{self.ip}:{ports["calls"]}"
store:
  address: "{self.store_address}"
  orders_address: "{self.cloud_address}"
fleet: "{site.store.address}/{site.cloud.address}"
bootstrap: {"true" if bootstrap else "false"}
seeds: [{seeds}]
cpu_share: 0.537
cores: 2
link_mbps: 1000.0
duties:
  enabled: ["usage_reporting","scaling"]
  window_ms: 5000
  report_late_ms: 10000
  least_lease_ms: 3000
retries:
  ratio: 0.2
  slack: 54
drain:
  grace_ms: 8000
"""
        path = site.folder / f"{self.name}.yaml"
        path.write_text(text, encoding="utf-8")
        return path

    async def start(self, bootstrap: bool = True) -> None:
        """Start the daemon with the command of deploy/system.toml."""
        settings = self.write_settings(bootstrap)
        self.starts += 1
        log = (self.site.folder / f"{self.name}.{self.starts}.log").open("wb")
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin")}
        env["HOME"] = str(self.site.folder)
        env["PYTHONPATH"] = str(REPO / "target" / "deps")
        env["PLANTAINWOOD_SETTINGS"] = str(settings)
        self.ended_by_case = False
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "platform/main.py",
            cwd=REPO,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=asyncio.subprocess.STDOUT,
        )
        log.close()
        self.site.record.write(f"{self.name}: process started")

    async def is_ready(self) -> bool:
        status, _ = await plain_get(
            self.ip, self.site.ports["ready"], "/plantainwood/ready"
        )
        return status == 200

    def signal(self, signum: int) -> None:
        """Send a signal to this machine's process, which this case started."""
        assert self.process is not None
        if self.process.returncode is None:
            if signum in (signal.SIGTERM, signal.SIGKILL):
                self.ended_by_case = True
            self.process.send_signal(signum)
            self.site.record.write(f"{self.name}: {signal.Signals(signum).name} sent")

    def read_log(self) -> str:
        path = self.site.folder / f"{self.name}.{self.starts}.log"
        return path.read_text(encoding="utf-8", errors="replace")


async def plain_get(ip: str, port: int, path: str) -> tuple[int, bytes]:
    """Send a GET request; return (0, b"") if there is no answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return int(head.split()[1]), head
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


class Site:
    """The store, the platform's API, runners and machines of one case."""

    def __init__(self, case: Path, vms: int) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = random.randint(2, 250)
        self.store = FakeKvStore()
        self.cloud = Cloud(self.record)
        self.runners: dict[str, FakeRunner] = {}
        self.ports: dict[str, int] = {}
        self.vms: list[Vm] = []
        self._vm_count = vms

    async def start_standins(self) -> None:
        await self.store.start()
        await self.cloud.start()
        names = ("front", "ready", "directory", "control", "links", "calls", "metrics")
        self.ports = dict(zip(names, self._find_ports(len(names)), strict=True))
        for number in range(1, self._vm_count + 1):
            self.vms.append(Vm(self, number))

    def _find_ports(self, count: int) -> list[int]:
        """Return ports that are free at every machine's address."""
        found: list[int] = []
        while len(found) < count:
            port = random.randint(20_000, 32_000)
            if port in found:
                continue
            try:
                for number in range(1, self._vm_count + 1):
                    with socket.socket() as sock:
                        sock.bind((f"127.{self.net}.0.{10 + number}", port))
            except OSError:
                continue
            found.append(port)
        return found

    async def add_runner(self, name: str, script, **entry) -> FakeRunner:
        """Start a runner and register it."""
        runner = FakeRunner(script)
        await runner.start()
        self.runners[name] = runner
        self.register(name, **entry)
        return runner

    def register(self, name: str, **changes) -> None:
        """Write a runner's entry to the store, as the runner does."""
        entry = {
            "service": "pool",
            "address": self.runners[name].address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **changes,
        }
        self.store.put(f"servers/{name}", json.dumps(entry))

    def configure(self, version: int = 1, **changes) -> None:
        """Write a configuration, as the operator does."""
        self.put_config(make_config(version, **changes))

    def put_config(self, config: dict) -> None:
        """Write a whole configuration, as the operator does."""
        self.store.put("op/config", json.dumps(config))

    async def start_vms(self) -> None:
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await self.wait(vm.is_ready, 20.0, f"{vm.name} ready")
        await asyncio.sleep(2.0)

    async def wait(self, condition, within_s: float, what: str) -> None:
        """Poll an asynchronous condition; raise TimeoutError if it does not hold."""
        until = self.record.now() + within_s
        while not await condition():
            if self.record.now() > until:
                raise TimeoutError(f"not within {within_s} s: {what}")
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.signal(signal.SIGCONT)
                vm.signal(signal.SIGKILL)
                await vm.process.wait()
        for runner in self.runners.values():
            await runner.stop()
        await self.cloud.stop()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def find_ended(self) -> list[str]:
        """Return the machines whose process ended though the case did not end it."""
        found: list[str] = []
        for vm in self.vms:
            if vm.process is None or vm.ended_by_case:
                continue
            if vm.process.returncode is not None:
                found.append(f"{vm.name}: exit {vm.process.returncode}")
        return found


def make_config(version: int = 1, **changes) -> dict:
    """Return a configuration with a route of each kind; `changes` replace fields."""
    base = {
        "host": HOST,
        "timeoutMs": 15_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "pool",
        "attempts": 2,
        "public": False,
    }
    routes = [
        {
            **base,
            "name": "resumable",
            "prefix": "/s/",
            "kind": "stream",
            "resumable": True,
            "gapTargetMs": 1_000,
        },
        {
            **base,
            "name": "stream",
            "prefix": "/n/",
            "kind": "stream",
            "attempts": 1,
            "gapTargetMs": 1_000,
        },
        {**base, "name": "unsafe", "prefix": "/u/", "kind": "unsafe", "attempts": 1},
        {**base, "name": "safe", "prefix": "/r/", "kind": "safe"},
    ]
    limits = {
        "headerBytes": 16_384,
        "bodyBytes": 4_194_304,
        "headerTimeoutMs": 5_000,
        "idleTimeoutMs": 30_000,
    }
    config = {
        "version": version,
        "routes": routes,
        "services": [{"name": "pool", "healthPath": "/health"}],
        "limits": limits,
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }
    config.update(changes)
    return config


def encode_request(
    method: str,
    path: str,
    request_id: str,
    body: bytes = b"",
    deadline_ms: int = 15_000,
    key: str = KEY,
    **headers: str,
) -> bytes:
    """Return a client's request; underscores in header names are sent as hyphens."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Remaining: {deadline_ms}",
        f"Authorization: Token {key}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    """What a client read on its connection for one request."""

    def __init__(self) -> None:
        self.status = 0
        self.head = b""
        self.body = b""
        self.complete = False
        """Whether the answer came to its proper end."""
        self.problem = ""
        """Bytes that are no answer in the protocol."""
        self.raw = b""
        self.ended_at = 0.0


async def read_answer(reader: asyncio.StreamReader, record: Record) -> Answer:
    """Read one answer strictly; it ends early if the connection ends."""
    answer = Answer()

    async def take(count: int) -> bytes:
        data = await reader.readexactly(count)
        answer.raw += data
        return data

    async def take_line() -> bytes:
        line = await reader.readuntil(b"\r\n")
        answer.raw += line
        return line

    try:
        answer.head = await reader.readuntil(b"\r\n\r\n")
        answer.raw += answer.head
        answer.status = int(answer.head.split()[1])
        headers = answer.head.lower()
        if b"\r\ntransfer-encoding: chunked" in headers:
            while True:
                line = await take_line()
                try:
                    size = int(line.split(b";")[0].strip(), 16)
                except ValueError:
                    answer.problem = f"no chunk size: {line[:60]!r}"
                    answer.raw += await reader.read(65_536)
                    break
                if size == 0:
                    await take_line()
                    answer.complete = True
                    break
                answer.body += await take(size)
                if await take(2) != b"\r\n":
                    answer.problem = "no line end after a chunk"
                    break
        else:
            length = 0
            for line in headers.split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            answer.body = await take(length)
            answer.complete = True
    except (asyncio.IncompleteReadError, OSError) as error:
        answer.raw += getattr(error, "partial", b"")
    answer.ended_at = record.now()
    return answer


async def send(vm: Vm, data: bytes, timeout_s: float = 20.0, label: str = "") -> Answer:
    """Send a request on a new connection and read the answer."""
    record = vm.site.record
    record.write(f"client: to {vm.name}: {label or data.splitlines()[0].decode()}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*vm.callers)
            writer.write(data)
            answer = await read_answer(reader, record)
    except (OSError, TimeoutError) as error:
        answer = Answer()
        answer.problem = f"no answer: {error!r}"
        answer.ended_at = record.now()
    finally:
        if writer is not None:
            writer.close()
    record.write(
        f"client: {label}: status {answer.status}, {len(answer.body)} bytes of body,"
        f" {'complete' if answer.complete else 'not complete'} {answer.problem}"
    )
    return answer


def encode_head(request, status: int, extra: str, seal: str = "") -> bytes:
    """Return a runner's head with its id and signature."""
    name = request.request_id.decode()
    return (
        f"HTTP/1.1 {status} X\r\nRequest-Id: {name}\r\n"
        f"Response-Seal: {seal or 'seal-' + name}\r\n{extra}\r\n"
    ).encode()


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def run_case(case_file: str, main, vms: int = 1) -> None:
    """Run a case and exit with 0 (held), 1 (broken) or 2 (could not run).

    `main` takes the site, and returns whether the rule held.
    """
    case = Path(case_file).resolve().parent

    async def run() -> int:
        site = Site(case, vms)
        try:
            async with asyncio.timeout(115.0):
                await site.start_standins()
                held = await main(site)
            code = HELD if held else BROKEN
        except Exception as error:  # the case could not be played
            site.record.write(f"could not run: {error!r}")
            code = COULD_NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                for vm in site.vms:
                    for path in site.folder.glob(f"{vm.name}.*.log"):
                        shutil.copy(path, os.environ["KEEP_LOGS"])
            await site.stop()
        site.record.write({0: "held", 1: "broken", 2: "could not run"}[code])
        return code

    sys.exit(asyncio.run(run()))
