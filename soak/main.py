"""Run the soak: python -m soak.main SEED [SEEDS] [SECONDS] [VMS]."""

import asyncio
import math
import random
import re
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

import aiohttp

from soak.clients import RETRY_LATER, Call, Client
from soak.cuts import list_cut
from soak.excess import MACHINE, ExcessClients, list_large
from soak.faults import Operator
from soak.runners import Run
from soak.streamfaults import StreamFaults
from standins.ports import find_ports
from tests.dutyplatform import (
    FakePlatform,
    find_faults,
    find_turns,
    make_duty_settings,
)
from tests.processsite import PORTS_PER_VM, ProcessSite, VmProcess
from tests.tcppath import TcpPath

DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
CLIENTS_PER_VM = 3
RUNNERS = 5
SETTLE_S = 3.0
START_S = 1.5
NEVER_EXPECTED = (400, 403, 404, 422, 500)
ERROR_EVENTS = ("task_failed", "attempt_error")
DUTIES = ["usage_reporting", "scaling"]
DEFAULT_SECONDS = 30
DEFAULT_VMS = 4
MAX_PRINTED = 20
CALL_PATTERN = re.compile(r"c\d+-\d+")


class Soak:
    """One run by a seed: VMs, clients, an operator, and what was found."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.site = ProcessSite(folder)
        self._source = random.Random(seed)
        self.operator = Operator(self.site, random.Random(self._source.random()))
        self.clients: list[Client] = []
        self.ended: set[str] = set()
        self.platform = FakePlatform()

    async def run(self, seconds: float, vms: int) -> list[str]:
        """Run for a time; return the findings."""
        async with aiohttp.ClientSession() as session:
            self.site.session = session
            try:
                await self._start(vms)
                await self._play(seconds)
                return self._check()
            finally:
                await self.site.stop()
                for path in self.operator.platform_paths.values():
                    await path.stop()
                await self.platform.stop()

    async def _start(self, vms: int) -> None:
        site = self.site
        await site.store.start()
        await self.platform.start()
        await self.operator.set_up(RUNNERS)
        ports = find_ports(PORTS_PER_VM * vms)
        for number in range(vms):
            first = PORTS_PER_VM * number
            vm = VmProcess(site, number, ports[first:][:PORTS_PER_VM])
            path = TcpPath(self.platform.address)
            await path.start()
            self.operator.platform_paths[vm.name] = path
            vm.orders_address = path.address
            vm.more_settings = MACHINE + make_duty_settings(DUTIES, bootstrap=True)
            site.vms.append(vm)
        async with asyncio.TaskGroup() as group:
            for vm in site.vms:
                group.create_task(vm.start())
        for vm in site.vms:
            vm.more_settings = MACHINE + make_duty_settings(DUTIES, bootstrap=False)
        await asyncio.sleep(START_S)

    async def _play(self, seconds: float) -> None:
        """Let clients and operator run; clients go on for SETTLE_S after the faults."""
        for number in range(CLIENTS_PER_VM * len(self.site.vms)):
            source = random.Random(self._source.random())
            self.clients.append(Client(self.site, number, source, self.operator.keys))
        stop_clients = asyncio.Event()
        stop_faults = asyncio.Event()
        source = random.Random(self._source.random())
        excess = ExcessClients(self.site, source, self.operator.keys)
        source = random.Random(self._source.random())
        stream_faults = StreamFaults(self.operator, source)
        async with asyncio.TaskGroup() as group:
            for client in self.clients:
                group.create_task(client.run(stop_clients))
            group.create_task(excess.run(stop_clients))
            group.create_task(self._watch_ends(stop_clients))
            faults = group.create_task(self.operator.run(stop_faults))
            others = group.create_task(stream_faults.run(stop_faults))
            await asyncio.sleep(seconds)
            stop_faults.set()
            await asyncio.wait([faults, others])
            await asyncio.sleep(SETTLE_S)
            stop_clients.set()

    async def _watch_ends(self, stop: asyncio.Event) -> None:
        """Record the VMs whose process has ended though no fault ended it."""
        while not stop.is_set():
            for name in self.site.list_ended():
                if name not in self.operator.busy:
                    self.ended.add(name)
            await asyncio.sleep(0.1)

    def _check(self) -> list[str]:
        calls = [call for client in self.clients for call in client.calls]
        by_id = {call.request_id: call for call in calls}
        found = [f"ORDER: {text}" for c in self.clients for text in c.mixed_streams]
        found += [f"ended by itself: {name}" for name in sorted(self.ended)]
        found += list_large(self.site)
        found += self._check_runs(by_id)
        found += self._check_answers(calls)
        found += self._check_stops(calls)
        found += self._check_leaving(by_id)
        found += list_cut(calls, self.operator)
        duty_calls = self.platform.calls
        for text in find_faults(duty_calls, passes_once=False):
            found.append(f"ONE: {text}")
        found += [f"ONE: {text}" for text in find_turns(duty_calls)]
        for vm in self.site.vms:
            for event in ERROR_EVENTS:
                found += [f"{vm.name}: {line}" for line in vm.list_events(event)]
        return found

    def _check_runs(self, by_id: dict[str, Call]) -> list[str]:
        """Check what runners ran: how often, by whom, and with which key."""
        found: list[str] = []
        operator = self.operator
        counts = Counter(run.request_id for run in operator.runs)
        for run in operator.runs:
            call = by_id.get(run.request_id)
            if call is None:
                found.append(f"UNASKED: {run.request_id}")
                continue
            if run.tenant != call.key:
                found.append(f"UNASKED: {run.request_id} for {run.tenant}")
            if call.kind == "u" and counts[run.request_id] > 1:
                found.append(f"TWICE: {run.request_id}")
            if call.kind == "u" and call.status in RETRY_LATER:
                found.append(f"REFUSED: {run.request_id} ran")
            left_s = operator.left_s.get(run.instance, math.inf)
            if run.at_s > left_s + DRAIN_S and self._must_know(call.vm, left_s, run):
                late_s = run.at_s - left_s
                found.append(f"DRAIN: {run.request_id} after {late_s:.2f} s")
            if not operator.disturbances.was_calm(call.vm.name, run.at_s):
                continue
            withdrawn_s = operator.withdrawn_s.get(call.key)
            if withdrawn_s is None or not operator.disturbances.was_calm(
                call.vm.name, call.sent_s
            ):
                continue
            if call.sent_s > withdrawn_s + CONFIG_APPLY_S:
                found.append(f"CONFIG: {run.request_id} with a withdrawn key")
        return found

    def _must_know(self, vm: VmProcess, left_s: float, run: Run) -> bool:
        """Tell whether a VM is bound to know that a runner has left.

        It is if it is in touch, or has been undisturbed since it was bound to know.
        """
        disturbances = self.operator.disturbances
        if disturbances.was_calm(vm.name, run.at_s):
            return True
        knew = disturbances.was_calm(vm.name, left_s + DRAIN_S)
        return knew and disturbances.was_calm_since(vm.name, left_s)

    def _check_stops(self, calls: list[Call]) -> list[str]:
        """Check that planned stops cut off no request that an upstream has run.

        Nor one on a connection that was made for it.
        """
        found: list[str] = []
        disturbances = self.operator.disturbances
        ran = {run.request_id for run in self.operator.runs}
        for call in calls:
            if call.kind not in "ru" or call.status:
                continue
            if call.request_id not in ran and not call.in_pieces:
                continue
            stop = disturbances.find_stop(call.vm.name, call.sent_s)
            if stop is not None:
                found.append(f"LOST: {call.request_id}, {call.sent_s - stop[0]:.2f} s")
        return found

    def _check_leaving(self, by_id: dict[str, Call]) -> list[str]:
        """Check that a VM sends nothing to a runner whose leaving it has told of."""
        found: list[str] = []
        told_s: dict[tuple[str, str], float] = {}
        for call in by_id.values():
            if call.leaving:
                key = (call.vm.name, call.leaving)
                told_s[key] = min(call.ended_s, told_s.get(key, call.ended_s))
        for run in self.operator.runs:
            call = by_id.get(run.request_id)
            since_s = told_s.get((call.vm.name, run.instance)) if call else None
            if call is None or since_s is None or call.sent_s <= since_s + DRAIN_S:
                continue
            if self.operator.disturbances.was_calm_since(call.vm.name, since_s):
                late_s = call.sent_s - since_s
                found.append(f"DRAIN: {call.request_id}, told {late_s:.2f} s before")
        return found

    def _check_answers(self, calls: list[Call]) -> list[str]:
        """Check what callers got: their own answers, and no denial without reason."""
        found: list[str] = []
        operator = self.operator
        for call in calls:
            if call.status == 200 and call.kind in "ru":
                if call.body != call.request_id.encode():
                    found.append(f"MIXED: {call.request_id} got {call.body[:40]!r}")
            if call.status in NEVER_EXPECTED:
                found.append(f"{call.request_id} got {call.status}")
            added_s = operator.added_s.get(call.key, 0.0)
            is_known = call.sent_s > added_s + CONFIG_APPLY_S
            if call.status != 401 or call.key in operator.withdrawn_s or not is_known:
                continue
            if operator.disturbances.was_calm(call.vm.name, call.sent_s):
                found.append(f"DENIED: {call.request_id} got 401")
        return found

    def trace(self, finding: str) -> list[str]:
        """Return the log lines of the request that a finding names, if it names one."""
        lines: list[str] = []
        for word in re.split(r"[:, ]+", finding):
            if not CALL_PATTERN.fullmatch(word):
                continue
            for vm in self.site.vms:
                lines += [f"{vm.name}: {line}" for line in vm.list_lines(word)]
        return lines

    def summarize(self) -> str:
        """Return how much was sent, and what came of it."""
        statuses = Counter(call.status for c in self.clients for call in c.calls)
        parts = [f"{status}: {count}" for status, count in sorted(statuses.items())]
        duty_calls = self.platform.calls
        fences = len({call.fence for call in duty_calls})
        return (
            f"{sum(statuses.values())} calls ({', '.join(parts)}),"
            f" {len(duty_calls)} orders and reports with {fences} fences"
        )


def run_seed(seed: int, seconds: float, vms: int) -> list[str]:
    """Run one seed; print its summary and findings, and return these.

    The VMs' logs are kept if there are any.
    """
    folder = Path(tempfile.mkdtemp(prefix="plantainwood-soak-"))
    soak = Soak(seed, folder)
    found = asyncio.run(soak.run(seconds, vms))
    print(f"seed {seed}: {soak.summarize()}, {len(found)} findings", flush=True)
    for text in found[:MAX_PRINTED]:
        print(f"  {text}", flush=True)
        for line in soak.trace(text):
            print(f"    {line}", flush=True)
    if found:
        print(f"  logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return found


def main() -> int:
    """Run one or more seeds; return 1 if any finds something."""
    numbers = [int(text) for text in sys.argv[1:]]
    defaults = [1, 1, DEFAULT_SECONDS, DEFAULT_VMS]
    seed, seeds, seconds, vms = numbers + defaults[len(numbers) :]
    failed = 0
    for number in range(seed, seed + seeds):
        failed += bool(run_seed(number, seconds, vms))
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
