"""Recipients of heartbeats: a full mesh in a small fleet, relays in a large one.

In a large fleet each failure domain has relays: the strongest of its live VMs, in a
ranking that all VMs compute alike. A VM sends its heartbeat to the relays of its
domain; these forward batches to the members of their domain and to the relays of the
other domains. So the number of messages grows with the number of VMs, not with its
square.
"""

import msgspec

from plantainwood.core.hashing import rank_by_weight

MAX_MESH_SIZE = 16
"""The largest fleet in which every VM sends its heartbeats to every other."""
RELAYS_PER_DOMAIN = 2
"""Two for each failure domain, so that heartbeats still arrive if one is lost."""
RELAYED_HEARTBEAT_INTERVAL_MS = 500
RELAYED_LIVENESS_TIMEOUT_MS = 3_500
RELAYED_FRESHNESS_TIMEOUT_MS = 2_000
"""Longer than three hops, each of which adds at most one heartbeat interval."""


RELAY_LINK_SHARE = 0.15
"""The share of its link that a relay uses for batches; the rest is for callers."""
MAX_RELAY_PAUSE_MS = 1_000
"""The longest pause between batches, so that no live VM seems silent."""
PARTS_SHARE_GROWTH = 1.1
"""How fast more heartbeats keep their parts again, by batch."""


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


class RelayBudget:
    """Keep the bytes of a relay's batches within RELAY_LINK_SHARE of its link.

    After a batch there is a pause. Where even the longest pause does not suffice, fewer
    heartbeats keep their prompt parts: a part that a VM is not told of is at worst
    prefilled again, while a VM without heartbeats counts as lost.
    """

    __slots__ = ("due_ms", "_parts_share", "_credit")

    def __init__(self) -> None:
        self.due_ms = 0
        """When the next batch may be sent."""
        self._parts_share = 1.0
        self._credit = 0.0

    def record_batch(self, sent_bytes: int, link_mbps: float, now_ms: int) -> None:
        """Record the bytes that a batch took for all its recipients."""
        bytes_per_ms = max(1.0, RELAY_LINK_SHARE * link_mbps * 1_000 / 8)
        pause_ms = round(sent_bytes / bytes_per_ms)
        self.due_ms = now_ms + min(MAX_RELAY_PAUSE_MS, pause_ms)
        if pause_ms > MAX_RELAY_PAUSE_MS:
            self._parts_share *= MAX_RELAY_PAUSE_MS / pause_ms
        else:
            self._parts_share = min(1.0, self._parts_share * PARTS_SHARE_GROWTH)

    def keeps_parts(self) -> bool:
        """Tell whether the next heartbeat of a batch keeps its prompt parts."""
        self._credit += self._parts_share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def find_relays(
    domain: str, domains: dict[str, str], weights: dict[str, int]
) -> list[str]:
    """Return the relays of a failure domain: its strongest VMs.

    `domains` and `weights` map each live VM to its failure domain and capacity.
    """
    members = sorted(name for name in domains if domains[name] == domain)
    return rank_by_weight(f"relay\0{domain}", members, weights)[:RELAYS_PER_DOMAIN]


def find_targets(
    node: str, domains: dict[str, str], weights: dict[str, int]
) -> HeartbeatTargets:
    """Return the recipients of a VM's heartbeats and batches.

    `domains` and `weights` map each live VM, this one included, to its failure domain
    and its capacity.
    """
    others = sorted(name for name in domains if name != node)
    if is_mesh(len(domains)):
        return HeartbeatTargets(others)
    own = domains[node]
    own_relays = find_relays(own, domains, weights)
    heartbeats = [name for name in own_relays if name != node]
    if node not in own_relays:
        return HeartbeatTargets(heartbeats)
    members = [name for name in others if domains[name] == own]
    relays: list[str] = []
    for domain in sorted(set(domains.values()) - {own}):
        relays.extend(find_relays(domain, domains, weights))
    return HeartbeatTargets(heartbeats, members, relays)
