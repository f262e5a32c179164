"""A VM's dispatcher with random events, for tests of route explanations."""

import random

from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Customer,
    DiscoveredUpstream,
    ServiceClass,
    UpstreamKind,
    assemble_catalogue,
)
from plantainwood.core.coldupstreams import ColdLimit, ColdSource
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.domainoverflow import DomainOverflow
from plantainwood.core.pathcosts import PathOptions
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.core.prompts import Part, Prompt

POOL = "service/pool"
DOMAINS = ("a", "b", "c")
COLD_MS = 3_000
END_SHARE = 0.46
"""With which attempts end about as fast as requests arrive."""


def make_vm(
    upstreams: int = 9, slots: int = 3, overflow: bool = False, max_waiting: int = 3
) -> Dispatcher:
    """Return a VM in domain a that knows the upstreams of one service."""
    options = Options(
        make_router=make_prompt_router,
        isolate_suspects=False,
        probe_suspects=True,
        preempt=False,
        move_unstarted=False,
        max_waiting=max_waiting,
        subset_size=64,
    )
    vm = Dispatcher("vm-1", 7, options)
    vm.set_regions("a", {"a": "north", "b": "north", "c": "south"})
    if overflow:
        vm.state.router.set_overflow(DomainOverflow("a", PathOptions()))
    entries = {}
    for number in range(upstreams):
        name = f"e{number}"
        entries[name] = DiscoveredUpstream(
            owner="",
            kind=UpstreamKind.ENGINE,
            address=f"10.0.0.{number}:80",
            domain=DOMAINS[number % 3],
            service="pool",
            slots=slots,
            memory_tokens=400_000,
        )
    classes = {}
    for tier in range(3):
        classes[f"k{tier}"] = ServiceClass(
            owner="", tier=tier, queue_timeout_ms=20_000, between_tokens_ms=150 + tier
        )
    names = [f"c{number}" for number in range(3)]
    customers = {
        name: Customer("", list(classes), requests_per_s=80.0) for name in names
    }
    vm.apply_catalogue(assemble_catalogue(1, classes, customers, {}, entries))
    limits = {name: ColdLimit(entries[name].address, COLD_MS, 4.0) for name in entries}
    vm.set_cold_limits(limits, False, 0)
    vm.set_nodes({"vm-1"}, 0)
    vm.state.router.set_first_token_target(POOL, 400)
    return vm


class Driver:
    """Feed one random course of events to several VMs alike."""

    def __init__(self, vms: list[Dispatcher], seed: int, prompts: bool) -> None:
        self.vms = vms
        self.now_ms = 10_000
        self.random = random.Random(seed)
        self._prompts = prompts
        self._running: dict[str, ev.Dispatch] = {}
        self._serial = 0

    def make_arrival(self) -> ev.Arrival:
        """Return the next request."""
        self._serial += 1
        prompt = Prompt()
        if self._prompts:
            session = f"s{self.random.randrange(6)}"
            tokens = self.random.randrange(3_000)
            parts = (Part("p", 900), Part(session, 3_000), Part(f"o{self._serial}", 10))
            prompt = Prompt(parts, 3_900 + tokens, 50)
        regions = ("north",) if self.random.random() < 0.1 else None
        customer = f"c{self.random.randrange(3)}"
        return ev.Arrival(
            request_id=f"r{self._serial}",
            customer=customer,
            class_name=f"k{self.random.randrange(3)}",
            pool=POOL,
            prompt=prompt,
            allowed_regions=regions,
        )

    def feed(self, event: ev.Event) -> list[ev.Decision]:
        """Let all VMs decide on an event alike; return the decisions of the first."""
        found = [vm.decide(event, self.now_ms) for vm in self.vms]
        for other in found[1:]:
            assert [repr(item) for item in other] == [repr(item) for item in found[0]]
        for decision in found[0]:
            if isinstance(decision, ev.Dispatch):
                self._running[decision.request_id] = decision
            if isinstance(decision, ev.Cancel | ev.Refuse):
                self._running.pop(decision.request_id, None)
        return found[0]

    def disturb(self) -> None:
        """Let some time pass, and something happen to the upstreams or attempts."""
        self.now_ms += self.random.randrange(60)
        name = f"e{self.random.randrange(9)}"
        what = self.random.randrange(8)
        if what == 0:
            self.feed(ev.LimitNamed(name, self.random.choice([None, 2.0, 9.0])))
        elif what == 1:
            self.feed(ev.PauseNamed(name, self.random.randrange(200)))
        elif what == 2:
            cold_ms = self.random.choice([0, COLD_MS])
            self.feed(ev.ColdNamed(name, ColdSource.ENTRY, cold_ms))
        elif what == 3:
            self.feed(
                ev.LoadReported(name, (1, 1, 0), 40, self.random.choice([0, 200]))
            )
        elif what == 4:
            self.feed(ev.Tick())
        elif what == 5:
            domains = [domain for domain in DOMAINS if self.random.random() < 0.1]
            for vm in self.vms:
                vm.set_evacuated(domains, self.now_ms)
        elif what == 6 and self._prompts:
            timings = {f"e{n}": (900, 20 + 30 * (n % 3), 1) for n in range(9)}
            for vm in self.vms:
                vm.state.router.paces.record_remote(timings, self.now_ms)
        self._end_some()

    def _end_some(self) -> None:
        """Let some running attempts begin and end."""
        while self._running and self.random.random() < END_SHARE:
            request_id = self.random.choice(sorted(self._running))
            dispatch = self._running.pop(request_id)
            self.feed(ev.AttemptStarted(request_id, dispatch.attempt))
            self.feed(ev.AttemptDone(request_id, dispatch.attempt))
