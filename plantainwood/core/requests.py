"""The state of one request inside the request core."""

from plantainwood.core.catalogue import ServiceClass
from plantainwood.core.events import Arrival


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
        "tokens",
        "protected",
        "prepaid",
        "moved",
        "avoid_upstream",
        "avoid_domain",
        "reserving",
        "reserved",
        "retry_at_ms",
        "prompt",
        "give_up_ms",
        "max_attempts",
        "refusals",
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
        self.attempts_made = 0
        self.upstream = ""
        self.dispatched_ms = 0
        self.first_token_ms = 0
        self.tokens = 0
        self.protected = False
        """Whether it runs on its tier's reserved share, at the top priority."""
        self.prepaid = 0.0
        """Tokens of the reserved share that were paid for but not made yet."""
        self.moved = 0
        self.avoid_upstream = ""
        self.avoid_domain = ""
        self.reserving = ""
        """The upstream whose reservation was asked for."""
        self.reserved = ""
        """The upstream that is reserved for this request."""
        self.retry_at_ms = 0
        self.prompt = arrival.prompt
        self.give_up_ms = arrival.give_up_ms
        self.max_attempts = arrival.max_attempts
        self.refusals = 0
        """Attempts that upstreams proved not to have run."""
        self._tier = service_class.tier if arrival.tier is None else arrival.tier

    @property
    def tier(self) -> int:
        """Return the tier of the request; 0 is the most urgent."""
        return self._tier

    def queue_timeout_ms(self, now_ms: int) -> int:
        """Return how long the request may wait from now on."""
        timeout_ms = self.service_class.queue_timeout_ms
        if self.give_up_ms:
            return max(0, min(timeout_ms, self.give_up_ms - now_ms))
        return timeout_ms

    @property
    def priority(self) -> int:
        """Return the priority that engines see."""
        return 0 if self.protected else self.tier

    @property
    def running(self) -> bool:
        """Tell whether an attempt is in flight."""
        return bool(self.upstream)
