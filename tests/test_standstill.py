"""A VM that stood still judges others by what waits in its sockets, not by its timers.

A block of the loop stands for a stop, for no share of the processor and for a long step
of the loop: in all of them timers are due before sockets are read.
"""

import asyncio
import time

import msgspec

from bridge.directory import find_addresses
from plantainwood.core.clock import VirtualClock
from plantainwood.core.vms import MIN_LIVENESS_TIMEOUT_MS
from plantainwood.edge import Edge
from plantainwood.fleetshares import FleetShares
from plantainwood.metrics import Metrics
from tests.awakeclocks import advance_awake
from tests.edgesite import answer_request_line, run_site
from tests.samples import SETTINGS, make_heartbeat

STANDSTILL_S = 0.6
"""Longer than each limit on opening a connection."""
TURNS_BEFORE_PROBES = 2
"""Of the loop, from the failure of an attempt until the probes of the path begin."""


def stand_still_after(turns: int) -> None:
    """Block the loop after some of its turns."""
    if turns:
        asyncio.get_running_loop().call_soon(stand_still_after, turns - 1)
    else:
        time.sleep(STANDSTILL_S)


async def stand_still_during(work, turns: int = 0):
    """Start a coroutine, block the loop some turns after; return the result."""
    task = asyncio.create_task(work)
    asyncio.get_running_loop().call_soon(stand_still_after, turns)
    return await task


def run_with_runners(scenario) -> None:
    """Run a scenario on a VM with two runners that answer."""

    async def main() -> None:
        async with run_site(answer_request_line, runners=2) as site:
            await scenario(site)

    asyncio.run(main())


# Guards against a sound upstream that counts as out of reach after a standstill.
def test_a_standstill_fails_no_connection_that_was_accepted():
    async def scenario(site) -> None:
        address = site.runners[0].address
        pool = site.daemon.edge.connection_pool
        connection = await stand_still_during(pool.acquire(address, fresh=True))
        assert connection.usable
        connection.close()

    run_with_runners(scenario)


# Guards against a sound upstream that counts as crashed, and a request with it.
def test_a_standstill_makes_no_upstream_refuse_connections():
    async def scenario(site) -> None:
        address = site.runners[0].address
        pool = site.daemon.edge.connection_pool
        assert not await stand_still_during(pool.probe_refused(address))

    run_with_runners(scenario)


# Guards against a VM that hands all its callers over since it thinks its path is lost.
def test_a_standstill_loses_no_path():
    async def scenario(site) -> None:
        edge = site.daemon.edge
        address = site.runners[0].address
        assert (await site.call("GET", "/r/x"))[0] == 200
        has_path = edge.path_prober.has_path(address)
        assert await stand_still_during(has_path, TURNS_BEFORE_PROBES)
        assert not edge.broker.dispatcher.state.path_lost
        assert await stand_still_during(edge.path_prober.probe_again())

    run_with_runners(scenario)


# Guards against path times that hold a standstill, so that a domain looks far.
def test_the_time_of_a_standstill_is_no_path_time():
    async def scenario(site) -> None:
        pool = site.daemon.edge.connection_pool
        samples: list[float] = []
        pool.on_connected = lambda _, took_ms: samples.append(took_ms)
        address = site.runners[0].address
        for _ in range(2):
            connection = await stand_still_during(pool.acquire(address, fresh=True))
            connection.close()
        connection = await pool.acquire(address, fresh=True)
        connection.close()
        assert len(samples) == 1
        assert samples[0] < 1_000 * STANDSTILL_S

    run_with_runners(scenario)


def make_peers_known(edge: Edge, count: int) -> None:
    """Let a VM hear some others now."""
    for number in range(count):
        heartbeat = msgspec.structs.replace(
            make_heartbeat(f"peer-{number}", 100),
            caller_address=f"peer-{number}:80",
            agreed_ms=edge.agreed_time.now(edge.clock.now_ms()),
        )
        edge.vms.record(heartbeat, edge.awake_clock.now_ms())


# Guards against a VM that counts all others as lost since it stood still itself: it
# would take their shares of retries and rates, and name only itself to clients.
def test_a_standstill_loses_no_other_vm():
    clock = VirtualClock(100_000)
    edge = Edge(SETTINGS, clock, Metrics())
    make_peers_known(edge, 3)
    clock.advance(5_000)
    shares = FleetShares(edge)
    shares.update()
    assert len(edge.vms.list_live(edge.awake_clock.now_ms())) == 3
    assert len(edge.find_weights()) == 4
    assert len(find_addresses(edge, "caller")) == 3
    edge.awake_clock.record_beat()
    assert len(edge.find_weights()) == 4


def test_a_vm_that_stays_silent_while_this_one_runs_is_lost():
    clock = VirtualClock(100_000)
    edge = Edge(SETTINGS, clock, Metrics())
    make_peers_known(edge, 3)
    advance_awake(clock, [edge], MIN_LIVENESS_TIMEOUT_MS + 1)
    assert len(edge.find_weights()) == 1


# Guards against a registry that counts as current though changes wait to be read.
def test_a_standstill_makes_no_registry_current():
    clock = VirtualClock(100_000)
    edge = Edge(SETTINGS, clock, Metrics())
    for number in range(3):
        edge.vms.learn_address(f"peer-{number}", f"tcp://peer-{number}:1")
    make_peers_known(edge, 3)
    assert edge.is_registry_current()
    clock.advance(5_000)
    assert not edge.is_registry_current()
    make_peers_known(edge, 3)
    assert not edge.is_registry_current()
    for heartbeat in edge.vms.list_live(edge.awake_clock.now_ms()):
        later = msgspec.structs.replace(
            heartbeat,
            sequence=heartbeat.sequence + 1,
            agreed_ms=edge.agreed_time.now(clock.now_ms()),
        )
        edge.vms.record(later, edge.awake_clock.now_ms())
    assert edge.is_registry_current()
