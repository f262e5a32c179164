"""Several nodes in one process: updates by a few store readers, lease handover."""

import asyncio
import contextlib

import msgspec

from bridge.daemon import EdgeDaemon
from fakes.store import FakeKvStore
from plantainwood.core import events as ev
from plantainwood.core.fleetmessages import PartCrashNotice, PartsClearedNotice
from plantainwood.core.partquarantine import LostAttempt, PartCrash
from plantainwood.core.reports import make_report_key
from plantainwood.core.storereaders import is_reader
from plantainwood.edgeduties import UsageReporter
from plantainwood.edgesettings import (
    Duty,
    EdgeAddresses,
    EdgeDuties,
    EdgeSettings,
    EdgeStore,
)
from plantainwood.fleetlease import find_holder
from standins.ports import find_ports
from tests.edgesite import make_config

TIMEOUT_S = 20


def make_settings(name: str, store: str, ports: list[int]) -> EdgeSettings:
    """Return the settings of one node."""
    addresses = [f"127.0.0.1:{port}" for port in ports]
    return EdgeSettings(
        node=name,
        domain="a",
        domains=["a"],
        addresses=EdgeAddresses(*addresses[:4], metrics_port=ports[4]),
        store=EdgeStore(store, "127.0.0.1:1"),
        fleet="0123456789abcdef",
        duties=EdgeDuties(enabled=[Duty.USAGE]),
    )


@contextlib.asynccontextmanager
async def run_fleet(count: int):
    """Start a store and nodes; yield them once each counts all the others as live."""
    store = FakeKvStore()
    await store.start()
    store.put("op/config", make_config())
    ports = find_ports(5 * count)
    daemons: list[EdgeDaemon] = []
    for number in range(count):
        own_ports = ports[5 * number : 5 * number + 5]
        daemons.append(
            EdgeDaemon(make_settings(f"vm-{number}", store.address, own_ports))
        )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            for daemon in daemons:
                await daemon.start()
            await wait_until(
                lambda: all(count_live_nodes(d) == count - 1 for d in daemons)
            )
            yield store, daemons
    finally:
        for daemon in daemons:
            await daemon.stop()
        await store.stop()


def count_live_nodes(daemon: EdgeDaemon) -> int:
    """Return how many other nodes a node counts as live."""
    edge = daemon.edge
    return len(edge.vms.list_live(edge.awake_clock.now_ms()))


async def wait_until(condition) -> None:
    """Poll a condition until it holds."""
    while not condition():
        await asyncio.sleep(0.02)


def run(scenario, count: int = 4) -> None:
    """Run a scenario on a new fleet."""

    async def main() -> None:
        async with run_fleet(count) as (store, daemons):
            await scenario(store, daemons)

    asyncio.run(main())


def split_readers(
    daemons: list[EdgeDaemon],
) -> tuple[list[EdgeDaemon], list[EdgeDaemon]]:
    """Return the nodes that read the store, and the others."""
    names = [daemon.edge.settings.node for daemon in daemons]
    readers = []
    others = []
    for daemon in daemons:
        reads = is_reader(daemon.edge.settings.node, dict.fromkeys(names, 100), 0)
        (readers if reads else others).append(daemon)
    return readers, others


def get_version(daemon: EdgeDaemon) -> int:
    """Return the version of the configuration in force on a node, or 0 without one."""
    routes = daemon.edge.view.routes
    return routes.version if routes is not None else 0


def test_a_change_reaches_all_nodes_though_few_read_the_store():
    async def scenario(store, daemons):
        await asyncio.sleep(0.5)
        store.calls.clear()
        store.put("op/config", make_config(2))
        await wait_until(lambda: all(get_version(d) == 2 for d in daemons))
        await asyncio.sleep(1.0)
        assert store.calls.count("kv-watch") <= 10
        assert store.calls.count("kv-range") == 0

    run(scenario)


def test_a_reader_that_stops_is_replaced():
    async def scenario(store, daemons):
        readers, others = split_readers(daemons)
        for daemon in readers:
            await daemon.stop()
        await asyncio.sleep(0.3)
        store.put("op/config", make_config(3))
        await wait_until(lambda: all(get_version(d) == 3 for d in others))

    run(scenario)


def test_nodes_stay_ready_without_the_store_and_apply_changes_after_its_return():
    async def scenario(store, daemons):
        store.faults.down = True
        await asyncio.sleep(1.5)
        assert all(daemon.edge.is_ready() for daemon in daemons)
        store.faults.down = False
        store.put("op/config", make_config(4))
        await wait_until(lambda: all(get_version(d) == 4 for d in daemons))

    run(scenario)


def test_one_node_holds_the_lease_and_a_leaving_one_hands_it_over():
    async def scenario(store, daemons):
        def find_holders() -> list[EdgeDaemon]:
            return [daemon for daemon in daemons if daemon.edge.lease.is_held()]

        await wait_until(lambda: len(find_holders()) == 1)
        first = find_holders()[0]
        draining = asyncio.ensure_future(first.drain())
        await wait_until(lambda: find_holders() and find_holders()[0] is not first)
        second = find_holders()[0]
        assert second.edge.lease.fence == first.edge.lease.fence + 1
        await wait_until(
            lambda: all(
                find_holder(d.edge) == second.edge.settings.node for d in daemons
            )
        )
        await asyncio.sleep(1.0)
        assert find_holders() == [second]
        draining.cancel()

    run(scenario)


def test_counts_reach_the_candidates_for_the_lease():
    async def scenario(store, daemons):
        await wait_until(lambda: any(d.edge.lease.is_held() for d in daemons))
        edge = daemons[0].edge
        for _ in range(3):
            edge.start_counter.count("acme", edge.agreed_time.now(edge.clock.now_ms()))
        window = edge.start_counter.list_records()[0].window

        def count_informed_nodes() -> int:
            return sum(d.edge.window_totals.sum(window) == {"acme": 3} for d in daemons)

        await wait_until(lambda: count_informed_nodes() >= 3)

    run(scenario)


def test_a_leaving_node_is_removed_from_every_directory_at_once():
    from bridge.directory import find_addresses

    async def scenario(store, daemons):
        await wait_until(
            lambda: all(len(find_addresses(d.edge, "caller")) == 4 for d in daemons)
        )
        draining = asyncio.ensure_future(daemons[0].drain())
        async with asyncio.timeout(1):
            await wait_until(
                lambda: all(len(find_addresses(d.edge, "caller")) == 3 for d in daemons)
            )
        draining.cancel()

    run(scenario)


def test_after_the_loss_of_all_nodes_a_cold_start_serves_from_the_store_in_a_second():
    async def main() -> None:
        async with run_fleet(2) as (store, daemons):
            await wait_until(lambda: all(get_version(d) == 1 for d in daemons))
            all_settings = [daemon.edge.settings for daemon in daemons]
            revision = store.put("op/config", make_config(9))
            for daemon in daemons:
                await daemon.stop()
            restarted = [EdgeDaemon(settings) for settings in all_settings]
            try:
                async with asyncio.timeout(1):
                    for daemon in restarted:
                        await daemon.start()
                    await wait_until(
                        lambda: all(get_version(d) == 9 for d in restarted)
                    )
                assert all(d.edge.mirror.revision >= revision for d in restarted)
            finally:
                for daemon in restarted:
                    await daemon.stop()

    asyncio.run(main())


def test_a_window_too_late_to_report_does_not_delay_the_others():
    async def scenario(store, daemons):
        await wait_until(lambda: any(d.edge.lease.is_held() for d in daemons))
        holder = next(d for d in daemons if d.edge.lease.is_held())
        reporter = next(s for s in holder._services if isinstance(s, UsageReporter))
        current = reporter._compute_current_window()
        reporter._last_processed_window = current - 6
        await wait_until(lambda: reporter._last_processed_window >= current - 4)
        assert not any(key == make_report_key(current - 5) for key in store.items)

    run(scenario, count=2)


def test_a_new_lease_holder_receives_the_known_counts_at_once():
    async def scenario(store, daemons):
        await wait_until(lambda: any(d.edge.lease.is_held() for d in daemons))
        first = next(d for d in daemons if d.edge.lease.is_held())
        other = next(d for d in daemons if d is not first)
        edge = other.edge
        edge.start_counter.count("acme", edge.agreed_time.now(edge.clock.now_ms()))
        window = edge.start_counter.list_records()[0].window
        await first.drain()
        new_holder = next(d for d in daemons if d.edge.lease.is_held())
        async with asyncio.timeout(0.8):
            await wait_until(
                lambda: new_holder.edge.window_totals.sum(window) == {"acme": 1}
            )

    run(scenario, count=3)


def test_a_limit_that_an_upstream_names_to_one_node_is_known_to_all():
    async def scenario(store, daemons):
        entry = {
            "service": "pool",
            "address": "127.0.0.1:9",
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "born": 1_000,
        }
        store.put("servers/i-0", msgspec.json.encode(entry))
        states = [daemon.edge.broker.dispatcher.state for daemon in daemons]
        await wait_until(lambda: all(state.loads for state in states))
        (name,) = states[0].loads
        daemons[0].edge.broker.feed(ev.LimitNamed(name, 2.0))
        limits = [state.upstream_limits for state in states]
        await wait_until(lambda: all(item.find_limit(name) == 2.0 for item in limits))
        daemons[1].edge.broker.feed(ev.LimitNamed(name, None))
        await wait_until(lambda: all(item.find_limit(name) is None for item in limits))

    run(scenario, count=3)


CRASHING_PART = "service/pool#cause"
CRASHING_REQUEST = "fingerprint of the cause"


def is_blocked(daemon: EdgeDaemon, fingerprint: str = "") -> bool:
    """Tell whether a node refuses a fingerprint, or else CRASHING_PART."""
    edge = daemon.edge
    parts = () if fingerprint else (CRASHING_PART,)
    state = edge.broker.dispatcher.state
    return state.is_blocked(fingerprint, parts, edge.clock.now_ms())


def make_part_crashes() -> list[PartCrash]:
    """Return three crashes under CRASHING_PART, in three requests."""
    crashes: list[PartCrash] = []
    for number in range(3):
        lost = [LostAttempt(f"request {number}", (CRASHING_PART,))]
        crashes.append(PartCrash(f"e{number}", lost, age_ms=1_000 * (3 - number)))
    return crashes


def test_a_part_that_crashes_engines_is_blocked_on_every_node():
    async def scenario(store, daemons):
        notices = daemons[0].edge.notices
        notices.put_nowait(PartCrashNotice("vm-0", make_part_crashes()))
        await wait_until(lambda: all(is_blocked(daemon) for daemon in daemons[1:]))
        notices.put_nowait(PartsClearedNotice("vm-0", [CRASHING_PART]))
        await wait_until(lambda: not any(is_blocked(daemon) for daemon in daemons[1:]))

    run(scenario, count=3)


# Guards against BUDGET: a node that had just started knew no crash marks, so each
# restart let crashing requests through again.
def test_a_node_that_starts_anew_is_told_the_crash_marks():
    async def scenario(store, daemons):
        for daemon in daemons:
            for crash in make_part_crashes():
                daemon.edge.broker.feed(ev.PartCrashReceived(crash))
            for number in range(3):
                event = ev.CrashMarkReceived(CRASHING_REQUEST, f"other-{number}")
                daemon.edge.broker.feed(event)
        settings = daemons[1].edge.settings
        await daemons[1].stop()
        daemons[1] = EdgeDaemon(settings)
        await daemons[1].start()
        await wait_until(lambda: is_blocked(daemons[1]))
        await wait_until(lambda: is_blocked(daemons[1], CRASHING_REQUEST))

    run(scenario, count=3)
