"""A return of all VMs at once: what a VM assumes before it hears the others."""

import random
from collections import Counter

import pytest

from bridge.daemon import EdgeDaemon
from bridge.directory import compute_lifetime_ms
from bridge.names import RESOLVE_PATH
from plantainwood.core.returning import (
    HEARING_MS,
    MIN_LIFETIME_MS,
    RETURN_MS,
    Returning,
)
from plantainwood.core.vms import compute_share
from plantainwood.edge import RETRY_BUDGET_SHARE
from tests.edgesite import run
from tests.largefleet import LargeFleet
from tests.samples import make_heartbeat

VMS = 90
LIFETIME_MS = 1_000
CLIENTS = 400
STEP_MS = 50
HEARD_AFTER_MS = 300
END_MS = 5_000
OVERLOAD = 3
"""How many times its part of all clients is too much for a VM."""


class ReturningVm:
    """A VM that starts at some time and hears each other one soon after its start."""

    def __init__(self, number: int, start_ms: int) -> None:
        self.number = number
        self.start_ms = start_ms
        self.returning = Returning()
        self.returning.begin(start_ms)

    def is_heard(self, now_ms: int) -> bool:
        """Return whether the VM is known to the others."""
        return now_ms >= self.start_ms + HEARD_AFTER_MS


def count_overload(adapts: bool, seed: int) -> int:
    """Return the requests of a return that met VMs with too many clients.

    Clients return at once, spread over the VMs they are told of, and a third of them
    keep these for three lifetimes.
    """
    rng = random.Random(seed)
    vms = [ReturningVm(n, rng.randint(500, 2_600)) for n in range(VMS)]
    until_ms = [0] * CLIENTS
    known: list[list[ReturningVm]] = [[]] * CLIENTS
    overload = 0
    for now_ms in range(0, END_MS, STEP_MS):
        heard = [vm for vm in vms if vm.is_heard(now_ms)]
        met: Counter[int] = Counter()
        for client in range(CLIENTS):
            vm = rng.choice(vms)
            if now_ms >= until_ms[client] and now_ms >= vm.start_ms:
                others = [other for other in heard if other is not vm]
                known[client] = [vm, *others]
                lifetime_ms = LIFETIME_MS
                if adapts:
                    lifetime_ms = vm.returning.compute_lifetime_ms(
                        LIFETIME_MS, len(known[client]), VMS, now_ms
                    )
                factor = 1 if client % 3 else 3
                until_ms[client] = now_ms + factor * lifetime_ms
            if known[client]:
                met[rng.choice(known[client]).number] += 1
        for count in met.values():
            overload += max(0, count - OVERLOAD * CLIENTS // VMS)
    return overload


# Guards against clients that stay with the first VMs that return.
@pytest.mark.parametrize("seed", range(3))
def test_fewer_requests_meet_crowded_vms_than_with_constant_lifetimes(seed):
    before = count_overload(adapts=False, seed=seed)
    assert count_overload(adapts=True, seed=seed) < 0.6 * before


# Guards against look-ups without need where registered VMs never return.
def test_lifetimes_are_short_for_a_bounded_time():
    returning = Returning()
    assert returning.compute_lifetime_ms(1_000, 1, 1, 0) == MIN_LIFETIME_MS
    returning.begin(100)
    returning.begin(9_000)
    assert returning.compute_lifetime_ms(1_000, 1, 77, 100) == MIN_LIFETIME_MS
    assert returning.compute_lifetime_ms(1_000, 40, 80, 100) == 500
    assert returning.compute_lifetime_ms(1_000, 80, 80, 100) == 1_000
    assert returning.compute_lifetime_ms(200, 1, 80, 100) == 200
    assert returning.compute_lifetime_ms(1_000, 1, 77, 100 + RETURN_MS) == 1_000


# Guards against a single VM back that leaves most of the upstreams' room unused.
def test_a_vm_that_hears_nobody_takes_the_whole_after_a_bounded_time():
    returning = Returning()
    returning.begin(0)
    registered = {"vm-2", "vm-3"}
    early = returning.find_unheard({"vm-2"}, registered, HEARING_MS - 1)
    assert early == {"vm-3"}
    assert returning.find_unheard(set(), registered, HEARING_MS) == set()


# Guards against 90 VMs that each take the whole of what they share.
def test_vms_that_have_heard_nobody_stay_within_their_shares():
    fleet = LargeFleet(VMS)
    retries = 0
    share = 0.0
    for links in fleet.network.fleet_links.values():
        links.shares.update()
        edge = links.edge
        share += edge.broker.dispatcher.state._connection_share
        while edge.retry_budget.spend(1):
            retries += 1
    slack = edge.settings.retries.slack * RETRY_BUDGET_SHARE
    assert share == pytest.approx(1.0)
    # Each VM may always make one retry.
    assert retries <= max(slack, VMS)
    assert len(edge.broker.dispatcher.state.nodes) == VMS


def test_unheard_vms_count_like_this_one_in_shares():
    others = [make_heartbeat("vm-2", 200)]
    assert compute_share(100, others) == pytest.approx(1 / 3)
    assert compute_share(100, others, unheard=2) == pytest.approx(1 / 5)


# Guards against refused clients that all return at the same moment.
def test_refused_clients_return_at_different_times():
    returning = Returning()
    waits = [returning.spread_retry_ms(500, f"id-{n}", 0) for n in range(200)]
    assert 500 <= min(waits) < 550 and 950 < max(waits) <= 1_000
    tenths = Counter(wait // 50 for wait in waits)
    assert max(tenths.values()) < 40
    assert returning.spread_retry_ms(60_000, "id-1", 0) == 60_000
    returning.begin(0)
    assert returning.spread_retry_ms(500, "id-1", RETURN_MS) == 500


# Guards against directory answers that don't follow the registered VMs.
def test_the_directory_answers_for_a_short_time_while_vms_are_silent():
    async def scenario(site) -> None:
        edge = site.daemon.edge
        directory = edge.settings.addresses.directory
        assert compute_lifetime_ms(edge) == LIFETIME_MS
        for number in range(2, 5):
            site.store.put(f"vms/vm-{number}", "tcp://127.0.0.1:1")
        await site.wait_until(lambda: len(edge.vms.list_addresses()) == 3)
        url = f"http://{directory}{RESOLVE_PATH}"
        async with site.session.get(url) as response:
            body = await response.json()
        assert body["addresses"] == [edge.settings.addresses.callers]
        assert body["ttlS"] == MIN_LIFETIME_MS / 1_000

    run(scenario)


# Guards against a VM whose first requests have the whole fleet's retries.
def test_a_vm_is_within_its_shares_with_its_first_configuration():
    async def scenario(site) -> None:
        for number in range(2, 51):
            site.store.put(f"vms/vm-{number}", f"tcp://127.0.0.1:{number}")
        await site.lose_vm()
        await site.start_vm()
        edge = site.daemon.edge
        assert edge.broker.dispatcher.state._connection_share == pytest.approx(1 / 50)
        assert edge.retry_budget.spend(1)
        assert not edge.retry_budget.spend(1)

    run(scenario)


# Guards against denials while the store can't be reached after a return, and against a
# single VM back that goes on to wait for the others.
def test_a_single_vm_back_refuses_until_the_store_answers():
    async def scenario(site) -> None:
        for number in range(2, 51):
            site.store.put(f"vms/vm-{number}", f"tcp://127.0.0.1:{number}")
        await site.lose_vm()
        site.store.faults.down = True
        site.daemon = EdgeDaemon(site.daemon.settings)
        await site.daemon.start()
        status, headers, _ = await site.call("GET", "/r/x", Request_Id="id-2")
        assert status == 503
        assert 0.5 <= float(headers["Retry-After"]) <= 1.0
        assert not site.runners[0].received
        site.store.faults.down = False
        await site.wait_until(site.daemon.edge.is_ready)
        status, _, _ = await site.call("GET", "/r/x", Request_Id="id-3")
        assert status == 200
        state = site.daemon.edge.broker.dispatcher.state
        await site.wait_until(lambda: state._connection_share == 1.0)

    run(scenario)
