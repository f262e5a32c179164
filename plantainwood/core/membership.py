"""Membership: which nodes are live, and which few partners a node gossips with."""

from plantainwood.core.hashing import rank_members
from plantainwood.core.messages import Heartbeat, NodeProfile, NodeState

LIVENESS_TIMEOUT_MS = 10_000
FORGET_MS = 120_000
GATEWAYS_PER_DOMAIN = 6
DOMAINS_PER_UPSTREAM = 2
FEW_DOMAINS = 4
"""With at most this many failure domains, all of them serve every upstream."""


class Member:
    """What a node knows about another node."""

    __slots__ = ("profile", "heartbeat", "heard_ms")

    def __init__(self, profile: NodeProfile) -> None:
        self.profile = profile
        self.heartbeat: Heartbeat | None = None
        self.heard_ms = 0


class Members:
    """The other nodes, by name, with the arrival time of their newest heartbeat."""

    __slots__ = ("node", "_members", "_early_heartbeats")

    def __init__(self, node: str) -> None:
        self.node = node
        self._members: dict[str, Member] = {}
        self._early_heartbeats: dict[str, Heartbeat] = {}

    def record_profile(self, profile: NodeProfile, now_ms: int) -> None:
        """Record a profile; a newer incarnation replaces an older one."""
        if profile.origin == self.node:
            return
        member = self._members.get(profile.origin)
        if member is None or member.profile.incarnation < profile.incarnation:
            self._members[profile.origin] = Member(profile)
            early_heartbeat = self._early_heartbeats.pop(profile.origin, None)
            if early_heartbeat is not None:
                self.record_heartbeat(early_heartbeat, now_ms)

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Record a heartbeat; keep one that precedes its profile until that arrives."""
        if heartbeat.origin == self.node:
            return
        member = self._members.get(heartbeat.origin)
        if member is None or heartbeat.incarnation > member.profile.incarnation:
            self._early_heartbeats[heartbeat.origin] = heartbeat
            return
        member.heartbeat = heartbeat
        member.heard_ms = now_ms

    def is_live(
        self, name: str, now_ms: int, within_ms: int = LIVENESS_TIMEOUT_MS
    ) -> bool:
        """Tell whether a node's heartbeat arrived within a time; true for this node."""
        if name == self.node:
            return True
        member = self._members.get(name)
        if member is None or member.heartbeat is None:
            return False
        return now_ms - member.heard_ms <= within_ms

    def list_live(
        self, now_ms: int, within_ms: int = LIVENESS_TIMEOUT_MS
    ) -> list[Member]:
        """Return the other nodes whose heartbeats arrived within a time."""
        found: list[Member] = []
        for name, member in self._members.items():
            if self.is_live(name, now_ms, within_ms):
                found.append(member)
        return found

    def find(self, name: str) -> Member | None:
        """Return a member by name; None for this node and unknown ones."""
        return self._members.get(name)

    def list_known(self) -> list[Member]:
        """Return all other nodes that are known, live or not."""
        return list(self._members.values())

    def forget_gone(self, now_ms: int) -> list[str]:
        """Delete the nodes that are gone, and return their names.

        A node is gone after FORGET_MS without a heartbeat, or after
        LIVENESS_TIMEOUT_MS if it was leaving.
        """
        gone: list[str] = []
        for name, member in list(self._members.items()):
            silent_ms = now_ms - member.heard_ms
            leaving = (
                member.heartbeat is not None
                and member.heartbeat.state is NodeState.LEAVING
            )
            if silent_ms > FORGET_MS or (leaving and silent_ms > LIVENESS_TIMEOUT_MS):
                del self._members[name]
                gone.append(name)
        return gone

    def list_live_domains(self, own: str, now_ms: int) -> list[str]:
        """Return the failure domains with live nodes, and this node's `own`, sorted."""
        domains = {own}
        for member in self.list_live(now_ms):
            domains.add(member.profile.domain)
        return sorted(domains)

    def list_live_ids(self, now_ms: int) -> set[tuple[str, int]]:
        """Return (node, incarnation) of the other nodes that are live."""
        found: set[tuple[str, int]] = set()
        for member in self.list_live(now_ms):
            found.add((member.profile.origin, member.profile.incarnation))
        return found


def pick_partners(node: str, domains: dict[str, str]) -> list[str]:
    """Return a node's partners, at most six; `domains` maps nodes to domains.

    Every node computes the same rings from the same members, and both ends of a link
    select it, so the degree is bounded. Two rings in pseudorandom orders connect the
    nodes of each failure domain, which keeps its diameter small; a third connects the
    first GATEWAYS_PER_DOMAIN nodes of every domain.
    """
    by_domain: dict[str, list[str]] = {}
    for name, domain in domains.items():
        by_domain.setdefault(domain, []).append(name)
    gateways: list[str] = []
    for names in by_domain.values():
        gateways.extend(rank_members("gateway", names)[:GATEWAYS_PER_DOMAIN])
    same_domain = by_domain[domains[node]]
    partners: list[str] = []
    for ring in (
        rank_members("ring-a", same_domain),
        rank_members("ring-b", same_domain),
        rank_members("ring-c", gateways),
    ):
        if node not in ring:
            continue
        position = ring.index(node)
        for offset in (-1, 1):
            partner = ring[(position + offset) % len(ring)]
            if partner != node and partner not in partners:
                partners.append(partner)
    return partners


def select_serving_domains(upstream: str, domains: list[str]) -> list[str]:
    """Return the failure domains whose nodes send requests to an upstream and poll it.

    Only these nodes need its load, so load reports are not sent to other domains.
    """
    if len(domains) <= FEW_DOMAINS:
        return domains
    return rank_members(f"serves\0{upstream}", domains)[:DOMAINS_PER_UPSTREAM]
