"""Choice of an engine by unread prompt tokens, with paced work kept apart.

A long prompt that is being read stretches the pauses of every stream beside it, so
the classes with the tightest pace get engines of their own. Among the others, the
session's engines in a ranking that all nodes share come first, and unread tokens,
not requests, are the load.
"""

import random

import msgspec

from plantainwood.core.affinity import PrefixHints
from plantainwood.core.enginestates import EngineStates
from plantainwood.core.hashing import rank_members
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.requests import Request
from plantainwood.core.router import FewChoicesRouter, Router, is_allowed

TIGHT_GAP_RATIO = 0.8
"""A class is tight where its pace is below this share of the next class's."""
RESERVED_SHARE = 0.2
"""The share of the engines that is kept apart for the tightest pace."""
PREFILL_TOKENS_PER_MS = 40.0
BACKLOG_SHARE = 1.0
MIN_BACKLOG_TOKENS = 4_000.0
RUNNING_REQUEST_TOKENS = 60
"""What a running request beside it adds to a request's delay, in prompt tokens."""
EJECTION_PENALTY_TOKENS = 40_000
FETCH_COST_RATIO = 0.15
"""What fetching a token from another engine's memory costs, in tokens read."""
MIN_FETCHED_TOKENS = 500
PREFERRED_ENGINE_BONUS_TOKENS = 400
"""What the first engine in a session's ranking is preferred by, so that nodes that
send a new session at the same moment send it to the same engine."""


class PrefillEstimate(msgspec.Struct, frozen=True):
    """What an engine would do for a prompt before its first token."""

    prefill_tokens: int
    """Tokens that it reads."""
    fetched_tokens: int = 0
    """Tokens that it fetches from the source."""
    source: str = ""
    """The engine that holds them; empty where nothing is fetched."""

    @property
    def cost(self) -> float:
        """Return the work in tokens read."""
        return self.prefill_tokens + FETCH_COST_RATIO * self.fetched_tokens


class PrefixHolder(msgspec.Struct, frozen=True):
    """An engine that holds the beginning of a prompt; by default none."""

    name: str = ""
    tokens: int = 0


class PromptRouter(Router):
    """Send prompts where they are read soonest and delay paced streams least."""

    __slots__ = (
        "sent_tokens",
        "_plain_router",
        "engines",
        "_sources",
        "_tightest_gap_ms",
        "_first_token_targets_ms",
        "_estimates",
        "_pending_work_tokens",
    )

    def __init__(self, plain_router: FewChoicesRouter) -> None:
        self.sent_tokens: dict[str, int] = {}
        """Unread tokens sent to each pool since the owner last took them."""
        self._plain_router = plain_router
        self.engines = EngineStates()
        self._sources: dict[str, list[UpstreamLoad]] = {}
        """Engines that may hold prompts, also those that leave, by pool."""
        self._tightest_gap_ms: dict[str, int] = {}
        self._first_token_targets_ms: dict[str, int] = {}
        self._estimates: dict[str, PrefillEstimate] = {}
        """Choices that were made just now, by request."""
        self._pending_work_tokens: dict[str, float] = {}
        """Tokens to be read before the first token, by request that has none."""

    def set_gap_targets(self, pool: str, gap_targets_ms: set[int]) -> None:
        """Take the paces of all classes of a pool; find the tight one, if any."""
        ordered = sorted(gap_ms for gap_ms in gap_targets_ms if gap_ms > 0)
        self._tightest_gap_ms.pop(pool, None)
        if len(ordered) >= 2 and ordered[0] < TIGHT_GAP_RATIO * ordered[1]:
            self._tightest_gap_ms[pool] = ordered[0]

    def set_first_token_target(self, pool: str, target_ms: int) -> None:
        """Take the shortest time to a first token among a pool's classes."""
        self._first_token_targets_ms[pool] = target_ms

    def set_members(self, pool: str, loads: list[UpstreamLoad]) -> None:
        """Take all upstreams of a pool, also those that are leaving."""
        self._sources[pool] = loads
        for load in loads:
            tokens = getattr(load.entry, "memory_tokens", 0)
            self.engines.set_cache_tokens(load.name, tokens)

    def forget(self, upstream: str) -> None:
        """Forget what an engine that is gone or restarted held."""
        self.engines.forget(upstream)

    def choose(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> UpstreamLoad | None:
        """Return the engine with the least delay for a prompt, or None to wait."""
        if not request.prompt.tokens:
            return self._plain_router.choose(request, group, now_ms)
        allowed = [load for load in group if is_allowed(request, load, now_ms)]
        if not allowed:
            return None
        partition = self._select_partition(request, group, allowed)
        limit = self._find_backlog_limit(request.pool)
        names = sorted(load.name for load in partition)
        preferred = rank_members(request.prompt.session, names)[0]
        holders = self._find_prefix_holders(request, now_ms)
        best = None
        best_score = 0.0
        for load in partition:
            backlog = self.engines.count_backlog_tokens(load.name, now_ms)
            if backlog >= limit:
                continue
            estimate = self._estimate_prefill(request, load, preferred, holders)
            score = estimate.cost + backlog + self._estimate_delay(load, now_ms)
            if load.name == preferred:
                score -= PREFERRED_ENGINE_BONUS_TOKENS
            if best is None or score < best_score:
                best = load
                best_score = score
                self._estimates[request.id] = estimate
        return best

    def _find_backlog_limit(self, pool: str) -> float:
        """Return the unread tokens at an engine from which on prompts wait here.

        An engine reads in its own order: what a more urgent request finds unread
        there, it stands behind. So that much stays below its time to a first token.
        """
        target_ms = self._first_token_targets_ms.get(pool, 0)
        if not target_ms:
            return float("inf")
        return max(
            MIN_BACKLOG_TOKENS, BACKLOG_SHARE * target_ms * PREFILL_TOKENS_PER_MS
        )

    def is_gap_sensitive(self, request: Request) -> bool:
        """Tell whether a request belongs to the tightest-paced class of its pool."""
        tightest_gap_ms = self._tightest_gap_ms.get(request.pool, 0)
        return (
            tightest_gap_ms > 0
            and request.service_class.between_tokens_ms <= tightest_gap_ms
        )

    def _select_partition(
        self, request: Request, group: list[UpstreamLoad], allowed: list[UpstreamLoad]
    ) -> list[UpstreamLoad]:
        """Return the allowed engines of the request's side, else all allowed ones."""
        if request.pool not in self._tightest_gap_ms:
            return allowed
        names = sorted(load.name for load in group if not load.leaving)
        reserved = set(find_reserved_engines(request.pool, names))
        gap_sensitive = self.is_gap_sensitive(request)
        partition = [
            load for load in allowed if (load.name in reserved) == gap_sensitive
        ]
        return partition or allowed

    def _estimate_delay(self, load: UpstreamLoad, now_ms: int) -> float:
        """Return what running requests and slowness add, in tokens read."""
        delay = RUNNING_REQUEST_TOKENS * load.estimate_in_flight(9, now_ms)
        return delay + EJECTION_PENALTY_TOKENS if load.ejected else delay

    def _find_prefix_holders(self, request: Request, now_ms: int) -> list[PrefixHolder]:
        """Return the two engines that hold most of a prompt, the better one first.

        Two, since the one that is chosen can't fetch from itself.
        """
        best = PrefixHolder()
        second = PrefixHolder()
        for load in self._sources.get(request.pool, ()):
            if now_ms < load.paused_until_ms:
                continue
            tokens = self.engines.count_fetchable_tokens(load.name, request.prompt)
            if tokens > best.tokens:
                best, second = PrefixHolder(load.name, tokens), best
            elif tokens > second.tokens:
                second = PrefixHolder(load.name, tokens)
        return [best, second]

    def _estimate_prefill(
        self,
        request: Request,
        load: UpstreamLoad,
        preferred: str,
        holders: list[PrefixHolder],
    ) -> PrefillEstimate:
        """Return what an engine would read, and fetch from another, of a prompt.

        Where no engine is known to hold the prompt, it may be at the session's first
        one all the same; to ask there in vain costs next to nothing.
        """
        prompt = request.prompt
        cached = self.engines.count_cached_tokens(load.name, prompt)
        best, second = holders
        holder = second if best.name == load.name else best
        fetched_tokens = holder.tokens - cached
        if fetched_tokens >= MIN_FETCHED_TOKENS:
            return PrefillEstimate(
                prompt.tokens - holder.tokens, fetched_tokens, holder.name
            )
        if not cached and load.name != preferred:
            source = preferred if prompt.shared_tokens >= MIN_FETCHED_TOKENS else ""
            return PrefillEstimate(prompt.tokens, 0, source)
        return PrefillEstimate(max(0, prompt.tokens - cached))

    def find_source(self, request: Request) -> str:
        """Return the engine whose memory a chosen engine is to fetch from, if any."""
        estimate = self._estimates.get(request.id)
        return estimate.source if estimate is not None else ""

    def explain(self, load: UpstreamLoad, now_ms: int) -> dict[str, int]:
        """Return what a choice of this upstream rested on, for the logs."""
        found = super().explain(load, now_ms)
        found["backlog_tokens"] = self.engines.count_backlog_tokens(load.name, now_ms)
        return found

    def record_dispatch(
        self, request: Request, load: UpstreamLoad, now_ms: int
    ) -> None:
        """Count a prompt as unread at an engine, and its parts as soon cached."""
        if not request.prompt.tokens:
            return
        estimate = self._estimates.pop(
            request.id, PrefillEstimate(request.prompt.tokens)
        )
        pending_tokens = round(estimate.cost)
        self._pending_work_tokens[request.id] = (
            pending_tokens + self.engines.count_backlog_tokens(load.name, now_ms)
        )
        self.sent_tokens[request.pool] = (
            self.sent_tokens.get(request.pool, 0) + pending_tokens
        )
        self.engines.record_sent(load.name, request.id, request.prompt, pending_tokens)

    def find_prefill_tokens(self, request: Request) -> float:
        """Return what was to be read before an attempt's first token, in tokens."""
        return self._pending_work_tokens.get(request.id, 0.0)

    def record_started(self, request: Request, load: UpstreamLoad) -> None:
        """Count a prompt as read: its first token has come."""
        self.engines.record_prefilled(load.name, request.id)

    def record_end(self, request: Request, load: UpstreamLoad) -> None:
        """Forget an attempt."""
        self._pending_work_tokens.pop(request.id, None)
        self._estimates.pop(request.id, None)
        self.engines.record_prefilled(load.name, request.id)


def find_reserved_engines(pool: str, names: list[str]) -> list[str]:
    """Return the engines kept apart for paced work; none where there are too few.

    Every node finds the same ones from the same names.
    """
    if len(names) < 2:
        return []
    count = max(1, round(RESERVED_SHARE * len(names)))
    return rank_members(f"paced\0{pool}", names)[:count]


def make_prompt_router(generator: random.Random, hints: PrefixHints) -> PromptRouter:
    """Return the router for pools that mix engines and plain services."""
    return PromptRouter(FewChoicesRouter(generator, hints))
