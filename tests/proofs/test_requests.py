"""Points 1, 9, 10 and 11 over the request core, with every event in any order."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core import events as ev
from plantainwood.core.dispatcher import Dispatcher, Options
from tests.catalogues import CLASSES, CUSTOMERS, ENGINES, TIERS, make_catalogue
from tests.proofs.oracle import Oracle
from tests.seeds import pin_seed

DOMAINS = {name: domain for name, (domain, _) in ENGINES.items()}


@pin_seed("RequestMachine")
class RequestMachine(RuleBasedStateMachine):
    """Requests, failures, news and time in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000
        self.core = Dispatcher("vm-1", 7, Options(max_waiting=6))
        self.core.apply_catalogue(make_catalogue())
        self.oracle = Oracle(DOMAINS, TIERS)
        self.count = 0
        self.asked: list[ev.Reserve] = []

    def feed(self, event: ev.Event) -> None:
        """Let the core decide, and the oracle check."""
        decisions = self.core.decide(event, self.now)
        for decision in decisions:
            if isinstance(decision, ev.Reserve):
                self.asked.append(decision)
        self.oracle.check(decisions)

    @rule(
        customer=st.sampled_from(CUSTOMERS),
        class_name=st.sampled_from(CLASSES),
        count=st.integers(1, 8),
    )
    def arrive(self, customer: str, class_name: str, count: int) -> None:
        """Some requests of a customer come in."""
        for _ in range(count):
            self.count += 1
            name = f"r{self.count}"
            repeatable = class_name != "booking"
            arrival = ev.Arrival(
                name, customer, class_name, "model/rounds", name, "", repeatable
            )
            self.oracle.arrive(arrival)
            self.feed(arrival)

    @rule(which=st.integers(0, 30), granted=st.booleans())
    def answer_reserve(self, which: int, granted: bool) -> None:
        """A reservation of an upstream for a suspect is answered."""
        if self.asked:
            ask = self.asked.pop(which % len(self.asked))
            answer = ev.ReservationAnswered(ask.request_id, ask.upstream, granted)
            self.feed(answer)

    def _pick_running(self, which: int):
        running = self.oracle.running()
        return running[which % len(running)] if running else None

    @rule(which=st.integers(0, 30), tokens=st.integers(0, 40))
    def finish(self, which: int, tokens: int) -> None:
        """An attempt gives its tokens and ends."""
        seen = self._pick_running(which)
        if seen is None:
            return
        name, attempt = seen.arrival.request_id, seen.attempt
        self.feed(ev.AttemptStarted(name, attempt))
        self.feed(ev.TokensRelayed(name, attempt, tokens))
        self.oracle.end(name)
        self.feed(ev.AttemptDone(name, attempt))

    @rule(which=st.integers(0, 30), kind=st.sampled_from(["crash", "error", "unsent"]))
    def fail(self, which: int, kind: str) -> None:
        """An attempt fails by itself."""
        seen = self._pick_running(which)
        if seen is None:
            return
        self._fail(seen, kind == "crash", kind == "unsent")

    def _fail(self, seen, crashed: bool, unsent: bool) -> None:
        name, attempt = seen.arrival.request_id, seen.attempt
        self.oracle.fail(name, unsent)
        self.feed(ev.AttemptFailed(name, attempt, crashed, unsent))

    @rule(domain=st.sampled_from(sorted(set(DOMAINS.values()))))
    def evict(self, domain: str) -> None:
        """All upstreams of a failure domain vanish at once."""
        for seen in self.oracle.running():
            if seen.state == "running" and DOMAINS[seen.upstream] == domain:
                self._fail(seen, True, False)

    @rule(which=st.integers(0, 30), kind=st.sampled_from(["done", "failed", "tokens"]))
    def answer_late(self, which: int, kind: str) -> None:
        """An abandoned attempt answers after all; it must change nothing."""
        everyone = list(self.oracle.requests.values())
        if not everyone:
            return
        seen = everyone[which % len(everyone)]
        name, attempt = seen.arrival.request_id, seen.attempt - 1
        event: ev.Event = ev.AttemptDone(name, attempt)
        if kind == "failed":
            event = ev.AttemptFailed(name, attempt, True, True)
        if kind == "tokens":
            event = ev.TokensRelayed(name, attempt, 5)
        assert self.core.decide(event, self.now) == []

    @rule(which=st.integers(0, 30), withdrawn=st.booleans())
    def stop(self, which: int, withdrawn: bool) -> None:
        """A caller leaves, or its key is withdrawn."""
        active = self.oracle.waiting() + self.oracle.running()
        if not active:
            return
        seen = active[which % len(active)]
        name = seen.arrival.request_id
        if withdrawn:
            self.feed(ev.AuthorizationLost(name))
            assert seen.state == "ended"
            return
        decisions = self.core.decide(ev.CallerLeft(name), self.now)
        self.asked.extend(d for d in decisions if isinstance(d, ev.Reserve))
        mine = [
            d for d in decisions if isinstance(d, ev.Cancel) and d.request_id == name
        ]
        assert len(mine) == (1 if seen.state == "running" else 0)
        self.oracle.check(mine)
        self.oracle.end(name)
        self.oracle.check([d for d in decisions if d not in mine])

    @rule(
        upstream=st.sampled_from(sorted(ENGINES)),
        by_tier=st.tuples(*[st.integers(0, 4)] * 4),
        lag=st.integers(0, 3_000),
    )
    def report(self, upstream: str, by_tier: tuple[int, ...], lag: int) -> None:
        """A load report comes in, as wrong as its lag makes it."""
        self.feed(ev.LoadReported(upstream, by_tier, lag))

    @rule(upstream=st.sampled_from(sorted(ENGINES)))
    def leave(self, upstream: str) -> None:
        """An upstream is known to be leaving; at least one stays."""
        if len(self.oracle.leaving | {upstream}) < len(ENGINES):
            self.oracle.leaving.add(upstream)
            self.feed(ev.UpstreamLeaving(upstream))

    @rule()
    def reapply(self) -> None:
        """A catalogue with the same upstreams comes into force."""
        self.core.apply_catalogue(make_catalogue())

    @rule(by=st.sampled_from([10, 300, 2_500, 9_000, 31_000]))
    def advance(self, by: int) -> None:
        """Time passes."""
        self.now += by
        self.feed(ev.Tick())

    @invariant()
    def same_view(self) -> None:
        """The core and the oracle agree on what is alive."""
        alive = {
            name for name, seen in self.oracle.requests.items() if seen.state != "ended"
        }
        assert set(self.core.state.requests) == alive

    def teardown(self) -> None:
        """Everything that is left ends; nothing is forgotten."""
        for _ in range(2_000):
            for seen in self.oracle.running():
                if seen.state != "running":
                    continue
                self.oracle.end(seen.arrival.request_id)
                event = ev.AttemptDone(seen.arrival.request_id, seen.attempt)
                self.feed(event)
            for upstream in ENGINES:
                self.feed(ev.LoadReported(upstream, (0,), 0))
            while self.asked:
                self.answer_reserve(0, True)
            self.advance(2_500)
            if not self.core.state.requests:
                break
        assert not self.core.state.requests, "requests were forgotten"
        assert all(limit.running == 0 for limit in self.core.state.limits.values())


TestRequests = RequestMachine.TestCase
