"""Pools whose upstreams crash when they have to turn many requests away.

While a pool is brittle, each node sends an upstream no more than its own part of the
slots, so that all nodes together stay below them without asking each other.
"""

BRITTLE_LIFETIME_MS = 10_000
"""How long a pool counts as brittle without an answer to any node that says so."""
SETTLE_MS = 1_000
"""How long an answer that doesn't say so may still have crossed one that does."""
USABLE_SLOT_SHARE = 0.8
"""The fraction of an upstream's slots that the nodes divide among them; the rest is
left for long prompts, which need more memory than a slot's, and for late news."""


class BrittlePools:
    """The pools that are brittle, by the newest answer to any node."""

    __slots__ = ("_said_ms", "_ended_ms")

    def __init__(self) -> None:
        self._said_ms: dict[str, int] = {}
        self._ended_ms: dict[str, int] = {}

    def record_answer(self, pool: str, says_so: bool, now_ms: int) -> None:
        """Record an answer of one of a pool's upstreams to this node."""
        if says_so:
            self._said_ms[pool] = now_ms
            return
        said_ms = self._said_ms.get(pool)
        if said_ms is not None and now_ms - said_ms > SETTLE_MS:
            del self._said_ms[pool]
            self._ended_ms[pool] = now_ms

    def record_report(self, pool: str, age_ms: int, now_ms: int) -> None:
        """Record that another node got an answer that said so, `age_ms` ago."""
        said_ms = now_ms - age_ms
        if said_ms <= self._ended_ms.get(pool, -BRITTLE_LIFETIME_MS):
            return
        self._said_ms[pool] = max(said_ms, self._said_ms.get(pool, said_ms))

    def is_brittle(self, pool: str, now_ms: int) -> bool:
        """Tell whether a pool's upstreams crash when they turn many requests away."""
        said_ms = self._said_ms.get(pool)
        return said_ms is not None and now_ms - said_ms <= BRITTLE_LIFETIME_MS

    def list_reports(self, now_ms: int) -> dict[str, int]:
        """Return the ages of the newest answers that said so, by pool."""
        found: dict[str, int] = {}
        for pool, said_ms in self._said_ms.items():
            if now_ms - said_ms <= BRITTLE_LIFETIME_MS:
                found[pool] = now_ms - said_ms
        return found


class SlotDivision:
    """The newest division of one pool's slots, made anew only if its inputs change."""

    __slots__ = ("_nodes", "_slots", "_rooms")

    def __init__(self) -> None:
        self._nodes: list[str] = []
        self._slots: dict[str, int] = {}
        self._rooms: dict[str, int] = {}

    def update(
        self, node: str, nodes: list[str], slots_by_upstream: dict[str, int]
    ) -> dict[str, int]:
        """Return how many attempts the node may run on each upstream now."""
        if nodes != self._nodes or slots_by_upstream != self._slots:
            self._nodes = nodes
            self._slots = slots_by_upstream
            self._rooms = divide_slots(node, nodes, slots_by_upstream)
        return self._rooms


def divide_slots(
    node: str, nodes: list[str], slots_by_upstream: dict[str, int]
) -> dict[str, int]:
    """Return how many attempts a node may run on each of a pool's upstreams.

    All nodes compute the same division of the same sorted nodes. Where an upstream has
    fewer slots than there are nodes, only some send to it: first those that have their
    turn at it, so that each node has one upstream before any has two.
    """
    rooms: dict[str, int] = {}
    own_position = nodes.index(node)
    count = len(slots_by_upstream)
    for number, upstream in enumerate(sorted(slots_by_upstream)):
        usable = max(1, int(USABLE_SLOT_SHARE * slots_by_upstream[upstream]))
        room, rest = divmod(usable, len(nodes))
        own_rank = ((own_position - number) % count, own_position)
        ahead = sum(
            ((position - number) % count, position) < own_rank
            for position in range(len(nodes))
        )
        rooms[upstream] = room + (1 if ahead < rest else 0)
    if rooms and not any(rooms.values()):
        rooms[sorted(rooms)[own_position % count]] = 1
    return rooms
