"""Retry budgets: retries stay a bounded share of the traffic."""

MAX_ATTEMPTS = 4
RATIO = 0.2
BURST = 20.0


class RetryBudget:
    """Allow retries as a share of first attempts, for a tier and in total.

    Each first attempt earns RATIO of a retry, up to BURST.
    """

    __slots__ = ("_by_tier", "_total")

    def __init__(self) -> None:
        self._by_tier: dict[int, float] = {}
        self._total = BURST * 2

    def earn(self, tier: int) -> None:
        """Count a first attempt."""
        self._by_tier[tier] = min(BURST, self._by_tier.get(tier, BURST) + RATIO)
        self._total = min(BURST * 2, self._total + RATIO)

    def spend(self, tier: int) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        left = self._by_tier.get(tier, BURST)
        if left < 1.0 or self._total < 1.0:
            return False
        self._by_tier[tier] = left - 1.0
        self._total -= 1.0
        return True


class UnlimitedRetries(RetryBudget):
    """Allow every retry; the baseline without a budget."""

    __slots__ = ()

    def spend(self, tier: int) -> bool:
        """Allow it."""
        return True
