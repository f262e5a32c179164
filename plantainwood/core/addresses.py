"""Selection of the VM addresses that a caller gets, by weighted rendezvous hashing.

A caller spreads its requests evenly over the addresses that it gets, so only the
selection can give a VM with more capacity more work. The selection depends on the
caller and changes little when VMs join or leave, because callers close their
connections to addresses that a new answer omits.
"""

import math

import msgspec

from plantainwood.core.hashing import compute_rank

MAX_ADDRESSES = 64
SUBSET_SHARE = 1 / 3
"""The share of the VMs in one answer if their weights differ.

An answer with all VMs would give each the same load regardless of its weight.
"""
MIN_SUBSET = 12
EVEN_RATIO = 1.5
"""Weights count as equal while the largest is below this multiple of the smallest."""
HASH_RANGE = 2**64


class Candidate(msgspec.Struct, frozen=True):
    """A VM that accepts requests; the weight is its capacity."""

    address: str
    weight: int


def choose_addresses(candidates: list[Candidate], caller: str) -> list[str]:
    """Return the addresses for a caller, sorted.

    If the weights differ, a VM is selected roughly in proportion to its weight. If
    they are equal, all VMs are returned, up to MAX_ADDRESSES.
    """
    weights = [max(1, candidate.weight) for candidate in candidates]
    count = min(MAX_ADDRESSES, len(candidates))
    if weights and max(weights) >= EVEN_RATIO * min(weights):
        count = min(count, max(MIN_SUBSET, round(SUBSET_SHARE * len(candidates))))
    ranked = sorted(candidates, key=lambda item: _score(item, caller), reverse=True)
    return sorted(candidate.address for candidate in ranked[:count])


def _score(candidate: Candidate, caller: str) -> float:
    """Return the weighted rendezvous score; the highest scores are selected.

    See "Weighted Distributed Hash Tables" (Schindelhauer, Schomaker, 2005).
    """
    point = (compute_rank(caller, candidate.address) + 1) / (HASH_RANGE + 1)
    return -max(1, candidate.weight) / math.log(point)
