"""Which VMs a caller is told to use: consistent hashing weighted by strength.

A caller spreads its requests evenly over the addresses that it gets, so only the
choice of addresses gives a strong VM more work than a weak one. The choice depends on
the caller and changes little as VMs come and go, since callers give up connections to
addresses that a new answer leaves out.
"""

import math

import msgspec

from plantainwood.core.hashing import compute_rank

MAX_ADDRESSES = 64
SUBSET_SHARE = 1 / 3
"""The share of unlike VMs in one answer; with all of them, all would be used alike."""
MIN_SUBSET = 12
EVEN_RATIO = 1.5
"""VMs are taken as alike while the strongest is below this multiple of the weakest."""
HASH_RANGE = 2**64


class Candidate(msgspec.Struct, frozen=True):
    """A VM that takes requests."""

    address: str
    weight: int


def choose_addresses(candidates: list[Candidate], caller: str) -> list[str]:
    """Return the addresses for a caller, sorted.

    A VM is chosen about in proportion to its weight; all are where they are alike
    and few.
    """
    weights = [max(1, candidate.weight) for candidate in candidates]
    count = min(MAX_ADDRESSES, len(candidates))
    if weights and max(weights) >= EVEN_RATIO * min(weights):
        count = min(count, max(MIN_SUBSET, round(SUBSET_SHARE * len(candidates))))
    ranked = sorted(candidates, key=lambda item: _score(item, caller), reverse=True)
    return sorted(candidate.address for candidate in ranked[:count])


def _score(candidate: Candidate, caller: str) -> float:
    """Return the weighted rendezvous score; the highest ones are chosen.

    After "Weighted Distributed Hash Tables" (Schindelhauer, Schomaker, 2005).
    """
    point = (compute_rank(caller, candidate.address) + 1) / (HASH_RANGE + 1)
    return -max(1, candidate.weight) / math.log(point)
