"""Points 1, 9, 10 and 11 of PROOFS.md: the dispatcher under events in any order."""

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
    """Feed arrivals, failures, load reports and time steps in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000
        self.dispatcher = Dispatcher("vm-1", 7, Options(max_waiting=6))
        self.dispatcher.apply_catalogue(make_catalogue())
        self.oracle = Oracle(DOMAINS, TIERS)
        self.count = 0
        self.pending_reservations: list[ev.Reserve] = []

    def handle_event(self, event: ev.Event) -> None:
        """Pass an event to the dispatcher, and its decisions to the oracle."""
        decisions = self.dispatcher.decide(event, self.now)
        for decision in decisions:
            if isinstance(decision, ev.Reserve):
                self.pending_reservations.append(decision)
        self.oracle.check_decisions(decisions)

    @rule(
        customer=st.sampled_from(CUSTOMERS),
        class_name=st.sampled_from(CLASSES),
        count=st.integers(1, 8),
    )
    def arrive(self, customer: str, class_name: str, count: int) -> None:
        """Some requests of a customer arrive."""
        for _ in range(count):
            self.count += 1
            name = f"r{self.count}"
            repeatable = class_name != "booking"
            arrival = ev.Arrival(
                name, customer, class_name, "model/rounds", name, "", repeatable
            )
            self.oracle.record_arrival(arrival)
            self.handle_event(arrival)

    @rule(which=st.integers(0, 30), granted=st.booleans())
    def answer_reserve(self, which: int, granted: bool) -> None:
        """The reservation of an upstream for a crash suspect is granted or refused."""
        if self.pending_reservations:
            reservation = self.pending_reservations.pop(
                which % len(self.pending_reservations)
            )
            answer = ev.ReservationAnswered(
                reservation.request_id, reservation.upstream, granted
            )
            self.handle_event(answer)

    def _pick_running(self, which: int):
        running = self.oracle.list_running()
        return running[which % len(running)] if running else None

    @rule(which=st.integers(0, 30), tokens=st.integers(0, 40))
    def finish(self, which: int, tokens: int) -> None:
        """An attempt relays its tokens and completes."""
        tracked = self._pick_running(which)
        if tracked is None:
            return
        name, attempt = tracked.arrival.request_id, tracked.attempt
        self.handle_event(ev.AttemptStarted(name, attempt))
        self.handle_event(ev.TokensRelayed(name, attempt, tokens))
        self.oracle.record_end(name)
        self.handle_event(ev.AttemptDone(name, attempt))

    @rule(which=st.integers(0, 30), kind=st.sampled_from(["crash", "error", "unsent"]))
    def fail(self, which: int, kind: str) -> None:
        """An attempt fails: the upstream crashed, failed or never got the request."""
        tracked = self._pick_running(which)
        if tracked is None:
            return
        self._fail_attempt(tracked, kind == "crash", kind == "unsent")

    def _fail_attempt(self, tracked, crashed: bool, unsent: bool) -> None:
        name, attempt = tracked.arrival.request_id, tracked.attempt
        self.oracle.record_failure(name, unsent)
        self.handle_event(ev.AttemptFailed(name, attempt, crashed, unsent))

    @rule(domain=st.sampled_from(sorted(set(DOMAINS.values()))))
    def evict(self, domain: str) -> None:
        """All upstreams of a failure domain are evicted at once."""
        for tracked in self.oracle.list_running():
            if tracked.state == "running" and DOMAINS[tracked.upstream] == domain:
                self._fail_attempt(tracked, True, False)

    @rule(which=st.integers(0, 30), kind=st.sampled_from(["done", "failed", "tokens"]))
    def answer_late(self, which: int, kind: str) -> None:
        """An abandoned attempt reports late; this must change nothing."""
        all_requests = list(self.oracle.requests.values())
        if not all_requests:
            return
        tracked = all_requests[which % len(all_requests)]
        name, attempt = tracked.arrival.request_id, tracked.attempt - 1
        event: ev.Event = ev.AttemptDone(name, attempt)
        if kind == "failed":
            event = ev.AttemptFailed(name, attempt, True, True)
        if kind == "tokens":
            event = ev.TokensRelayed(name, attempt, 5)
        assert self.dispatcher.decide(event, self.now) == []

    @rule(which=st.integers(0, 30), withdrawn=st.booleans())
    def stop(self, which: int, withdrawn: bool) -> None:
        """A caller leaves, or its key is withdrawn."""
        active = self.oracle.list_waiting() + self.oracle.list_running()
        if not active:
            return
        tracked = active[which % len(active)]
        name = tracked.arrival.request_id
        if withdrawn:
            self.handle_event(ev.AuthorizationLost(name))
            assert tracked.state == "ended"
            return
        decisions = self.dispatcher.decide(ev.CallerLeft(name), self.now)
        self.pending_reservations.extend(
            d for d in decisions if isinstance(d, ev.Reserve)
        )
        own_cancels = [
            d for d in decisions if isinstance(d, ev.Cancel) and d.request_id == name
        ]
        assert len(own_cancels) == (1 if tracked.state == "running" else 0)
        self.oracle.check_decisions(own_cancels)
        self.oracle.record_end(name)
        self.oracle.check_decisions([d for d in decisions if d not in own_cancels])

    @rule(
        upstream=st.sampled_from(sorted(ENGINES)),
        by_tier=st.tuples(*[st.integers(0, 4)] * 4),
        lag=st.integers(0, 3_000),
    )
    def report(self, upstream: str, by_tier: tuple[int, ...], lag: int) -> None:
        """A load report arrives, out of date by its lag."""
        self.handle_event(ev.LoadReported(upstream, by_tier, lag))

    @rule(upstream=st.sampled_from(sorted(ENGINES)))
    def leave(self, upstream: str) -> None:
        """An upstream announces that it is leaving; at least one stays."""
        if len(self.oracle.leaving | {upstream}) < len(ENGINES):
            self.oracle.leaving.add(upstream)
            self.handle_event(ev.UpstreamLeaving(upstream))

    @rule()
    def reapply(self) -> None:
        """A catalogue with the same upstreams comes into force."""
        self.dispatcher.apply_catalogue(make_catalogue())

    @rule(by=st.sampled_from([10, 300, 2_500, 9_000, 31_000]))
    def advance(self, by: int) -> None:
        """Time passes."""
        self.now += by
        self.handle_event(ev.Tick())

    @invariant()
    def same_view(self) -> None:
        """The dispatcher and the oracle have the same unfinished requests."""
        active_names = {
            name
            for name, tracked in self.oracle.requests.items()
            if tracked.state != "ended"
        }
        assert set(self.dispatcher.state.requests) == active_names

    def teardown(self) -> None:
        """Let all remaining requests end; none may be lost."""
        for _ in range(2_000):
            for tracked in self.oracle.list_running():
                if tracked.state != "running":
                    continue
                self.oracle.record_end(tracked.arrival.request_id)
                event = ev.AttemptDone(tracked.arrival.request_id, tracked.attempt)
                self.handle_event(event)
            for upstream in ENGINES:
                self.handle_event(ev.LoadReported(upstream, (0,), 0))
            while self.pending_reservations:
                self.answer_reserve(0, True)
            self.advance(2_500)
            if not self.dispatcher.state.requests:
                break
        assert not self.dispatcher.state.requests, "requests were lost"
        assert all(
            limit.running == 0 for limit in self.dispatcher.state.limits.values()
        )


TestRequests = RequestMachine.TestCase
