"""Links of a large fleet: few for each VM, and everyone hears of everyone."""

from plantainwood.core.relays import (
    MAX_MESH_SIZE,
    RELAYS_PER_DOMAIN,
    find_relays,
    find_targets,
)


def make_domains(count: int, domains: int = 5) -> dict[str, str]:
    """Return VMs spread over failure domains."""
    return {f"vm-{number}": f"d{number % domains}" for number in range(count)}


def find_hearers(origin: str, domains: dict[str, str], dead: set[str]) -> set[str]:
    """Return who hears of a VM's heartbeat after three hops, without the dead."""
    heard = {origin}
    for _ in range(3):
        for name in sorted(heard):
            targets = find_targets(name, domains)
            reached = set(targets.heartbeats) if name == origin else set()
            reached.update(targets.members)
            if domains[name] == domains[origin]:
                reached.update(targets.relays)
            heard |= reached - dead
    return heard


def test_all_hear_each_other_directly_in_a_small_fleet():
    domains = make_domains(MAX_MESH_SIZE)
    targets = find_targets("vm-3", domains)
    assert len(targets.heartbeats) == MAX_MESH_SIZE - 1
    assert not targets.members and not targets.relays


def test_everyone_hears_of_everyone_in_a_large_fleet():
    domains = make_domains(74)
    for origin in domains:
        assert find_hearers(origin, domains, set()) == set(domains)


def test_the_loss_of_one_relay_in_each_domain_goes_unnoticed():
    domains = make_domains(74)
    dead = {find_relays(f"d{number}", domains)[0] for number in range(5)}
    for origin in set(domains) - dead:
        assert find_hearers(origin, domains, dead) == set(domains) - dead


def test_messages_grow_with_the_fleet_and_not_with_its_square():
    for count in (30, 74, 150, 300):
        domains = make_domains(count, 8)
        sent = 0
        for name in domains:
            targets = find_targets(name, domains)
            sent += len(targets.heartbeats) + len(targets.members) + len(targets.relays)
        assert (
            sent <= (2 * RELAYS_PER_DOMAIN + 1) * count + (8 * RELAYS_PER_DOMAIN) ** 2
        )


def test_a_members_links_are_those_to_its_domains_relays():
    domains = make_domains(300, 8)
    for name, domain in domains.items():
        targets = find_targets(name, domains)
        if name not in find_relays(domain, domains):
            assert len(targets.heartbeats) == RELAYS_PER_DOMAIN
            assert not targets.members and not targets.relays
