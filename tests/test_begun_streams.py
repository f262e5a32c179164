"""Which version began a stream, known on VMs that did not see it begin."""

from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Catalogue,
    DiscoveredUpstream,
    UpstreamKind,
    apply_changes,
)
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import Outcome
from plantainwood.core.streamversions import (
    MAX_STREAMS_TOLD,
    VERSION_LIFETIME_MS,
    StreamVersions,
)
from tests.catalogues import make_changes
from tests.largefleet import LargeFleet

POOL = "service/pool"
NOW_MS = 100_000


def make_versions(*current: str) -> StreamVersions:
    """Return the record of a VM whose pool has some versions."""
    versions = StreamVersions()
    versions.set_versions({POOL: set(current)}, NOW_MS)
    return versions


def test_a_stream_begun_before_a_second_version_came_is_told_when_it_comes():
    versions = make_versions("v1")
    versions.record_start("s-1", POOL, "v1", NOW_MS)
    assert versions.take_untold(NOW_MS) == {}
    versions.set_versions({POOL: {"v1", "v2"}}, NOW_MS + 500)
    assert versions.take_untold(NOW_MS + 500) == {"v1": ["s-1"]}
    assert versions.take_untold(NOW_MS + 600) == {}


# Guards against a guess just after the last upstream of a version has left (ORDER).
def test_a_version_that_has_just_left_still_counts():
    versions = make_versions("v1", "v2")
    versions.set_versions({POOL: {"v2"}}, NOW_MS + 1_000)
    assert versions.find("unknown", POOL, NOW_MS + 2_000) is None
    later_ms = NOW_MS + 1_000 + VERSION_LIFETIME_MS
    assert versions.find("unknown", POOL, later_ms) == "v2"


def test_upstreams_without_a_version_may_continue_any_stream():
    assert StreamVersions().find("unknown", POOL, NOW_MS) == ""


def test_many_streams_are_told_in_several_heartbeats():
    versions = make_versions("v1", "v2")
    names = {f"s-{number}" for number in range(2 * MAX_STREAMS_TOLD)}
    for name in names:
        versions.record_start(name, POOL, "v1", NOW_MS)
    told = versions.take_untold(NOW_MS)["v1"] + versions.take_untold(NOW_MS)["v1"]
    assert set(told) == names and len(told) == len(names)


def test_all_vms_of_a_large_fleet_learn_which_version_began_a_stream():
    fleet = LargeFleet(40)
    fleet.run(6)
    known = {}
    for name, edge in fleet.edges.items():
        known[name] = edge.broker.dispatcher.state.stream_versions
        known[name].set_versions({POOL: {"v1", "v2"}}, fleet.clock.now_ms())
    known["vm-7"].record_start("s-1", POOL, "v1", fleet.clock.now_ms())
    fleet.run(4)
    for versions in known.values():
        assert versions.find("s-1", POOL, fleet.clock.now_ms()) == "v1"


# Guards against losing streams at a VM that starts while several versions serve (LOST).
def test_a_vm_that_starts_is_told_of_the_streams_begun_before():
    fleet = LargeFleet(5)
    fleet.run(3)
    for name, edge in fleet.edges.items():
        versions = edge.broker.dispatcher.state.stream_versions
        versions.set_versions({POOL: {"v1", "v2"}}, fleet.clock.now_ms())
    began = fleet.edges["vm-1"].broker.dispatcher.state.stream_versions
    began.record_start("s-1", POOL, "v1", fleet.clock.now_ms())
    fleet.run(2)
    started = fleet.restart("vm-3").broker.dispatcher.state.stream_versions
    started.set_versions({POOL: {"v1", "v2"}}, fleet.clock.now_ms())
    fleet.run(2)
    assert started.find("s-1", POOL, fleet.clock.now_ms()) == "v1"


def make_vm() -> Dispatcher:
    """Return a VM with one upstream of each of two versions."""
    vm = Dispatcher("vm-1", 7, Options(preempt=False))
    changes = [item for item in make_changes() if item.section != "upstreams"]
    catalogue = apply_changes(Catalogue(), changes, "first")
    for version in ("v1", "v2"):
        catalogue.upstreams[version] = DiscoveredUpstream(
            owner="",
            kind=UpstreamKind.PLAIN,
            address=f"{version}:1",
            domain=f"d-{version}",
            service="pool",
            version=version,
        )
    vm.apply_catalogue(catalogue)
    vm.set_versions({POOL: {"v1", "v2"}}, NOW_MS)
    return vm


# Guards against streams that wait for a version of which no upstream is left.
def test_a_waiting_stream_ends_once_its_version_has_left():
    vm = make_vm()
    vm.state.stream_versions.record_start("s-1", POOL, "v1", NOW_MS)
    vm.state.loads["v1"].paused_until_ms = NOW_MS + 10_000
    arrival = ev.Arrival("r-1", "norte", "hint", POOL, stream="s-1", resumed=True)
    assert vm.decide(arrival, NOW_MS) == []
    assert vm.decide(ev.Tick(), NOW_MS + 100) == []
    vm.decide(ev.UpstreamLeaving("v1"), NOW_MS + 200)
    (refusal,) = vm.decide(ev.Tick(), NOW_MS + 300)
    assert isinstance(refusal, ev.Refuse)
    assert (refusal.error.outcome, refusal.error.status) == (Outcome.NOT_RUN, 503)
    assert refusal.error.retry_after_ms
