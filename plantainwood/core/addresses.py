"""Selection of the VM addresses that a caller gets, by weighted rendezvous hashing.

A caller spreads its requests evenly over the addresses that it gets, so only the
selection can give a VM with more capacity more work. The selection depends on the
caller and changes little when VMs join or leave, because callers close their
connections to addresses that a new answer omits.
"""

import msgspec

from plantainwood.core.hashing import (
    HASH_RANGE,
    compute_rank,
    compute_weighted_score,
)

MAX_ADDRESSES = 64
SUBSET_SHARE = 1 / 3
"""The share of the VMs in one answer if their weights differ.

An answer with all VMs would give each the same load regardless of its weight.
"""
MIN_SUBSET = 12
EVEN_RATIO = 1.5
"""Weights count as equal while the largest is below this multiple of the smallest."""


class Candidate(msgspec.Struct, frozen=True):
    """A VM that accepts requests; the weight is its capacity."""

    address: str
    weight: int
    path_lost: bool = False
    """Whether the VM reaches no upstreams, so that other VMs serve for it."""
    share: float = 1.0
    """The share of its callers that the VM keeps while it is slow."""


def leave_out_lost_paths(candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates that reach upstreams, or all if these are too few.

    VMs without a path serve through others, so leaving them out only saves that hop;
    it must not concentrate the callers on few VMs.
    """
    found = [candidate for candidate in candidates if not candidate.path_lost]
    return found if 2 * len(found) >= len(candidates) else candidates


def leave_out_slow(candidates: list[Candidate], caller: str) -> list[Candidate]:
    """Return the candidates without slow VMs that others replace for this caller.

    A slow VM keeps a share of its callers, the same ones while the share is the same.
    The answers that don't name it stay as they are; a lower weight would shorten all
    of them if the weights were equal before.
    """
    found: list[Candidate] = []
    for candidate in candidates:
        if candidate.share < 1.0:
            rank = compute_rank(f"slow\0{caller}", candidate.address)
            if rank >= candidate.share * HASH_RANGE:
                continue
        found.append(candidate)
    return found or candidates


def choose_addresses(candidates: list[Candidate], caller: str) -> list[str]:
    """Return the addresses for a caller, sorted.

    If the weights differ, a VM is selected roughly in proportion to its weight. If
    they are equal, all VMs are returned, up to MAX_ADDRESSES.
    """
    candidates = leave_out_slow(leave_out_lost_paths(candidates), caller)
    weights = [max(1, candidate.weight) for candidate in candidates]
    count = min(MAX_ADDRESSES, len(candidates))
    if weights and max(weights) >= EVEN_RATIO * min(weights):
        count = min(count, max(MIN_SUBSET, round(SUBSET_SHARE * len(candidates))))
    ranked = sorted(candidates, key=lambda item: _score(item, caller), reverse=True)
    return sorted(candidate.address for candidate in ranked[:count])


def _score(candidate: Candidate, caller: str) -> float:
    """Return a candidate's score; the highest scores are selected."""
    return compute_weighted_score(caller, candidate.address, candidate.weight)
