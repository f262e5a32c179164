"""What counted for or against each upstream in one choice."""

from enum import Enum

import msgspec

from plantainwood.core.loads import UpstreamLoad


class Reason(Enum):
    """Why an upstream does not get a request; operators' tools rely on the values."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    RETURNING = "returning"
    """Its failure domain returns to service and does not take the request yet."""
    UNREACHED = "unreached"
    PAUSED = "paused"
    """It failed a moment ago or asked for a pause."""
    NO_SLOT = "no_slot"
    CONNECTION_LIMIT = "connection_limit"
    BRITTLE_SHARE = "brittle_share"
    """This node uses its whole part of a brittle upstream's slots."""
    COLD_RATE = "cold_rate"
    NAMED_RATE = "named_rate"
    STRAGGLER = "straggler"
    """It is slow, and tried with one request of this node at a time."""
    FAILED_REQUEST = "failed_request"
    """It, or another one in its failure domain, has just failed the request."""
    OTHER_VERSION = "other_version"
    OTHER_REGION = "other_region"
    OTHER_PARTITION = "other_partition"
    """It is dedicated to requests with another gap target."""
    BACKLOG_LIMIT = "backlog_limit"
    NOT_IN_SUBSET = "not_in_subset"
    """Other nodes send to it, this one does not."""
    NOT_DRAWN = "not_drawn"
    SLOWER = "slower"
    """Its score or expected time is worse than that of the chosen one."""


class Figures(msgspec.Struct, frozen=True):
    """What a router knows of an upstream, whether it may be chosen or not."""

    slowness: float
    """How much longer its work takes now than usual, or than that of its pool."""
    backlog_tokens: int | None = None
    """Tokens that await prefill; None for requests without a prompt."""
    cached_tokens: int | None = None


class Evaluation(msgspec.Struct):
    """The result of one choice, with the figures of the upstreams by name."""

    chosen: UpstreamLoad | None = None
    reasons: dict[str, Reason] = {}
    """Of all upstreams but the chosen one."""
    scores: dict[str, float] = {}
    expected_ms: dict[str, float] = {}
    domain_shares: dict[str, float] | None = None
    """The shares that other failure domains serve; None without an overflow."""

    def record_chosen(self, load: UpstreamLoad | None) -> None:
        """Record the chosen upstream, which has no reason against it."""
        self.chosen = load
        if load is not None:
            self.reasons.pop(load.name, None)

    def mark_not_drawn(self, drawn: set[str]) -> None:
        """Mark the upstreams that were only not drawn."""
        for name, reason in self.reasons.items():
            if reason is Reason.SLOWER and name not in drawn:
                self.reasons[name] = Reason.NOT_DRAWN
