"""A fleet with slow VMs: weights, directory, duties, and late heartbeats."""

import asyncio

import msgspec
import pytest

from bridge.directory import find_addresses
from plantainwood.core.clock import VirtualClock
from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.messages import NodeState
from plantainwood.core.relays import find_relays
from plantainwood.core.storereaders import is_reader
from plantainwood.edge import Edge
from plantainwood.edgesettings import EdgeSlowVm, parse_edge_settings
from plantainwood.fleetlease import FleetLeaseRenewer, find_lease_candidates
from plantainwood.metrics import Metrics
from plantainwood.settings import SettingsError
from tests.awakeclocks import advance_awake
from tests.fakes import FakeStore, ProcedureRun
from tests.samples import SETTINGS, make_heartbeat
from tests.test_edge_settings import VALID

INTERVAL_MS = 500
WEIGHT = SETTINGS.capacity_percent
CALLERS = 2_000


class FleetView:
    """What one VM knows of a fleet, in which some VMs report lower weights."""

    def __init__(self, count: int, enabled: bool = True) -> None:
        self.clock = VirtualClock(now_ms=100_000)
        slow_vm = EdgeSlowVm(enabled)
        settings = msgspec.structs.replace(SETTINGS, node="vm-0", slow_vm=slow_vm)
        self.edge = Edge(settings, self.clock, Metrics())
        self._sequence = 0
        self._names = [f"vm-{number}" for number in range(1, count)]
        self.hear({})

    def hear(
        self, weights: dict[str, int], gap_ms: int = INTERVAL_MS, late: set[str] = set()
    ) -> None:
        """Receive a heartbeat of each VM; the late ones were made after `gap_ms`."""
        self._sequence += 1
        advance_awake(self.clock, [self.edge], INTERVAL_MS)
        for name in self._names:
            made_ms = self._sequence * (gap_ms if name in late else INTERVAL_MS)
            heartbeat = msgspec.structs.replace(
                make_heartbeat(name, weights.get(name, WEIGHT)),
                sequence=self._sequence,
                caller_address=f"{name}:80",
                agreed_ms=made_ms,
            )
            now_ms = self.clock.now_ms()
            self.edge.vms.record(heartbeat, self.edge.awake_clock.now_ms())
            self.edge.weights.record_heartbeat(heartbeat, INTERVAL_MS, now_ms)

    def find_answers(self) -> list[list[str]]:
        """Return the directory's answers to some callers."""
        return [find_addresses(self.edge, f"caller-{n}") for n in range(CALLERS)]


def count_named(answers: list[list[str]], address: str) -> int:
    """Return how many answers name an address."""
    return sum(address in answer for answer in answers)


# Guards against a slow VM to which as many callers are sent as before; the baseline is
# the directory's answer while the VM is not slow.
@pytest.mark.parametrize("share", [0.5, 0.1])
@pytest.mark.parametrize("count", [7, 90])
def test_the_directory_names_a_slow_vm_in_proportion(count, share):
    view = FleetView(count)
    before = view.find_answers()
    view.hear({"vm-3": round(share * WEIGHT)})
    after = view.find_answers()
    ratio = count_named(after, "vm-3:80") / count_named(before, "vm-3:80")
    assert 0.7 * share <= ratio <= 1.3 * share
    for old, new in zip(before, after, strict=True):
        assert len(set(old) - set(new) - {"vm-3:80"}) == 0
    view.hear({})
    assert view.find_answers() == before


# Guards against a slow VM that relays, reads the store or takes duties as before.
def test_a_slow_vm_passes_relaying_reading_and_duties_on():
    view = FleetView(90)
    weights = view.edge.find_weights()
    domains = dict.fromkeys(weights, "a")
    chosen = {
        find_relays("a", domains, weights)[0],
        find_lease_candidates(view.edge)[0],
    }
    chosen |= {name for name in weights if is_reader(name, weights, 0)}
    view.hear(dict.fromkeys(chosen - {"vm-0"}, WEIGHT // 4))
    weights = view.edge.find_weights()
    slow = chosen - {"vm-0"}
    assert slow and not slow & set(find_relays("a", domains, weights))
    assert not slow & set(find_lease_candidates(view.edge))
    assert not any(is_reader(name, weights, 0) for name in slow)


# Guards against a fleet whose few VMs that are not slow get all the work.
def test_weights_compare_as_before_if_more_than_half_are_slow():
    view = FleetView(90)
    before = view.edge.find_weights(), view.find_answers()
    view.hear({f"vm-{number}": WEIGHT // 2 for number in range(1, 50)})
    assert (view.edge.find_weights(), view.find_answers()) == before
    assert "vm-1" not in find_lease_candidates(view.edge)
    view.hear({f"vm-{number}": WEIGHT // 2 for number in range(1, 90)})
    assert find_lease_candidates(view.edge) == ["vm-0"]


# Guards against a change of behaviour while the setting is off.
def test_nothing_is_recognized_while_the_setting_is_off():
    view = FleetView(90, enabled=False)
    for _ in range(4):
        view.hear({"vm-3": WEIGHT // 4}, 4 * INTERVAL_MS, {"vm-4"})
    assert view.edge.find_weights() == {
        **{f"vm-{number}": WEIGHT for number in range(90)},
        "vm-3": WEIGHT // 4,
    }
    for now_ms in range(0, 60_000, 1_000):
        view.edge.weights.record_tick(25, 1_000, 0, now_ms)
    assert view.edge.make_heartbeat().weight == view.edge.weight == WEIGHT


# Guards against a VM that is too slow to report it, and against one that counts as slow
# after a single late heartbeat.
def test_a_vm_whose_heartbeats_are_late_counts_as_slow_until_they_are_in_time():
    view = FleetView(90)
    view.hear({}, 3 * INTERVAL_MS, {"vm-3"})
    assert view.edge.find_weights()["vm-3"] == WEIGHT
    view.hear({})
    assert view.edge.find_weights()["vm-3"] == WEIGHT
    for _ in range(4):
        view.hear({}, 3 * INTERVAL_MS, {"vm-3"})
    assert view.edge.find_weights()["vm-3"] < WEIGHT / 2
    for _ in range(8):
        view.hear({})
    assert view.edge.find_weights()["vm-3"] == WEIGHT


# Guards against reports that no VM sends: none stops this VM or excludes others.
@pytest.mark.parametrize("weight", [-5, 0, 2**62])
def test_odd_weights_are_harmless(weight):
    view = FleetView(20)
    view.hear({"vm-3": weight}, -(10**15), {"vm-4"})
    view.hear({})
    weights = view.edge.find_weights()
    assert len(view.find_answers()[0]) >= 12
    assert [weights[f"vm-{number}"] for number in (1, 2, 5)] == [WEIGHT] * 3


def test_a_value_of_another_type_is_named():
    with pytest.raises(SettingsError, match="slow_vm.enabled"):
        parse_edge_settings(VALID + "slow_vm: {enabled: 3}\n")


class FakePlatform:
    """The platform's client, with a call that can be under way."""

    def __init__(self) -> None:
        self.quiet = asyncio.Event()

    async def wait_until_quiet(self) -> None:
        """Wait until no call is under way."""
        await self.quiet.wait()


class FakeDriver:
    """Run the procedures of the lease on a store in memory, one step at a time."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.platform = FakePlatform()

    async def run(self, procedure) -> object:
        """Run a procedure, and let the other VM act before each step."""
        run = ProcedureRun(procedure)
        while not run.done:
            await asyncio.sleep(0)
            run.step(self.store)
        return run.result


class LeaseSite:
    """Two VMs that know each other and contend for the duties' lease."""

    def __init__(self) -> None:
        self.clock = VirtualClock(now_ms=100_000)
        store = FakeStore()
        self.renewers: list[FleetLeaseRenewer] = []
        for name in ("vm-0", "vm-1"):
            slow_vm = EdgeSlowVm(True)
            settings = msgspec.structs.replace(SETTINGS, node=name, slow_vm=slow_vm)
            edge = Edge(settings, self.clock, Metrics())
            edge.driver = FakeDriver(store)
            edge.mirror.revision = 1
            self.renewers.append(FleetLeaseRenewer(edge))
        self.exchange()

    def exchange(self) -> None:
        """Let each VM hear the other."""
        for renewer, other in zip(self.renewers, reversed(self.renewers)):
            heartbeat: VmHeartbeat = other.edge.make_heartbeat()
            now_ms = self.clock.now_ms()
            renewer.edge.vms.record(heartbeat, renewer.edge.awake_clock.now_ms())
            renewer.edge.weights.record_heartbeat(heartbeat, 100, now_ms)

    def set_slow(self, number: int, is_slow: bool) -> None:
        """Let a VM find out that it is slow, or no longer is, and tell the other."""
        self.renewers[number].edge.weights._detector._level = int(is_slow)
        self.exchange()

    async def renew(self, number: int) -> None:
        """Let a VM renew the lease, or try to acquire it, if it may."""
        renewer = self.renewers[number]
        if renewer.may_try():
            await renewer.get_driver().run(renewer.lease.renew_or_acquire())

    async def run(self, duration_ms: int) -> None:
        """Let both VMs act; check that at most one holds the lease."""
        for _ in range(duration_ms // 200):
            edges = [renewer.edge for renewer in self.renewers]
            advance_awake(self.clock, edges, 200)
            self.exchange()
            for number, renewer in enumerate(self.renewers):
                await renewer.hand_over_if_slow()
                await self.renew(number)
                assert sum(self.list_held()) <= 1

    def list_held(self) -> list[bool]:
        """Return which VMs hold the lease."""
        return [renewer.lease.is_held() for renewer in self.renewers]


# Guards against a slow holder that keeps the duties, against two holders, and against a
# call that is under way when another VM begins to act.
def test_a_slow_holder_hands_over_once_no_call_is_under_way():
    async def scenario() -> None:
        site = LeaseSite()
        for renewer in site.renewers:
            renewer.edge.driver.platform.quiet.set()
        await site.renew(0)
        assert site.list_held() == [True, False]
        quiet = site.renewers[0].edge.driver.platform.quiet
        quiet.clear()
        site.set_slow(0, True)
        hand_over = asyncio.create_task(site.renewers[0].hand_over_if_slow())
        for _ in range(20):
            await asyncio.sleep(0)
            await site.renew(0)
            await site.renew(1)
            assert site.list_held() == [False, False]
        quiet.set()
        await hand_over
        await site.run(2_000)
        assert site.list_held() == [False, True]
        site.set_slow(0, False)
        site.set_slow(1, True)
        await site.run(8_000)
        assert site.list_held() == [True, False]

    asyncio.run(scenario())


# Guards against a fleet without a holder: all are slow, or become so one by one.
def test_one_keeps_the_lease_if_all_are_slow():
    async def scenario() -> None:
        site = LeaseSite()
        for renewer in site.renewers:
            renewer.edge.driver.platform.quiet.set()
        await site.renew(0)
        site.set_slow(1, True)
        site.set_slow(0, True)
        await site.run(20_000)
        assert site.list_held() == [True, False]
        assert not site.renewers[0]._has_handed_over

    asyncio.run(scenario())


# Guards against a slow VM that competes again after its planned stop has begun.
def test_a_planned_stop_during_the_hand_over_stays_one():
    async def scenario() -> None:
        site = LeaseSite()
        await site.renew(0)
        edge = site.renewers[0].edge
        site.set_slow(0, True)
        slow = asyncio.create_task(site.renewers[0].hand_over_if_slow())
        await asyncio.sleep(0)
        edge.state = NodeState.LEAVING
        stop = asyncio.create_task(site.renewers[0].hand_over())
        await asyncio.sleep(0)
        edge.driver.platform.quiet.set()
        await asyncio.gather(slow, stop)
        assert edge.lease._retired
        await site.run(2_000)
        assert site.list_held() == [False, True]

    asyncio.run(scenario())


# Guards against a VM that can never hold the lease again after a hand-over that failed.
def test_a_failed_hand_over_leaves_the_lease_usable():
    async def scenario() -> None:
        site = LeaseSite()
        await site.renew(0)
        site.set_slow(0, True)

        async def fail() -> None:
            raise RuntimeError("unexpected")

        site.renewers[0].edge.driver.platform.wait_until_quiet = fail
        with pytest.raises(RuntimeError):
            await site.renewers[0].hand_over_if_slow()
        assert site.list_held() == [True, False]

    asyncio.run(scenario())
