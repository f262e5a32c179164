"""A simple oracle over the decisions of one request core."""

from plantainwood.core import events as ev
from plantainwood.core.errors import ErrorCode, Outcome

SHEDDING = (ErrorCode.OVERLOADED, ErrorCode.QUEUE_TIMEOUT)


class Seen:
    """What the oracle saw of one request."""

    def __init__(self, arrival: ev.Arrival, tier: int) -> None:
        self.arrival = arrival
        self.tier = tier
        self.state = "waiting"
        self.attempt = 0
        self.upstream = ""
        self.runs = 0
        self.priority = 0
        self.last_failed_domain = ""
        self.last_failed_upstream = ""


class Oracle:
    """Follow events and decisions, and assert what must always hold."""

    def __init__(self, domains: dict[str, str], tiers: dict[str, int]) -> None:
        self.domains = domains
        self.tiers = tiers
        self.requests: dict[str, Seen] = {}
        self.leaving: set[str] = set()
        self.crashes: dict[str, set[str]] = {}

    def arrive(self, arrival: ev.Arrival) -> None:
        """Note a request before its decisions are checked."""
        seen = Seen(arrival, self.tiers[arrival.class_name])
        self.requests[arrival.request_id] = seen

    def running(self) -> list[Seen]:
        """Return the requests with an attempt in flight."""
        return [seen for seen in self.requests.values() if seen.state == "running"]

    def waiting(self) -> list[Seen]:
        """Return the requests that wait."""
        return [seen for seen in self.requests.values() if seen.state == "waiting"]

    def check(self, decisions: list[ev.Decision]) -> None:
        """Check the decisions on one event, in their order."""
        for decision in decisions:
            if isinstance(decision, ev.Dispatch):
                self._check_dispatch(decision)
            elif isinstance(decision, ev.Cancel):
                self._check_cancel(decision)
            elif isinstance(decision, ev.Refuse):
                self._check_refusal(decision)

    def _check_dispatch(self, decision: ev.Dispatch) -> None:
        seen = self.requests[decision.request_id]
        assert seen.state == "waiting", f"dispatched while {seen.state}"
        assert decision.attempt == seen.attempt + 1
        assert decision.upstream not in self.leaving, "work for a leaving upstream"
        if not seen.arrival.repeatable:
            assert not seen.runs, "a second run of a call not to be repeated"
        if seen.last_failed_upstream:
            assert decision.upstream != seen.last_failed_upstream
            others = set(self.domains.values()) - {seen.last_failed_domain}
            alive = {d for u, d in self.domains.items() if u not in self.leaving}
            if others & alive:
                domain = self.domains[decision.upstream]
                assert domain != seen.last_failed_domain, "the same failure domain"
        seen.state = "running"
        seen.attempt = decision.attempt
        seen.upstream = decision.upstream
        seen.runs += 1

    def _check_cancel(self, decision: ev.Cancel) -> None:
        seen = self.requests[decision.request_id]
        assert seen.state == "running" and seen.upstream == decision.upstream
        if decision.beneficiary:
            other = self.requests[decision.beneficiary]
            assert seen.tier > other.tier, "preempted for no more urgent request"
            assert seen.arrival.repeatable, "preempted a call not to be repeated"
        seen.state = "waiting"
        seen.upstream = ""

    def _check_refusal(self, decision: ev.Refuse) -> None:
        seen = self.requests[decision.request_id]
        assert seen.state == "waiting", f"refused while {seen.state}"
        error = decision.error
        if error.code in SHEDDING:
            self._check_shedding(seen)
            assert error.retry_after_ms, "no time to come back"
        if error.outcome is Outcome.NOT_RUN:
            assert not seen.runs, "a false 'not run'"
        seen.state = "ended"

    def _check_shedding(self, seen: Seen) -> None:
        """A shed request may leave no less urgent work that could make room."""
        for other in self.requests.values():
            if other.arrival.pool != seen.arrival.pool or other.tier <= seen.tier:
                continue
            assert other.state != "waiting", "shed while less urgent work waits"
            displaceable = other.state == "running" and other.arrival.repeatable
            assert not displaceable, "shed while less urgent work runs"

    def fail(self, request_id: str, proved_not_run: bool) -> None:
        """Note the failure of the current attempt before its decisions."""
        seen = self.requests[request_id]
        seen.last_failed_upstream = seen.upstream
        seen.last_failed_domain = self.domains[seen.upstream]
        seen.state, seen.upstream = "waiting", ""
        if proved_not_run:
            seen.runs -= 1

    def end(self, request_id: str) -> None:
        """Note that a request got its whole answer, or its caller left."""
        self.requests[request_id].state = "ended"
