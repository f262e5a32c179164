"""Expiring hints about which upstream has a prompt's prefix cached."""

from collections import OrderedDict

HINT_LIFETIME_MS = 120_000
MAX_HINTS = 20_000


class PrefixHints:
    """Map each prefix to the upstream that last got it, bounded in age and number."""

    __slots__ = ("_hints",)

    def __init__(self) -> None:
        self._hints: OrderedDict[str, tuple[str, int]] = OrderedDict()

    def record(self, prefix: str, upstream: str, now_ms: int) -> None:
        """Record that a prefix was sent to an upstream; an empty prefix is ignored."""
        if not prefix:
            return
        self._hints[prefix] = (upstream, now_ms + HINT_LIFETIME_MS)
        self._hints.move_to_end(prefix)
        while len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def find_upstream(self, prefix: str, now_ms: int) -> str:
        """Return the upstream of an unexpired hint, or an empty string."""
        upstream, until_ms = self._hints.get(prefix, ("", 0))
        return upstream if now_ms < until_ms else ""
