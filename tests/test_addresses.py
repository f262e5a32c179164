"""Addresses for callers, with VMs of unequal capacity that join and leave."""

from collections import Counter

import msgspec

from plantainwood.core.addresses import Candidate, choose_addresses
from plantainwood.core.vms import VmTable
from tests.samples import SETTINGS, make_heartbeat

EQUAL_CANDIDATES = [Candidate(f"10.0.0.{number}:80", 107) for number in range(7)]
UNEQUAL_CANDIDATES = [
    Candidate(f"10.0.1.{number}:80", 20 if number % 4 == 0 else 100 + number)
    for number in range(74)
]


def count_uses(candidates: list[Candidate], callers: int) -> Counter:
    """Return how many callers use each address.

    A caller counts in equal parts for the addresses that it is given.
    """
    uses: Counter = Counter()
    for caller in range(callers):
        chosen = choose_addresses(candidates, f"caller-{caller}")
        for address in chosen:
            uses[address] += 1 / len(chosen)
    return uses


def test_a_few_equal_vms_are_all_returned():
    assert len(choose_addresses(EQUAL_CANDIDATES, "caller")) == 7


def test_weak_vms_get_fewer_requests_in_proportion():
    uses = count_uses(UNEQUAL_CANDIDATES, 400)
    weak = [uses[item.address] for item in UNEQUAL_CANDIDATES if item.weight == 20]
    strong = [uses[item.address] for item in UNEQUAL_CANDIDATES if item.weight > 100]
    ratio = (sum(weak) / len(weak)) / (sum(strong) / len(strong))
    assert 0.1 < ratio < 0.35


def test_every_vm_of_a_large_fleet_gets_requests():
    equal = [Candidate(f"10.0.2.{number}:80", 100) for number in range(90)]
    uses = count_uses(equal, 400)
    assert len(uses) == 90
    assert max(len(choose_addresses(equal, str(n))) for n in range(9)) == 64


def test_a_caller_keeps_its_other_addresses_when_one_is_removed():
    """At most one of the other addresses is replaced."""
    before = choose_addresses(UNEQUAL_CANDIDATES, "caller-1")
    removed = before[0]
    after = choose_addresses(
        [c for c in UNEQUAL_CANDIDATES if c.address != removed], "caller-1"
    )
    assert len(set(before[1:]) - set(after)) <= 1


def test_a_silent_vm_is_no_longer_fresh_before_it_counts_as_dead():
    vms = VmTable("vm-1")
    for name in ("vm-2", "vm-3"):
        vms.record(make_heartbeat(name, 100), 0)
    later = msgspec.structs.replace(make_heartbeat("vm-3", 100), sequence=2)
    vms.record(later, 600)
    assert [heartbeat.sender for heartbeat in vms.list_fresh(600)] == ["vm-3"]
    assert len(vms.list_live(600)) == 2


def test_a_slow_link_lowers_the_capacity_of_a_vm():
    fast_link = msgspec.structs.replace(SETTINGS, cores=2.0, link_mbps=1_000.0)
    slow_link = msgspec.structs.replace(SETTINGS, cores=2.0, link_mbps=5.0)
    assert fast_link.capacity_percent == 200
    assert slow_link.capacity_percent == 20
