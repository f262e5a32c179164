"""Prompts, their parts, and an estimate of the parts that an engine has cached."""

from collections import OrderedDict
from typing import Iterable

import msgspec

USABLE_CACHE_SHARE = 0.8
"""The share of an engine's KV cache that is assumed to hold cached parts."""


class Part(msgspec.Struct, array_like=True, frozen=True):
    """A part of a prompt; requests with the same part have the same id for it."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """The parts of a request's prompt, and its tokens to prefill and to generate."""

    parts: tuple[Part, ...] = ()
    """In order; a cached part saves work only if all parts before it are cached."""
    tokens: int = 0
    output_tokens: int = 0

    @property
    def session(self) -> str:
        """Return the id of the last part that other requests may share.

        That is the last but one, or the only one; empty if there are no parts.
        """
        if not self.parts:
            return ""
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[-1].id

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """Return the parts that other requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of all parts but the last."""
        return sum(part.tokens for part in self.shared_parts)

    def format_parts(self, limit: int) -> str:
        """Return the ids of the first `limit` parts for a log line; "-" for none."""
        return ",".join(part.id for part in self.parts[:limit]) or "-"


class PartCache:
    """An estimate of the parts in one engine's KV cache, evicted in LRU order."""

    __slots__ = ("capacity_tokens", "_parts", "_held_tokens")

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._held_tokens = 0

    def holds(self, part: str) -> bool:
        """Tell whether a part is cached, regardless of the parts before it."""
        return part in self._parts

    def count_cached_tokens(self, parts: Iterable[Part]) -> int:
        """Return the tokens of the parts before the first that is not cached."""
        total = 0
        for part in parts:
            if part.id not in self._parts:
                break
            total += part.tokens
        return total

    def add(self, parts: Iterable[Part]) -> None:
        """Add parts that the engine prefills; evict the least recently used ones."""
        for part in parts:
            self._held_tokens += part.tokens - self._parts.pop(part.id, 0)
            self._parts[part.id] = part.tokens
        while self._held_tokens > self.capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._held_tokens -= tokens

    def clear(self) -> None:
        """Remove all parts; the cache of a restarted engine is empty."""
        self._parts.clear()
        self._held_tokens = 0


def make_cache(cache_tokens: int) -> PartCache:
    """Return an empty cache for an engine whose KV cache holds `cache_tokens`."""
    return PartCache(int(cache_tokens * USABLE_CACHE_SHARE))
