"""Prompts: their parts, and which parts each engine is believed to hold."""

from collections import OrderedDict
from typing import Iterable

import msgspec

USABLE_CACHE_SHARE = 0.8
"""The share of an engine's memory that cached parts are counted on to keep."""


class Part(msgspec.Struct, array_like=True, frozen=True):
    """One part of a prompt; requests that share a part share its id."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What a request asks of an engine, in tokens."""

    parts: tuple[Part, ...] = ()
    """In order; a cached part helps only where all parts before it are cached."""
    tokens: int = 0
    output_tokens: int = 0

    @property
    def session(self) -> str:
        """Return the id of the last part that other requests may share."""
        if not self.parts:
            return ""
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[-1].id

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of all parts but the last."""
        return sum(part.tokens for part in self.parts[:-1])


class PartCache:
    """The parts that one engine is believed to hold, least recently used first."""

    __slots__ = ("capacity_tokens", "_parts", "_held_tokens")

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        """In tokens."""
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._held_tokens = 0

    def holds(self, part: str) -> bool:
        """Tell whether a part is held, with or without the parts before it."""
        return part in self._parts

    def count_cached_tokens(self, parts: Iterable[Part]) -> int:
        """Return the tokens of the leading parts that are held without a gap."""
        total = 0
        for part in parts:
            if part.id not in self._parts:
                break
            total += part.tokens
        return total

    def add(self, parts: Iterable[Part]) -> None:
        """Note that the engine reads these parts; the oldest ones make room."""
        for part in parts:
            self._held_tokens += part.tokens - self._parts.pop(part.id, 0)
            self._parts[part.id] = part.tokens
        while self._held_tokens > self.capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._held_tokens -= tokens

    def clear(self) -> None:
        """Forget everything, as a restarted engine has."""
        self._parts.clear()
        self._held_tokens = 0


def make_cache(cache_tokens: int) -> PartCache:
    """Return an empty cache for an engine with memory for so many tokens."""
    return PartCache(int(cache_tokens * USABLE_CACHE_SHARE))
