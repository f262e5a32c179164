"""Orders by number against a platform that refuses, reclaims and takes time."""

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
SETTLED_MS = 30_000
BASE = 5


class Machines:
    """One sort of engines in one domain."""

    __slots__ = ("serving", "starting")

    def __init__(self, serving: int = 0) -> None:
        self.serving = serving
        self.starting: list[int] = []
        """When each of those that start serves."""

    @property
    def total(self) -> int:
        """Return all that were ordered and not given back."""
        return self.serving + len(self.starting)


@pin_seed("SizeMachine")
class SizeMachine(RuleBasedStateMachine):
    """A holder that orders, and a platform that follows as it can."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.rate = 0.0
        self.sizer = EngineScaler("pool")
        self.taken: dict[tuple[str, bool], int] = {}
        self.available = dict.fromkeys(DOMAINS, True)
        self.machines: dict[tuple[str, bool], Machines] = {}
        for domain in DOMAINS:
            self.machines[domain, True] = Machines()
            self.machines[domain, False] = Machines(2 if domain != "c" else 1)
        self.calm_ms = 0

    def census(self) -> dict[str, EngineCounts]:
        """Return what serves."""
        found = {}
        for domain in DOMAINS:
            found[domain] = EngineCounts(
                self.machines[domain, False].serving,
                self.machines[domain, True].serving,
            )
        return found

    def order(self, order: CountOrder) -> bool:
        """Do what is ordered, within the domain's bound; spot ones where there are."""
        assert 0 <= order.desired <= SCALING.max
        own = self.machines[order.domain, order.spot]
        other = self.machines[order.domain, not order.spot]
        if order.spot and order.desired > own.total:
            if not self.available[order.domain]:
                return False
        while own.total > order.desired:
            if own.starting:
                own.starting.pop()
            else:
                own.serving -= 1
        while own.total < min(order.desired, SCALING.max - other.total):
            own.starting.append(self.now + SCALING.boot_ms)
        return True

    def step(self) -> None:
        """Let a quarter of a second pass, and the holder plan once."""
        self.now += STEP_MS
        self.calm_ms += STEP_MS
        for machines in self.machines.values():
            ready = [at for at in machines.starting if at <= self.now]
            machines.serving += len(ready)
            machines.starting = [at for at in machines.starting if at > self.now]
        wanted = compute_engine_target(self.rate, len(DOMAINS), BASE)
        census = self.census()
        for order in self.sizer.plan(SCALING, DOMAINS, census, wanted, self.now):
            key = (order.domain, order.spot)
            same = self.taken.get(key) == order.desired
            counted = census[order.domain]
            if same and not self.sizer.must_resend(order, SCALING, counted, self.now):
                continue
            done = self.order(order)
            self.sizer.record_answer(order, done, self.now)
            if done:
                self.taken[key] = order.desired

    @rule(steps=st.sampled_from([1, 4, 20]))
    def pass_time(self, steps: int) -> None:
        """Time passes."""
        for _ in range(steps):
            self.step()

    @rule(rate=st.sampled_from([0.0, 40_000.0, 110_000.0]))
    def change_demand(self, rate: float) -> None:
        """The demand changes."""
        self.calm_ms = 0
        self.rate = rate

    @rule(domain=st.sampled_from(DOMAINS))
    def reclaim(self, domain: str) -> None:
        """All spot engines of a domain are taken away, and none are to be had."""
        self.calm_ms = 0
        self.machines[domain, True] = Machines()
        self.available[domain] = False

    @rule(domain=st.sampled_from(DOMAINS))
    def allow(self, domain: str) -> None:
        """Spot engines are to be had again."""
        self.calm_ms = 0
        self.available[domain] = True

    @invariant()
    def stays_within_the_bound(self) -> None:
        """A domain never has more than it may."""
        for domain in DOMAINS:
            both = [self.machines[domain, spot].total for spot in (True, False)]
            assert sum(both) <= SCALING.max

    @rule()
    def settle(self) -> None:
        """Given time, what is needed serves, and nothing dear that is not."""
        self.calm_ms = 0
        while self.calm_ms < SETTLED_MS:
            self.step()
        wanted = compute_engine_target(self.rate, len(DOMAINS), BASE)
        serving = sum(machines.serving for machines in self.machines.values())
        assert serving >= min(wanted.needed, len(DOMAINS) * SCALING.max)
        if all(self.available.values()):
            regular = [self.machines[domain, False].total for domain in DOMAINS]
            assert sum(regular) == 0
            spot = sum(self.machines[domain, True].serving for domain in DOMAINS)
            assert spot == min(wanted.spot, len(DOMAINS) * SCALING.max)


TestSizes = SizeMachine.TestCase
