"""Choice of an upstream for one request."""

import copy
import random
from abc import ABC, abstractmethod

from plantainwood.core.affinity import PrefixHints
from plantainwood.core.candidates import Evaluation, Figures, Reason
from plantainwood.core.domainoverflow import DomainOverflow
from plantainwood.core.loads import TIERS, UpstreamLoad
from plantainwood.core.plaindomains import PlainDomains
from plantainwood.core.requests import Request

AFFINITY_BONUS = 0.35
CHOICES = 3
LESS_URGENT_WEIGHT = 0.3
UNSTARTED_WEIGHT = 1.0


class Router(ABC):
    """Choose among the upstreams of a node's subset."""

    __slots__ = ()

    @abstractmethod
    def choose(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> UpstreamLoad | None:
        """Return the upstream for a request, or None when it must wait."""

    def set_pool_upstreams(self, pool: str, loads: list[UpstreamLoad]) -> None:
        """Set all upstreams of a pool, including those that are leaving."""

    def find_kv_source(self, request: Request) -> str:
        """Return the upstream to fetch a prompt's KV cache from; empty if none."""
        return ""

    def estimate_prefill_tokens(self, request: Request) -> int:
        """Return the tokens that the chosen upstream prefills for a request."""
        return request.prompt.tokens

    def record_dispatch(
        self, request: Request, load: UpstreamLoad, now_ms: int
    ) -> None:
        """Record an attempt that starts on an upstream."""

    def find_prefill_tokens(self, request: Request) -> float:
        """Return the tokens to prefill before an attempt's first token, or 0."""
        return 0.0

    def record_started(
        self, request: Request, load: UpstreamLoad, is_timed: bool = True
    ) -> None:
        """Record an attempt's first token; its time counts only if it `is_timed`."""

    def record_end(self, request: Request, load: UpstreamLoad) -> None:
        """Record an attempt that ended, with or without an answer."""

    def forget(self, upstream: str) -> None:
        """Delete the state of a removed upstream."""

    def explain(self, load: UpstreamLoad, now_ms: int) -> dict[str, int]:
        """Return the values that the choice of an upstream rests on, for the logs."""
        return {
            "own": load.count_own_in_flight(),
            "estimate": load.estimate_in_flight(TIERS - 1, now_ms),
        }

    def copy(self, pool: str, members: list[UpstreamLoad]) -> "Router":
        """Return a router for a pool that shares no state which a choice changes.

        It chooses as this one would next. `members` are all upstreams of the pool.
        """
        return copy.copy(self)

    def evaluate(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> Evaluation:
        """Choose an upstream, and say what counted for or against each of a group.

        This changes what `choose` changes, so it is called on a copy.
        """
        evaluation = Evaluation()
        for load in group:
            reason = find_obstacle(request, load, now_ms)
            evaluation.reasons[load.name] = reason or Reason.SLOWER
        evaluation.record_chosen(self.choose(request, group, now_ms))
        return evaluation

    def find_figures(
        self, request: Request, load: UpstreamLoad, now_ms: int
    ) -> Figures:
        """Return what is known of an upstream; called on a copy, as `evaluate`."""
        return Figures(load.reported_pace.compute_slowness(now_ms))


def is_allowed(request: Request, load: UpstreamLoad, now_ms: int) -> bool:
    """Tell whether an upstream may take a request at all."""
    return find_obstacle(request, load, now_ms) is None


def find_obstacle(request: Request, load: UpstreamLoad, now_ms: int) -> Reason | None:
    """Return why an upstream may not take a request at all; None if it may.

    A leaving, paused, unreached or unwilling upstream takes none, nor does one on which
    this node uses its full share of connections, its part of a brittle upstream's
    slots, of a cold upstream's rate or of the rate that it named, nor one of another
    version than began the request's stream or outside of the request's regions, nor one
    in a failure domain that is evacuated, or that is returning and does not take the
    request yet. A retry never goes to the upstream or failure domain that just failed
    it.
    """
    # Each prompt asks this of all engines, so most checks need no call.
    obstacle = _find_own_obstacle(load, now_ms)
    if obstacle is not None:
        return obstacle
    if load.name == request.avoid_upstream:
        return Reason.FAILED_REQUEST
    if request.version or request.domains is not None:
        mismatch = _find_mismatch(request, load)
        if mismatch is not None:
            return mismatch
    if load.entry.domain == request.avoid_domain:
        return Reason.FAILED_REQUEST
    if load.evacuated:
        return Reason.EVACUATED
    if load.ramp is not None and not load.ramp.admits(request.id, now_ms):
        return Reason.RETURNING
    return None


def _find_own_obstacle(load: UpstreamLoad, now_ms: int) -> Reason | None:
    """Return why an upstream takes no request of this node at the moment."""
    if load.leaving:
        return Reason.LEAVING
    if now_ms < load.unreached_until_ms:
        return Reason.UNREACHED
    if load.max_own_in_flight and load.is_at_connection_limit():
        return Reason.CONNECTION_LIMIT
    if load.room is not None and load.has_no_room():
        return Reason.BRITTLE_SHARE
    if now_ms < load.paused_until_ms or now_ms < load.unwilling_until_ms:
        return Reason.PAUSED
    if load.rate is not None and not load.rate.may_send(now_ms):
        return Reason.NAMED_RATE
    if load.cold_rate is not None and not load.cold_rate.may_send(now_ms):
        return Reason.COLD_RATE
    return None


def can_serve(request: Request, load: UpstreamLoad) -> bool:
    """Tell whether an upstream is of the version and region that a request needs."""
    return _find_mismatch(request, load) is None


def _find_mismatch(request: Request, load: UpstreamLoad) -> Reason | None:
    if request.version and load.entry.software_version != request.version:
        return Reason.OTHER_VERSION
    if not request.may_use_domain(load.entry.domain):
        return Reason.OTHER_REGION
    return None


class FewChoicesRouter(Router):
    """Take the best of a few random upstreams, with prefix affinity.

    After "The Power of Two Choices in Randomized Load Balancing"
    (Mitzenmacher, 1996): with delayed reports, all nodes would herd to the least
    loaded one.
    """

    __slots__ = ("_random", "_hints", "_domains")

    def __init__(self, generator: random.Random, hints: PrefixHints) -> None:
        self._random = generator
        self._hints = hints
        self._domains: PlainDomains | None = None
        """None while failure domains are all alike."""

    def set_overflow(self, overflow: DomainOverflow) -> None:
        """Prefer the own failure domain, as far as an overflow decides."""
        self._domains = PlainDomains(overflow, self._random)

    def choose(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> UpstreamLoad | None:
        """Return the best of a few random upstreams, else of the whole subset."""
        if not group:
            return None
        hinted = self._find_hinted(request, now_ms)
        drawn = self._draw(group, hinted)
        return self._choose_from(request, drawn, group, hinted, now_ms)

    def copy(self, pool: str, members: list[UpstreamLoad]) -> "FewChoicesRouter":
        """Return a router with a copy of the generator's state."""
        overflow = self._domains.overflow.copy() if self._domains is not None else None
        return self.copy_with(copy.copy(self._random), overflow)

    def copy_with(
        self, generator: random.Random, overflow: DomainOverflow | None
    ) -> "FewChoicesRouter":
        """Return a router that uses a copied generator and overflow."""
        found = copy.copy(self)
        found._random = generator
        if self._domains is not None and overflow is not None:
            found._domains = self._domains.copy(overflow, generator)
        return found

    def evaluate(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> Evaluation:
        """Choose an upstream, and say what counted for or against each of a group."""
        evaluation = Evaluation()
        if not group:
            return evaluation
        hinted = self._find_hinted(request, now_ms)
        drawn = self._draw(group, hinted)
        for load in group:
            found = self._evaluate_upstream(request, load, hinted, now_ms)
            if isinstance(found, Reason):
                evaluation.reasons[load.name] = found
                continue
            evaluation.scores[load.name] = found
            evaluation.reasons[load.name] = Reason.SLOWER
        chosen = self._choose_from(request, drawn, group, hinted, now_ms)
        drawn_names = {load.name for load in drawn}
        if chosen is not None and chosen.name in drawn_names:
            evaluation.mark_not_drawn(drawn_names)
        evaluation.record_chosen(chosen)
        return evaluation

    def _find_hinted(self, request: Request, now_ms: int) -> str:
        """Return the upstream that got a request's prefix last; empty if none."""
        if not request.prefix:
            return ""
        return self._hints.find_upstream(request.prefix, now_ms)

    def _draw(self, group: list[UpstreamLoad], hinted: str) -> list[UpstreamLoad]:
        """Return a few random upstreams, with the hinted one and some of the domain."""
        drawn = self._random.sample(group, min(CHOICES, len(group)))
        if hinted:
            drawn.extend(load for load in group if load.name == hinted)
        if self._domains is not None:
            drawn.extend(self._domains.draw_own(group))
        return drawn

    def _choose_from(
        self,
        request: Request,
        drawn: list[UpstreamLoad],
        group: list[UpstreamLoad],
        hinted: str,
        now_ms: int,
    ) -> UpstreamLoad | None:
        """Return the best of the drawn upstreams, else of the whole subset."""
        best = self._choose_best(request, drawn, hinted, now_ms)
        if best is None:
            best = self._choose_best(request, group, hinted, now_ms)
        if best is not None and self._domains is not None:
            self._domains.record_chosen(best, now_ms)
        return best

    def _choose_best(
        self, request: Request, loads: list[UpstreamLoad], hinted: str, now_ms: int
    ) -> UpstreamLoad | None:
        """Return the upstream with the lowest score among those with a free slot."""
        best = None
        best_score = 0.0
        for load in loads:
            score = self._evaluate_upstream(request, load, hinted, now_ms)
            if isinstance(score, Reason):
                continue
            if best is None or score < best_score:
                best = load
                best_score = score
        return best

    def _evaluate_upstream(
        self, request: Request, load: UpstreamLoad, hinted: str, now_ms: int
    ) -> float | Reason:
        """Return an upstream's score, or why it gets the request in no case."""
        obstacle = find_obstacle(request, load, now_ms)
        if obstacle is not None:
            return obstacle
        if load.ejected and load.count_own_in_flight() > 0:
            return Reason.STRAGGLER
        used = load.estimate_in_flight(request.priority, now_ms)
        if used >= load.entry.slots:
            return Reason.NO_SLOT
        score = _score(load, used, now_ms)
        if load.name == hinted:
            score -= AFFINITY_BONUS
        if self._domains is not None:
            score += self._domains.compute_score(request, load, now_ms)
        return score


def _score(load: UpstreamLoad, used: int, now_ms: int) -> float:
    """Return the cost of choosing an upstream; the lowest is the best.

    `used` counts the work there at the request's priority or above. Less urgent work
    counts little, since it yields; attempts that still wait for their first token
    count much, since they show a queue that the delayed reports do not. All of it and
    the request itself take longer where the upstream is slow at the moment.
    """
    slots = load.entry.slots
    score = used / slots
    score += LESS_URGENT_WEIGHT * min(
        1.0, load.estimate_in_flight(TIERS - 1, now_ms) / slots
    )
    score += UNSTARTED_WEIGHT * load.unstarted_attempts / slots
    slowness = load.reported_pace.compute_slowness(now_ms)
    score = score * slowness + (slowness - 1.0) / slots
    if load.ejected:
        score += 1.0
    return score


class RoundRobinRouter(Router):
    """Take the next upstream in turn; a baseline."""

    __slots__ = ("_next",)

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> UpstreamLoad | None:
        """Return the next allowed upstream with a free slot."""
        for _ in range(len(group)):
            self._next += 1
            load = group[self._next % len(group)]
            if not is_allowed(request, load, now_ms):
                continue
            if load.count_free_slots(TIERS - 1, now_ms) > 0:
                return load
        return None


class LeastLoadedRouter(Router):
    """Take the upstream with the most free slots; a baseline that causes herding."""

    __slots__ = ()

    def choose(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> UpstreamLoad | None:
        """Return the allowed upstream with most free slots."""
        best = None
        for load in group:
            if not is_allowed(request, load, now_ms):
                continue
            if load.count_free_slots(TIERS - 1, now_ms) <= 0:
                continue
            if best is None or load.count_free_slots(9, now_ms) > best.count_free_slots(
                9, now_ms
            ):
                best = load
        return best
