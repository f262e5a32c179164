"""Links of a large fleet: each VM has few, and every heartbeat reaches all VMs."""

from plantainwood.core.relays import (
    MAX_MESH_SIZE,
    RELAYS_PER_DOMAIN,
    find_relays,
    find_targets,
)


def make_domains(count: int, domains: int = 5) -> dict[str, str]:
    """Return the failure domains of VMs that are spread evenly."""
    return {f"vm-{number}": f"d{number % domains}" for number in range(count)}


def find_receivers(origin: str, domains: dict[str, str], dead: set[str]) -> set[str]:
    """Return the VMs that a heartbeat reaches in three hops; the dead relay nothing."""
    receivers = {origin}
    for _ in range(3):
        for name in sorted(receivers):
            targets = find_targets(name, domains, {})
            reached = set(targets.heartbeats) if name == origin else set()
            reached.update(targets.members)
            if domains[name] == domains[origin]:
                reached.update(targets.relays)
            receivers |= reached - dead
    return receivers


def test_all_vms_of_a_small_fleet_send_to_each_other_directly():
    domains = make_domains(MAX_MESH_SIZE)
    targets = find_targets("vm-3", domains, {})
    assert len(targets.heartbeats) == MAX_MESH_SIZE - 1
    assert not targets.members and not targets.relays


def test_every_heartbeat_reaches_all_vms_of_a_large_fleet():
    domains = make_domains(74)
    for origin in domains:
        assert find_receivers(origin, domains, set()) == set(domains)


def test_heartbeats_reach_all_vms_without_one_relay_of_each_domain():
    domains = make_domains(74)
    dead = {find_relays(f"d{number}", domains, {})[0] for number in range(5)}
    for origin in set(domains) - dead:
        assert find_receivers(origin, domains, dead) == set(domains) - dead


def test_messages_grow_linearly_and_not_quadratically_with_the_fleet():
    for count in (30, 74, 150, 300):
        domains = make_domains(count, 8)
        sent = 0
        for name in domains:
            targets = find_targets(name, domains, {})
            sent += len(targets.heartbeats) + len(targets.members) + len(targets.relays)
        assert (
            sent <= (2 * RELAYS_PER_DOMAIN + 1) * count + (8 * RELAYS_PER_DOMAIN) ** 2
        )


def test_a_member_sends_only_to_the_relays_of_its_domain():
    domains = make_domains(300, 8)
    for name, domain in domains.items():
        targets = find_targets(name, domains, {})
        if name not in find_relays(domain, domains, {}):
            assert len(targets.heartbeats) == RELAYS_PER_DOMAIN
            assert not targets.members and not targets.relays
