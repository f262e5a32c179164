"""A node's estimate of each engine's state: prompts awaiting prefill, cached parts.

Nodes exchange what they sent, so that they agree on which engine has cached which
parts and include each other's prompts in the backlog.
"""

import copy

import msgspec

from plantainwood.core.prompts import Part, PartCache, Prompt, make_cache

DEFAULT_CACHE_TOKENS = 250_000
REMOTE_LIFETIME_MS = 3_000
MAX_PARTS_PER_HEARTBEAT = 400
"""Parts in one heartbeat; a part that is left out is at worst prefilled again."""


class RemoteBacklog(msgspec.Struct, frozen=True):
    """Another node's tokens that await prefill, by engine."""

    pending_tokens: dict[str, int]
    heard_ms: int


class PendingPrefill(msgspec.Struct, frozen=True):
    """A prompt that this node sent to an engine and that awaits prefill there."""

    tokens: int
    parts: frozenset[str]
    """The parts that the engine had not cached when the prompt was sent."""


class RemoteBacklogs:
    """The backlogs that other nodes report, and their sum for each engine.

    The sums are updated with each report, because every choice of an engine reads those
    of all engines.
    """

    __slots__ = ("_by_node", "_totals", "_next_expiry_ms")

    def __init__(self) -> None:
        self._by_node: dict[str, RemoteBacklog] = {}
        self._totals: dict[str, int] = {}
        self._next_expiry_ms = 0
        """No report expires before this time."""

    def copy(self) -> "RemoteBacklogs":
        """Return an object from which reports expire without effect on this one."""
        found = copy.copy(self)
        found._by_node = dict(self._by_node)
        found._totals = dict(self._totals)
        return found

    def record(self, node: str, pending_tokens: dict[str, int], now_ms: int) -> None:
        """Replace another node's backlog."""
        self._remove(node)
        if not self._by_node:
            self._next_expiry_ms = now_ms + REMOTE_LIFETIME_MS
        self._by_node[node] = RemoteBacklog(pending_tokens, now_ms)
        for engine, tokens in pending_tokens.items():
            self._totals[engine] = self._totals.get(engine, 0) + tokens

    def count_tokens(self, engine: str, now_ms: int) -> int:
        """Return an engine's tokens; reports past their lifetime are deleted."""
        if now_ms > self._next_expiry_ms:
            self._expire(now_ms)
        return self._totals.get(engine, 0)

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms
        for node, backlog in list(self._by_node.items()):
            if now_ms - backlog.heard_ms > REMOTE_LIFETIME_MS:
                self._remove(node)
                continue
            oldest_ms = min(oldest_ms, backlog.heard_ms)
        self._next_expiry_ms = oldest_ms + REMOTE_LIFETIME_MS

    def _remove(self, node: str) -> None:
        backlog = self._by_node.pop(node, None)
        if backlog is None:
            return
        for engine, tokens in backlog.pending_tokens.items():
            left = self._totals.get(engine, 0) - tokens
            if left:
                self._totals[engine] = left
            else:
                self._totals.pop(engine, None)


class EngineState:
    """This node's prompts awaiting prefill at an engine, and the parts cached there."""

    __slots__ = ("cache", "pending")

    def __init__(self, cache_tokens: int) -> None:
        self.cache: PartCache = make_cache(cache_tokens)
        self.pending: dict[str, PendingPrefill] = {}
        """By request id."""

    def count_pending_tokens(self) -> int:
        """Return the tokens of this node's prompts that await prefill."""
        return sum(prompt.tokens for prompt in self.pending.values())

    def find_uncached_parts(self, prompt: Prompt) -> frozenset[str]:
        """Return the ids of a prompt's parts that the engine has not cached."""
        return frozenset(
            part.id for part in prompt.parts if not self.cache.holds(part.id)
        )


class EngineStates:
    """The states of all engines, and the backlogs that other nodes report."""

    __slots__ = (
        "_states",
        "_remote",
        "_sent_parts",
        "_sent_part_count",
        "_cache_tokens",
    )

    def __init__(self) -> None:
        self._states: dict[str, EngineState] = {}
        self._remote = RemoteBacklogs()
        self._sent_parts: dict[str, list[Part]] = {}
        """Parts sent to each engine since the last call of `take_sent_parts`."""
        self._sent_part_count = 0
        self._cache_tokens: dict[str, int] = {}

    def copy(self) -> "EngineStates":
        """Return an object for choices; prompts and cached parts are shared."""
        found = copy.copy(self)
        found._remote = self._remote.copy()
        return found

    def set_cache_tokens(self, engine: str, tokens: int) -> None:
        """Set the size of an engine's KV cache; 0 means DEFAULT_CACHE_TOKENS.

        Has no effect on the cache of an engine that is already in use.
        """
        self._cache_tokens[engine] = tokens or DEFAULT_CACHE_TOKENS

    def _get_state(self, engine: str) -> EngineState:
        state = self._states.get(engine)
        if state is None:
            tokens = self._cache_tokens.get(engine, DEFAULT_CACHE_TOKENS)
            state = self._states[engine] = EngineState(tokens)
        return state

    def forget(self, engine: str) -> None:
        """Delete the state of an engine that has stopped or restarted."""
        self._states.pop(engine, None)
        self._cache_tokens.pop(engine, None)

    def record_sent(
        self, engine: str, request_id: str, prompt: Prompt, pending_tokens: int
    ) -> None:
        """Record a prompt sent to an engine, and treat its parts as cached from now on.

        Parts beyond MAX_PARTS_PER_HEARTBEAT are not reported to the other nodes.
        """
        state = self._get_state(engine)
        state.pending[request_id] = PendingPrefill(
            pending_tokens, state.find_uncached_parts(prompt)
        )
        state.cache.add(prompt.parts)
        if self._sent_part_count + len(prompt.parts) > MAX_PARTS_PER_HEARTBEAT:
            return
        self._sent_part_count += len(prompt.parts)
        self._sent_parts.setdefault(engine, []).extend(prompt.parts)

    def record_prefilled(self, engine: str, request_id: str) -> None:
        """Remove a prompt from the backlog: prefilled, or its attempt has ended."""
        state = self._states.get(engine)
        if state is not None:
            state.pending.pop(request_id, None)

    def take_sent_parts(self) -> dict[str, list[Part]]:
        """Return the parts sent to each engine since the last call, and reset them."""
        found, self._sent_parts = self._sent_parts, {}
        self._sent_part_count = 0
        return found

    def record_remote(
        self,
        node: str,
        pending_tokens: dict[str, int],
        sent_parts: dict[str, list[Part]],
        now_ms: int,
    ) -> None:
        """Replace another node's backlog, and treat the parts it sent as cached."""
        self._remote.record(node, pending_tokens, now_ms)
        for engine, parts in sent_parts.items():
            self._get_state(engine).cache.add(parts)

    def count_own_backlogs(self) -> dict[str, int]:
        """Return this node's tokens awaiting prefill, by engine, without zeros."""
        found: dict[str, int] = {}
        for name, state in self._states.items():
            tokens = state.count_pending_tokens()
            if tokens:
                found[name] = tokens
        return found

    def count_cached_tokens(self, engine: str, prompt: Prompt) -> int:
        """Return a prompt's leading tokens cached once the backlog is prefilled."""
        state = self._states.get(engine)
        return state.cache.count_cached_tokens(prompt.parts) if state is not None else 0

    def count_fetchable_tokens(self, engine: str, prompt: Prompt) -> int:
        """Return a prompt's leading tokens that an engine has already prefilled."""
        state = self._states.get(engine)
        if state is None:
            return 0
        prefilled: list[Part] = []
        for part in prompt.parts:
            if any(part.id in prefill.parts for prefill in state.pending.values()):
                break
            prefilled.append(part)
        return state.cache.count_cached_tokens(prefilled)

    def count_backlog_tokens(self, engine: str, now_ms: int) -> int:
        """Return an engine's tokens awaiting prefill, those of other nodes included.

        Reports older than REMOTE_LIFETIME_MS are deleted.
        """
        state = self._states.get(engine)
        own = state.count_pending_tokens() if state is not None else 0
        return own + self._remote.count_tokens(engine, now_ms)
