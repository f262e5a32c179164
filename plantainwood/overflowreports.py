"""Overflow to other failure domains on an edge node: set-up, metrics and log lines."""

from plantainwood.core.domainoverflow import DomainOverflow
from plantainwood.core.pathcosts import PathOptions
from plantainwood.edgesettings import EdgeSettings
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics

SHARE_INTERVAL_MS = 5_000
"""How long what was sent is counted for one value of the shares."""


def make_overflow(settings: EdgeSettings) -> DomainOverflow | None:
    """Return the overflow that the settings enable, or None."""
    overflow = settings.overflow
    if not overflow.enabled:
        return None
    options = PathOptions(
        path_ms=overflow.path_ms,
        price_per_gb=overflow.price_per_gb,
        wait_price_per_s=overflow.wait_price_per_s,
        request_bytes=overflow.request_bytes,
        kv_token_bytes=overflow.kv_token_bytes,
    )
    return DomainOverflow(settings.domain, options)


class OverflowReporter:
    """Report what was sent between failure domains, and changes of the shares."""

    __slots__ = ("_overflow", "_metrics", "_sent", "_began_ms")

    def __init__(self, overflow: DomainOverflow, metrics: Metrics) -> None:
        self._overflow = overflow
        self._metrics = metrics
        self._sent: dict[tuple[str, str], int] = {}
        """What was sent in the present interval, by source and target domain."""
        self._began_ms = 0

    def report(self, now_ms: int) -> None:
        """Log the changed shares and update the metrics."""
        for change in self._overflow.take_changes():
            log_event(
                "overflow",
                pool=change.pool,
                domain=change.domain,
                share=f"{change.share:.2f}",
                before=f"{change.before:.2f}",
            )
        for pair, count in self._overflow.take_sent().items():
            self._sent[pair] = self._sent.get(pair, 0) + count
            self._metrics.domain_sent.add(_make_labels(pair), count)
        if now_ms - self._began_ms >= SHARE_INTERVAL_MS:
            self._began_ms = now_ms
            self._update_shares()

    def _update_shares(self) -> None:
        """Set the shares of the interval; a pair without requests is set to 0 once."""
        totals: dict[str, int] = {}
        for (source, _), count in self._sent.items():
            totals[source] = totals.get(source, 0) + count
        counted: dict[tuple[str, str], int] = {}
        for pair, count in self._sent.items():
            share = count / totals[pair[0]] if count else 0.0
            self._metrics.domain_share.set(_make_labels(pair), share)
            if count:
                counted[pair] = 0
        self._sent = counted


def _make_labels(pair: tuple[str, str]) -> dict[str, str]:
    return {"source": pair[0], "target": pair[1]}
