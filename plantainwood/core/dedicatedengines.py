"""The engines that serve only the class with the tightest gap target."""

from plantainwood.core.hashing import rank_stable_members
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.requests import Request

TIGHT_GAP_RATIO = 0.8
"""A gap target is tight if it is below this share of the next larger one."""
DEDICATED_SHARE = 0.2
"""The share of the engines that is dedicated to the tightest gap target."""


class GapPartitions:
    """The partitions of the pools that have a class with a tight gap target."""

    __slots__ = ("_tightest_gap_ms",)

    def __init__(self) -> None:
        self._tightest_gap_ms: dict[str, int] = {}

    def set_gap_targets(self, pool: str, gap_targets_ms: set[int]) -> None:
        """Set the gap targets of a pool's classes, and find the tight one, if any.

        A target of 0 means that there is none.
        """
        ordered = sorted(gap_ms for gap_ms in gap_targets_ms if gap_ms > 0)
        self._tightest_gap_ms.pop(pool, None)
        if len(ordered) >= 2 and ordered[0] < TIGHT_GAP_RATIO * ordered[1]:
            self._tightest_gap_ms[pool] = ordered[0]

    def is_gap_sensitive(self, request: Request) -> bool:
        """Tell whether a request has the tight gap target of its pool."""
        tightest_gap_ms = self._tightest_gap_ms.get(request.pool, 0)
        return (
            tightest_gap_ms > 0
            and request.service_class.between_tokens_ms <= tightest_gap_ms
        )

    def select(
        self, request: Request, group: list[UpstreamLoad], allowed: list[UpstreamLoad]
    ) -> list[UpstreamLoad]:
        """Return the allowed engines of the request's partition, else all allowed."""
        if request.pool not in self._tightest_gap_ms:
            return allowed
        names = sorted(load.name for load in group if not load.leaving)
        dedicated = set(find_dedicated_engines(request.pool, names))
        gap_sensitive = self.is_gap_sensitive(request)
        partition = [
            load for load in allowed if (load.name in dedicated) == gap_sensitive
        ]
        return partition or allowed


def find_dedicated_engines(pool: str, names: list[str]) -> list[str]:
    """Return the engines dedicated to the tightest gap target.

    There are none if there are fewer than two engines. Every node selects the same
    engines from the same names.
    """
    if len(names) < 2:
        return []
    count = max(1, round(DEDICATED_SHARE * len(names)))
    return list(rank_stable_members(f"paced\0{pool}", tuple(names))[:count])
