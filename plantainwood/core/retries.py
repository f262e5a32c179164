"""Retry budgets: retries stay a bounded share of the traffic."""

from enum import Enum

MAX_ATTEMPTS = 4
RATIO = 0.2
BURST = 20.0


class RetryObstacle(Enum):
    """Why a request gets no further attempt."""

    NOT_REPEATABLE = "not_repeatable"
    """It may have run, and may run once only."""
    BLOCKED = "blocked"
    """What it has in common with others crashed upstreams."""
    SUSPECT = "suspect"
    """It is not known yet whether requests like it crash upstreams."""
    NO_PATH = "path"
    """This node reaches none of its upstreams, and no other VM may serve it instead."""
    NO_ATTEMPTS_LEFT = "attempts"
    VERSION_UNKNOWN = "version_unknown"
    """Its stream began elsewhere, with a software version that is not known here."""
    NO_OTHER_OF_VERSION = "version"
    """No other upstream has the software version that began its stream."""
    NO_BUDGET = "no_budget"
    NO_UPSTREAM = "no_upstream"
    """No other upstream could take it at once."""


class RetryBudget:
    """Allow retries as a share of first attempts, for a tier and in total.

    Each first attempt earns RATIO of a retry, up to BURST.
    """

    __slots__ = ("_by_tier", "_total")

    def __init__(self) -> None:
        self._by_tier: dict[int, float] = {}
        self._total = BURST * 2

    def count_left(self, tier: int) -> float:
        """Return how many retries there are now."""
        return min(self._by_tier.get(tier, BURST), self._total)

    def earn(self, tier: int) -> None:
        """Count a first attempt."""
        self._by_tier[tier] = min(BURST, self._by_tier.get(tier, BURST) + RATIO)
        self._total = min(BURST * 2, self._total + RATIO)

    def has_left(self, tier: int) -> bool:
        """Tell whether there is a retry in the budget."""
        return self._by_tier.get(tier, BURST) >= 1.0 and self._total >= 1.0

    def spend(self, tier: int) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        if not self.has_left(tier):
            return False
        self._by_tier[tier] = self._by_tier.get(tier, BURST) - 1.0
        self._total -= 1.0
        return True


class SharedRetryBudget(RetryBudget):
    """A node's share of a retry budget for the whole fleet.

    Over any window the fleet's retries stay below `ratio` of its requests plus
    `slack`: each node earns its own ratio and holds an equal part of the slack.
    """

    __slots__ = ("_ratio", "_slack", "_burst", "_nodes")

    def __init__(self, ratio: float, slack: float) -> None:
        super().__init__()
        self._nodes = 1
        self.set_limits(ratio, slack)
        self._total = self._burst

    def set_limits(self, ratio: float, slack: float) -> None:
        """Set the ratio and the slack of the whole fleet."""
        self._ratio = ratio
        self._slack = slack
        self.set_nodes(self._nodes)

    def count_left(self, tier: int) -> float:
        """Return how many retries there are now in this node's share."""
        return self._total

    def set_nodes(self, count: int) -> None:
        """Divide the slack equally among `count` nodes."""
        self._nodes = max(1, count)
        self._burst = max(1.0, self._slack / self._nodes)
        self._total = min(self._total, self._burst)

    def earn(self, tier: int) -> None:
        """Count a first attempt."""
        self._total = min(self._burst, self._total + self._ratio)

    def has_left(self, tier: int) -> bool:
        """Tell whether there is a retry in this node's share."""
        return self._total >= 1.0

    def spend(self, tier: int) -> bool:
        """Take one retry out of this node's share; return whether there was one."""
        if not self.has_left(tier):
            return False
        self._total -= 1.0
        return True


class UnlimitedRetries(RetryBudget):
    """Allow every retry; the baseline without a budget."""

    __slots__ = ()

    def has_left(self, tier: int) -> bool:
        """Return True: there is always a retry."""
        return True

    def spend(self, tier: int) -> bool:
        """Return True: every retry is allowed."""
        return True
