"""The cost of failure domains for requests without a prompt.

Their upstreams start a request at once while a slot is free, so another domain is worth
its path only if the own upstreams are nearly full, slow or lost. Which ones are slow is
known by their times to a first byte; a small share of the requests measures them all.
"""

import copy
import random

from plantainwood.core.domainoverflow import DomainOverflow
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.requests import Request

CHOICES = 3
AWAY_LOAD_MARGIN = 0.6
"""By how much fuller an upstream of the own domain may be than one of another."""
MIN_SERVICE_MS = 5.0
"""The least time to a first byte by which the cost of a path is divided."""
SLOW_RATIO = 2.0
"""An upstream is slow if it takes this much longer than the fastest of its pool."""
MAX_SLOW_SCORE = 2.0
MIN_SAMPLES = 3
MEASURED_SHARE = 0.02
"""The share of requests that go to any domain, so that its times are known."""
RETRY_SLOW_MS = 1_000
"""After how long a slow upstream gets a request again, to see whether it still is."""
MAX_SENT_TIMES = 1_024


class PlainDomains:
    """Score the failure domains of upstreams for one VM."""

    __slots__ = ("overflow", "_random", "_sent_ms", "_measures", "_fastest_ms")

    def __init__(self, overflow: DomainOverflow, generator: random.Random) -> None:
        self.overflow = overflow
        self._random = generator
        self._sent_ms: dict[str, int] = {}
        """When this VM last chose each upstream."""
        self._measures = False
        """Whether the present request goes to any domain."""
        self._fastest_ms = 0.0
        """The shortest time to a first byte in the present pool; 0 if not known."""

    def copy(
        self, overflow: DomainOverflow, generator: random.Random
    ) -> "PlainDomains":
        """Return an object that uses a copied overflow and generator."""
        found = copy.copy(self)
        found.overflow = overflow
        found._random = generator
        found._sent_ms = dict(self._sent_ms)
        return found

    def draw_own(self, group: list[UpstreamLoad]) -> list[UpstreamLoad]:
        """Begin the choice for a request; return some upstreams of the own domain."""
        self._measures = self._random.random() < MEASURED_SHARE
        self._fastest_ms = 0.0
        own: list[UpstreamLoad] = []
        for load in group:
            if load.entry.domain == self.overflow.own:
                own.append(load)
            if load.samples < MIN_SAMPLES:
                continue
            if not self._fastest_ms or load.first_token_ms < self._fastest_ms:
                self._fastest_ms = load.first_token_ms
        return self._random.sample(own, min(CHOICES, len(own)))

    def compute_score(self, request: Request, load: UpstreamLoad, now_ms: int) -> float:
        """Return the cost of an upstream's domain and slowness, in parts of its slots.

        A full upstream makes a request wait for about its time to a first byte.
        """
        score = self._compute_slow_score(load, now_ms)
        if self._measures or load.entry.domain == self.overflow.own:
            return score
        away_ms = self.overflow.compute_away_ms(request, load.entry.domain, now_ms)
        score += AWAY_LOAD_MARGIN
        return score + away_ms / max(MIN_SERVICE_MS, load.first_token_ms)

    def _compute_slow_score(self, load: UpstreamLoad, now_ms: int) -> float:
        if load.samples < MIN_SAMPLES or not self._fastest_ms:
            return 0.0
        fastest_ms = max(MIN_SERVICE_MS, self._fastest_ms)
        if load.first_token_ms <= SLOW_RATIO * fastest_ms:
            return 0.0
        sent_ms = self._sent_ms.get(load.name)
        if sent_ms is None or now_ms - sent_ms >= RETRY_SLOW_MS:
            return 0.0
        return min(MAX_SLOW_SCORE, load.first_token_ms / fastest_ms - 1)

    def record_chosen(self, load: UpstreamLoad, now_ms: int) -> None:
        """Record when an upstream was chosen last."""
        if len(self._sent_ms) >= MAX_SENT_TIMES:
            self._sent_ms.clear()
        self._sent_ms[load.name] = now_ms
