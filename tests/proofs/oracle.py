"""Test oracle for the decisions of one dispatcher."""

from plantainwood.core import events as ev
from plantainwood.core.errors import ErrorCode, Outcome

SHED_CODES = (ErrorCode.OVERLOADED, ErrorCode.QUEUE_TIMEOUT)


class TrackedRequest:
    """The state of one request as the oracle derives it from events and decisions."""

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
    """Track events and decisions, and assert the invariants on every decision."""

    def __init__(self, domains: dict[str, str], tiers: dict[str, int]) -> None:
        self.domains = domains
        self.tiers = tiers
        self.requests: dict[str, TrackedRequest] = {}
        self.leaving: set[str] = set()
        self.crashes: dict[str, set[str]] = {}

    def record_arrival(self, arrival: ev.Arrival) -> None:
        """Record a request; call this before its decisions are checked."""
        tracked = TrackedRequest(arrival, self.tiers[arrival.class_name])
        self.requests[arrival.request_id] = tracked

    def list_running(self) -> list[TrackedRequest]:
        """Return the requests with an attempt in flight."""
        return [
            tracked for tracked in self.requests.values() if tracked.state == "running"
        ]

    def list_waiting(self) -> list[TrackedRequest]:
        """Return the requests that wait for an attempt."""
        return [
            tracked for tracked in self.requests.values() if tracked.state == "waiting"
        ]

    def check_decisions(self, decisions: list[ev.Decision]) -> None:
        """Check the decisions on one event, in order."""
        for decision in decisions:
            if isinstance(decision, ev.Dispatch):
                self._check_dispatch(decision)
            elif isinstance(decision, ev.Cancel):
                self._check_cancel(decision)
            elif isinstance(decision, ev.Refuse):
                self._check_refusal(decision)

    def _check_dispatch(self, decision: ev.Dispatch) -> None:
        tracked = self.requests[decision.request_id]
        assert tracked.state == "waiting", f"dispatched while {tracked.state}"
        assert decision.attempt == tracked.attempt + 1
        assert decision.upstream not in self.leaving, "dispatched to a leaving upstream"
        if not tracked.arrival.repeatable:
            assert not tracked.runs, "ran a non-repeatable call twice"
        if tracked.last_failed_upstream:
            assert decision.upstream != tracked.last_failed_upstream
            other_domains = set(self.domains.values()) - {tracked.last_failed_domain}
            staying_domains = {
                d for u, d in self.domains.items() if u not in self.leaving
            }
            if other_domains & staying_domains:
                domain = self.domains[decision.upstream]
                assert domain != tracked.last_failed_domain, "the same failure domain"
        tracked.state = "running"
        tracked.attempt = decision.attempt
        tracked.upstream = decision.upstream
        tracked.runs += 1

    def _check_cancel(self, decision: ev.Cancel) -> None:
        tracked = self.requests[decision.request_id]
        assert tracked.state == "running" and tracked.upstream == decision.upstream
        if decision.beneficiary:
            other = self.requests[decision.beneficiary]
            assert tracked.tier > other.tier, "the beneficiary is not more urgent"
            assert tracked.arrival.repeatable, "preempted a non-repeatable call"
        tracked.state = "waiting"
        tracked.upstream = ""

    def _check_refusal(self, decision: ev.Refuse) -> None:
        tracked = self.requests[decision.request_id]
        assert tracked.state == "waiting", f"refused while {tracked.state}"
        error = decision.error
        if error.code in SHED_CODES:
            self._check_shedding(tracked)
            assert error.retry_after_ms, "no retry time in the error"
        if error.outcome is Outcome.NOT_RUN:
            assert not tracked.runs, "reported 'not run' after a run"
        tracked.state = "ended"

    def _check_shedding(self, tracked: TrackedRequest) -> None:
        """Check that no less urgent request could have been displaced instead."""
        for other in self.requests.values():
            if other.arrival.pool != tracked.arrival.pool or other.tier <= tracked.tier:
                continue
            assert other.state != "waiting", "shed while a less urgent request waits"
            displaceable = other.state == "running" and other.arrival.repeatable
            assert not displaceable, "shed while a less urgent request runs"

    def record_failure(self, request_id: str, proved_not_run: bool) -> None:
        """Record the failure of the current attempt; call this before the decisions."""
        tracked = self.requests[request_id]
        tracked.last_failed_upstream = tracked.upstream
        tracked.last_failed_domain = self.domains[tracked.upstream]
        tracked.state, tracked.upstream = "waiting", ""
        if proved_not_run:
            tracked.runs -= 1

    def record_end(self, request_id: str) -> None:
        """Record that a request was answered completely or that its caller left."""
        self.requests[request_id].state = "ended"
