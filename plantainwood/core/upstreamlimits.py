"""Request rates that upstreams name, for all nodes together, while they are in need."""

import msgspec


class RateLimit(msgspec.Struct, frozen=True):
    """What an upstream last said of its limit, and when."""

    per_s: float | None
    """Requests per second from all nodes together; None if it named no limit."""
    said_ms: int


class UpstreamLimits:
    """The limit of each upstream, by its newest answer known here."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    def record_answer(self, upstream: str, per_s: float | None, now_ms: int) -> bool:
        """Record what an answer says of the limit; return whether that is a change."""
        known = self._limits.get(upstream)
        if known is None and per_s is None:
            return False
        if known is not None and now_ms < known.said_ms:
            return False
        self._limits[upstream] = RateLimit(per_s, now_ms)
        return known is None or known.per_s != per_s

    def find_limit(self, upstream: str) -> float | None:
        """Return the limit of an upstream in requests per second; None without one."""
        known = self._limits.get(upstream)
        return known.per_s if known is not None else None

    def forget(self, upstream: str) -> None:
        """Delete the limit of an upstream that is gone."""
        self._limits.pop(upstream, None)
