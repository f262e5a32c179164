"""Placement: the weighted list of VMs that a customer's callers should use."""

import msgspec

from plantainwood.core.hashing import rank_members

LIST_LENGTH = 3
LIFETIME_MS = 30_000
MIN_WEIGHT = 1


class Candidate(msgspec.Struct, frozen=True):
    """A VM that may be in the list, with its load."""

    node: str
    address: str
    domain: str
    busy_percent: int


class WeightedAddress(msgspec.Struct, frozen=True):
    """An address and its relative weight within one list."""

    address: str
    weight: int


def pick_addresses(
    candidates: list[Candidate],
    customer: str,
    domain: str,
    spread: int = LIST_LENGTH,
    conversation: str = "",
) -> list[WeightedAddress]:
    """Return a short weighted list of VMs for a customer.

    The VMs are ranked by rendezvous hashing, so a customer's conversations reach the
    same VMs and their cached prefixes again, and load at most `spread` of them. VMs in
    the caller's failure domain weigh double, and busy VMs weigh less. If a
    `conversation` is given, its first VM weighs four times as much.
    """
    by_node = {candidate.node: candidate for candidate in candidates}
    ranked = rank_members(customer, sorted(by_node))[:spread]
    if conversation:
        ranked = rank_members(f"{customer}\0{conversation}", ranked)
    addresses: list[WeightedAddress] = []
    for position, node in enumerate(ranked):
        candidate = by_node[node]
        weight = max(MIN_WEIGHT, 100 - candidate.busy_percent)
        if candidate.domain == domain:
            weight *= 2
        if conversation and position == 0:
            weight *= 4
        addresses.append(WeightedAddress(candidate.address, weight))
    return addresses


def compute_spread(weight: float, total_weight: float, nodes: int) -> int:
    """Return the number of VMs for a customer, about twice its share by weight.

    At least LIST_LENGTH, and otherwise at most `nodes`.
    """
    if total_weight <= 0:
        return LIST_LENGTH
    wanted = round(2 * nodes * weight / total_weight)
    return max(LIST_LENGTH, min(nodes, wanted))
