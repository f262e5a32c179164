"""What a node believes about each engine: prompts not read yet, and parts cached.

Nodes tell each other what they sent, so that all expect the same parts in the same
places and count each other's prompts.
"""

import msgspec

from plantainwood.core.prompts import Part, PartCache, Prompt, make_cache

DEFAULT_ENGINE_TOKENS = 250_000
REMOTE_LIFETIME_MS = 3_000
MAX_TOLD_PARTS = 400
"""Parts told in one heartbeat; what is left out is only read again."""


class RemoteWork(msgspec.Struct, frozen=True):
    """Another node's unread tokens by engine."""

    unread: dict[str, int]
    heard_ms: int


class UnreadPrompt(msgspec.Struct, frozen=True):
    """A prompt that this node sent to an engine and that is not read there yet."""

    tokens: int
    parts: frozenset[str]
    """The parts that the engine did not hold before."""


class EngineState:
    """What this node has sent to one engine and believes to be cached there."""

    __slots__ = ("cache", "unread")

    def __init__(self, engine_tokens: int) -> None:
        self.cache: PartCache = make_cache(engine_tokens)
        self.unread: dict[str, UnreadPrompt] = {}
        """By request."""

    def unread_tokens(self) -> int:
        """Return the tokens of this node's prompts that are not read yet."""
        return sum(prompt.tokens for prompt in self.unread.values())

    def find_new(self, prompt: Prompt) -> frozenset[str]:
        """Return the parts of a prompt that the engine does not hold."""
        return frozenset(
            part.id for part in prompt.parts if not self.cache.holds(part.id)
        )


class EngineStates:
    """The states of all engines, by name."""

    __slots__ = ("_states", "_remote", "_read", "_told", "_memory")

    def __init__(self) -> None:
        self._states: dict[str, EngineState] = {}
        self._remote: dict[str, RemoteWork] = {}
        self._read: dict[str, list[Part]] = {}
        """Parts sent to each engine since they were last taken."""
        self._told = 0
        self._memory: dict[str, int] = {}

    def note_memory(self, engine: str, tokens: int) -> None:
        """Take the size of an engine's memory."""
        self._memory[engine] = tokens or DEFAULT_ENGINE_TOKENS

    def _state(self, engine: str) -> EngineState:
        state = self._states.get(engine)
        if state is None:
            tokens = self._memory.get(engine, DEFAULT_ENGINE_TOKENS)
            state = self._states[engine] = EngineState(tokens)
        return state

    def forget(self, engine: str) -> None:
        """Forget an engine that is gone."""
        self._states.pop(engine, None)
        self._memory.pop(engine, None)

    def note_sent(
        self, engine: str, request_id: str, prompt: Prompt, unread: int
    ) -> None:
        """Count a prompt as unread at an engine, and its parts as soon cached."""
        state = self._state(engine)
        state.unread[request_id] = UnreadPrompt(unread, state.find_new(prompt))
        state.cache.note_read(prompt.parts)
        if self._told + len(prompt.parts) > MAX_TOLD_PARTS:
            return
        self._told += len(prompt.parts)
        self._read.setdefault(engine, []).extend(prompt.parts)

    def note_read(self, engine: str, request_id: str) -> None:
        """Count a prompt as read, or as given up."""
        state = self._states.get(engine)
        if state is not None:
            state.unread.pop(request_id, None)

    def take_read(self) -> dict[str, list[Part]]:
        """Return the parts sent to each engine since the last call."""
        found, self._read = self._read, {}
        self._told = 0
        return found

    def note_remote(
        self,
        node: str,
        unread: dict[str, int],
        read: dict[str, list[Part]],
        now_ms: int,
    ) -> None:
        """Take another node's unread tokens, and the parts it has sent lately."""
        self._remote[node] = RemoteWork(unread, now_ms)
        for engine, parts in read.items():
            self._state(engine).cache.note_read(parts)

    def own_unread(self) -> dict[str, int]:
        """Return this node's unread tokens by engine, without the empty ones."""
        found: dict[str, int] = {}
        for name, state in self._states.items():
            tokens = state.unread_tokens()
            if tokens:
                found[name] = tokens
        return found

    def cached_tokens(self, engine: str, prompt: Prompt) -> int:
        """Return the leading tokens that an engine holds once its backlog is read."""
        state = self._states.get(engine)
        return state.cache.cached_tokens(prompt.parts) if state is not None else 0

    def fetchable_tokens(self, engine: str, prompt: Prompt) -> int:
        """Return the leading tokens of a prompt that an engine has read by now."""
        state = self._states.get(engine)
        if state is None:
            return 0
        read: list[Part] = []
        for part in prompt.parts:
            if any(part.id in unread.parts for unread in state.unread.values()):
                break
            read.append(part)
        return state.cache.cached_tokens(read)

    def backlog(self, engine: str, now_ms: int) -> int:
        """Return the unread tokens at an engine as far as this node knows."""
        state = self._states.get(engine)
        total = state.unread_tokens() if state is not None else 0
        for node, work in list(self._remote.items()):
            if now_ms - work.heard_ms > REMOTE_LIFETIME_MS:
                del self._remote[node]
                continue
            total += work.unread.get(engine, 0)
        return total
