"""Rendezvous hashing: every node computes the same ranking without coordination."""

import math
from functools import lru_cache

import xxhash

HASH_RANGE = 2**64
MAX_KEPT_RANKINGS = 32
"""Rankings of whole fleets and pools under fixed keys, which are asked for many times a
second and change only when a member joins or leaves."""


def compute_rank(key: str, member: str) -> int:
    """Return a 64-bit rank of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def compute_weighted_score(key: str, member: str, weight: int) -> float:
    """Return a member's weighted rendezvous score for a key; the highest is chosen.

    See "Weighted Distributed Hash Tables" (Schindelhauer, Schomaker, 2005).
    """
    point = (compute_rank(key, member) + 1) / (HASH_RANGE + 1)
    return -max(1, weight) / math.log(point)


def hash_poller(node: str) -> int:
    """Return the 16-bit hash that identifies a node in load reports."""
    return compute_rank("poller", node) & 0xFFFF


def rank_members(key: str, members: list[str]) -> list[str]:
    """Return the members, highest rank for the key first."""
    return sorted(members, key=lambda member: (compute_rank(key, member), member))[::-1]


@lru_cache(maxsize=MAX_KEPT_RANKINGS)
def rank_stable_members(key: str, members: tuple[str, ...]) -> tuple[str, ...]:
    """Return the same as `rank_members`, kept for members that seldom change."""
    return tuple(rank_members(key, list(members)))


def rank_by_weight(key: str, members: list[str], weights: dict[str, int]) -> list[str]:
    """Return the members, heaviest first; those of one weight by rank for the key.

    Members without a weight come last.
    """
    ranked = rank_stable_members(key, tuple(members))
    return sorted(ranked, key=lambda member: -weights.get(member, 0))


def pick_across_domains(
    ranked: list[str], count: int, domains: dict[str, str]
) -> list[str]:
    """Return the first `count` members, and one more if they are all in one domain.

    That is the first member of another domain, if there is any. The first `count` are
    always among them, so nodes that know nothing of domains agree on those.
    """
    chosen = ranked[:count]
    found = {domains.get(member) for member in chosen}
    if len(found) != 1:
        return chosen
    for member in ranked[count:]:
        if domains.get(member) not in found:
            return [*chosen, member]
    return chosen


def pick_subset(node: str, domains: dict[str, str], size: int) -> list[str]:
    """Return a node's bounded subset of members, spread evenly over domains.

    `domains` maps each member to its failure domain.
    """
    by_domain: dict[str, list[str]] = {}
    for member, domain in domains.items():
        by_domain.setdefault(domain, []).append(member)
    ranked: list[list[str]] = []
    for domain in sorted(by_domain):
        ranked.append(rank_members(node, by_domain[domain]))
    subset: list[str] = []
    depth = 0
    while len(subset) < min(size, len(domains)):
        for members in ranked:
            if depth < len(members) and len(subset) < size:
                subset.append(members[depth])
        depth += 1
    return subset
