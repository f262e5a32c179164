"""A fleet in virtual time: VMs of several failure domains that route prompts alike.

Each VM has a router of its own. Engines prefill in order of arrival; VMs hear of each
other's prompts in heartbeats that arrive late. There are no sockets.
"""

import heapq
import random

import msgspec

from plantainwood.core.affinity import PrefixHints
from plantainwood.core.catalogue import DiscoveredUpstream, ServiceClass, UpstreamKind
from plantainwood.core.domainoverflow import DomainOverflow
from plantainwood.core.events import Arrival
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.pathcosts import PathOptions, compute_request_cost_ms
from plantainwood.core.promptrouter import (
    FETCH_COST_RATIO,
    PREFILL_TOKENS_PER_MS,
    make_prompt_router,
)
from plantainwood.core.prompts import Part, PartCache, Prompt
from plantainwood.core.requests import Request
from plantainwood.core.router import is_allowed

POOL = "service/pool"
SERVICE = "pool"
LOOSE_GAP_MS = 600
COMMON_TOKENS = 1_000
SESSION_TOKENS = 2_000
DECODE_MS = 800
HEARTBEAT_DELAY_MS = 20
NO_REPORT = (0,) * 9


class FleetOptions(msgspec.Struct, frozen=True):
    """The size of a fleet, and how its VMs choose."""

    domains: tuple[str, ...] = ("a", "b", "c")
    vms_per_domain: int = 10
    engines_per_domain: int = 4
    heartbeat_ms: int = 500
    choice: str = "overflow"
    """`overflow`, `nearest` (others when the own engines are full) or `equal`."""
    path: PathOptions = PathOptions(price_per_gb=20.0)
    seed: int = 1
    sessions_per_vm: int = 8
    overlap: float = 0.0
    """The share of requests of sessions whose callers are at VMs of all domains."""
    full_ms: float = 200.0
    """The backlog from which the `nearest` choice counts an engine as full."""


class Served(msgspec.Struct, frozen=True):
    """A prompt that was answered."""

    at_ms: int
    source: str
    target: str
    wait_ms: float
    """From its arrival to its first token, with the path."""
    cost_ms: float
    """The wait and the price of the path."""
    read_tokens: int
    session: str


class Engine:
    """An engine that prefills its prompts one after the other."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.speed = 1.0
        self.free_ms = 0.0
        self.in_flight = 0
        self.cache = PartCache(400_000)


class Vm:
    """One VM with its router, its loads and its sessions."""

    def __init__(self, name: str, domain: str, options: FleetOptions, seed: int):
        self.name = name
        self.domain = domain
        self.router = make_prompt_router(random.Random(seed), PrefixHints())
        self.overflow = DomainOverflow(domain, options.path)
        if options.choice == "overflow":
            self.router.set_overflow(self.overflow)
        self.loads: dict[str, UpstreamLoad] = {}
        self.group: list[UpstreamLoad] = []
        self.silent = False
        """Whether its heartbeats reach nobody of another domain."""


class DomainFleet:
    """Run VMs and engines in virtual time."""

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        self.now_ms = 0
        self.engines: dict[str, Engine] = {}
        self.vms: list[Vm] = []
        self.served: list[Served] = []
        self._queue: list[tuple[float, int, object]] = []
        self._serial = 0
        for domain in options.domains:
            for number in range(options.engines_per_domain):
                name = f"e{number}-{domain}"
                self.engines[name] = Engine(name, domain)
            for number in range(options.vms_per_domain):
                vm = Vm(f"vm{number}-{domain}", domain, options, len(self.vms))
                self.vms.append(vm)
        for vm in self.vms:
            self._add_loads(vm)
            delay_ms = self.random.randrange(options.heartbeat_ms)
            self._push(delay_ms, lambda vm=vm: self._send_heartbeat(vm))

    def _add_loads(self, vm: Vm) -> None:
        for engine in self.engines.values():
            entry = DiscoveredUpstream(
                owner="",
                kind=UpstreamKind.ENGINE,
                address="10.0.0.1:80",
                domain=engine.domain,
                service=SERVICE,
                slots=64,
                memory_tokens=400_000,
            )
            vm.loads[engine.name] = UpstreamLoad(engine.name, entry)
        vm.group = list(vm.loads.values())
        vm.router.set_pool_upstreams(POOL, vm.group)

    def _push(self, at_ms: float, action) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (at_ms, self._serial, action))

    def run(self, until_ms: int, rates_per_s: dict[str, float]) -> None:
        """Run until a time; each domain's VMs get requests at a rate, at random."""
        for domain, rate in rates_per_s.items():
            members = [vm for vm in self.vms if vm.domain == domain]
            at_ms = float(self.now_ms)
            while rate:
                at_ms += self.random.expovariate(rate) * 1_000
                if at_ms >= until_ms:
                    break
                vm = self.random.choice(members)
                request = self._make_request(vm, round(at_ms))
                self._push(at_ms, lambda vm=vm, found=request: self._send(vm, found))
        while self._queue and self._queue[0][0] < until_ms:
            at_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, int(at_ms))
            action()
        self.now_ms = until_ms

    def _make_request(self, vm: Vm, at_ms: int) -> Request:
        self._serial += 1
        session = f"{vm.name}-s{self.random.randrange(self.options.sessions_per_vm)}"
        if self.random.random() < self.options.overlap:
            session = f"shared-s{self.random.randrange(20)}"
        own_tokens = self.random.randrange(300, 1_500)
        parts = (
            Part("common", COMMON_TOKENS),
            Part(session, SESSION_TOKENS),
            Part(f"own{self._serial}", own_tokens),
        )
        prompt = Prompt(parts, COMMON_TOKENS + SESSION_TOKENS + own_tokens, 50)
        arrival = Arrival(f"r{self._serial}", "c", "k", POOL, prompt=prompt)
        service_class = ServiceClass(
            owner="", tier=1, between_tokens_ms=LOOSE_GAP_MS, queue_timeout_ms=60_000
        )
        return Request(arrival, service_class, True, at_ms)

    def _send(self, vm: Vm, request: Request) -> None:
        load = self._choose(vm, request)
        if load is None:
            self._push(self.now_ms + 25, lambda: self._send(vm, request))
            return
        source = vm.router.find_kv_source(request)
        vm.router.record_dispatch(request, load, self.now_ms)
        load.record_dispatch(request.priority, self.now_ms)
        engine = self.engines[load.name]
        read, fetched = self._count_tokens(engine, source, request.prompt)
        engine.cache.add(request.prompt.parts)
        engine.in_flight += 1
        path_ms = 0.0
        cost_ms = 0.0
        if engine.domain != vm.domain:
            path_ms = 2 * self.options.path.path_ms
            cost_ms = compute_request_cost_ms(self.options.path, request)
        work_ms = (read + FETCH_COST_RATIO * fetched) / PREFILL_TOKENS_PER_MS
        begins_ms = max(engine.free_ms, self.now_ms + path_ms / 2)
        engine.free_ms = begins_ms + work_ms / engine.speed
        first_ms = engine.free_ms + path_ms / 2
        wait_ms = first_ms - request.arrived_ms
        self.served.append(
            Served(
                self.now_ms,
                vm.domain,
                engine.domain,
                wait_ms,
                wait_ms + cost_ms - path_ms,
                read,
                request.prompt.session,
            )
        )
        self._push(first_ms, lambda: self._start(vm, request, load))

    def _choose(self, vm: Vm, request: Request) -> UpstreamLoad | None:
        if self.options.choice != "nearest":
            return vm.router.choose(request, vm.group, self.now_ms)
        near: list[UpstreamLoad] = []
        for load in vm.group:
            if load.entry.domain != vm.domain:
                continue
            if not is_allowed(request, load, self.now_ms):
                continue
            states = vm.router.engine_states
            backlog = states.count_backlog_tokens(load.name, self.now_ms)
            if backlog < self.options.full_ms * PREFILL_TOKENS_PER_MS:
                near.append(load)
        return vm.router.choose(request, near or vm.group, self.now_ms)

    def _count_tokens(
        self, engine: Engine, source: str, prompt: Prompt
    ) -> tuple[int, int]:
        """Return the tokens that an engine reads, and those that it fetches."""
        cached = engine.cache.count_cached_tokens(prompt.parts)
        fetched = 0
        if source and source != engine.name:
            held = self.engines[source].cache.count_cached_tokens(prompt.parts)
            fetched = max(0, held - cached)
        return prompt.tokens - cached - fetched, fetched

    def _start(self, vm: Vm, request: Request, load: UpstreamLoad) -> None:
        engine = self.engines[load.name]
        vm.router.record_started(request, load)
        report = (*NO_REPORT, engine.in_flight)
        load.record_report(report, 0, self.now_ms)
        self._push(self.now_ms + DECODE_MS, lambda: self._end(vm, request, load))

    def _end(self, vm: Vm, request: Request, load: UpstreamLoad) -> None:
        self.engines[load.name].in_flight -= 1
        load.record_end(request.priority, self.now_ms)
        vm.router.record_end(request, load)

    def _send_heartbeat(self, vm: Vm) -> None:
        sent, vm.router.sent_tokens = vm.router.sent_tokens, {}
        demand = {SERVICE: sent[POOL]} if POOL in sent else {}
        vm.overflow.demands.record(vm.domain, demand, self.now_ms, self.now_ms)
        pending = vm.router.engine_states.count_own_backlogs()
        parts = vm.router.engine_states.take_sent_parts()
        made_ms = self.now_ms
        self._push(
            made_ms + HEARTBEAT_DELAY_MS,
            lambda: self._deliver(vm, pending, demand, parts, made_ms),
        )
        interval_ms = self.options.heartbeat_ms
        self._push(made_ms + interval_ms, lambda: self._send_heartbeat(vm))

    def _deliver(self, sender: Vm, pending, demand, parts, made_ms: int) -> None:
        for vm in self.vms:
            if vm is sender or (sender.silent and vm.domain != sender.domain):
                continue
            states = vm.router.engine_states
            states.record_remote(sender.name, pending, parts, self.now_ms)
            vm.overflow.demands.record(sender.domain, demand, made_ms, self.now_ms)

    def list_since(self, since_ms: int, source: str = "") -> list[Served]:
        """Return the prompts sent since a time, of one domain's VMs or of all."""
        found: list[Served] = []
        for item in self.served:
            if item.at_ms >= since_ms and source in ("", item.source):
                found.append(item)
        return found


def compute_mean_cost_ms(served: list[Served]) -> float:
    """Return the mean cost of prompts."""
    return sum(item.cost_ms for item in served) / max(1, len(served))


def compute_away_share(served: list[Served]) -> float:
    """Return the share of prompts that another domain served."""
    away = sum(1 for item in served if item.source != item.target)
    return away / max(1, len(served))


def make_away_series(served: list[Served], source: str, step_ms: int) -> list[float]:
    """Return the share of a domain's prompts served elsewhere, for each interval."""
    by_step: dict[int, list[Served]] = {}
    for item in served:
        if item.source == source:
            by_step.setdefault(item.at_ms // step_ms, []).append(item)
    return [compute_away_share(by_step[step]) for step in sorted(by_step)]
