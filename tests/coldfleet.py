"""A fleet of dispatchers over upstreams that restart and are cold, in virtual time."""

import random

import msgspec

from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Catalogue,
    Customer,
    DiscoveredUpstream,
    Service,
    ServiceClass,
    UpstreamKind,
    assemble_catalogue,
)
from plantainwood.core.coldshares import ColdBounds
from plantainwood.core.coldupstreams import ColdSource
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import RequestError
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.edge import find_cold_limits

STEP_MS = 25
HEARTBEAT_MS = 100
ENTRY_MS = 1_200
ANSWER_MS = 75
COLD_ANSWER_MS = 250
COLD_START_MS = 6_000
COLD_PER_S = 4.0
BOUNDS = ColdBounds(1.5, 5.0)
SETTLED_MS = 3_000
SLOTS = 16


class Process:
    """One upstream process, with the times at which it received requests."""

    def __init__(self, address: str, zone: str, born_ms: int, cold_ms: int) -> None:
        self.address = address
        self.zone = zone
        self.born_ms = born_ms
        self.warm_ms = born_ms + cold_ms
        self.received_ms: list[int] = []

    @property
    def name(self) -> str:
        """Return the upstream's name, which a restart changes."""
        return f"{self.address}@{self.born_ms}"

    def find_most_received(self) -> int:
        """Return the most requests in any second while it was cold."""
        cold_ms = [time_ms for time_ms in self.received_ms if time_ms < self.warm_ms]
        most = 0
        for number, start_ms in enumerate(cold_ms):
            window = [t for t in cold_ms[number:] if t - start_ms <= 1_000]
            most = max(most, len(window))
        return most

    def count_received(self, from_ms: int, to_ms: int) -> int:
        """Return how many requests it received in a span."""
        return sum(from_ms <= time_ms < to_ms for time_ms in self.received_ms)


class SentAttempt(msgspec.Struct):
    """An attempt at a process."""

    vm: int
    request_id: str
    attempt: int
    upstream: str
    process: Process
    ends_ms: int


class ColdFleet:
    """VMs and processes; every VM learns of changes 0.1 to 0.5 s late.

    `views` are the VMs that each VM hears, `known` those that it has ever heard of.
    """

    def __init__(self, vm_count: int, zones: dict[str, int], seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 10_000
        self.per_s = COLD_PER_S
        self.processes: dict[str, Process] = {}
        """By address; absent while it is down."""
        for zone, count in zones.items():
            for number in range(count):
                address = f"10.0.{zone}.{number}:80"
                self.processes[address] = Process(address, zone, 0, 0)
        self.names = [f"vm-{number}" for number in range(vm_count)]
        self.views = [set(self.names) for _ in self.names]
        self.known = [set(self.names) for _ in self.names]
        known = set(self.names)
        self.dispatchers = [self._make_dispatcher(name, known) for name in self.names]
        self.attempts: dict[tuple[int, str], SentAttempt] = {}
        self.refused: list[RequestError] = []
        self._count = 0
        self._updates: list[tuple[int, int, Catalogue, dict[str, int]]] = []
        """(time, VM, catalogue, remaining cold ms by name), in order of sending."""
        catalogue = self._make_catalogue()
        for vm in range(vm_count):
            self._apply(vm, catalogue, new_are_cold=False)

    def _make_dispatcher(self, name: str, known: set[str]) -> Dispatcher:
        options = Options(
            make_router=make_prompt_router,
            isolate_suspects=False,
            preempt=False,
            move_unstarted=False,
            max_waiting=5_000,
            subset_size=64,
        )
        dispatcher = Dispatcher(name, self.random.randrange(1_000), options)
        dispatcher.state.cold_upstreams.set_bounds(BOUNDS)
        dispatcher.set_nodes({name}, self.now_ms, frozenset(known))
        return dispatcher

    def _make_catalogue(self) -> Catalogue:
        upstreams = {}
        for process in self.processes.values():
            upstreams[process.name] = DiscoveredUpstream(
                owner="",
                kind=UpstreamKind.PLAIN,
                address=process.address,
                domain=process.zone,
                service="pool",
                slots=SLOTS,
                cold_start_ms=COLD_START_MS,
                cold_per_s=self.per_s,
            )
        return assemble_catalogue(
            1,
            {"r1": ServiceClass(owner="", tier=0)},
            {"acme": Customer("", [], requests_per_s=1e9, concurrent=100_000)},
            {"pool": Service(owner="")},
            upstreams,
        )

    def _apply(self, vm: int, catalogue: Catalogue, new_are_cold: bool) -> None:
        dispatcher = self.dispatchers[vm]
        dispatcher.apply_catalogue(catalogue)
        limits = find_cold_limits(catalogue)
        dispatcher.set_cold_limits(limits, new_are_cold, self.now_ms)

    def stop_zone(self, zone: str) -> None:
        """End all processes of a zone; the VMs are told."""
        for address, process in list(self.processes.items()):
            if process.zone == zone:
                self._stop(process)
                del self.processes[address]
        self.publish()

    def start(self, address: str, zone: str, cold_ms: int = COLD_START_MS) -> Process:
        """Start a process, which is cold, at an address."""
        process = Process(address, zone, self.now_ms, cold_ms)
        self.processes[address] = process
        return process

    def _stop(self, process: Process) -> None:
        """Break the connections of a process that ends."""
        for key, attempt in list(self.attempts.items()):
            if attempt.process is process:
                del self.attempts[key]
                self._fail(attempt, reached=True)

    def _fail(self, attempt: SentAttempt, reached: bool) -> None:
        event = ev.AttemptFailed(
            attempt.request_id,
            attempt.attempt,
            crashed=False,
            proved_not_run=not reached,
            reached=reached,
            broken=True,
        )
        self._handle(attempt.vm, event)

    def publish(self) -> None:
        """Write the entries; every VM applies them some time later."""
        catalogue = self._make_catalogue()
        remaining_ms = self._find_remaining()
        for vm in range(len(self.names)):
            due_ms = self.now_ms + self.random.randrange(100, 500)
            self._updates.append((due_ms, vm, catalogue, remaining_ms))

    def _find_remaining(self) -> dict[str, int]:
        """Return how much longer the processes are cold that have restarted."""
        found: dict[str, int] = {}
        for process in self.processes.values():
            if process.born_ms:
                found[process.name] = max(0, process.warm_ms - self.now_ms)
        return found

    def _apply_updates(self) -> None:
        later = []
        for update in self._updates:
            due_ms, vm, catalogue, remaining_ms = update
            if due_ms > self.now_ms:
                later.append(update)
                continue
            if set(catalogue.upstreams) != set(self.dispatchers[vm].state.loads):
                self._apply(vm, catalogue, new_are_cold=True)
            for name, left_ms in remaining_ms.items():
                event = ev.ColdNamed(name, ColdSource.ENTRY, left_ms)
                self._handle(vm, event)
        self._updates = later

    def replace_vms(self, vms: list[int], registered: bool) -> None:
        """Replace VMs by new ones, which know the former ones if those are registered.

        `share_views` tells the fleet of them.
        """
        for vm in vms:
            former = set(self.names) if registered else set()
            for key in [key for key in self.attempts if key[0] == vm]:
                del self.attempts[key]
            self.names[vm] = f"{self.names[vm]}-new"
            self.dispatchers[vm] = self._make_dispatcher(self.names[vm], former)
            self.views[vm] = {self.names[vm]}
            self.known[vm] = former | {self.names[vm]}
            self._apply(vm, self._make_catalogue(), new_are_cold=False)
            for name, left_ms in self._find_remaining().items():
                event = ev.ColdNamed(name, ColdSource.ENTRY, left_ms)
                self._handle(vm, event)

    def share_views(self) -> None:
        """Let each VM hear all others."""
        for vm in range(len(self.names)):
            self.views[vm] = set(self.names)
            self.known[vm] |= set(self.names)

    def run(self, duration_ms: int, arrivals_per_s: float) -> None:
        """Send requests to random VMs, and answer what processes received."""
        until_ms = self.now_ms + duration_ms
        due = 0.0
        while self.now_ms < until_ms:
            due += arrivals_per_s * STEP_MS / 1_000
            while due >= 1.0:
                due -= 1.0
                self.arrive(self.random.randrange(len(self.names)))
            self._advance()

    def arrive(self, vm: int) -> None:
        """Send a request to a VM."""
        self._count += 1
        event = ev.Arrival(f"r-{self._count}", "acme", "r1", "service/pool")
        self._handle(vm, event)

    def _handle(self, vm: int, event: ev.Event) -> None:
        for decision in self.dispatchers[vm].decide(event, self.now_ms):
            if isinstance(decision, ev.Refuse):
                self.refused.append(decision.error)
            if isinstance(decision, ev.Dispatch):
                self._send(vm, decision)

    def _send(self, vm: int, dispatch: ev.Dispatch) -> None:
        load = self.dispatchers[vm].state.loads[dispatch.upstream]
        process = self.processes.get(load.entry.address)
        attempt = SentAttempt(
            vm, dispatch.request_id, dispatch.attempt, load.name, process, 0
        )
        if process is None:
            self._fail(attempt, reached=False)
            return
        process.received_ms.append(self.now_ms)
        is_cold = self.now_ms < process.warm_ms
        attempt.ends_ms = self.now_ms + (COLD_ANSWER_MS if is_cold else ANSWER_MS)
        self.attempts[(vm, dispatch.request_id)] = attempt

    def _advance(self) -> None:
        self.now_ms += STEP_MS
        self._apply_updates()
        for key, attempt in list(self.attempts.items()):
            if self.now_ms < attempt.ends_ms:
                continue
            del self.attempts[key]
            said = ev.ColdNamed(attempt.upstream, ColdSource.RESPONSE, None)
            self._handle(attempt.vm, said)
            for event in (
                ev.AttemptStarted(attempt.request_id, attempt.attempt),
                ev.AttemptDone(attempt.request_id, attempt.attempt),
            ):
                self._handle(attempt.vm, event)
        if self.now_ms % ENTRY_MS == 0:
            self.publish()
        if self.now_ms % HEARTBEAT_MS == 0:
            self._exchange()
        for vm in range(len(self.names)):
            self._handle(vm, ev.Tick())

    def _exchange(self) -> None:
        """Tell each VM which VMs are live, and what those found out to be cold."""
        reports = {}
        for name, dispatcher in zip(self.names, self.dispatchers):
            cold_upstreams = dispatcher.state.cold_upstreams
            reports[name] = cold_upstreams.list_reports(self.now_ms)
        for vm, dispatcher in enumerate(self.dispatchers):
            live = self.views[vm]
            dispatcher.set_nodes(set(live), self.now_ms, frozenset(self.known[vm]))
            for name in live & reports.keys() - {self.names[vm]}:
                for upstream, left_ms in reports[name].items():
                    event = ev.ColdNamed(upstream, ColdSource.REPORT, left_ms)
                    self._handle(vm, event)
