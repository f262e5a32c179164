"""Request rates that upstreams name, for all nodes together, while they are in need.

Each node sends at its own part of the rate, without asking the others. Up to
`count_senders` nodes have equal parts; more would together exceed a low rate by the one
request that each may send at any time. All nodes rank alike and so agree on who sends.
"""

import msgspec

from plantainwood.core.hashing import rank_members

MIN_RATE_PER_S = 0.25
"""The rate that is used of a lower limit, so that its end is noticed."""
SENDERS_PER_RATE = 2.0
MIN_SENDERS = 3
BURST_S = 0.1
"""How much of its part a node may send at once, but always one request."""
LIMIT_LIFETIME_MS = 60_000
"""How long a limit holds without an answer from the upstream to any node."""
LIFTED_REPORT_MS = 5_000
"""How long a node reports that an upstream names no limit any more."""


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """The newest answer of an upstream to a node, as far as that node knows."""

    upstream: str
    per_s: float | None
    """Requests per second from all nodes together; None if it named no limit."""
    age_ms: int


class NodeRate:
    """A node's part of an upstream's rate, as a token bucket; empty by default."""

    __slots__ = ("_per_s", "_level", "_updated_ms")

    def __init__(self, now_ms: int, level: float = 0.0) -> None:
        self._per_s = 0.0
        self._level = level
        self._updated_ms = now_ms

    def set_rate(self, per_s: float, now_ms: int) -> None:
        """Set the requests per second that this node may send; 0 for none."""
        self._refill(now_ms)
        self._per_s = per_s

    def may_send(self, now_ms: int) -> bool:
        """Tell whether this node may send a request now."""
        self._refill(now_ms)
        return self._level >= 1.0

    def record_sent(self, now_ms: int) -> None:
        """Count a request that is sent now."""
        self._refill(now_ms)
        self._level -= 1.0

    def _refill(self, now_ms: int) -> None:
        gained = self._per_s * (now_ms - self._updated_ms) / 1_000
        self._level = min(max(1.0, self._per_s * BURST_S), self._level + gained)
        self._updated_ms = now_ms


class KnownLimit:
    """The newest answer of an upstream that this node knows of."""

    __slots__ = ("per_s", "said_ms", "is_own", "rate")

    def __init__(self, per_s: float | None, said_ms: int, is_own: bool) -> None:
        self.per_s = per_s
        self.said_ms = said_ms
        self.is_own = is_own
        """Whether the answer came to this node."""
        self.rate: NodeRate | None = None
        """This node's part; None while there is no limit."""


class UpstreamLimits:
    """The limits of all upstreams, by the newest answer to any node."""

    __slots__ = ("_node", "_nodes", "_limits")

    def __init__(self, node: str) -> None:
        self._node = node
        self._nodes = [node]
        self._limits: dict[str, KnownLimit] = {}

    def set_nodes(self, nodes: set[str], now_ms: int) -> None:
        """Set the live nodes; this node is always one of them."""
        names = sorted(nodes | {self._node})
        if names == self._nodes:
            return
        self._nodes = names
        for upstream in self._limits:
            self._update_rate(upstream, now_ms)

    def record_answer(self, upstream: str, per_s: float | None, now_ms: int) -> None:
        """Record an answer to this node; `per_s` is None if it names no limit."""
        if per_s is None and upstream not in self._limits:
            return
        self._record(upstream, per_s, now_ms, now_ms, is_own=True)

    def record_report(self, report: LimitReport, now_ms: int) -> None:
        """Record another node's report, unless a newer answer is known."""
        said_ms = now_ms - report.age_ms
        known = self._limits.get(report.upstream)
        if known is None and report.per_s is None:
            return
        if known is not None and said_ms <= known.said_ms:
            return
        self._record(report.upstream, report.per_s, said_ms, now_ms, is_own=False)

    def _record(
        self,
        upstream: str,
        per_s: float | None,
        said_ms: int,
        now_ms: int,
        is_own: bool,
    ) -> None:
        known = self._limits.get(upstream)
        if known is None:
            known = self._limits[upstream] = KnownLimit(None, said_ms, is_own)
        changed = known.per_s != per_s
        known.per_s = per_s
        known.said_ms = said_ms
        known.is_own = is_own
        if changed:
            self._update_rate(upstream, now_ms)

    def _update_rate(self, upstream: str, now_ms: int) -> None:
        """Set this node's part of an upstream's rate."""
        known = self._limits[upstream]
        if known.per_s is None:
            known.rate = None
            return
        if known.rate is None:
            known.rate = NodeRate(now_ms)
        per_s = max(MIN_RATE_PER_S, known.per_s)
        count = count_senders(per_s, len(self._nodes))
        senders = rank_members(upstream, self._nodes)[:count]
        own_per_s = per_s / count if self._node in senders else 0.0
        known.rate.set_rate(own_per_s, now_ms)

    def find_limit(self, upstream: str) -> float | None:
        """Return the limit of an upstream in requests per second; None without one."""
        known = self._limits.get(upstream)
        return known.per_s if known is not None else None

    def find_rate(self, upstream: str) -> NodeRate | None:
        """Return this node's part of an upstream's limit; None without a limit."""
        known = self._limits.get(upstream)
        return known.rate if known is not None else None

    def list_reports(self, now_ms: int) -> list[LimitReport]:
        """Return the limits of which this node got the newest answer itself."""
        reports: list[LimitReport] = []
        for upstream, known in self._limits.items():
            age_ms = now_ms - known.said_ms
            if not known.is_own:
                continue
            if known.per_s is None and age_ms > LIFTED_REPORT_MS:
                continue
            reports.append(LimitReport(upstream, known.per_s, age_ms))
        return reports

    def expire(self, now_ms: int) -> list[str]:
        """Delete and return the limits without an answer for LIMIT_LIFETIME_MS."""
        expired: list[str] = []
        for upstream, known in list(self._limits.items()):
            if now_ms - known.said_ms > LIMIT_LIFETIME_MS:
                expired.append(upstream)
                del self._limits[upstream]
        return expired


def count_senders(per_s: float, node_count: int) -> int:
    """Return how many of the nodes send to an upstream with a limit.

    In any span of some seconds each may send one request beyond its part, so that few
    nodes share a low limit.
    """
    return max(1, min(node_count, int(SENDERS_PER_RATE * per_s) + MIN_SENDERS))
