"""Hints about which upstream holds a prompt's prefix; they expire."""

from collections import OrderedDict

HINT_LIFETIME_MS = 120_000
MAX_HINTS = 20_000


class PrefixHints:
    """Remember, for a bounded time and number, where a prefix was last served."""

    __slots__ = ("_hints",)

    def __init__(self) -> None:
        self._hints: OrderedDict[str, tuple[str, int]] = OrderedDict()

    def record(self, prefix: str, upstream: str, now_ms: int) -> None:
        """Note that an upstream was sent a prefix."""
        if not prefix:
            return
        self._hints[prefix] = (upstream, now_ms + HINT_LIFETIME_MS)
        self._hints.move_to_end(prefix)
        while len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def find_upstream(self, prefix: str, now_ms: int) -> str:
        """Return the hinted upstream, or an empty string."""
        upstream, until_ms = self._hints.get(prefix, ("", 0))
        return upstream if now_ms < until_ms else ""
