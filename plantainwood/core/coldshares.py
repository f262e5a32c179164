"""Division of a cold upstream's rate among the nodes, without asking each other.

A few nodes, the senders, have equal parts. Every node ranks the same names for an
upstream's address, so one name more or less changes the senders by at most one, and
different upstreams have different senders.
"""

import msgspec

from plantainwood.core.hashing import compute_rank

WINDOW_S = 1.35
"""The second over which requests are counted, plus the differences in how long requests
of one node take to arrive, and the burst of a NodeRate."""
BELOW_QUOTA = 0.999
"""Keeps a node's rate below the one at which its quota could be exceeded by one."""
SETTLE_MS = 2_000
"""How long a node that has started sends nothing to cold upstreams: the others learn of
it meanwhile, over relays too, and leave it its share."""
MEMBER_HOLD_MS = 10_000
"""How long a silent node keeps its share; it may be cut off from this node only."""


class ColdBounds(msgspec.Struct, frozen=True):
    """What a cold upstream may receive beyond its rate in any second."""

    overage: float = 1.0
    slack: float = 0.0

    def compute_most(self, per_s: float) -> float:
        """Return the requests that an upstream may receive in any second."""
        return per_s * self.overage + self.slack


class SenderNames:
    """The names of the nodes among which the rates of cold upstreams are divided.

    A node that falls silent may be cut off and still send. It keeps its share for
    MEMBER_HOLD_MS; longer, while this node hears no majority of the others and may be
    cut off itself.
    """

    __slots__ = ("_node", "_seen_ms", "_began_ms", "names")

    def __init__(self, node: str) -> None:
        self._node = node
        self._seen_ms: dict[str, int] = {}
        """When each other node was last heard, or else learnt of."""
        self._began_ms: int | None = None
        self.names = [node]

    def update(self, live: set[str], known: set[str], now_ms: int) -> bool:
        """Set the live nodes and those known or registered; return on a change."""
        if self._began_ms is None:
            self._began_ms = now_ms
        others = (live | known) - {self._node}
        for name in self._seen_ms.keys() - others:
            del self._seen_ms[name]
        for name in others:
            if name in live:
                self._seen_ms[name] = now_ms
            self._seen_ms.setdefault(name, now_ms)
        hears_majority = 2 * (len(live - {self._node}) + 1) > len(others) + 1
        names = {self._node}
        for name, seen_ms in self._seen_ms.items():
            if not hears_majority or now_ms - seen_ms <= MEMBER_HOLD_MS:
                names.add(name)
        changed = sorted(names) != self.names
        self.names = sorted(names)
        return changed

    def is_settled(self, now_ms: int) -> bool:
        """Tell whether the other nodes have had time to learn of this one."""
        return self._began_ms is not None and now_ms - self._began_ms >= SETTLE_MS


def compute_share(
    node: str, names: list[str], address: str, per_s: float, most: float
) -> float:
    """Return the requests per second that a node may send; 0 if it is no sender.

    In any second all senders together send at most `most` requests, even if one more
    node takes part than they know of: each has the quota that it would have with that
    node, and a rate at which it stays within it.
    """
    count = count_cold_senders(most, len(names))
    own_rank = (compute_rank(address, node), node)
    ahead = 0
    for name in names:
        ahead += (compute_rank(address, name), name) > own_rank
    if ahead >= count:
        return 0.0
    quota = max(1, int(most / (count + 1)))
    return min(per_s / count, BELOW_QUOTA * quota / WINDOW_S)


def count_cold_senders(most: float, node_count: int) -> int:
    """Return how many nodes send to a cold upstream, at least one.

    Each sender may send one request at any time, and so may one more node that they do
    not know of.
    """
    return max(1, min(node_count, int(most) - 1))
