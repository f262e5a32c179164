"""Fair shares of customers over the whole fleet, under contention.

Load: 90 VMs in front of 24 nearly full engines (tests/customerfleet.py), where one
customer sends 7.5 times its usual load, against the queues without shares.
"""

import logging

import msgspec
import pytest

from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Customer,
    DiscoveredUpstream,
    ServiceClass,
    UpstreamKind,
    assemble_catalogue,
)
from plantainwood.core.clock import VirtualClock
from plantainwood.core.customershares import (
    DECAY_MS,
    LIMITED_MS,
    MAX_REPORTED_CUSTOMERS,
    MAX_REPORTED_WORK,
    MIN_BACKLOG_SHARE,
    PLAIN_REQUEST_WORK,
    CustomerShares,
)
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import Outcome
from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.core.prompts import Part, Prompt
from plantainwood.core.routes import ConfiguredCustomer, RouteTable
from plantainwood.core.scheduling import find_backlog_share
from plantainwood.core.sharequeue import PASSED_OVER_TURNS
from plantainwood.customerreports import ShareReporter
from plantainwood.edge import Edge
from plantainwood.edgesettings import EdgeCustomerShares, parse_edge_settings
from plantainwood.fleet import FleetLinks
from plantainwood.metrics import Metrics
from plantainwood.settings import SettingsError
from tests.customerfleet import (
    LOADS,
    SURGING,
    USUAL_PER_S,
    CustomerFleet,
    count_served,
    list_waits,
)
from tests.samples import ROUTE, SETTINGS, make_heartbeat
from tests.test_edge_settings import VALID

POOL = "service/pool"
CUSTOMERS = ("big", "small", "other")


def make_shares(**weights: float) -> CustomerShares:
    """Return shares of three customers without usage."""
    shares = CustomerShares()
    shares.set_weights({name: weights.get(name, 1.0) for name in CUSTOMERS})
    return shares


# Usage and reports


# Guards against usage that is kept as a debt.
def test_usage_decays():
    shares = make_shares()
    shares.charge("big", 100_000, 0)
    shares.charge("small", 50_000, DECAY_MS)
    assert shares.get_value("small") > shares.get_value("big")
    shares.update(30 * DECAY_MS)
    assert shares.list_largest() == []


# Guards against overflow and a wrong order after days, and a clock that starts late.
@pytest.mark.parametrize("began_ms", [0, 10**9])
def test_the_order_holds_over_days(began_ms):
    shares = make_shares()
    for second in range(0, 400_000, 200):
        now_ms = began_ms + second * 1_000
        shares.charge("big", 200, now_ms)
        shares.charge("small", 100, now_ms)
        shares.update(now_ms)
        assert shares.compute_excess("big") == pytest.approx(4 / 3, rel=1e-3)
        assert not shares.is_above_share("small")


# Guards against weights that don't count.
def test_a_customer_of_twice_the_weight_has_twice_the_share():
    shares = make_shares(big=2.0)
    shares.charge("big", 2_000, 0)
    shares.charge("small", 1_000, 0)
    shares.update(0)
    assert not shares.is_above_share("big") and not shares.is_above_share("small")
    assert shares.list_largest()[0] == ("big", pytest.approx(2 / 3))


# Guards against late reports that count as new work, and against none that count.
def test_a_stale_report_counts_less():
    shares = make_shares()
    assert shares.record_remote({"big": 1_000}, 4 * DECAY_MS, 10**6)
    assert shares.record_remote({"small": 1_000}, 0, 10**6)
    assert shares.get_value("big") < 0.02 * shares.get_value("small")
    assert shares.take_report() == {}


# Guards against malformed reports that count, or cost what is valid beside them.
def test_malformed_reports_are_ignored():
    shares = make_shares()
    report = {"big": -5, "other": MAX_REPORTED_WORK + 1, "small": 700, "unknown": 9}
    assert not shares.record_remote(report, 0, 0)
    assert [name for name, _ in shares.list_largest()] == ["small"]
    many = {f"c{number}": 1 for number in range(100)} | {"big": 5}
    assert not shares.record_remote(many, -(10**9), 0)
    assert shares.get_value("big") == 0.0


# Guards against reports that grow with the number of customers, or count twice.
def test_a_report_names_the_customers_with_the_most_work_once():
    shares = make_shares()
    for number in range(40):
        shares.charge(f"c{number}", number + 1, 0)
    report = shares.take_report()
    assert len(report) == MAX_REPORTED_CUSTOMERS
    assert min(report.values()) == 40 - MAX_REPORTED_CUSTOMERS + 1
    assert shares.take_report() == {}


# Guards against a customer that is held back though nobody else needs the engines.
def test_a_customer_alone_is_not_above_its_share():
    shares = make_shares()
    shares.charge("big", 10**6, 0)
    shares.update(0)
    assert shares.compute_backlog_share("big") == 1.0
    shares.charge("small", 10, 0)
    shares.update(0)
    assert MIN_BACKLOG_SHARE <= shares.compute_backlog_share("big") < 1.0
    assert shares.compute_backlog_share("small") == 1.0


# One VM's queue


class Vm:
    """A dispatcher in front of one plain service with one slot."""

    def __init__(self, max_waiting: int = 400, enabled: bool = True) -> None:
        options = Options(
            make_router=make_prompt_router,
            customer_shares=enabled,
            max_waiting=max_waiting,
            preempt=False,
            isolate_suspects=False,
        )
        self.dispatcher = Dispatcher("vm-1", 1, options)
        classes = {}
        for tier in (0, 1):
            classes[f"k{tier}"] = ServiceClass(
                owner="", tier=tier, queue_timeout_ms=60_000, starvation_ms=60_000
            )
        entry = DiscoveredUpstream(
            owner="",
            kind=UpstreamKind.ENGINE,
            address="10.0.0.1:80",
            domain="d0",
            service="pool",
            slots=1,
        )
        customers = {}
        for name in CUSTOMERS:
            customers[name] = Customer(
                owner="",
                classes=[],
                requests_per_s=1e9,
                tokens_per_s=1e9,
                concurrent=10**6,
            )
        catalogue = assemble_catalogue(1, classes, customers, {}, {"e0": entry})
        self.dispatcher.apply_catalogue(catalogue)
        self.state = self.dispatcher.state
        self.running: list[ev.Dispatch] = []
        self.refused: list[ev.Refuse] = []
        self.now_ms = 1_000

    def feed(self, event: ev.Event) -> None:
        """Apply an event and keep what was sent and refused."""
        for decision in self.dispatcher.decide(event, self.now_ms):
            if isinstance(decision, ev.Dispatch):
                self.running.append(decision)
            elif isinstance(decision, ev.Refuse):
                self.refused.append(decision)

    def send(self, customer: str, count: int, tier: int = 1, first: int = 0) -> None:
        """Let requests of a customer arrive."""
        for number in range(first, first + count):
            name = f"{customer}-{tier}-{number}"
            self.feed(ev.Arrival(name, customer, f"k{tier}", POOL))

    def serve(self, count: int) -> list[str]:
        """End running requests one after the other; return the customers served."""
        served: list[str] = []
        for _ in range(count):
            done = self.running.pop(0)
            self.feed(ev.AttemptDone(done.request_id, done.attempt))
            served.append(done.request_id.partition("-")[0])
        return served

    def hear(self, **work: int) -> None:
        """Record the work that another VM reports."""
        self.state.shares.record_remote(work, 0, self.now_ms)
        self.state.shares.update(self.now_ms)


# Guards against a VM that knows nothing of what its customers got on other VMs.
def test_the_customer_with_the_least_work_in_the_fleet_is_served_first():
    vm = Vm()
    vm.send("big", 4)
    vm.send("small", 2)
    vm.hear(big=1_000_000, small=100)
    assert vm.serve(3) == ["big", "small", "small"]
    assert vm.state.shares.take_changes(vm.now_ms) == [("big", True)]
    assert vm.state.shares.take_changes(vm.now_ms) == []
    vm.now_ms += LIMITED_MS + 1
    assert vm.state.shares.take_changes(vm.now_ms) == [("big", False)]


# Guards against a customer that gets nothing until its usage has decayed.
def test_a_customer_above_its_share_is_not_starved():
    vm = Vm()
    vm.send("big", 10)
    vm.hear(big=10**9 // 100, small=1, other=1)
    vm.send("small", 30)
    vm.send("other", 30)
    served = vm.serve(1 + 2 * 7)[1:]
    assert served.count("big") >= 2 * 7 // (3 * PASSED_OVER_TURNS + 1)


# Guards against less urgent work that goes before more urgent work by shares.
def test_a_more_urgent_tier_goes_first_though_its_customer_is_above_its_share():
    vm = Vm(max_waiting=4)
    vm.send("big", 3, tier=0)
    vm.hear(big=1_000_000, small=100)
    vm.send("small", 2)
    vm.send("small", 1, first=7)
    assert [refused.request_id for refused in vm.refused] == ["small-1-7"]
    assert vm.serve(4) == ["big", "big", "big", "small"]


# Guards against a rejection of those that are below their share.
def test_the_customer_furthest_above_its_share_is_rejected():
    vm = Vm(max_waiting=4)
    vm.send("big", 3)
    vm.send("small", 2)
    vm.hear(big=1_000_000, small=100, other=50)
    vm.send("other", 1)
    assert [refused.request_id for refused in vm.refused] == ["big-1-2"]
    assert vm.refused[0].error.outcome is Outcome.NOT_RUN
    assert vm.state.shares.rejections == 1
    vm.send("big", 1, first=8)
    assert vm.refused[1].request_id == "big-1-8"


# Guards against a request refused as not run after an attempt that may have run.
def test_a_request_that_had_an_attempt_is_not_rejected_by_shares():
    vm = Vm(max_waiting=2)
    vm.send("big", 1)
    vm.hear(big=1_000_000, small=100)
    lost = vm.running.pop(0)
    vm.send("small", 1)
    load = vm.state.loads["e0"]
    load.paused_until_ms = 10**9
    failed = ev.AttemptFailed(lost.request_id, lost.attempt, False, False)
    vm.feed(failed)
    vm.send("small", 1, first=5)
    assert [refused.request_id for refused in vm.refused] == ["small-1-5"]
    assert vm.state.shares.rejections == 0


# Guards against a decision that differs where the setting is off.
def test_without_the_setting_nothing_is_counted():
    vm = Vm(enabled=False)
    vm.send("big", 3)
    vm.send("small", 1)
    vm.dispatcher.charge_remote("big", 10_000)
    assert vm.serve(4) == ["big", "small", "big", "big"]
    assert vm.state.shares is None


# Guards against work that is counted twice or not at all.
def test_prompts_generated_tokens_and_plain_requests_are_charged():
    vm = Vm()
    prompt = Prompt((Part("own", 3_000),), 3_000, 10)
    vm.feed(ev.Arrival("p", "small", "k1", POOL, prompt=prompt))
    vm.feed(ev.TokensRelayed("p", 1, 5))
    assert vm.state.shares.take_report() == {"small": 3_000 + 5 * 16}
    failed = ev.AttemptFailed("p", 1, False, True)
    vm.feed(failed)
    vm.now_ms += 5_000
    vm.feed(ev.Tick())
    assert vm.state.shares.take_report() == {}
    vm = Vm()
    vm.send("big", 1)
    vm.feed(ev.TokensRelayed("big-1-0", 1, 9))
    assert vm.state.shares.take_report() == {"big": PLAIN_REQUEST_WORK}


# The engines' backlogs


# Guards against a hold-back that lets less urgent work of other VMs go first, or that
# leaves engines idle.
@pytest.mark.parametrize("tier, backlog", [(0, 30_000), (1, 1_000), (1, 30_000)])
def test_only_the_least_urgent_tier_is_held_back_and_only_from_busy_engines(
    tier, backlog
):
    vm = Vm()
    vm.state.least_urgent_tiers = {POOL: 1}
    vm.state.router.set_first_token_target(POOL, 1_000)
    vm.hear(big=1_000_000, small=100)
    backlogs = {"e0": backlog}
    vm.state.router.engine_states.record_remote("vm-2", backlogs, {}, vm.now_ms)
    prompt = Prompt((Part("own", 500),), 500, 10)
    vm.feed(ev.Arrival("r1", "big", f"k{tier}", POOL, prompt=prompt))
    held = tier == 1 and backlog > 1_000
    assert len(vm.running) == (0 if held else 1)
    vm.state.router.engine_states.record_remote("vm-2", {}, {}, vm.now_ms)
    vm.feed(ev.Tick())
    assert len(vm.running) == 1


# Guards against a customer below its share that waits for those held back.
def test_others_use_the_room_that_is_left_to_them():
    vm = Vm()
    vm.state.least_urgent_tiers = {POOL: 1}
    vm.state.router.set_first_token_target(POOL, 1_000)
    vm.hear(big=1_000_000, small=100)
    vm.state.router.engine_states.record_remote("vm-2", {"e0": 30_000}, {}, vm.now_ms)
    for customer in ("big", "small"):
        prompt = Prompt((Part(customer, 500),), 500, 10)
        vm.feed(ev.Arrival(customer, customer, "k1", POOL, prompt=prompt))
    assert [dispatch.request_id for dispatch in vm.running] == ["small"]


# Guards against a tier that some customer's requests go below.
def test_the_least_urgent_tier_of_a_pool_covers_all_customers():
    customers = {"norte": ConfiguredCustomer("norte", {0: 4})}
    table = RouteTable(1, [ROUTE], {"key": customers["norte"]})
    assert table.find_least_urgent_tiers() == {POOL: 4}
    assert RouteTable(1, [ROUTE]).find_least_urgent_tiers() == {POOL: 1}


# The fleet


# Guards against a surge that the others pay for, and a surging customer that gets less
# than its share.
def test_a_surge_costs_the_others_less_than_without_shares():
    others_served: list[int] = []
    for shares in (False, True):
        callers = CustomerFleet(shares, seed=1).play_surge()
        others = [caller for caller in callers if caller.customer != SURGING]
        others_served.append(count_served(others))
    assert others_served[1] > 1.5 * others_served[0]
    sent = [caller.customer for caller in callers if caller.dispatched_ms]
    assert sent.count(SURGING) >= len(sent) / len(LOADS)


# Guards against a VM that decides by shares without knowing what others did.
def test_without_reports_the_others_get_what_they_did_before():
    found: list[int] = []
    for shares in (False, True):
        fleet = CustomerFleet(shares, seed=1, reporting=False)
        callers = fleet.play_surge()
        found.append(count_served([item for item in callers if item.customer != "c0"]))
    assert found[1] > 0.9 * found[0]


# Guards against idle capacity that one customer may not use.
def test_one_customer_may_use_all_engines():
    found: list[tuple[int, int]] = []
    for shares in (False, True):
        fleet = CustomerFleet(shares, seed=2)
        fleet.play({SURGING: 1.0}, 6_000, USUAL_PER_S)
        fleet.play({SURGING: 0.9, "c7": 0.002}, 4_000, USUAL_PER_S)
        callers = list(fleet.callers.values())
        found.append((count_served(callers), sum(list_waits(callers))))
    assert found[1][0] >= 0.97 * found[0][0]


# Guards against a customer that gets more by coming to a single VM.
def test_a_surge_on_a_single_vm_costs_the_others_no_more_than_before():
    found: list[int] = []
    for shares in (False, True):
        fleet = CustomerFleet(shares, seed=3)
        fleet.single_vms = {SURGING: 0}
        callers = fleet.play_surge()
        found.append(count_served([item for item in callers if item.customer != "c0"]))
    assert found[1] >= found[0]


# The edge node


def make_edge(enabled: bool = True) -> Edge:
    """Return an edge node with customers."""
    settings = msgspec.structs.replace(
        SETTINGS, customer_shares=EdgeCustomerShares(enabled)
    )
    edge = Edge(settings, VirtualClock(), Metrics())
    if enabled:
        edge.broker.dispatcher.state.shares.set_weights(dict.fromkeys(CUSTOMERS, 1.0))
    return edge


# Guards against reports that are lost, passed on, counted twice, or sent while off.
def test_heartbeats_carry_own_work_once():
    edge = make_edge()
    shares = edge.broker.dispatcher.state.shares
    links = FleetLinks(edge, lambda items: None)
    heartbeat = msgspec.structs.replace(
        make_heartbeat("vm-2", 100), customer_work={"big": 900}
    )
    for _ in range(2):
        links.handle_message(heartbeat)
    shares.charge("small", 300, edge.clock.now_ms())
    assert edge.make_heartbeat().customer_work == {"small": 300}
    assert edge.make_heartbeat().customer_work == {}
    assert dict(shares.list_largest()) == {"big": 0.75, "small": 0.25}
    off = make_edge(enabled=False)
    FleetLinks(off, lambda items: None).handle_message(heartbeat)
    assert off.make_heartbeat().customer_work == {}


# Guards against a message that a build without the field can't read, or sends.
def test_an_old_build_neither_sends_nor_needs_the_field():
    new = msgspec.structs.replace(make_heartbeat("vm-2", 1), customer_work={"big": 9})
    sent = msgspec.msgpack.decode(msgspec.msgpack.encode(new))
    assert sent[-1] == {"big": 9}
    assert VmHeartbeat.__struct_fields__[-1] == "customer_work"
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(sent[:-1]), type=VmHeartbeat)
    assert old.customer_work == {}


# Guards against a log line for each malformed report, and metrics without a bound.
def test_reports_are_logged_once_and_metrics_bounded(caplog):
    caplog.set_level(logging.INFO, logger="plantainwood")
    edge = make_edge()
    links = FleetLinks(edge, lambda items: None)
    shares = edge.broker.dispatcher.state.shares
    shares.set_weights({f"c{number}": 1.0 for number in range(50)})
    for sequence in (2, 3):
        heartbeat = msgspec.structs.replace(
            make_heartbeat("vm-2", 100), sequence=sequence, customer_work={"c1": -1}
        )
        links.handle_message(heartbeat)
    reporter = ShareReporter(edge)
    for turn in range(4):
        edge.clock.advance(4 * DECAY_MS)
        for number in range(50):
            customer = f"c{(7 * turn + number) % 50}"
            shares.charge(customer, 100 + number, edge.clock.now_ms())
        shares.record_rejection("c1", edge.clock.now_ms())
        reporter.report(edge.clock.now_ms())
    text = edge.metrics.render(["text/plain"])[0].decode()
    assert text.count("pw_customer_share{") == MAX_REPORTED_CUSTOMERS
    assert "pw_share_rejections_total 4" in text
    events = [record.getMessage() for record in caplog.records]
    assert events.count("customer_work_malformed") == 1
    assert events.count("customer_limited") == 1


# Guards against a setting that is on by default, or takes anything.
def test_the_setting():
    assert not parse_edge_settings(VALID).customer_shares.enabled
    text = VALID + "customer_shares: {enabled: true}\n"
    assert parse_edge_settings(text).customer_shares.enabled
    with pytest.raises(SettingsError) as caught:
        parse_edge_settings(VALID + "customer_shares: {enabled: 3}\n")
    assert "customer_shares" in str(caught.value.problems)


# Guards against a less urgent tier that is held back and thereby blocks a more urgent
# one, since it takes the next slot on its minimum share.
def test_a_request_on_its_minimum_share_is_not_held_back():
    vm = Vm()
    vm.state.least_urgent_tiers = {POOL: 1}
    vm.hear(big=1_000_000, small=100)
    vm.send("big", 1)
    request = vm.state.requests["big-1-0"]
    pool = vm.state.pools[POOL]
    assert find_backlog_share(vm.state, pool, request) < 1.0
    request.on_min_share = True
    assert find_backlog_share(vm.state, pool, request) == 1.0


# Guards against a division by zero after prompts that were cached as a whole.
def test_work_of_zero_is_no_work():
    shares = make_shares()
    shares.charge("big", 0, 0)
    assert shares.record_remote({"small": 0}, 0, 0)
    assert shares.list_largest() == []
    assert shares.take_report() == {}


# Guards against shares that drift with the time since the last heartbeat.
def test_the_excess_does_not_change_between_updates():
    shares = make_shares()
    shares.charge("big", 3_000, 0)
    shares.charge("small", 1_000, 0)
    shares.update(0)
    before = shares.compute_excess("big")
    shares.charge("other", 1, 500)
    assert shares.compute_excess("big") == before


# Guards against a customer that loses its turn when its only request finds no slot.
def test_a_request_that_returns_to_the_queue_keeps_its_customers_turn():
    vm = Vm()
    vm.send("other", 1)
    vm.hear(big=10**9 // 100, small=1, other=1)
    vm.send("big", 1)
    queue = vm.state.pools[POOL].tiers[1].queue
    vm.send("small", 20)
    for _ in range(2 * PASSED_OVER_TURNS):
        assert queue.pop().customer == "small"
        queue.record_dispatch(vm.state.requests["small-1-0"], vm.now_ms)
    skipped = queue.pop()
    assert skipped.customer == "big"
    queue.pop()
    queue.push(skipped, front=True)
    assert queue.pop().customer == "big"
