"""Who sends heartbeats to whom: everyone in a small fleet, few links in a large one.

In a large fleet each failure domain has relays, the first of its live VMs in a ranking
that all compute alike. A VM sends its heartbeat to the relays of its domain; those pass
digests on to the members of their domain and to the relays of the others. So the
messages grow with the number of VMs, not with its square.
"""

import msgspec

from plantainwood.core.hashing import rank_members

MAX_MESH_SIZE = 16
"""The largest fleet in which every VM hears every other directly."""
RELAYS_PER_DOMAIN = 2
"""For each failure domain, so that the loss of one goes unnoticed."""
RELAYED_HEARTBEAT_INTERVAL_MS = 500
RELAYED_LIVENESS_TIMEOUT_MS = 3_500
RELAYED_FRESHNESS_TIMEOUT_MS = 2_000
"""Three hops of at most one pause each come before this."""


class HeartbeatTargets(msgspec.Struct, frozen=True):
    """Where one VM's heartbeats and digests go, by name."""

    heartbeats: list[str]
    members: list[str] = []
    """Told of the heartbeats of all VMs; only a relay has them."""
    relays: list[str] = []
    """Relays of other domains, told of this domain's heartbeats."""


def is_mesh(count: int) -> bool:
    """Tell whether a fleet of so many VMs needs no relays."""
    return count <= MAX_MESH_SIZE


def find_relays(domain: str, domains: dict[str, str]) -> list[str]:
    """Return the relays of a failure domain; `domains` has that of each live VM."""
    members = sorted(name for name in domains if domains[name] == domain)
    return rank_members(f"relay\0{domain}", members)[:RELAYS_PER_DOMAIN]


def find_targets(node: str, domains: dict[str, str]) -> HeartbeatTargets:
    """Return where a VM's heartbeats go; `domains` includes its own."""
    others = sorted(name for name in domains if name != node)
    if is_mesh(len(domains)):
        return HeartbeatTargets(others)
    own = domains[node]
    own_relays = find_relays(own, domains)
    heartbeats = [name for name in own_relays if name != node]
    if node not in own_relays:
        return HeartbeatTargets(heartbeats)
    members = [name for name in others if domains[name] == own]
    relays: list[str] = []
    for domain in sorted(set(domains.values()) - {own}):
        relays.extend(find_relays(domain, domains))
    return HeartbeatTargets(heartbeats, members, relays)
