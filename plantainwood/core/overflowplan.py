"""Shares of each failure domain's demand that the other domains serve.

Every VM computes the plan of all domains from the same figures, so the shares that the
VMs use add up without coordination.
"""

import copy

import msgspec

HORIZON_MS = 600
"""How far ahead waits are predicted, and within which a present one is to end.

It is longer than figures take to reach all VMs; otherwise a plan would be corrected
again before its effect is visible.
"""
TARGET_LOAD = 0.85
"""The load of a domain, as a part of its capacity, up to which no wait builds up."""
PIECES = 20
"""The pieces into which the excess demand of a domain is divided."""
MIN_CHANGE = 0.05
"""A share goes on to its target until the plan differs from that by this much."""
RAMP_UP_PER_S = 0.6
RAMP_DOWN_PER_S = 0.3


class DomainFigures(msgspec.Struct, frozen=True):
    """What is known of one failure domain's upstreams of a pool, and of its demand."""

    wait_ms: float
    """The mean time that work sent now waits."""
    capacity: float
    """Work that its usable upstreams do, in units per ms."""
    demand: float = 0.0
    """Work that its VMs send, wherever it is served, in units per ms."""
    cost_ms: float = 0.0
    """The cost of work that another domain sends there."""
    accepts_overflow: bool = True
    """Whether other domains may send a share there; False on stale figures."""


def plan_shares(own: str, figures: dict[str, DomainFigures]) -> dict[str, float]:
    """Return the share of a domain's demand that each other domain is to serve.

    Domains without a share are left out.

    Each domain first keeps the demand that it can serve without a wait. The rest of all
    domains is then placed in turn, each piece where its wait and cost are the least.
    """
    placed: dict[str, float] = {}
    pieces: dict[str, float] = {}
    for domain in sorted(figures):
        kept = min(figures[domain].demand, _compute_room(figures[domain]))
        placed[domain] = kept
        pieces[domain] = (figures[domain].demand - kept) / PIECES
    shares: dict[str, float] = {}
    for _ in range(PIECES):
        for source, piece in pieces.items():
            if piece <= 0:
                continue
            target = _choose_target(source, piece, placed, figures)
            placed[target] += piece
            if source == own and target != own:
                shares[target] = shares.get(target, 0.0) + piece / figures[own].demand
    return shares


def _compute_room(figures: DomainFigures) -> float:
    """Return the demand that a domain serves within the horizon without a wait."""
    load = TARGET_LOAD - figures.wait_ms / HORIZON_MS
    return max(0.0, load) * figures.capacity


def _predict_wait_ms(figures: DomainFigures, placed: float) -> float:
    """Return a domain's wait at the end of the horizon with a demand placed there."""
    if figures.capacity <= 0:
        return float("inf")
    growth = placed / figures.capacity - TARGET_LOAD
    return max(0.0, figures.wait_ms + HORIZON_MS * growth)


def _choose_target(
    source: str,
    piece: float,
    placed: dict[str, float],
    figures: dict[str, DomainFigures],
) -> str:
    """Return the domain with the least wait and cost for a piece.

    Its own is chosen if that is as good, else the least loaded of those that are.
    """
    best = source
    best_key = (_predict_wait_ms(figures[source], placed[source] + piece), 0.0)
    for domain, item in figures.items():
        if domain == source or not item.accepts_overflow or not item.capacity:
            continue
        expected_ms = item.cost_ms + _predict_wait_ms(item, placed[domain] + piece)
        key = (expected_ms, placed[domain] / item.capacity)
        if key < best_key:
            best = domain
            best_key = key
    return best


class ShareRamp:
    """The shares in force, which follow the plan at a bounded rate."""

    __slots__ = ("shares", "_targets", "_updated_ms")

    def __init__(self, now_ms: int) -> None:
        self.shares: dict[str, float] = {}
        """The share that each other domain serves, without zeros."""
        self._targets: dict[str, float] = {}
        self._updated_ms = now_ms

    def copy(self) -> "ShareRamp":
        """Return a ramp that moves independently of this one."""
        found = copy.copy(self)
        found._targets = dict(self._targets)
        return found

    def update(
        self, planned: dict[str, float], usable: set[str], now_ms: int
    ) -> dict[str, float]:
        """Move the shares towards the plan and return them.

        A domain that may get no share any more loses it at once.
        """
        passed_s = (now_ms - self._updated_ms) / 1_000
        self._updated_ms = now_ms
        shares: dict[str, float] = {}
        for domain in sorted(usable):
            current = self.shares.get(domain, 0.0)
            target = planned.get(domain, 0.0)
            held = self._targets.get(domain, 0.0)
            if target > 0 and abs(target - held) < MIN_CHANGE:
                target = held
            self._targets[domain] = target
            least = current - RAMP_DOWN_PER_S * passed_s
            most = current + RAMP_UP_PER_S * passed_s
            share = min(most, max(least, target))
            if share > 0:
                shares[domain] = share
        self.shares = shares
        return shares
