"""What a node believes about each engine: prompts not read yet, and parts cached.

Nodes tell each other what they sent, so that all expect the same parts in the same
places and count each other's prompts.
"""

import msgspec

from plantainwood.core.prompts import Part, PartCache, Prompt, make_cache

DEFAULT_CACHE_TOKENS = 250_000
REMOTE_LIFETIME_MS = 3_000
MAX_PARTS_PER_HEARTBEAT = 400
"""Parts told in one heartbeat; what is left out is only read again."""


class RemoteBacklog(msgspec.Struct, frozen=True):
    """Another node's unread tokens by engine."""

    pending_tokens: dict[str, int]
    heard_ms: int


class PendingPrefill(msgspec.Struct, frozen=True):
    """A prompt that this node sent to an engine and that is not read there yet."""

    tokens: int
    parts: frozenset[str]
    """The parts that the engine did not hold before."""


class EngineState:
    """What this node has sent to one engine and believes to be cached there."""

    __slots__ = ("cache", "pending")

    def __init__(self, cache_tokens: int) -> None:
        self.cache: PartCache = make_cache(cache_tokens)
        self.pending: dict[str, PendingPrefill] = {}
        """By request."""

    def count_pending_tokens(self) -> int:
        """Return the tokens of this node's prompts that are not read yet."""
        return sum(prompt.tokens for prompt in self.pending.values())

    def find_uncached_parts(self, prompt: Prompt) -> frozenset[str]:
        """Return the parts of a prompt that the engine does not hold."""
        return frozenset(
            part.id for part in prompt.parts if not self.cache.holds(part.id)
        )


class EngineStates:
    """The states of all engines, by name."""

    __slots__ = (
        "_states",
        "_remote",
        "_sent_parts",
        "_sent_part_count",
        "_cache_tokens",
    )

    def __init__(self) -> None:
        self._states: dict[str, EngineState] = {}
        self._remote: dict[str, RemoteBacklog] = {}
        self._sent_parts: dict[str, list[Part]] = {}
        """Parts sent to each engine since they were last taken."""
        self._sent_part_count = 0
        self._cache_tokens: dict[str, int] = {}

    def set_cache_tokens(self, engine: str, tokens: int) -> None:
        """Take the size of an engine's memory."""
        self._cache_tokens[engine] = tokens or DEFAULT_CACHE_TOKENS

    def _state(self, engine: str) -> EngineState:
        state = self._states.get(engine)
        if state is None:
            tokens = self._cache_tokens.get(engine, DEFAULT_CACHE_TOKENS)
            state = self._states[engine] = EngineState(tokens)
        return state

    def forget(self, engine: str) -> None:
        """Forget an engine that is gone."""
        self._states.pop(engine, None)
        self._cache_tokens.pop(engine, None)

    def record_sent(
        self, engine: str, request_id: str, prompt: Prompt, pending_tokens: int
    ) -> None:
        """Count a prompt as unread at an engine, and its parts as soon cached."""
        state = self._state(engine)
        state.pending[request_id] = PendingPrefill(
            pending_tokens, state.find_uncached_parts(prompt)
        )
        state.cache.add(prompt.parts)
        if self._sent_part_count + len(prompt.parts) > MAX_PARTS_PER_HEARTBEAT:
            return
        self._sent_part_count += len(prompt.parts)
        self._sent_parts.setdefault(engine, []).extend(prompt.parts)

    def record_prefilled(self, engine: str, request_id: str) -> None:
        """Count a prompt as read, or as given up."""
        state = self._states.get(engine)
        if state is not None:
            state.pending.pop(request_id, None)

    def take_sent_parts(self) -> dict[str, list[Part]]:
        """Return the parts sent to each engine since the last call."""
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
        """Take another node's unread tokens, and the parts it has sent lately."""
        self._remote[node] = RemoteBacklog(pending_tokens, now_ms)
        for engine, parts in sent_parts.items():
            self._state(engine).cache.add(parts)

    def count_own_backlogs(self) -> dict[str, int]:
        """Return this node's unread tokens by engine, without the empty ones."""
        found: dict[str, int] = {}
        for name, state in self._states.items():
            tokens = state.count_pending_tokens()
            if tokens:
                found[name] = tokens
        return found

    def count_cached_tokens(self, engine: str, prompt: Prompt) -> int:
        """Return the leading tokens that an engine holds once its backlog is read."""
        state = self._states.get(engine)
        return state.cache.count_cached_tokens(prompt.parts) if state is not None else 0

    def count_fetchable_tokens(self, engine: str, prompt: Prompt) -> int:
        """Return the leading tokens of a prompt that an engine has read by now."""
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
        """Return the unread tokens at an engine as far as this node knows."""
        state = self._states.get(engine)
        total = state.count_pending_tokens() if state is not None else 0
        for node, work in list(self._remote.items()):
            if now_ms - work.heard_ms > REMOTE_LIFETIME_MS:
                del self._remote[node]
                continue
            total += work.pending_tokens.get(engine, 0)
        return total
