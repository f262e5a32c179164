"""Latency to each failure domain, from the times to open connections to upstreams."""

from collections import deque

MAX_SAMPLES = 8
SAMPLE_LIFETIME_MS = 30_000


class PathTimes:
    """The recent connection times by domain, of which the shortest counts.

    A busy VM or upstream makes single times longer, not the shortest one.
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[int, float]]] = {}
        """Time of measurement and time to connect, in ms, the newest last."""

    def record(self, domain: str, took_ms: float, now_ms: int) -> None:
        """Record how long it took to open a connection to a domain's upstream."""
        samples = self._samples.setdefault(domain, deque(maxlen=MAX_SAMPLES))
        samples.append((now_ms, took_ms))

    def find_one_way_ms(self, domain: str, now_ms: int) -> float:
        """Return the latency to a domain, one way; 0 without recent connections."""
        least_ms = 0.0
        for at_ms, took_ms in self._samples.get(domain, ()):
            if now_ms - at_ms > SAMPLE_LIFETIME_MS:
                continue
            if not least_ms or took_ms < least_ms:
                least_ms = took_ms
        return least_ms / 2
