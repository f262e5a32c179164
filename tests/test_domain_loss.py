"""The loss of a failure domain leaves store readers, relays and lease candidates."""

import random

import msgspec
import pytest

from plantainwood.core.clock import VirtualClock
from plantainwood.core.hashing import pick_across_domains, rank_by_weight
from plantainwood.core.relays import find_relays
from plantainwood.core.storereaders import READER_COUNT, is_reader
from plantainwood.edge import Edge
from plantainwood.fleetlease import LEASE_CANDIDATES, find_lease_candidates
from plantainwood.metrics import Metrics
from tests.samples import SETTINGS, make_heartbeat

FRESH_MS = 300
"""The age of a mirror that some VM keeps current."""


def make_fleet(seed: int, count: int) -> tuple[dict[str, int], dict[str, str]]:
    """Return the weights and domains of VMs, the strongest of them often together."""
    generator = random.Random(seed)
    weights: dict[str, int] = {}
    domains: dict[str, str] = {}
    for number in range(count):
        name = f"vm-{number}"
        domains[name] = f"d{number % 3}"
        strong = domains[name] == "d0" and generator.random() < 0.8
        weights[name] = 200 if strong else generator.choice((40, 100))
    return weights, domains


def find_readers(weights: dict[str, int], domains: dict[str, str] | None) -> set[str]:
    """Return the VMs that read while all mirrors are fresh."""
    found: set[str] = set()
    for name in weights:
        if is_reader(name, weights, FRESH_MS, domains):
            found.add(name)
    return found


# Guards against a fleet that learns nothing of the store until the others take over.
@pytest.mark.parametrize("count", [6, 88, 320])
def test_the_readers_are_never_all_in_one_domain(count):
    for seed in range(20):
        weights, domains = make_fleet(seed, count)
        readers = find_readers(weights, domains)
        assert READER_COUNT <= len(readers) <= READER_COUNT + 1
        assert len({domains[name] for name in readers}) > 1


# Guards against a VM that an earlier build takes for a reader, and that does not read.
def test_the_readers_of_earlier_builds_read_too():
    for seed in range(20):
        weights, domains = make_fleet(seed, 30)
        assert find_readers(weights, None) <= find_readers(weights, domains)


def test_a_fleet_in_one_domain_has_the_usual_readers():
    weights, domains = make_fleet(1, 30)
    domains = dict.fromkeys(domains, "d0")
    assert len(find_readers(weights, domains)) == READER_COUNT


def test_the_first_members_are_kept_and_at_most_one_is_added():
    ranked = ["a1", "a2", "a3", "b1", "c1"]
    domains = {name: name[0] for name in ranked}
    assert pick_across_domains(ranked, 3, domains) == ["a1", "a2", "a3", "b1"]
    assert pick_across_domains(ranked, 4, domains) == ranked[:4]
    assert pick_across_domains(ranked[:3], 3, domains) == ranked[:3]
    assert pick_across_domains([], 3, domains) == []


# Guards against a lost domain with which all VMs go that may take the duties over.
def test_the_lease_candidates_are_never_all_in_one_domain():
    edge = Edge(SETTINGS, VirtualClock(), Metrics())
    for number in range(12):
        heartbeat = make_heartbeat(f"strong-{number}", 200)
        edge.vms.record(heartbeat, 0)
    weak = msgspec.structs.replace(make_heartbeat("weak", 20), domain="b")
    edge.vms.record(weak, 0)
    candidates = find_lease_candidates(edge)
    weights = edge.find_weights()
    ranked = rank_by_weight("duty\0fleet", sorted(weights), weights)
    assert candidates == [*ranked[:LEASE_CANDIDATES], "weak"]


def test_every_domain_has_relays_of_its_own():
    weights, domains = make_fleet(3, 88)
    for domain in set(domains.values()):
        relays = find_relays(domain, domains, weights)
        assert relays
        assert {domains[name] for name in relays} == {domain}
