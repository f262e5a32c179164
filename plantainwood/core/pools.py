"""Pools: the waiting requests and upstreams of one model or plain service."""

from plantainwood.core.fairness import WaitingQueue
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.requests import Request

MAX_CREDIT_TOKENS = 64.0
INITIAL_MEAN_TOKENS = 100.0
MEAN_SMOOTHING = 0.1
RATE_DECAY_MS = 10_000
MAX_RETRY_MS = 60_000
MIN_RETRY_MS = 500


class TierQueue:
    """The waiting requests of one tier, and its credit for its minimum share.

    The credit is in tokens: while it waits, the tier earns its minimum share of the
    tokens that more urgent tiers get; it pays for the tokens of its requests that run
    on the minimum share.
    """

    __slots__ = (
        "tier",
        "queue",
        "credit_tokens",
        "recent_dispatches",
        "mean_answer_tokens",
        "_last_dispatch_ms",
    )

    def __init__(self, tier: int, queue: WaitingQueue) -> None:
        self.tier = tier
        self.queue = queue
        self.credit_tokens = 0.0
        self.recent_dispatches = 0.0
        self.mean_answer_tokens = INITIAL_MEAN_TOKENS
        self._last_dispatch_ms = 0

    def record_dispatch(self, request: Request, now_ms: int) -> None:
        """Count a dispatch in a sum that decays over RATE_DECAY_MS.

        A slot on the minimum share is prepaid at the mean length of an answer, so that
        the tier doesn't take all of several slots that become free at once.
        """
        self.recent_dispatches = self._compute_recent_dispatches(now_ms) + 1.0
        self._last_dispatch_ms = now_ms
        self.queue.record_dispatch(request, now_ms)
        if request.on_min_share:
            request.prepaid_tokens = self.mean_answer_tokens
            self.credit_tokens -= self.mean_answer_tokens

    def record_answer_length(self, tokens: int) -> None:
        """Update the mean answer length with that of a complete answer."""
        self.mean_answer_tokens += MEAN_SMOOTHING * (tokens - self.mean_answer_tokens)

    def _compute_recent_dispatches(self, now_ms: int) -> float:
        passed = now_ms - self._last_dispatch_ms
        return self.recent_dispatches * max(0.0, 1.0 - passed / RATE_DECAY_MS)

    def estimate_wait_ms(self, customer: str, now_ms: int) -> int | None:
        """Estimate the wait of a customer's new request; None if it is unknown."""
        dispatches = self._compute_recent_dispatches(now_ms)
        if dispatches < 1.0:
            return None
        return round(
            self.queue.estimate_ahead(customer) * RATE_DECAY_MS / 2 / dispatches
        )

    def is_starved(self, now_ms: int) -> bool:
        """Tell whether the next free slot is due to this tier, by age and credit."""
        if self.credit_tokens <= 0.0:
            return False
        oldest = self.queue.find_oldest()
        if oldest is None:
            return False
        return now_ms - oldest.queued_ms >= oldest.service_class.starvation_ms


class Pool:
    """The requests and upstreams of one model or plain service."""

    __slots__ = ("name", "tiers", "group", "running", "awaiting_reservation")

    def __init__(self, name: str) -> None:
        self.name = name
        self.tiers: dict[int, TierQueue] = {}
        self.group: list[UpstreamLoad] = []
        """This node's subset of the upstreams that serve the pool."""
        self.running: dict[str, Request] = {}
        self.awaiting_reservation: dict[str, Request] = {}
        """Suspects that wait for a reservation, outside of the queues."""

    def list_serving(
        self, version: str = "", domains: frozenset[str] | None = None
    ) -> list[UpstreamLoad]:
        """Return the upstreams that stay, of a version and in some domains.

        Any version counts if it is empty, and any domain if there are none given.
        """
        found: list[UpstreamLoad] = []
        for load in self.group:
            if load.leaving or version not in ("", load.entry.software_version):
                continue
            if domains is None or load.entry.domain in domains:
                found.append(load)
        return found

    def is_unreached(
        self,
        now_ms: int,
        version: str = "",
        domains: frozenset[str] | None = None,
    ) -> bool:
        """Tell whether this node reaches none of the upstreams that could serve.

        Only those count that `list_serving` returns, if there are any.
        """
        serving = self.list_serving(version, domains)
        return bool(serving) and all(load.is_unreached(now_ms) for load in serving)

    def compute_pause_ms(self, now_ms: int) -> int:
        """Return how long all upstreams that stay want no attempts; 0 if one does."""
        pauses_ms: list[int] = []
        for load in self.group:
            if not load.leaving:
                pauses_ms.append(load.unwilling_until_ms - now_ms)
        return max(0, min(pauses_ms, default=0))

    def count_waiting(self) -> int:
        """Return the number of requests in the queues or awaiting a reservation."""
        queued = sum(len(tier.queue) for tier in self.tiers.values())
        return queued + len(self.awaiting_reservation)

    def compute_wait_ms(self, now_ms: int) -> int:
        """Return how long the queued request that came first has waited, 0 if none."""
        oldest = [tier.queue.find_oldest() for tier in self.tiers.values()]
        since_ms = [request.queued_ms for request in oldest if request is not None]
        return now_ms - min(since_ms) if since_ms else 0

    def has_spare_slot(self, now_ms: int) -> bool:
        """Tell whether an upstream that stays has a slot that nobody waits for."""
        staying = [load for load in self.group if not load.leaving]
        return any(load.has_spare_slot(now_ms) for load in staying)

    def add_tier(self, tier_queue: TierQueue) -> None:
        """Add a tier, keeping the tiers in order of urgency."""
        self.tiers[tier_queue.tier] = tier_queue
        self.tiers = dict(sorted(self.tiers.items()))

    def choose_tier(self, now_ms: int, guard: bool) -> tuple[TierQueue, bool] | None:
        """Return the tier to serve next and whether it runs on its minimum share.

        The most urgent tier comes first, except that with `guard` a tier whose oldest
        request waited beyond its bound takes the next free slot if it has credit.
        """
        if guard:
            for tier in reversed(self.tiers.values()):
                if tier.is_starved(now_ms):
                    return tier, True
        for tier in self.tiers.values():
            if len(tier.queue):
                return tier, False
        return None

    def update_credits(self, request: Request, count: int) -> None:
        """Charge the request's tier, or credit the less urgent ones, for new tokens."""
        if request.on_min_share:
            self._charge_min_share(request, count)
            return
        for tier in self.tiers.values():
            if tier.tier <= request.tier:
                continue
            oldest = tier.queue.find_oldest()
            if oldest is None:
                continue
            earned = tier.credit_tokens + count * oldest.service_class.min_share
            tier.credit_tokens = min(MAX_CREDIT_TOKENS, earned)

    def _charge_min_share(self, request: Request, count: int) -> None:
        request.prepaid_tokens -= count
        if request.prepaid_tokens < 0:
            self.tiers[request.tier].credit_tokens += request.prepaid_tokens
            request.prepaid_tokens = 0.0

    def refund(self, request: Request) -> None:
        """Credit the tier with the unused part of what was prepaid for a slot."""
        if request.prepaid_tokens:
            self.tiers[request.tier].credit_tokens += request.prepaid_tokens
            request.prepaid_tokens = 0.0

    def find_least_urgent_waiting(self, above: int) -> Request | None:
        """Return the waiting request to shed first, less urgent than tier `above`."""
        best: Request | None = None
        for request in self.awaiting_reservation.values():
            if request.tier > above and (best is None or request.tier > best.tier):
                best = request
        for tier in reversed(self.tiers.values()):
            if tier.tier <= above or not len(tier.queue):
                continue
            if best is not None and best.tier > tier.tier:
                break
            return tier.queue.find_newest_unattempted() or tier.queue.find_oldest()
        return best

    def find_least_urgent_running(self, above: int) -> Request | None:
        """Return the running request to displace first, on a minimum share or not."""
        best: Request | None = None
        for request in self.running.values():
            if request.tier <= above or not request.preemptible:
                continue
            if best is None or _is_cheaper_victim(request, best):
                best = request
        return best

    def find_least_urgent(self, above: int) -> Request | None:
        """Return the request to shed first of those that wait or can be cancelled."""
        waiting = self.find_least_urgent_waiting(above)
        running = self.find_least_urgent_running(above)
        if waiting is None or running is None:
            return waiting or running
        return running if running.tier > waiting.tier else waiting

    def has_displaceable(self, above: int) -> bool:
        """Tell whether a less urgent request waits, or runs and can be cancelled."""
        return self.find_least_urgent(above) is not None

    def compute_retry_after_ms(self, request: Request, now_ms: int) -> int:
        """Return how long the caller of a refused request should wait to retry."""
        tier = self.tiers.get(request.tier)
        wait_ms = (
            tier.estimate_wait_ms(request.customer, now_ms)
            if tier is not None
            else None
        )
        if wait_ms is None:
            wait_ms = 2_000
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))


def _is_cheaper_victim(request: Request, other: Request) -> bool:
    """Tell whether cancelling one request loses less than cancelling another."""
    if request.tier != other.tier:
        return request.tier > other.tier
    return request.tokens < other.tokens


def find_victim(running: dict[str, Request], above: int) -> Request | None:
    """Return the request of an upstream to preempt for a more urgent tier.

    Requests that run on their tier's minimum share are not preempted.
    """
    best: Request | None = None
    for request in running.values():
        if request.tier <= above or not request.preemptible:
            continue
        if request.on_min_share:
            continue
        if best is None or _is_cheaper_victim(request, best):
            best = request
    return best
