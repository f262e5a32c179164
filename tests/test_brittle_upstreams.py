"""Upstreams that crash when they have to turn many requests away in a second."""

import random

import pytest

from fakes.runner import make_response
from plantainwood.core import events as ev
from plantainwood.core.brittleness import divide_slots
from plantainwood.core.catalogue import (
    Catalogue,
    Customer,
    DiscoveredUpstream,
    ServiceClass,
    UpstreamKind,
)
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.promptrouter import make_prompt_router
from tests.edgesite import run

STEP_MS = 10
HEARTBEAT_MS = 100
RUN_MS = 25
DOWN_MS = 4_000
REJECTIONS_PER_S = 5
POOL = "service/pool"
ALLOWED_FALLS = 2
"""Besides a tenth of the upstreams."""
KNOWN_AFTER_MS = 3_000


def make_pool(count: int, slots: int) -> Catalogue:
    """Return a catalogue of one plain service."""
    catalogue = Catalogue()
    catalogue.classes["read"] = ServiceClass(
        owner="", tier=0, queue_timeout_ms=1_000, repeatable=True
    )
    catalogue.customers["acme"] = Customer(
        owner="", classes=[], requests_per_s=1e9, tokens_per_s=1e9, concurrent=10**9
    )
    for number in range(count):
        catalogue.upstreams[f"u-{number}"] = DiscoveredUpstream(
            owner="",
            kind=UpstreamKind.PLAIN,
            address=f"10.0.0.{number}:1",
            domain="ab"[number % 2],
            service="pool",
            slots=slots,
        )
    return catalogue


class Upstream:
    """An upstream without a queue that falls over after too many rejections."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.ends_ms: dict[tuple[int, str, int], int] = {}
        """When each running attempt ends, by VM, request and attempt."""
        self.rejected_ms: list[int] = []
        self.down_until_ms = 0

    def rejects_too_many(self, now_ms: int) -> bool:
        """Tell whether it has turned too many requests away in the last second."""
        recent = [at_ms for at_ms in self.rejected_ms if now_ms - at_ms < 1_000]
        return len(recent) > REJECTIONS_PER_S


class BrittleFleet:
    """VMs and upstreams in virtual time; upstreams may say in answers what they are."""

    def __init__(self, vms: int, upstreams: int, slots: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 1_000
        self.says_so = False
        self.falls = 0
        self.served = 0
        self.upstreams = {f"u-{n}": Upstream(slots) for n in range(upstreams)}
        names = [f"vm-{n}" for n in range(vms)]
        self.dispatchers: list[Dispatcher] = []
        for name in names:
            options = Options(
                make_router=make_prompt_router, isolate_suspects=False, preempt=False
            )
            dispatcher = Dispatcher(name, self.random.randrange(1_000), options)
            dispatcher.apply_catalogue(make_pool(upstreams, slots))
            dispatcher.set_nodes(set(names), self.now_ms)
            self.dispatchers.append(dispatcher)
        self._count = 0

    def run(self, duration_ms: int, per_s: float) -> None:
        """Send requests at a rate to random VMs."""
        until_ms = self.now_ms + duration_ms
        due = 0.0
        while self.now_ms < until_ms:
            due += per_s * STEP_MS / 1_000
            while due >= 1.0:
                due -= 1.0
                self._arrive()
            self._advance()

    def _arrive(self) -> None:
        self._count += 1
        vm = self.random.randrange(len(self.dispatchers))
        arrival = ev.Arrival(
            f"r-{self._count}",
            "acme",
            "read",
            POOL,
            queue_deadline_ms=self.now_ms + 1_000,
        )
        self._feed(vm, arrival)

    def _feed(self, vm: int, event: ev.Event) -> None:
        for decision in self.dispatchers[vm].decide(event, self.now_ms):
            if isinstance(decision, ev.Dispatch):
                self._send(vm, decision)

    def _send(self, vm: int, dispatch: ev.Dispatch) -> None:
        upstream = self.upstreams[dispatch.upstream]
        key = (vm, dispatch.request_id, dispatch.attempt)
        if self.now_ms < upstream.down_until_ms:
            self._fail(key, reached=False, pause_ms=2_000)
            return
        if len(upstream.ends_ms) < upstream.slots:
            upstream.ends_ms[key] = self.now_ms + RUN_MS
            return
        upstream.rejected_ms.append(self.now_ms)
        self._say(vm, dispatch.upstream)
        if self.says_so and upstream.rejects_too_many(self.now_ms):
            self._fall(upstream)
        self._fail(key, reached=True, pause_ms=150)

    def _fail(self, key: tuple[int, str, int], reached: bool, pause_ms: int) -> None:
        vm, name, attempt = key
        self._feed(vm, ev.AttemptFailed(name, attempt, False, True, pause_ms, reached))

    def _fall(self, upstream: Upstream) -> None:
        self.falls += 1
        upstream.down_until_ms = self.now_ms + DOWN_MS
        upstream.rejected_ms.clear()
        lost, upstream.ends_ms = upstream.ends_ms, {}
        for vm, name, attempt in lost:
            self._feed(vm, ev.AttemptFailed(name, attempt, False, False))

    def _say(self, vm: int, name: str) -> None:
        self._feed(vm, ev.BrittlenessNamed(name, self.says_so))

    def _advance(self) -> None:
        self.now_ms += STEP_MS
        for name, upstream in self.upstreams.items():
            for key in list(upstream.ends_ms):
                if upstream.ends_ms.get(key, self.now_ms + 1) > self.now_ms:
                    continue
                del upstream.ends_ms[key]
                vm, request, attempt = key
                self.served += 1
                self._say(vm, name)
                self._feed(vm, ev.AttemptStarted(request, attempt))
                self._feed(vm, ev.AttemptDone(request, attempt))
        if self.now_ms % HEARTBEAT_MS == 0:
            self._exchange_reports()
        for vm in range(len(self.dispatchers)):
            self._feed(vm, ev.Tick())

    def _exchange_reports(self) -> None:
        for sender, dispatcher in enumerate(self.dispatchers):
            reports = dispatcher.state.brittle_pools.list_reports(self.now_ms)
            for pool, age_ms in reports.items():
                for vm in range(len(self.dispatchers)):
                    if vm != sender:
                        self._feed(vm, ev.BrittlenessReported(pool, age_ms))


# Guards against brittle upstreams that fall over one after the other (LIMIT).
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("vms,upstreams,slots", [(6, 4, 6), (7, 3, 6), (20, 12, 6)])
def test_brittle_upstreams_seldom_fall_in_a_burst(vms, upstreams, slots, seed):
    fleet = BrittleFleet(vms, upstreams, slots, seed)
    capacity_per_s = upstreams * slots * 1_000 / RUN_MS
    fleet.run(1_000, 0.1 * capacity_per_s)
    fleet.says_so = True
    fleet.run(KNOWN_AFTER_MS, 0.1 * capacity_per_s)
    fleet.falls = 0
    served_before = fleet.served
    fleet.run(5_000, 1.5 * capacity_per_s)
    assert fleet.falls <= ALLOWED_FALLS + upstreams / 10
    assert fleet.served - served_before >= 0.4 * 5 * capacity_per_s


@pytest.mark.parametrize("vms,slots", [(1, 6), (6, 6), (6, 64), (74, 6)])
def test_the_parts_of_all_nodes_stay_below_the_slots(vms, slots):
    names = sorted(f"vm-{number}" for number in range(vms))
    upstreams = {f"u-{number}": slots for number in range(30)}
    total = {name: 0 for name in upstreams}
    for node in names:
        rooms = divide_slots(node, names, upstreams)
        assert sum(rooms.values()) >= 1
        for upstream, room in rooms.items():
            total[upstream] += room
    assert max(total.values()) <= slots


def test_the_bound_ends_with_the_answers_that_name_it():
    fleet = BrittleFleet(3, 2, 6, 1)
    fleet.says_so = True
    fleet.run(500, 20)
    loads = fleet.dispatchers[0].state.loads
    assert all(load.room is not None for load in loads.values())
    fleet.says_so = False
    fleet.run(2_500, 20)
    assert all(load.room is None for load in loads.values())


@pytest.mark.parametrize("value,is_brittle", [("5", True), ("many", False)])
def test_a_runner_that_names_itself_brittle_gets_a_part_of_its_slots(value, is_brittle):
    async def script(request, writer) -> None:
        extra = f"Server-Brittle: {value}\r\n"
        writer.write(make_response(request, b"", extra=extra))

    async def scenario(site):
        assert (await site.call("GET", "/r/x"))[0] == 200
        state = site.daemon.edge.broker.dispatcher.state
        rooms = [load.room for load in state.loads.values()]
        assert all((room is not None) == is_brittle for room in rooms)
        heartbeat = site.daemon.edge.make_heartbeat()
        assert set(heartbeat.brittle_pools) == ({POOL} if is_brittle else set())

    run(scenario, script=script, runners=2)
