"""A VM that stood still judges others by what waits in its sockets, not by its timers.

A block of the loop stands for a stop, for no share of the processor and for a long step
of the loop: in all of them timers are due before sockets are read.
"""

import asyncio
import time

import msgspec

from bridge.callers import CONFIRM_WAIT_MS, MAX_CONFIRM_AGE_FOR_DENIAL_MS
from bridge.directory import find_addresses
from plantainwood.core.clock import VirtualClock
from plantainwood.core.fleetmessages import StoreUpdate, VmHeartbeat
from plantainwood.core.vms import (
    MAX_CLOCK_ERROR_MS,
    MIN_LIVENESS_TIMEOUT_MS,
    AgreedTime,
)
from plantainwood.edge import Edge, make_edge
from plantainwood.fleet import FleetLinks
from plantainwood.fleetshares import FleetShares
from plantainwood.metrics import Metrics
from plantainwood.mirrorlinks import MirrorLinks
from plantainwood.takeups import MAX_WAIT_MS, confirm_version
from tests.awakeclocks import advance_awake, beat
from tests.edgesite import answer_request_line, run_site
from tests.samples import SETTINGS, make_heartbeat

STANDSTILL_S = 0.6
"""Longer than each limit on opening a connection."""
STOP_MS = 2_200
PEER_INTERVAL_MS = 100
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


# Guards against a denial by a configuration that is older than its confirmation says:
# the update waited in a socket while this VM stood still.
def test_an_update_that_waited_in_a_standstill_confirms_when_it_was_sent():
    edge = Edge(SETTINGS, VirtualClock(100_000), Metrics())
    links = MirrorLinks(
        edge, lambda items: None, lambda names, message: 0, lambda message: None
    )
    now_ms = edge.clock.now_ms()
    sent_ms = edge.agreed_time.now(now_ms - 2_200)
    links.apply_update(StoreUpdate("peer-0", 0, 1, 100, [], sent_ms))
    assert edge.mirror.compute_age_ms(now_ms) == 2_300 - MAX_CLOCK_ERROR_MS
    links.apply_update(StoreUpdate("peer-0", 1, 2, 100, []))
    assert edge.mirror.compute_age_ms(now_ms) == 100


class TakenUp:
    """What is looked at of a call that takes up a stream."""

    request_id = "r-1"
    resumes = "r-0"
    service = "pool"

    def __init__(self, edge: Edge) -> None:
        self.arrived_ms = edge.clock.now_ms()
        self.deadline_ms = self.arrived_ms + 10_000


# Guards against a stream that can't be taken up since the word that its version is the
# only one waits in a socket as the VM goes on.
def test_a_standstill_refuses_no_stream_that_is_taken_up():
    async def scenario() -> None:
        edge = make_edge(SETTINGS)
        edge.vms.learn_address("peer-0", "tcp://peer-0:1")
        edge.broker.dispatcher.set_versions(
            {"service/pool": {"v1"}}, edge.clock.now_ms()
        )
        beats = asyncio.create_task(beat(edge.awake_clock))
        confirming = asyncio.create_task(confirm_version(edge, TakenUp(edge)))
        await asyncio.sleep(0.05)
        assert not confirming.done()
        time.sleep(MAX_WAIT_MS / 1_000 + 0.2)
        await asyncio.sleep(0.05)
        edge.note_registry_read(edge.clock.now_ms())
        await confirming
        beats.cancel()

    asyncio.run(scenario())


# Guards against a refusal as unconfirmed, with a return later, in place of the denial.
def test_a_caller_is_denied_once_a_standstill_has_ended():
    async def scenario(site) -> None:
        site.store.faults.down = True
        await asyncio.sleep(MAX_CONFIRM_AGE_FOR_DENIAL_MS / 1_000 + 0.7)
        denied = asyncio.create_task(site.call("GET", "/none"))
        await asyncio.sleep(0.2)
        assert not denied.done()
        site.store.faults.down = False
        time.sleep(CONFIRM_WAIT_MS / 1_000)
        assert (await denied)[0] == 404

    run_with_runners(scenario)


def make_waiting_heartbeats(edge: Edge, number: int) -> list[VmHeartbeat]:
    """Return what a peer sends in the next STOP_MS, in which this VM stands still."""
    heartbeats: list[VmHeartbeat] = []
    agreed_ms = edge.agreed_time.now(edge.clock.now_ms())
    for sequence in range(1, STOP_MS // PEER_INTERVAL_MS + 1):
        heartbeats.append(
            msgspec.structs.replace(
                make_heartbeat(f"peer-{number}", 100),
                sequence=sequence + 2,
                agreed_ms=agreed_ms + sequence * PEER_INTERVAL_MS,
            )
        )
    return heartbeats


# Guards against an agreed time that goes back since heartbeats waited while this VM
# stood still: starts would count for the wrong window, and old word for new (ORDER).
def test_heartbeats_that_waited_in_a_standstill_move_no_agreed_time():
    clock = VirtualClock(100_000, epoch_ms=1_700_000_000_000)
    edge = Edge(SETTINGS, clock, Metrics())
    links = FleetLinks(edge, lambda items: None)
    make_peers_known(edge, 3)
    for heartbeat in edge.vms.list_live(edge.awake_clock.now_ms()):
        links.handle_message(msgspec.structs.replace(heartbeat, sequence=2))
    waiting = [make_waiting_heartbeats(edge, number) for number in range(3)]
    before_ms = edge.agreed_time.now(0)
    clock.advance(STOP_MS)
    for heartbeats in zip(*waiting):
        for heartbeat in heartbeats:
            links.handle_message(heartbeat)
        links.send_heartbeat(urgent=False)
        assert edge.agreed_time.now(0) == before_ms


def test_another_agreed_time_that_stays_behind_counts_in_the_end():
    agreed = AgreedTime(wall_ms=1_000_000, now_ms=0)
    for now_ms in range(0, 6_000, 100):
        behind_ms = 1_000 if now_ms >= 1_000 else 0
        for name in ("vm-2", "vm-3"):
            agreed.record(name, 1_000_000 + now_ms - behind_ms, now_ms, now_ms)
        agreed.correct_offset({"vm-2", "vm-3"})
    assert agreed.now(6_000) == 1_000_000 + 6_000 - 1_000
