"""Faults of the soak: drawn by a seed, in series, overlapping."""

import asyncio
import json
import math
import random
import signal

from soak.disturbances import Disturbances
from soak.runners import STREAM_MS, Run, SoakRunner
from soak.storefaults import StoreFaults
from tests.dutyplatform import SERVICE
from tests.edgesite import make_config, make_entry
from tests.processsite import ProcessSite, VmProcess
from tests.tcppath import TcpPath
from tests.test_odd_entries import ENTRY, ODD_ENTRIES, nest

FAULT_GAP_S = (0.2, 1.2)
MAX_ODD_ENTRIES = 6
GRACE_S = 8.0
FREEZE_S = (0.3, 4.0)
RELEASED = 4
"""Runners of the new version in a release."""
RESTART_S = (0.5, 3.0)
PATH_DELAY_S = (0.1, 0.65)
KEYS_IN_USE = 3
"""The keys that clients use, the withdrawn ones included."""


class Operator:
    """Change runners, keys and versions, and disturb VMs and the store."""

    def __init__(self, site: ProcessSite, source: random.Random) -> None:
        self.site = site
        self.runs: list[Run] = []
        self.runners: dict[str, SoakRunner] = {}
        self.left_s: dict[str, float] = {}
        """When the store acknowledged that a runner drains or is gone."""
        self.withdrawn_s: dict[str, float] = {}
        self.added_s: dict[str, float] = {}
        self.keys = ["key-0", "key-1"]
        self.platform_paths: dict[str, TcpPath] = {}
        """Each VM's path to the platform's API, by name."""
        self.disturbances = Disturbances()
        self.busy: set[str] = set()
        """VMs under a fault that have yet to come back."""
        self._source = source
        self._store_faults = StoreFaults(site.store, source, self.disturbances)
        self._version = 0
        self._runner_count = 0
        self._software = 1
        self._tasks: set[asyncio.Task] = set()

    async def set_up(self, runners: int) -> None:
        """Write the first configuration, and start runners."""
        self.write_config()
        for _ in range(runners):
            await self.add_runner()

    def write_config(self) -> None:
        """Write the next configuration, with the keys that are not withdrawn."""
        self._version += 1
        live = [key for key in self.keys if key not in self.withdrawn_s]
        tenants = [{"name": key, "apiKeys": [key]} for key in live]
        data = make_config(version=self._version, tenants=tenants, services=[SERVICE])
        config = json.loads(data)
        for route in config["routes"]:
            if route["kind"] == "stream":
                route["timeoutMs"] = STREAM_MS
        self.site.store.put("op/config", json.dumps(config))

    async def add_runner(self) -> None:
        """Start a runner of the newest software version."""
        self._runner_count += 1
        name = f"i-{self._runner_count}"
        runner = SoakRunner(
            name,
            f"v{self._software}",
            random.Random(self._source.random()),
            self.runs,
        )
        await runner.start()
        self.runners[name] = runner
        self.site.runners.append(runner)
        self._register(name, "ready")

    def _register(self, name: str, state: str) -> None:
        runner = self.runners[name]
        zone = "ab"[int(name.removeprefix("i-")) % 2]
        entry = make_entry(runner, version=runner.version, state=state, zone=zone)
        self.site.store.put(f"servers/{name}", entry)

    async def run(self, stop: asyncio.Event) -> None:
        """Cause one fault after the other; they overlap."""
        faults = [
            self._drain_a_runner,
            self._crash_a_runner,
            self._remove_a_runner,
            self._let_a_runner_say_that_it_leaves,
            self._write_an_odd_entry,
            self._write_an_odd_entry,
            self._change_keys,
            self.freeze_a_vm,
            self._kill_a_vm,
            self._stop_a_vm,
            self._store_faults.disturb,
            self._store_faults.bring_back,
            self._signal_settings,
            self._disturb_a_path,
            self._disturb_a_path,
        ]
        while not stop.is_set():
            task = asyncio.create_task(self._source.choice(faults)())
            self._tasks.add(task)
            await asyncio.sleep(self._source.uniform(*FAULT_GAP_S))
        await asyncio.gather(*self._tasks)

    async def _drain_a_runner(self) -> None:
        """Start a runner, of a later version at times, and let another one leave."""
        if self._source.random() < 0.3:
            self._software += 1
        await self.add_runner()
        ready = self.list_ready()
        if len(ready) < 4 or self.site.store.faults.down:
            return
        name = self._source.choice(ready[:-1])
        self._register(name, "draining")
        self.left_s[name] = asyncio.get_running_loop().time()

    def list_ready(self) -> list[str]:
        """Return the runners that don't leave."""
        return [name for name in self.runners if name not in self.left_s]

    async def release(self) -> None:
        """Let runners of the next version come, and all others drain."""
        old = self.list_ready()
        self._software += 1
        for _ in range(RELEASED):
            await self.add_runner()
        for name in old:
            self._register(name, "draining")
            self.left_s[name] = asyncio.get_running_loop().time()

    async def _remove_a_runner(self) -> None:
        """Remove a runner's entry without a word; it serves on."""
        name = self._take_ready_runner()
        if name is None:
            return
        self._store_faults.remove(f"servers/{name}")
        self.left_s[name] = asyncio.get_running_loop().time()
        await self.add_runner()

    async def _let_a_runner_say_that_it_leaves(self) -> None:
        """Let a runner's answers say that it leaves, long before its entry does."""
        name = self._take_ready_runner()
        if name is None:
            return
        self.left_s[name] = math.inf
        self.runners[name].says_leaving = True
        await self.add_runner()

    def _take_ready_runner(self) -> str | None:
        """Return a runner that may leave; None if there are too few, or no store."""
        ready = self.list_ready()
        if len(ready) < 4 or self.site.store.faults.down:
            return None
        return self._source.choice(ready)

    async def _crash_a_runner(self) -> None:
        """Let a runner end for no reason of a request's; another one comes for it."""
        name = self._take_ready_runner()
        if name is None:
            return
        self.left_s[name] = math.inf
        await self.runners[name].stop()
        for run in self.runs:
            run.broke_off |= run.instance == name
        await asyncio.sleep(self._source.uniform(*RESTART_S))
        self._store_faults.remove(f"servers/{name}")
        await self.add_runner()

    async def _write_an_odd_entry(self) -> None:
        number = self._source.randrange(MAX_ODD_ENTRIES)
        self.site.store.put(f"servers/odd-{number}", self._make_odd_entry())

    def _make_odd_entry(self) -> bytes:
        if self._source.random() < 0.5:
            return self._source.choice(self._source.choice(list(ODD_ENTRIES.values())))
        text = bytearray(json.dumps(ENTRY).encode())
        for _ in range(self._source.randint(1, 5)):
            piece = self._source.choice(
                [nest(2_000).encode(), b"9" * 400, b"\xff", b'"', b"-", b"1e400", b""]
            )
            at = self._source.randrange(len(text))
            text[at : at + self._source.randint(0, 9)] = piece
        return bytes(text)

    async def _change_keys(self) -> None:
        """Withdraw the older key, and add one."""
        now_s = asyncio.get_running_loop().time()
        live = [key for key in self.keys if key not in self.withdrawn_s]
        if self.site.store.faults.down:
            return
        self.withdrawn_s[live[0]] = now_s
        added = f"key-{self._version + 1}"
        self.keys.append(added)
        self.added_s[added] = now_s
        self.write_config()
        del self.keys[:-KEYS_IN_USE]

    def _take_vm(self) -> VmProcess | None:
        """Return a VM to disturb; None while half of them are disturbed."""
        if 2 * len(self.busy) >= len(self.site.vms) - 1:
            return None
        free = [vm for vm in self.site.vms if vm.name not in self.busy]
        vm = self._source.choice(free)
        self.busy.add(vm.name)
        self.disturbances.begin(vm.name)
        return vm

    def _give_back(self, vm: VmProcess) -> None:
        self.disturbances.end(vm.name)
        self.busy.discard(vm.name)

    async def freeze_a_vm(self, span_s: tuple[float, float] = FREEZE_S) -> None:
        """Let a VM stand still, unless enough are disturbed."""
        vm = self._take_vm()
        if vm is None:
            return
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(self._source.uniform(*span_s))
        vm.signal(signal.SIGCONT)
        self._give_back(vm)

    async def _kill_a_vm(self) -> None:
        vm = self._take_vm()
        if vm is None:
            return
        self.disturbances.record_kill(vm.name)
        await vm.kill()
        await asyncio.sleep(self._source.uniform(0.0, 1.0))
        await vm.start()
        self._give_back(vm)

    async def _stop_a_vm(self) -> None:
        vm = self._take_vm()
        if vm is None:
            return
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        vm.signal(signal.SIGTERM)
        self.disturbances.terms_s.setdefault(vm.name, []).append(began_s)
        try:
            async with asyncio.timeout(GRACE_S):
                await vm.process.wait()
            stops = self.disturbances.stops.setdefault(vm.name, [])
            stops.append((began_s, loop.time()))
        except TimeoutError:
            self.disturbances.record_kill(vm.name)
            await vm.kill()
        await vm.start()
        self._give_back(vm)

    async def _signal_settings(self) -> None:
        vm = self._take_vm()
        if vm is None:
            return
        vm.signal(signal.SIGHUP)
        self._give_back(vm)

    async def _disturb_a_path(self) -> None:
        """Cut a VM's path to the platform's API, or let it lose or delay calls."""
        path = self.platform_paths[self._source.choice(sorted(self.platform_paths))]
        kind = self._source.choice(["cut", "loss", "delay", "no answers"])
        if kind == "cut":
            path.cut()
        if kind == "loss":
            path.cut_after_connecting()
        if kind == "delay":
            path.delay_s = self._source.uniform(*PATH_DELAY_S)
        if kind == "no answers":
            path.hold_answers()
        await asyncio.sleep(self._source.uniform(0.3, 4.0))
        path.delay_s = 0.0
        path.heal()
