"""The state of one request inside the dispatcher."""

from plantainwood.core.catalogue import ServiceClass
from plantainwood.core.events import Arrival


def make_part_names(arrival: Arrival) -> tuple[str, ...]:
    """Return the names of a prompt's shared parts, unique over all pools."""
    return tuple(f"{arrival.pool}#{part.id}" for part in arrival.prompt.shared_parts)


class HeldAttempt:
    """A silent attempt, which is held until the one that replaces it has begun."""

    __slots__ = (
        "upstream",
        "attempt",
        "dispatched_ms",
        "first_token_ms",
        "stood_still_ms",
    )

    def __init__(self, request: "Request") -> None:
        self.upstream = request.upstream
        self.attempt = request.running_attempt
        self.dispatched_ms = request.dispatched_ms
        self.first_token_ms = request.first_token_ms
        self.stood_still_ms = request.stood_still_ms


class Request:
    """One request from arrival to its final answer."""

    __slots__ = (
        "id",
        "customer",
        "class_name",
        "service_class",
        "pool",
        "fingerprint",
        "prefix",
        "repeatable",
        "preemptible",
        "arrived_ms",
        "queued_ms",
        "attempt",
        "attempts_made",
        "upstream",
        "dispatched_ms",
        "first_token_ms",
        "stood_still_ms",
        "tokens",
        "on_min_share",
        "prepaid_tokens",
        "moves",
        "avoid_upstream",
        "avoid_domain",
        "requested_upstream",
        "reserved_upstream",
        "retry_at_ms",
        "prompt",
        "shared_parts",
        "queue_deadline_ms",
        "max_attempts",
        "attempts_not_run",
        "running_attempt",
        "held",
        "charged_attempts",
        "backlog_share",
        "was_passed_over",
        "stream",
        "version",
        "version_unknown",
        "from_vm",
        "domains",
        "_tier",
    )

    def __init__(
        self,
        arrival: Arrival,
        service_class: ServiceClass,
        preemptible: bool,
        now_ms: int,
    ) -> None:
        self.id = arrival.request_id
        self.customer = arrival.customer
        self.class_name = arrival.class_name
        self.service_class = service_class
        self.pool = arrival.pool
        self.fingerprint = arrival.fingerprint
        self.prefix = arrival.prefix
        self.repeatable = arrival.repeatable and service_class.repeatable
        self.preemptible = preemptible and self.repeatable
        self.arrived_ms = now_ms
        self.queued_ms = now_ms
        self.attempt = 0
        """The number of attempts dispatched so far."""
        self.running_attempt = 0
        """The number of the attempt that runs: the last one, or one returned to."""
        self.held: HeldAttempt | None = None
        self.attempts_made = 0
        """Attempts that may have run; `attempt` also counts those proved not to."""
        self.upstream = ""
        self.dispatched_ms = 0
        self.first_token_ms = 0
        self.stood_still_ms = 0
        """How long this process had stood still in all at the dispatch, then at the
        first token."""
        self.tokens = 0
        self.on_min_share = False
        """Whether it runs on its tier's minimum share, at the top priority."""
        self.prepaid_tokens = 0.0
        """Tokens of the minimum share that were paid for but not generated yet."""
        self.moves = 0
        self.avoid_upstream = ""
        self.avoid_domain = ""
        self.requested_upstream = ""
        """The upstream whose reservation was requested."""
        self.reserved_upstream = ""
        """The upstream that is reserved for this request."""
        self.retry_at_ms = 0
        self.prompt = arrival.prompt
        self.shared_parts = make_part_names(arrival)
        """Names of the parts that other requests to the pool may share."""
        self.queue_deadline_ms = arrival.queue_deadline_ms
        self.max_attempts = arrival.max_attempts
        self.attempts_not_run = 0
        """Attempts that upstreams proved not to have run."""
        self.charged_attempts = 0
        """Attempts whose work was charged to the customer's share."""
        self.backlog_share = 1.0
        """The part of an engine's bound on backlog up to which it may be sent there."""
        self.was_passed_over = False
        """Whether its customer was passed over so often that it is served now."""
        self.stream = arrival.stream
        self.version = ""
        """The software version that began the stream; empty before its first event."""
        self.version_unknown = False
        """Whether the stream has begun at an upstream that is not known here."""
        self.from_vm = arrival.from_vm
        self.domains: frozenset[str] | None = None
        """The failure domains that may serve it; None: all."""
        self._tier = service_class.tier if arrival.tier is None else arrival.tier

    @property
    def tier(self) -> int:
        """Return the tier of the request; 0 is the most urgent."""
        return self._tier

    def compute_remaining_wait_ms(self, now_ms: int) -> int:
        """Return how long the request may wait from now on."""
        timeout_ms = self.service_class.queue_timeout_ms
        if self.queue_deadline_ms:
            return max(0, min(timeout_ms, self.queue_deadline_ms - now_ms))
        return timeout_ms

    def may_use_domain(self, domain: str) -> bool:
        """Tell whether the upstreams of a failure domain may serve the request."""
        return self.domains is None or domain in self.domains

    @property
    def priority(self) -> int:
        """Return the priority that engines see."""
        return 0 if self.on_min_share else self.tier

    @property
    def is_running(self) -> bool:
        """Tell whether an attempt is in flight."""
        return bool(self.upstream)
