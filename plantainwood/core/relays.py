"""Recipients of heartbeats: a full mesh in a small fleet, relays in a large one.

In a large fleet each failure domain has relays: the first of its live VMs in a ranking
that all VMs compute alike. A VM sends its heartbeat to the relays of its domain; these
forward batches to the members of their domain and to the relays of the other domains.
So the number of messages grows with the number of VMs, not with its square.
"""

import msgspec

from plantainwood.core.hashing import rank_members

MAX_MESH_SIZE = 16
"""The largest fleet in which every VM sends its heartbeats to every other."""
RELAYS_PER_DOMAIN = 2
"""Two for each failure domain, so that heartbeats still arrive if one is lost."""
RELAYED_HEARTBEAT_INTERVAL_MS = 500
RELAYED_LIVENESS_TIMEOUT_MS = 3_500
RELAYED_FRESHNESS_TIMEOUT_MS = 2_000
"""Longer than three hops, each of which adds at most one heartbeat interval."""


class HeartbeatTargets(msgspec.Struct, frozen=True):
    """The names of the VMs that one VM sends its heartbeats and batches to."""

    heartbeats: list[str]
    members: list[str] = []
    """VMs of this domain, which are sent all heartbeats; empty if this is no relay."""
    relays: list[str] = []
    """Relays of other domains, which are sent the heartbeats of this domain.

    Empty unless this VM is a relay.
    """


def is_mesh(count: int) -> bool:
    """Tell whether a fleet of `count` VMs uses a full mesh instead of relays."""
    return count <= MAX_MESH_SIZE


def find_relays(domain: str, domains: dict[str, str]) -> list[str]:
    """Return the relays of a failure domain.

    `domains` maps each live VM to its failure domain.
    """
    members = sorted(name for name in domains if domains[name] == domain)
    return rank_members(f"relay\0{domain}", members)[:RELAYS_PER_DOMAIN]


def find_targets(node: str, domains: dict[str, str]) -> HeartbeatTargets:
    """Return the recipients of a VM's heartbeats and batches.

    `domains` maps each live VM, this one included, to its failure domain.
    """
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
