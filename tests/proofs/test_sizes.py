"""Scaling by desired counts on a platform that refuses, reclaims and boots slowly."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core.sizing import (
    CountOrder,
    EngineCounts,
    EngineScaler,
    Scaling,
    compute_engine_target,
)
from tests.seeds import pin_seed

DOMAINS = ["a", "b", "c"]
SCALING = Scaling(0, 4, 4_000, 0.2, {"a": 1.0, "b": 0.8, "c": 1.2})
STEP_MS = 250
SETTLING_MS = 30_000
BASELINE = 5


class EngineGroup:
    """The spot engines, or the regular ones, of one domain."""

    __slots__ = ("serving", "starting")

    def __init__(self, serving: int = 0) -> None:
        self.serving = serving
        self.starting: list[int] = []
        """When each of the starting engines will serve, in ms."""

    @property
    def total(self) -> int:
        """Return the number of engines that serve or start."""
        return self.serving + len(self.starting)


@pin_seed("SizeMachine")
class SizeMachine(RuleBasedStateMachine):
    """A duty holder that orders engines, and a platform that starts what it can."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.rate = 0.0
        self.scaler = EngineScaler("pool")
        self.accepted_counts: dict[tuple[str, bool], int] = {}
        self.available = dict.fromkeys(DOMAINS, True)
        self.groups: dict[tuple[str, bool], EngineGroup] = {}
        for domain in DOMAINS:
            self.groups[domain, True] = EngineGroup()
            self.groups[domain, False] = EngineGroup(2 if domain != "c" else 1)
        self.unchanged_ms = 0

    def count_engines(self) -> dict[str, EngineCounts]:
        """Return the serving engines by domain."""
        found = {}
        for domain in DOMAINS:
            found[domain] = EngineCounts(
                self.groups[domain, False].serving,
                self.groups[domain, True].serving,
            )
        return found

    def apply_order(self, order: CountOrder) -> bool:
        """Apply an order within the domain's maximum; return whether it was accepted.

        More spot engines are refused while the domain has none available.
        """
        assert 0 <= order.desired <= SCALING.max
        group = self.groups[order.domain, order.spot]
        other_group = self.groups[order.domain, not order.spot]
        if order.spot and order.desired > group.total:
            if not self.available[order.domain]:
                return False
        while group.total > order.desired:
            if group.starting:
                group.starting.pop()
            else:
                group.serving -= 1
        while group.total < min(order.desired, SCALING.max - other_group.total):
            group.starting.append(self.now + SCALING.boot_ms)
        return True

    def step(self) -> None:
        """Advance the time by STEP_MS, and let the holder plan once."""
        self.now += STEP_MS
        self.unchanged_ms += STEP_MS
        for group in self.groups.values():
            ready = [at for at in group.starting if at <= self.now]
            group.serving += len(ready)
            group.starting = [at for at in group.starting if at > self.now]
        target = compute_engine_target(self.rate, len(DOMAINS), BASELINE)
        engine_counts = self.count_engines()
        for order in self.scaler.plan(
            SCALING, DOMAINS, engine_counts, target, self.now
        ):
            key = (order.domain, order.spot)
            is_unchanged = self.accepted_counts.get(key) == order.desired
            counted = engine_counts[order.domain]
            if is_unchanged and not self.scaler.must_resend(
                order, SCALING, counted, self.now
            ):
                continue
            accepted = self.apply_order(order)
            self.scaler.record_answer(order, accepted, self.now)
            if accepted:
                self.accepted_counts[key] = order.desired

    @rule(steps=st.sampled_from([1, 4, 20]))
    def pass_time(self, steps: int) -> None:
        """Time passes."""
        for _ in range(steps):
            self.step()

    @rule(rate=st.sampled_from([0.0, 40_000.0, 110_000.0, 300_000.0]))
    def change_demand(self, rate: float) -> None:
        """The demand changes; the highest one is more than all domains may have."""
        self.unchanged_ms = 0
        self.rate = rate

    @rule(domain=st.sampled_from(DOMAINS))
    def reclaim(self, domain: str) -> None:
        """All spot engines of a domain are reclaimed, and no more are available."""
        self.unchanged_ms = 0
        self.groups[domain, True] = EngineGroup()
        self.available[domain] = False

    @rule(domain=st.sampled_from(DOMAINS))
    def allow(self, domain: str) -> None:
        """Spot engines are available again in a domain."""
        self.unchanged_ms = 0
        self.available[domain] = True

    @invariant()
    def stays_within_the_bound(self) -> None:
        """A domain never has more engines than its maximum."""
        for domain in DOMAINS:
            totals = [self.groups[domain, spot].total for spot in (True, False)]
            assert sum(totals) <= SCALING.max

    @rule()
    def settle(self) -> None:
        """After SETTLING_MS without changes, the needed engines serve.

        If spot engines are available everywhere, no regular ones are left, unless all
        domains together may not have as many engines as are wanted.
        """
        self.unchanged_ms = 0
        while self.unchanged_ms < SETTLING_MS:
            self.step()
        target = compute_engine_target(self.rate, len(DOMAINS), BASELINE)
        serving = sum(group.serving for group in self.groups.values())
        most = len(DOMAINS) * SCALING.max
        assert serving >= min(target.needed, most)
        if target.spot <= most and all(self.available.values()):
            regular = [self.groups[domain, False].total for domain in DOMAINS]
            assert sum(regular) == 0
            spot = sum(self.groups[domain, True].serving for domain in DOMAINS)
            assert spot == target.spot


TestSizes = SizeMachine.TestCase
