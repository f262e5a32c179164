"""The work of an engine for a prompt before its first token."""

import msgspec

FETCH_COST_RATIO = 0.15
"""The cost of fetching a token from another engine's KV cache, in prefilled tokens."""
MIN_FETCHED_TOKENS = 500


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
