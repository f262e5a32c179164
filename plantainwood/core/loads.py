"""Load estimates from delayed reports and a node's own dispatches."""

from collections import deque

from plantainwood.core.catalogue import Upstream
from plantainwood.core.enginepace import BASE_PREFILL_TOKENS, ReportedPace
from plantainwood.core.evacuations import ReturnRamp
from plantainwood.core.upstreamlimits import NodeRate

TIERS = 10
SMOOTHING = 0.2
STALE_MS = 5_000
SILENCE_LIFETIME_MS = 2_000
"""How long an upstream counts as silent; longer than the pause between two reports of
an attempt that is still silent."""


class UpstreamLoad:
    """One node's estimate of an upstream's load, and its timings."""

    __slots__ = (
        "name",
        "entry",
        "leaving",
        "ejected",
        "first_token_ms",
        "mean_prefill_tokens",
        "between_tokens_ms",
        "samples",
        "unstarted_attempts",
        "paused_until_ms",
        "unwilling_until_ms",
        "unreached_until_ms",
        "max_own_in_flight",
        "rate",
        "cold_rate",
        "room",
        "evacuated",
        "ramp",
        "reported_pace",
        "_heard_ms",
        "_silent_ms",
        "_reported",
        "_reported_ms",
        "_own_by_tier",
        "_recent_changes",
    )

    def __init__(self, name: str, entry: Upstream) -> None:
        self.name = name
        self.entry = entry
        self.leaving = False
        self.ejected = False
        self.first_token_ms = 0.0
        self.mean_prefill_tokens = 0.0
        """Mean tokens to prefill before a first token; 0 if unknown."""
        self.between_tokens_ms = 0.0
        self.samples = 0
        self.unstarted_attempts = 0
        """This node's attempts without a first token; unlike reports, never delayed."""
        self.paused_until_ms = 0
        self.unwilling_until_ms = 0
        """Until when the upstream has asked for no attempts of this node."""
        self.unreached_until_ms = 0
        """Until when the upstream counts as out of this node's reach, because a
        connection to it failed to open; other nodes may reach it."""
        self.max_own_in_flight = 0
        """How many attempts of this node may run at once; 0: no bound."""
        self.rate: NodeRate | None = None
        """This node's part of the request rate that the upstream named, if any."""
        self.cold_rate: NodeRate | None = None
        """This node's part of the rate of a cold upstream; None while it is warm."""
        self.room: int | None = None
        """This node's part of the slots while the pool is brittle; None otherwise."""
        self.evacuated = False
        """Whether nothing may be sent to the upstream's failure domain."""
        self.ramp: ReturnRamp | None = None
        """Which requests it takes while its failure domain returns to service."""
        self.reported_pace = ReportedPace()
        self._heard_ms = 0
        """When anything of an attempt last came from the upstream."""
        self._silent_ms: int | None = None
        """When an attempt there was last found silent."""
        self._reported: list[int] | None = None
        self._reported_ms = 0
        self._own_by_tier = [0] * TIERS
        self._recent_changes: deque[tuple[int, int, int]] = deque(maxlen=4_096)

    def record_dispatch(self, tier: int, now_ms: int) -> None:
        """Count an attempt of this node as started."""
        self._own_by_tier[tier] += 1
        if self.rate is not None:
            self.rate.record_sent(now_ms)
        self._recent_changes.append((now_ms, tier, 1))

    def record_return(self, tier: int, now_ms: int) -> None:
        """Count an attempt again that was held and goes on; nothing is sent."""
        self._own_by_tier[tier] += 1
        self._recent_changes.append((now_ms, tier, 1))

    def record_end(self, tier: int, now_ms: int) -> None:
        """Count an attempt of this node as ended."""
        self._own_by_tier[tier] -= 1
        self._recent_changes.append((now_ms, tier, -1))

    def record_report(self, by_tier: tuple[int, ...], lag_ms: int, now_ms: int) -> None:
        """Apply a report of the state `lag_ms` ago; drop this node's earlier events."""
        self._reported = [0] * TIERS
        for tier, count in enumerate(by_tier[:TIERS]):
            self._reported[tier] = count
        self._reported_ms = now_ms - lag_ms
        while self._recent_changes and self._recent_changes[0][0] <= self._reported_ms:
            self._recent_changes.popleft()

    def count_own_in_flight(self, tier: int = TIERS - 1) -> int:
        """Return this node's attempts in flight of a tier and more urgent ones."""
        return sum(self._own_by_tier[: tier + 1])

    def estimate_in_flight(self, tier: int, now_ms: int) -> int:
        """Estimate all nodes' attempts of a tier and more urgent ones.

        Without a report from the last STALE_MS, this node's own are all that count.
        """
        own = self.count_own_in_flight(tier)
        if self._reported is None or now_ms - self._reported_ms > STALE_MS:
            return own
        total = sum(self._reported[: tier + 1])
        for _, event_tier, change in self._recent_changes:
            if event_tier <= tier:
                total += change
        return max(own, total)

    def is_unreached(self, now_ms: int) -> bool:
        """Tell whether the upstream counts as out of this node's reach."""
        return now_ms < self.unreached_until_ms

    def record_heard(self, now_ms: int) -> None:
        """Record that something of an attempt came from the upstream."""
        self._heard_ms = now_ms

    def record_silence(self, now_ms: int) -> None:
        """Record that an attempt there was found silent."""
        self._silent_ms = now_ms

    def is_silent(self, now_ms: int) -> bool:
        """Tell whether an attempt was found silent and none was heard since."""
        if self._silent_ms is None or self._silent_ms <= self._heard_ms:
            return False
        return now_ms - self._silent_ms < SILENCE_LIFETIME_MS

    def admits(self, request_id: str, now_ms: int) -> bool:
        """Tell whether the upstream's failure domain is in service for a request."""
        if self.evacuated:
            return False
        return self.ramp is None or self.ramp.admits(request_id, now_ms)

    def is_at_connection_limit(self) -> bool:
        """Tell whether this node uses its full share of the upstream's connections."""
        return (
            self.max_own_in_flight > 0
            and self.count_own_in_flight() >= self.max_own_in_flight
        )

    def has_no_room(self) -> bool:
        """Tell whether this node uses its whole part of a brittle upstream's slots."""
        return self.room is not None and self.count_own_in_flight() >= self.room

    def count_free_slots(self, tier: int, now_ms: int) -> int:
        """Return the slots that a request of a tier may use; below 0 if overbooked."""
        return self.entry.slots - self.estimate_in_flight(tier, now_ms)

    def has_spare_slot(self, now_ms: int) -> bool:
        """Tell whether no slot here is what a request of any tier waits for."""
        if self.is_at_connection_limit() or self.has_no_room():
            return False
        return self.count_free_slots(TIERS - 1, now_ms) > 0

    @property
    def scaled_first_token_ms(self) -> float:
        """Return the time to first token, scaled to a cost of BASE_PREFILL_TOKENS."""
        return (
            self.first_token_ms
            * BASE_PREFILL_TOKENS
            / (BASE_PREFILL_TOKENS + self.mean_prefill_tokens)
        )

    def record_first_token(self, took_ms: int, prefill_tokens: float = 0.0) -> None:
        """Update the means with an attempt's time to first token and its prefill."""
        self.samples += 1
        if self.samples == 1:
            self.first_token_ms = float(took_ms)
            self.mean_prefill_tokens = prefill_tokens
        else:
            self.first_token_ms += SMOOTHING * (took_ms - self.first_token_ms)
            self.mean_prefill_tokens += SMOOTHING * (
                prefill_tokens - self.mean_prefill_tokens
            )

    def end_cold(self) -> None:
        """Forget the timings of a cold upstream, which say nothing of a warm one."""
        self.cold_rate = None
        self.ejected = False
        self.samples = 0
        self.first_token_ms = 0.0
        self.mean_prefill_tokens = 0.0
        self.between_tokens_ms = 0.0

    def record_between_tokens(self, took_ms: float) -> None:
        """Update the mean with an attempt's mean time between tokens."""
        if self.between_tokens_ms == 0.0:
            self.between_tokens_ms = took_ms
        else:
            self.between_tokens_ms += SMOOTHING * (took_ms - self.between_tokens_ms)
