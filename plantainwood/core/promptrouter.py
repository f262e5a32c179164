"""Routing of prompts by prefill backlog, with engines dedicated to tight gap targets.

While an engine prefills a long prompt, the gaps between tokens grow in all streams on
it, so some engines are dedicated to the classes with the tightest gap target. Within
each partition, the engine that a ranking shared by all nodes puts first for the
session is preferred, and load is measured in tokens awaiting prefill, not in requests.
"""

import random

import msgspec

from plantainwood.core.affinity import PrefixHints
from plantainwood.core.domainoverflow import DomainOverflow
from plantainwood.core.enginestates import EngineStates
from plantainwood.core.hashing import rank_members
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.promptdomains import DomainExtras, PromptDomains
from plantainwood.core.requests import Request
from plantainwood.core.router import FewChoicesRouter, Router, is_allowed

TIGHT_GAP_RATIO = 0.8
"""A gap target is tight if it is below this share of the next larger one."""
DEDICATED_SHARE = 0.2
"""The share of the engines that is dedicated to the tightest gap target."""
PREFILL_TOKENS_PER_MS = 40.0
BACKLOG_SHARE = 1.0
"""The part of the first-token target that the prefill of a backlog may take."""
MIN_BACKLOG_TOKENS = 4_000.0
RUNNING_REQUEST_TOKENS = 60
"""The delay that each running request on the engine adds, in prefilled tokens."""
EJECTION_PENALTY_TOKENS = 40_000
FETCH_COST_RATIO = 0.15
"""The cost of fetching a token from another engine's KV cache, in prefilled tokens."""
MIN_FETCHED_TOKENS = 500
PREFERRED_ENGINE_BONUS_TOKENS = 400
"""The advantage of the first engine in a session's ranking.

It makes nodes that send a new session at the same moment choose the same engine.
"""


class PrefillEstimate(msgspec.Struct, frozen=True):
    """The work of an engine for a prompt before its first token."""

    prefill_tokens: int
    """Tokens that it prefills."""
    fetched_tokens: int = 0
    """Tokens that it fetches from the source."""
    source: str = ""
    """The engine to fetch from; empty if there is none."""

    @property
    def cost(self) -> float:
        """Return the work in prefilled tokens."""
        return self.prefill_tokens + FETCH_COST_RATIO * self.fetched_tokens


class PrefixHolder(msgspec.Struct, frozen=True):
    """An engine that has cached the beginning of a prompt; by default none."""

    name: str = ""
    tokens: int = 0


class PromptRouter(Router):
    """Send prompts to the engine of their partition with the shortest wait for prefill.

    Requests without a prompt are left to the plain router.
    """

    __slots__ = (
        "sent_tokens",
        "_plain_router",
        "engine_states",
        "_pool_upstreams",
        "_tightest_gap_ms",
        "_first_token_targets_ms",
        "_estimates",
        "_pending_work_tokens",
        "_domains",
    )

    def __init__(self, plain_router: FewChoicesRouter) -> None:
        self.sent_tokens: dict[str, int] = {}
        """Tokens to prefill, sent to each pool since the owner last reset this."""
        self._plain_router = plain_router
        self.engine_states = EngineStates()
        self._pool_upstreams: dict[str, list[UpstreamLoad]] = {}
        """Engines that may have cached prompts, leaving ones included, by pool."""
        self._tightest_gap_ms: dict[str, int] = {}
        self._first_token_targets_ms: dict[str, int] = {}
        self._estimates: dict[str, PrefillEstimate] = {}
        """Estimates for the engines chosen last, by request id, until the dispatch."""
        self._pending_work_tokens: dict[str, float] = {}
        """Tokens to prefill before the first token, by request id."""
        self._domains: PromptDomains | None = None
        """None while failure domains are all alike."""

    def set_overflow(self, overflow: DomainOverflow) -> None:
        """Prefer the own failure domain, as far as an overflow decides."""
        self._plain_router.set_overflow(overflow)
        self._domains = PromptDomains(
            overflow,
            self.engine_states,
            self._estimate_wait_ms,
            PREFILL_TOKENS_PER_MS,
            FETCH_COST_RATIO,
        )

    def set_gap_targets(self, pool: str, gap_targets_ms: set[int]) -> None:
        """Set the gap targets of a pool's classes, and find the tight one, if any.

        A target of 0 means that there is none.
        """
        ordered = sorted(gap_ms for gap_ms in gap_targets_ms if gap_ms > 0)
        self._tightest_gap_ms.pop(pool, None)
        if len(ordered) >= 2 and ordered[0] < TIGHT_GAP_RATIO * ordered[1]:
            self._tightest_gap_ms[pool] = ordered[0]

    def set_first_token_target(self, pool: str, target_ms: int) -> None:
        """Set the shortest target for the first token among a pool's classes."""
        self._first_token_targets_ms[pool] = target_ms

    def set_pool_upstreams(self, pool: str, loads: list[UpstreamLoad]) -> None:
        """Set all upstreams of a pool, those that are leaving included."""
        self._pool_upstreams[pool] = loads
        for load in loads:
            tokens = getattr(load.entry, "memory_tokens", 0)
            self.engine_states.set_cache_tokens(load.name, tokens)
        if self._domains is not None:
            self._domains.set_pool_upstreams(loads)

    def forget(self, upstream: str) -> None:
        """Delete the state of an engine that has stopped or restarted."""
        self.engine_states.forget(upstream)
        if self._domains is not None:
            self._domains.forget(upstream)

    def choose(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> UpstreamLoad | None:
        """Return the engine with the shortest delay for a prompt, or None to wait."""
        if not request.prompt.tokens:
            return self._plain_router.choose(request, group, now_ms)
        allowed = [load for load in group if is_allowed(request, load, now_ms)]
        if not allowed:
            return None
        partition = self._select_partition(request, group, allowed)
        limit = self._compute_backlog_limit(request.pool)
        extras = DomainExtras()
        if self._domains is not None:
            key = f"{request.pool}#{int(self.is_gap_sensitive(request))}"
            extras = self._domains.find_extras(
                request, partition, len(allowed), key, now_ms
            )
        names = extras.list_preferred(partition)
        preferred = rank_members(request.prompt.session, names)[0]
        holders = self._find_prefix_holders(request, now_ms)
        best = None
        best_score = 0.0
        for load in partition:
            backlog = self.engine_states.count_backlog_tokens(load.name, now_ms)
            if backlog >= limit:
                continue
            estimate = self._estimate_prefill(request, load, preferred, holders)
            score = estimate.cost + backlog + self._estimate_delay(load, now_ms)
            if load.name == preferred:
                score -= PREFERRED_ENGINE_BONUS_TOKENS
            if self._domains is not None:
                score += PREFILL_TOKENS_PER_MS * self._domains.compute_ms(
                    extras, load, estimate.source, estimate.fetched_tokens
                )
            if best is None or score < best_score:
                best = load
                best_score = score
                self._estimates[request.id] = estimate
        return best

    def _estimate_wait_ms(self, load: UpstreamLoad, now_ms: int) -> float:
        """Return how long a prompt sent to an engine now waits there."""
        tokens = self.engine_states.count_backlog_tokens(load.name, now_ms)
        tokens += self._estimate_delay(load, now_ms)
        return tokens / PREFILL_TOKENS_PER_MS

    def _compute_backlog_limit(self, pool: str) -> float:
        """Return the backlog, in tokens, at which an engine gets no further prompts.

        An engine prefills in its own order, so a more urgent request waits for its
        whole backlog. The limit keeps that wait below the first-token target.
        """
        target_ms = self._first_token_targets_ms.get(pool, 0)
        if not target_ms:
            return float("inf")
        return max(
            MIN_BACKLOG_TOKENS, BACKLOG_SHARE * target_ms * PREFILL_TOKENS_PER_MS
        )

    def is_gap_sensitive(self, request: Request) -> bool:
        """Tell whether a request has the tight gap target of its pool."""
        tightest_gap_ms = self._tightest_gap_ms.get(request.pool, 0)
        return (
            tightest_gap_ms > 0
            and request.service_class.between_tokens_ms <= tightest_gap_ms
        )

    def _select_partition(
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

    def _estimate_delay(self, load: UpstreamLoad, now_ms: int) -> float:
        """Return the delay by running requests and ejection, in prefilled tokens."""
        delay = RUNNING_REQUEST_TOKENS * load.estimate_in_flight(9, now_ms)
        return delay + EJECTION_PENALTY_TOKENS if load.ejected else delay

    def _find_prefix_holders(self, request: Request, now_ms: int) -> list[PrefixHolder]:
        """Return the two engines that have cached most of a prompt, the best one first.

        The second is used if the first is the chosen engine itself.
        """
        best = PrefixHolder()
        second = PrefixHolder()
        for load in self._pool_upstreams.get(request.pool, ()):
            if now_ms < load.paused_until_ms:
                continue
            tokens = self.engine_states.count_fetchable_tokens(
                load.name, request.prompt
            )
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
        """Return what an engine would prefill of a prompt, and fetch from another.

        If no engine is known to have cached the prompt, the preferred engine of the
        session is the source: it may have it, and a failed fetch costs almost nothing.
        """
        prompt = request.prompt
        cached = self.engine_states.count_cached_tokens(load.name, prompt)
        best, second = holders
        holder = second if best.name == load.name else best
        fetched_tokens = holder.tokens - cached
        if self._pays_fetch(load, holder.name, fetched_tokens):
            return PrefillEstimate(
                prompt.tokens - holder.tokens, fetched_tokens, holder.name
            )
        if not cached and load.name != preferred:
            pays = self._pays_fetch(load, preferred, prompt.shared_tokens)
            return PrefillEstimate(prompt.tokens, 0, preferred if pays else "")
        return PrefillEstimate(max(0, prompt.tokens - cached))

    def _pays_fetch(self, load: UpstreamLoad, source: str, tokens: int) -> bool:
        """Tell whether an engine should fetch tokens rather than prefill them."""
        if tokens < MIN_FETCHED_TOKENS:
            return False
        return self._domains is None or self._domains.pays_fetch(load, source, tokens)

    def find_kv_source(self, request: Request) -> str:
        """Return the engine that the chosen engine is to fetch from; empty if none."""
        estimate = self._estimates.get(request.id)
        return estimate.source if estimate is not None else ""

    def explain(self, load: UpstreamLoad, now_ms: int) -> dict[str, int]:
        """Return the values that the choice of an upstream rests on, for the logs."""
        found = super().explain(load, now_ms)
        found["backlog_tokens"] = self.engine_states.count_backlog_tokens(
            load.name, now_ms
        )
        return found

    def record_dispatch(
        self, request: Request, load: UpstreamLoad, now_ms: int
    ) -> None:
        """Add a prompt to the backlog of an engine, and treat its parts as cached."""
        if self._domains is not None:
            source = self.find_kv_source(request)
            self._domains.record_sent(request, load, source, now_ms)
        if not request.prompt.tokens:
            return
        estimate = self._estimates.pop(
            request.id, PrefillEstimate(request.prompt.tokens)
        )
        pending_tokens = round(estimate.cost)
        self._pending_work_tokens[request.id] = (
            pending_tokens + self.engine_states.count_backlog_tokens(load.name, now_ms)
        )
        self.sent_tokens[request.pool] = (
            self.sent_tokens.get(request.pool, 0) + pending_tokens
        )
        self.engine_states.record_sent(
            load.name, request.id, request.prompt, pending_tokens
        )

    def find_prefill_tokens(self, request: Request) -> float:
        """Return the tokens to prefill before the first token, as of the dispatch."""
        return self._pending_work_tokens.get(request.id, 0.0)

    def record_started(self, request: Request, load: UpstreamLoad) -> None:
        """Remove a prompt from the backlog, since its first token has arrived."""
        self.engine_states.record_prefilled(load.name, request.id)

    def record_end(self, request: Request, load: UpstreamLoad) -> None:
        """Delete the state of an attempt that has ended."""
        self._pending_work_tokens.pop(request.id, None)
        self._estimates.pop(request.id, None)
        self.engine_states.record_prefilled(load.name, request.id)


def find_dedicated_engines(pool: str, names: list[str]) -> list[str]:
    """Return the engines dedicated to the tightest gap target.

    There are none if there are fewer than two engines. Every node selects the same
    engines from the same names.
    """
    if len(names) < 2:
        return []
    count = max(1, round(DEDICATED_SHARE * len(names)))
    return rank_members(f"paced\0{pool}", names)[:count]


def make_prompt_router(generator: random.Random, hints: PrefixHints) -> PromptRouter:
    """Return the router for pools of engines and of plain services."""
    return PromptRouter(FewChoicesRouter(generator, hints))
