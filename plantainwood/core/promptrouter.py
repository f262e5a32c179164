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

TIGHT_RATIO = 0.8
"""A class is tight where its pace is below this share of the next class's."""
PACED_SHARE = 0.2
"""The share of the engines that is kept apart for the tightest pace."""
READ_TOKENS_PER_MS = 40.0
BACKLOG_SHARE = 1.0
MIN_BACKLOG_TOKENS = 4_000.0
RUNNING_TOKENS = 60
"""What a running request beside it adds to a request's delay, in prompt tokens."""
EJECTED_TOKENS = 40_000
FETCH_SHARE = 0.15
"""What fetching a token from another engine's memory costs, in tokens read."""
MIN_FETCHED_TOKENS = 500
HOME_TOKENS = 400
"""What the first engine in a session's ranking is preferred by, so that nodes that
send a new session at the same moment send it to the same engine."""


class Choice(msgspec.Struct, frozen=True):
    """What an engine would do for a prompt before its first token."""

    unread: int
    """Tokens that it reads."""
    fetched: int = 0
    """Tokens that it fetches from the source."""
    source: str = ""
    """The engine that holds them; empty where nothing is fetched."""

    @property
    def cost(self) -> float:
        """Return the work in tokens read."""
        return self.unread + FETCH_SHARE * self.fetched


class Holder(msgspec.Struct, frozen=True):
    """An engine that holds the beginning of a prompt; by default none."""

    name: str = ""
    tokens: int = 0


class PromptRouter(Router):
    """Send prompts where they are read soonest and delay paced streams least."""

    __slots__ = (
        "sent",
        "_plain",
        "engines",
        "_sources",
        "_tight_ms",
        "_aims_ms",
        "_chosen",
        "_work",
    )

    def __init__(self, plain: FewChoicesRouter) -> None:
        self.sent: dict[str, int] = {}
        """Unread tokens sent to each pool since the owner last took them."""
        self._plain = plain
        self.engines = EngineStates()
        self._sources: dict[str, list[UpstreamLoad]] = {}
        """Engines that may hold prompts, also those that leave, by pool."""
        self._tight_ms: dict[str, int] = {}
        self._aims_ms: dict[str, int] = {}
        self._chosen: dict[str, Choice] = {}
        """Choices that were made just now, by request."""
        self._work: dict[str, float] = {}
        """Tokens to be read before the first token, by request that has none."""

    def set_paces(self, pool: str, paces_ms: set[int]) -> None:
        """Take the paces of all classes of a pool; find the tight one, if any."""
        ordered = sorted(pace for pace in paces_ms if pace > 0)
        self._tight_ms.pop(pool, None)
        if len(ordered) >= 2 and ordered[0] < TIGHT_RATIO * ordered[1]:
            self._tight_ms[pool] = ordered[0]

    def set_aim(self, pool: str, aim_ms: int) -> None:
        """Take the shortest time to a first token among a pool's classes."""
        self._aims_ms[pool] = aim_ms

    def set_members(self, pool: str, loads: list[UpstreamLoad]) -> None:
        """Take all upstreams of a pool, also those that are leaving."""
        self._sources[pool] = loads
        for load in loads:
            tokens = getattr(load.entry, "memory_tokens", 0)
            self.engines.note_memory(load.name, tokens)

    def forget(self, upstream: str) -> None:
        """Forget what an engine that is gone or restarted held."""
        self.engines.forget(upstream)

    def choose(
        self, request: Request, group: list[UpstreamLoad], now_ms: int
    ) -> UpstreamLoad | None:
        """Return the engine with the least delay for a prompt, or None to wait."""
        if not request.prompt.tokens:
            return self._plain.choose(request, group, now_ms)
        allowed = [load for load in group if is_allowed(request, load, now_ms)]
        if not allowed:
            return None
        side = self._select_part(request, group, allowed)
        limit = self._backlog_limit(request.pool)
        names = sorted(load.name for load in side)
        home = rank_members(request.prompt.session, names)[0]
        holders = self._find_holders(request, now_ms)
        best = None
        best_score = 0.0
        for load in side:
            backlog = self.engines.backlog(load.name, now_ms)
            if backlog >= limit:
                continue
            choice = self._weigh(request, load, home, holders)
            score = choice.cost + backlog + self._find_delay(load, now_ms)
            if load.name == home:
                score -= HOME_TOKENS
            if best is None or score < best_score:
                best = load
                best_score = score
                self._chosen[request.id] = choice
        return best

    def _backlog_limit(self, pool: str) -> float:
        """Return the unread tokens at an engine from which on prompts wait here.

        An engine reads in its own order: what a more urgent request finds unread
        there, it stands behind. So that much stays below its time to a first token.
        """
        aim_ms = self._aims_ms.get(pool, 0)
        if not aim_ms:
            return float("inf")
        return max(MIN_BACKLOG_TOKENS, BACKLOG_SHARE * aim_ms * READ_TOKENS_PER_MS)

    def is_paced(self, request: Request) -> bool:
        """Tell whether a request belongs to the tightest-paced class of its pool."""
        tight_ms = self._tight_ms.get(request.pool, 0)
        return tight_ms > 0 and request.service_class.between_tokens_ms <= tight_ms

    def _select_part(
        self, request: Request, group: list[UpstreamLoad], allowed: list[UpstreamLoad]
    ) -> list[UpstreamLoad]:
        """Return the allowed engines of the request's side, else all allowed ones."""
        if request.pool not in self._tight_ms:
            return allowed
        names = sorted(load.name for load in group if not load.leaving)
        apart = set(find_paced_engines(request.pool, names))
        paced = self.is_paced(request)
        side = [load for load in allowed if (load.name in apart) == paced]
        return side or allowed

    def _find_delay(self, load: UpstreamLoad, now_ms: int) -> float:
        """Return what running requests and slowness add, in tokens read."""
        delay = RUNNING_TOKENS * load.estimate(9, now_ms)
        return delay + EJECTED_TOKENS if load.ejected else delay

    def _find_holders(self, request: Request, now_ms: int) -> list[Holder]:
        """Return the two engines that hold most of a prompt, the better one first.

        Two, since the one that is chosen can't fetch from itself.
        """
        best = Holder()
        second = Holder()
        for load in self._sources.get(request.pool, ()):
            if now_ms < load.failed_until_ms:
                continue
            tokens = self.engines.fetchable_tokens(load.name, request.prompt)
            if tokens > best.tokens:
                best, second = Holder(load.name, tokens), best
            elif tokens > second.tokens:
                second = Holder(load.name, tokens)
        return [best, second]

    def _weigh(
        self,
        request: Request,
        load: UpstreamLoad,
        home: str,
        holders: list[Holder],
    ) -> Choice:
        """Return what an engine would read, and fetch from another, of a prompt.

        Where no engine is known to hold the prompt, it may be at the session's first
        one all the same; to ask there in vain costs next to nothing.
        """
        prompt = request.prompt
        cached = self.engines.cached_tokens(load.name, prompt)
        best, second = holders
        holder = second if best.name == load.name else best
        fetched = holder.tokens - cached
        if fetched >= MIN_FETCHED_TOKENS:
            return Choice(prompt.tokens - holder.tokens, fetched, holder.name)
        if not cached and load.name != home:
            source = home if prompt.shared_tokens >= MIN_FETCHED_TOKENS else ""
            return Choice(prompt.tokens, 0, source)
        return Choice(max(0, prompt.tokens - cached))

    def find_source(self, request: Request) -> str:
        """Return the engine whose memory a chosen engine is to fetch from, if any."""
        choice = self._chosen.get(request.id)
        return choice.source if choice is not None else ""

    def explain(self, load: UpstreamLoad, now_ms: int) -> dict[str, int]:
        """Return what a choice of this upstream rested on, for the logs."""
        found = super().explain(load, now_ms)
        found["backlog_tokens"] = self.engines.backlog(load.name, now_ms)
        return found

    def note_dispatch(self, request: Request, load: UpstreamLoad, now_ms: int) -> None:
        """Count a prompt as unread at an engine, and its parts as soon cached."""
        if not request.prompt.tokens:
            return
        choice = self._chosen.pop(request.id, Choice(request.prompt.tokens))
        unread = round(choice.cost)
        self._work[request.id] = unread + self.engines.backlog(load.name, now_ms)
        self.sent[request.pool] = self.sent.get(request.pool, 0) + unread
        self.engines.note_sent(load.name, request.id, request.prompt, unread)

    def find_work(self, request: Request) -> float:
        """Return what was to be read before an attempt's first token, in tokens."""
        return self._work.get(request.id, 0.0)

    def note_started(self, request: Request, load: UpstreamLoad) -> None:
        """Count a prompt as read: its first token has come."""
        self.engines.note_read(load.name, request.id)

    def note_end(self, request: Request, load: UpstreamLoad) -> None:
        """Forget an attempt."""
        self._work.pop(request.id, None)
        self._chosen.pop(request.id, None)
        self.engines.note_read(load.name, request.id)


def find_paced_engines(pool: str, names: list[str]) -> list[str]:
    """Return the engines kept apart for paced work; none where there are too few.

    Every node finds the same ones from the same names.
    """
    if len(names) < 2:
        return []
    count = max(1, round(PACED_SHARE * len(names)))
    return rank_members(f"paced\0{pool}", names)[:count]


def make_prompt_router(generator: random.Random, hints: PrefixHints) -> PromptRouter:
    """Return the router for pools that mix engines and plain services."""
    return PromptRouter(FewChoicesRouter(generator, hints))
