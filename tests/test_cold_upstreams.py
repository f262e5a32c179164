"""Cold upstreams: their bound over all VMs, and how it is known that they are cold."""

import pytest

from plantainwood.core import events as ev
from plantainwood.core.coldshares import (
    MEMBER_HOLD_MS,
    SETTLE_MS,
    ColdBounds,
    SenderNames,
    compute_share,
    count_cold_senders,
)
from plantainwood.core.coldupstreams import (
    ENTRY_LAG_MS,
    ColdLimit,
    ColdSource,
    ColdUpstreams,
)
from plantainwood.core.upstreamlimits import NodeRate
from tests.coldfleet import (
    BOUNDS,
    COLD_PER_S,
    COLD_START_MS,
    SETTLED_MS,
    ColdFleet,
)
from tests.test_prompt_router import dispatch, make_request, make_router

MOST = BOUNDS.compute_most(COLD_PER_S)
UPSTREAM = "i-1@10.0.0.1:80@1"
LIMIT = ColdLimit("10.0.0.1:80", COLD_START_MS, COLD_PER_S)


def return_zone(fleet: ColdFleet, zone: str, count: int):
    """Return the processes of a zone that was down and returns cold."""
    fleet.stop_zone(zone)
    fleet.run(1_500, 5.0 * len(fleet.names))
    started = [fleet.start(f"10.0.{zone}.{n}:80", zone) for n in range(count)]
    fleet.publish()
    return started


# Guards against the crash of a whole failure domain: all VMs turn at once to upstreams
# that return with empty backlogs.
@pytest.mark.parametrize(("vms", "per_s"), [(1, 700), (6, 700), (88, 700)])
def test_a_zone_that_returns_cold_receives_no_more_than_its_bound(vms, per_s):
    fleet = ColdFleet(vms, {"1": 3, "2": 3, "3": 3}, seed=vms)
    fleet.run(SETTLED_MS, per_s)
    started = return_zone(fleet, "1", 3)
    fleet.run(COLD_START_MS, per_s)
    for process in started:
        assert 0 < process.find_most_received() <= MOST
    assert not fleet.refused
    fleet.run(4_000, per_s)
    warm_ms = fleet.now_ms - 3_000
    counts = [p.count_received(warm_ms, fleet.now_ms) for p in started]
    assert min(counts) > 0.5 * 3 * per_s / 9


# The baseline: without a rate in the configuration, nothing changes.
def test_without_a_rate_no_upstream_is_bounded():
    fleet = ColdFleet(6, {"1": 3, "2": 3, "3": 3}, seed=6)
    fleet.per_s = 0.0
    for vm in range(6):
        fleet._apply(vm, fleet._make_catalogue(), new_are_cold=False)
    fleet.run(SETTLED_MS, 700)
    started = return_zone(fleet, "1", 3)
    fleet.run(COLD_START_MS, 700)
    assert max(process.find_most_received() for process in started) > MOST
    for dispatcher in fleet.dispatchers:
        assert dispatcher.state.cold_sources == {}
        assert dispatcher.state.cold_upstreams.list_reports(fleet.now_ms) == {}


# Guards against requests refused, or sent at once, where nothing but cold upstreams
# could serve.
@pytest.mark.parametrize(
    ("vms", "count", "least_used"), [(1, 2, 2.0), (6, 2, 2.0), (88, 6, 1.0)]
)
def test_requests_wait_on_the_vm_while_all_are_cold(vms, count, least_used):
    fleet = ColdFleet(vms, {"1": count}, seed=vms)
    fleet.run(SETTLED_MS, 20)
    fleet.stop_zone("1")
    fleet.run(600, 0)
    started = [fleet.start(f"10.0.1.{n}:80", "1") for n in range(count)]
    fleet.publish()
    fleet.run(600, 0)
    before = len(fleet.refused)
    fleet.run(COLD_START_MS - 600, 8.0 * count)
    waiting = sum(len(d.state.requests) for d in fleet.dispatchers)
    assert waiting > 0
    for process in started:
        assert len(process.received_ms) >= least_used * COLD_START_MS / 1_000
        assert process.find_most_received() <= MOST
    fleet.run(3_000, 0)
    assert len(fleet.refused) == before
    assert not any(dispatcher.state.requests for dispatcher in fleet.dispatchers)


# Guards against a share below one request a second that is never enough for one.
@pytest.mark.parametrize("per_s", [0.3, 1.0])
def test_a_low_rate_over_many_vms_still_reaches_the_upstream(per_s):
    fleet = ColdFleet(88, {"1": 1}, seed=5)
    fleet.per_s = per_s
    fleet.run(SETTLED_MS, 0)
    fleet.stop_zone("1")
    fleet.run(600, 0)
    process = fleet.start("10.0.1.0:80", "1", cold_ms=20_000)
    fleet.publish()
    fleet.run(600, 0)
    fleet.run(15_000, 88)
    assert len(process.received_ms) >= 0.5 * per_s * 15
    assert process.find_most_received() <= BOUNDS.compute_most(per_s)


def send_greedily(shares: list[float]) -> int:
    """Return the most requests in any second if each node sends whenever it may."""
    sent_ms: list[int] = []
    for share in shares:
        rate = NodeRate(0, 1.0 if share else 0.0)
        rate.set_rate(share, 0)
        for now_ms in range(0, 8_000, 10):
            while rate.may_send(now_ms):
                rate.record_sent(now_ms)
                sent_ms.append(now_ms)
    sent_ms.sort()
    most = 0
    first = 0
    for last, time_ms in enumerate(sent_ms):
        while time_ms - sent_ms[first] > 1_000:
            first += 1
        most = max(most, last - first + 1)
    return most


# Guards against a bound that only holds while all VMs know the same others.
@pytest.mark.parametrize("count", [1, 2, 3, 5, 6, 9, 10, 11, 12, 87, 88, 319])
@pytest.mark.parametrize(
    ("per_s", "bounds"),
    [
        (4.0, BOUNDS),
        (0.5, BOUNDS),
        (10.0, BOUNDS),
        (60.0, BOUNDS),
        (4.0, ColdBounds()),
        (20.0, ColdBounds()),
    ],
)
def test_all_vms_keep_the_bound_though_one_joins_or_leaves(count, per_s, bounds):
    most = bounds.compute_most(per_s)
    fewer = [f"vm-{number:03}" for number in range(count)]
    more = [*fewer, "vm-new"]
    for address in ("10.0.0.1:80", "10.0.0.2:80"):
        for knowing in (set(), set(more[::2]), set(fewer)):
            shares = []
            for name in more:
                view = more if name in knowing or name == "vm-new" else fewer
                shares.append(compute_share(name, view, address, per_s, most))
            assert send_greedily(shares) <= most


def test_most_of_the_rate_is_used_whatever_the_size_of_the_fleet():
    for count in (1, 2, 3, 5, 6, 7, 11, 30, 88, 320):
        names = [f"vm-{number}" for number in range(count)]
        shares = [compute_share(n, names, "a:1", COLD_PER_S, MOST) for n in names]
        assert sum(shares) >= 0.9 * COLD_PER_S


def test_different_vms_send_to_different_cold_upstreams():
    names = [f"vm-{number}" for number in range(88)]
    senders = set()
    for number in range(12):
        for name in names:
            if compute_share(name, names, f"10.0.0.{number}:80", COLD_PER_S, MOST):
                senders.add(name)
    assert count_cold_senders(MOST, 88) == 10
    assert len(senders) > 50


def make_cold_upstreams(node: str, others: set[str], live: set[str]) -> ColdUpstreams:
    """Return what a VM knows that has just started, at 0, and one cold upstream."""
    cold = ColdUpstreams(node)
    cold.set_bounds(BOUNDS)
    cold.set_members(live, others, 0)
    cold.set_limits({UPSTREAM}, {UPSTREAM: LIMIT}, False, 0)
    cold.record_entry(UPSTREAM, 60_000, 0)
    return cold


# Guards against a VM that has just started, or hears nobody, and takes the whole rate.
def test_a_vm_that_starts_alone_counts_the_registered_ones():
    others = {f"vm-{number}" for number in range(5)}
    cold = make_cold_upstreams("vm-9", others, set())
    alone = make_cold_upstreams("vm-9", set(), set())
    assert cold.compute_share(UPSTREAM) <= COLD_PER_S / 6
    assert alone.compute_share(UPSTREAM) > 0.9 * COLD_PER_S
    assert not cold.find_rate(UPSTREAM, 0).may_send(0)
    assert not cold.find_rate(UPSTREAM, SETTLE_MS - 1).may_send(SETTLE_MS - 1)
    assert cold.find_rate(UPSTREAM, SETTLE_MS).may_send(SETTLE_MS)
    for now_ms in range(0, 60_000, 1_000):
        cold.set_members(set(), others, now_ms)
    assert cold.compute_share(UPSTREAM) <= COLD_PER_S / 6


def test_the_share_of_a_silent_vm_is_taken_over_by_the_majority_only():
    known = {f"vm-{number}" for number in range(1, 6)}
    names = SenderNames("vm-0")
    names.update(known, known, 0)
    most_live = known - {"vm-5"}
    names.update(most_live, known, MEMBER_HOLD_MS)
    assert len(names.names) == 6
    names.update(most_live, known, MEMBER_HOLD_MS + 1)
    assert len(names.names) == 5
    cut_off = SenderNames("vm-0")
    cut_off.update(known, known, 0)
    cut_off.update({"vm-1"}, known, 60_000)
    assert len(cut_off.names) == 6


# Guards against two halves of the fleet that each take the whole rate.
def test_a_split_fleet_keeps_the_bound():
    fleet = ColdFleet(6, {"1": 2, "2": 2}, seed=8)
    fleet.run(SETTLED_MS, 80)
    for vm in range(6):
        fleet.views[vm] = set(fleet.names[:3] if vm < 3 else fleet.names[3:])
    started = return_zone(fleet, "1", 2)
    fleet.run(COLD_START_MS, 80)
    for process in started:
        assert 0 < process.find_most_received() <= MOST


# Guards against many new VMs that each count themselves in before the others know it.
@pytest.mark.parametrize(
    ("vms", "replaced", "registered"),
    [(6, 3, True), (88, 30, True), (88, 88, True), (88, 88, False)],
)
def test_vms_that_start_together_keep_the_bound(vms, replaced, registered):
    fleet = ColdFleet(vms, {"1": 3, "2": 3}, seed=11)
    fleet.run(SETTLED_MS, 400)
    started = return_zone(fleet, "1", 3)
    fleet.run(1_000, 400)
    fleet.replace_vms(list(range(replaced)), registered)
    fleet.run(500, 400)
    fleet.share_views()
    fleet.run(COLD_START_MS, 400)
    for process in started:
        assert 0 < process.find_most_received() <= MOST


def test_a_refused_connection_counts_unless_the_path_of_the_vm_is_lost():
    fleet = ColdFleet(1, {"1": 1}, seed=12)
    (process,) = fleet.processes.values()
    state = fleet.dispatchers[0].state
    del fleet.processes[process.address]
    state.path_lost = True
    fleet.arrive(0)
    assert state.cold_sources == {}
    state.path_lost = False
    state.loads[process.name].unreached_until_ms = 0
    fleet.arrive(0)
    assert state.cold_sources == {process.name: ColdSource.BROKEN}
    fleet.processes[process.address] = process
    fleet._handle(0, ev.UpstreamProbed(process.name, True))
    fleet.run(COLD_START_MS - 100, 0)
    assert state.cold_sources == {process.name: ColdSource.BROKEN}
    fleet.run(200, 0)
    assert state.cold_sources == {}
    assert state.loads[process.name].cold_rate is None


# Guards against an upstream that restarts under the same address and id while requests
# go there: neither its old name nor its new one may bring more than the bound.
def test_an_upstream_that_restarts_under_the_same_address_is_cold():
    fleet = ColdFleet(6, {"1": 3}, seed=9)
    fleet.run(SETTLED_MS, 90)
    old = fleet.processes["10.0.1.0:80"]
    fleet._stop(old)
    del fleet.processes[old.address]
    fleet.run(300, 90)
    new = fleet.start(old.address, "1")
    fleet.run(1_000, 90)
    fleet.publish()
    fleet.run(COLD_START_MS - 1_000, 90)
    assert new.name != old.name
    assert 0 < new.find_most_received() <= MOST


def test_a_broken_connection_makes_cold_until_the_entry_is_read_again():
    cold = make_cold_upstreams("vm-0", set(), set())
    cold.record_entry(UPSTREAM, 0, 0)
    assert cold.list_cold(1) == {}
    cold.record_broken(UPSTREAM, refused=False, crashed=False, now_ms=10)
    cold.confirm_entries(10 + ENTRY_LAG_MS - 1)
    assert cold.list_cold(10 + COLD_START_MS - 1) == {UPSTREAM: ColdSource.BROKEN}
    cold.confirm_entries(10 + ENTRY_LAG_MS)
    assert cold.list_cold(10 + ENTRY_LAG_MS) == {}


# Guards against a VM that is no sender and so never gets the response that would end
# the cold time of an upstream which broke a connection.
def test_a_broken_connection_makes_cold_for_the_time_of_a_start_at_most():
    for crashed in (False, True):
        cold = make_cold_upstreams("vm-0", set(), set())
        cold.record_response(UPSTREAM, 0, 0)
        cold.record_broken(UPSTREAM, refused=False, crashed=crashed, now_ms=10)
        assert UPSTREAM in cold.list_cold(10 + COLD_START_MS - 1)
        assert cold.list_cold(10 + COLD_START_MS) == {}


def test_an_upstream_that_refused_a_connection_is_cold_until_it_has_responded():
    cold = make_cold_upstreams("vm-0", set(), set())
    cold.record_response(UPSTREAM, 0, 0)
    cold.record_broken(UPSTREAM, refused=True, crashed=False, now_ms=10)
    cold.confirm_entries(50_000)
    assert cold.list_cold(500_000) == {UPSTREAM: ColdSource.BROKEN}
    cold.record_response(UPSTREAM, None, 500_000)
    assert UPSTREAM in cold.list_cold(500_000 + COLD_START_MS - 1)
    assert cold.list_cold(500_000 + COLD_START_MS) == {}


# Guards against one VM with bad paths that slows down upstreams for the whole fleet.
@pytest.mark.parametrize(
    ("refused", "crashed"), [(False, False), (False, True), (True, False)]
)
def test_only_what_upstreams_said_to_a_vm_is_reported(refused, crashed):
    cold = make_cold_upstreams("vm-0", set(), set())
    cold.record_report(UPSTREAM, 9_000, 0)
    cold.record_broken(UPSTREAM, refused, crashed, 0)
    assert cold.list_reports(0) == {}
    cold.record_response(UPSTREAM, 2_500, 0)
    assert cold.list_reports(500) == {UPSTREAM: 2_000}


def test_a_report_of_another_vm_holds_for_its_time():
    cold = ColdUpstreams("vm-0")
    cold.record_report(UPSTREAM, 3_000, 0)
    cold.set_limits({UPSTREAM}, {UPSTREAM: LIMIT}, False, 10)
    assert cold.list_cold(2_999) == {UPSTREAM: ColdSource.REPORT}
    assert cold.list_cold(3_000) == {}


def test_a_new_name_is_cold_only_after_traffic_has_begun():
    cold = ColdUpstreams("vm-0")
    cold.set_limits({"a"}, {"a": LIMIT}, False, 0)
    assert cold.list_cold(0) == {}
    cold.set_limits({"a", "b", "c"}, {"a": LIMIT, "b": LIMIT}, True, 0)
    assert cold.list_cold(COLD_START_MS - 1) == {"b": ColdSource.NEW}
    cold.record_entry("b", 0, 100)
    assert cold.list_cold(100) == {}
    cold.set_limits({"a"}, {"a": LIMIT}, True, 200)
    cold.set_limits({"a", "b"}, {"a": LIMIT, "b": LIMIT}, True, 300)
    assert cold.list_cold(300) == {}


# Guards against an entry written before the upstream restarted that ends its cold time.
def test_an_entry_read_just_after_a_broken_connection_does_not_say_otherwise():
    cold = make_cold_upstreams("vm-0", set(), set())
    cold.record_broken(UPSTREAM, refused=False, crashed=False, now_ms=1_000)
    cold.record_entry(UPSTREAM, 0, 1_400)
    assert cold.list_cold(1_400) == {UPSTREAM: ColdSource.BROKEN}
    cold.record_entry(UPSTREAM, 0, 1_001 + ENTRY_LAG_MS)
    assert cold.list_cold(1_001 + ENTRY_LAG_MS) == {}


def test_a_prompt_that_a_cold_engine_may_not_take_is_fetched_from_it():
    router, group = make_router(6)
    preferred, _ = dispatch(router, make_request(0, "s1", 200), group)
    preferred.cold_rate = NodeRate(0)
    load, source = dispatch(router, make_request(1, "s1", 200), group)
    assert load is not preferred
    assert source == preferred.name


# Guards against a cold engine that prefills a whole prompt which another one holds.
def test_a_cold_engine_gets_its_first_prompts_with_a_source():
    router, group = make_router(6)
    holder, _ = dispatch(router, make_request(0, "s1", 200), group)
    cold = next(load for load in group if load is not holder)
    cold.cold_rate = NodeRate(0, 1.0)
    for load in group:
        if load is not cold:
            load.cold_rate = NodeRate(0)
    load, source = dispatch(router, make_request(1, "s1", 200), group)
    assert load is cold
    assert source == holder.name
