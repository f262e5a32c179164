"""Point 2 of PROOFS.md: no class starves, and shares within a tier are fair."""

from hypothesis import given
from hypothesis import strategies as st

from plantainwood.core import events as ev
from plantainwood.core.dispatcher import Dispatcher, Options
from tests.catalogues import make_catalogue
from tests.seeds import pin_seed

SERVICE_MS = 1_000
SLOTS = 2
ENGINES = 5
STEP_MS = 100
STARVATION_MS = 10_000
MIN_SHARE = 0.05


class DispatcherLoad:
    """Endless load on one dispatcher; every attempt takes SERVICE_MS."""

    def __init__(self, seed: int) -> None:
        self.dispatcher = Dispatcher("vm-1", seed, Options(max_waiting=400))
        self.dispatcher.apply_catalogue(make_catalogue(SLOTS))
        self.now = 0
        self.running: dict[str, tuple[int, int]] = {}
        self.first_dispatch_ms: dict[str, int] = {}
        self.arrival_ms: dict[str, int] = {}
        self.count = 0

    def handle_event(self, event: ev.Event) -> None:
        """Pass an event to the dispatcher, and track its attempts."""
        for decision in self.dispatcher.decide(event, self.now):
            if isinstance(decision, ev.Dispatch):
                self.first_dispatch_ms.setdefault(decision.request_id, self.now)
                end_ms = self.now + SERVICE_MS
                self.running[decision.request_id] = (decision.attempt, end_ms)
            elif isinstance(decision, ev.Cancel):
                self.running.pop(decision.request_id, None)

    def arrive(self, class_name: str, customer: str) -> str:
        """Pass one new request to the dispatcher; return its name."""
        self.count += 1
        name = f"{class_name}-{customer}-{self.count}"
        self.arrival_ms[name] = self.now
        self.handle_event(ev.Arrival(name, customer, class_name, "model/rounds"))
        return name

    def count_undispatched(self, customer: str) -> int:
        """Return how many requests of a customer were not dispatched yet."""
        undispatched = set(self.arrival_ms) - set(self.first_dispatch_ms)
        return sum(1 for name in undispatched if name.split("-")[1] == customer)

    def step(self) -> None:
        """Advance the time by STEP_MS, and complete the attempts that are due."""
        self.now += STEP_MS
        for name, (attempt, end_ms) in list(self.running.items()):
            if end_ms <= self.now and self.running.get(name) == (attempt, end_ms):
                del self.running[name]
                self.handle_event(ev.TokensRelayed(name, attempt, 20))
                self.handle_event(ev.AttemptDone(name, attempt))
        self.handle_event(ev.Tick())


@pin_seed("test_a_plan_runs_under_endless_urgent_load")
@given(seed=st.integers(0, 10_000), upper=st.sampled_from(["hint", "question"]))
def test_a_plan_runs_under_endless_urgent_load(seed, upper):
    """The wait is bounded by STARVATION_MS and the dispatches that earn the credit."""
    load = DispatcherLoad(seed)
    dispatches_per_s = SLOTS * ENGINES * 1_000 / SERVICE_MS
    max_wait_ms = (
        STARVATION_MS + 1 / MIN_SHARE / dispatches_per_s * 1_000 + 2 * SERVICE_MS
    )
    for _ in range(30):
        load.arrive(upper, "sur")
    plan = load.arrive("plan", "norte")
    while load.now <= max_wait_ms and plan not in load.first_dispatch_ms:
        while load.dispatcher.state.pools["model/rounds"].count_waiting() < 20:
            load.arrive(upper, "sur")
        load.step()
    assert plan in load.first_dispatch_ms, f"the plan waited {load.now} ms"


@pin_seed("test_a_heavy_customer_gets_no_more_than_its_share")
@given(seed=st.integers(0, 10_000))
def test_a_heavy_customer_gets_no_more_than_its_share(seed):
    """A customer with five times the backlog gets half the tokens, not five sixths."""
    load = DispatcherLoad(seed)
    served = {"norte": 0, "sur": 0}
    for _ in range(300):
        for name, backlog in (("norte", 60), ("sur", 12)):
            while load.count_undispatched(name) < backlog:
                load.arrive("plan", name)
        load.step()
    for name in load.first_dispatch_ms:
        served[name.split("-")[1]] += 1
    share = served["sur"] / sum(served.values())
    assert 0.45 <= share <= 0.55, served
