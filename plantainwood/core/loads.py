"""Load estimates from late reports and a node's own dispatches."""

from collections import deque

from plantainwood.core.catalogue import Upstream

TIERS = 10
SMOOTHING = 0.2
STALE_MS = 5_000
SCALE_TOKENS = 1_000
"""What an idle engine takes for any prompt, in tokens read."""


class UpstreamLoad:
    """What one node believes about one upstream."""

    __slots__ = (
        "name",
        "entry",
        "leaving",
        "ejected",
        "first_token_ms",
        "first_work",
        "between_tokens_ms",
        "samples",
        "unstarted",
        "failed_until_ms",
        "max_own",
        "_reported",
        "_reported_ms",
        "_own",
        "_recent",
    )

    def __init__(self, name: str, entry: Upstream) -> None:
        self.name = name
        self.entry = entry
        self.leaving = False
        self.ejected = False
        self.first_token_ms = 0.0
        self.first_work = 0.0
        """Mean tokens to be read before a first token; 0 where that is not known."""
        self.between_tokens_ms = 0.0
        self.samples = 0
        self.unstarted = 0
        """This node's attempts without a first token: news that is never late."""
        self.failed_until_ms = 0
        self.max_own = 0
        """Attempts of this node that may run at once; 0: no bound."""
        self._reported: list[int] | None = None
        self._reported_ms = 0
        self._own = [0] * TIERS
        self._recent: deque[tuple[int, int, int]] = deque(maxlen=4_096)

    def note_dispatch(self, tier: int, now_ms: int) -> None:
        """Count an attempt of this node as started."""
        self._own[tier] += 1
        self._recent.append((now_ms, tier, 1))

    def note_end(self, tier: int, now_ms: int) -> None:
        """Count an attempt of this node as ended."""
        self._own[tier] -= 1
        self._recent.append((now_ms, tier, -1))

    def note_report(self, by_tier: tuple[int, ...], lag_ms: int, now_ms: int) -> None:
        """Take a report that was true `lag_ms` ago."""
        self._reported = [0] * TIERS
        for tier, count in enumerate(by_tier[:TIERS]):
            self._reported[tier] = count
        self._reported_ms = now_ms - lag_ms
        while self._recent and self._recent[0][0] <= self._reported_ms:
            self._recent.popleft()

    def own(self, tier: int = TIERS - 1) -> int:
        """Return this node's attempts in flight of a tier or more urgent ones."""
        return sum(self._own[: tier + 1])

    def estimate(self, tier: int, now_ms: int) -> int:
        """Return the estimated work of a tier or more urgent ones, from all nodes."""
        own = self.own(tier)
        if self._reported is None or now_ms - self._reported_ms > STALE_MS:
            return own
        total = sum(self._reported[: tier + 1])
        for _, event_tier, change in self._recent:
            if event_tier <= tier:
                total += change
        return max(own, total)

    def is_at_bound(self) -> bool:
        """Tell whether this node has its share of the upstream's connections."""
        return self.max_own > 0 and self.own() >= self.max_own

    def free(self, tier: int, now_ms: int) -> int:
        """Return the slots that a request of a tier may use."""
        return self.entry.slots - self.estimate(tier, now_ms)

    @property
    def scaled_first_ms(self) -> float:
        """Return the time to a first token as if SCALE_TOKENS were to be read."""
        return self.first_token_ms * SCALE_TOKENS / (SCALE_TOKENS + self.first_work)

    def note_first_token(self, took_ms: int, work: float = 0.0) -> None:
        """Take the time to an attempt's first token, and the work before it."""
        self.samples += 1
        if self.samples == 1:
            self.first_token_ms = float(took_ms)
            self.first_work = work
        else:
            self.first_token_ms += SMOOTHING * (took_ms - self.first_token_ms)
            self.first_work += SMOOTHING * (work - self.first_work)

    def note_between_tokens(self, took_ms: float) -> None:
        """Take a mean time between tokens of an attempt."""
        if self.between_tokens_ms == 0.0:
            self.between_tokens_ms = took_ms
        else:
            self.between_tokens_ms += SMOOTHING * (took_ms - self.between_tokens_ms)
