"""Selection of the few nodes that read the store, without an election.

Every node ranks the live nodes alike, the strongest first, since a reader sends each
change to all others. The first READER_COUNT read the store, and one more if those are
all in one failure domain; any other reads too once its mirror was not confirmed for a
time that grows with its rank, so a failed reader is replaced soon and not by all at
once. Several readers do no harm: a mirror applies each change once.
"""

from plantainwood.core.hashing import pick_across_domains, rank_by_weight

READER_COUNT = 2
TAKEOVER_MS = 1_250
TAKEOVER_STEP_MS = 120
MAX_TAKEOVER_MS = 2_200


def find_rank(node: str, weights: dict[str, int]) -> int:
    """Return a live node's place among all of them, 0 for the first to read."""
    return rank_by_weight("reader", sorted(weights), weights).index(node)


def is_reader(
    node: str,
    weights: dict[str, int],
    age_ms: int | None,
    domains: dict[str, str] | None = None,
) -> bool:
    """Tell whether a node must read the store now.

    `weights` and `domains` have the capacity and the failure domain of each live node,
    this one included; `age_ms` is the time since its mirror was last known to be
    current, None if it never was.
    """
    if age_ms is None:
        return True
    ranked = rank_by_weight("reader", sorted(weights), weights)
    if node in pick_across_domains(ranked, READER_COUNT, domains or {}):
        return True
    return age_ms > compute_takeover_ms(ranked.index(node))


def compute_takeover_ms(rank: int) -> int:
    """Return how old a mirror may be until the node at this rank reads the store."""
    timeout_ms = TAKEOVER_MS + TAKEOVER_STEP_MS * (rank - READER_COUNT)
    return min(MAX_TAKEOVER_MS, timeout_ms)
