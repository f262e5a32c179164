"""Requests that no upstream has run, in one dispatcher without network."""

from plantainwood.core import events as ev
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import Outcome, RequestError
from plantainwood.core.retries import MAX_ATTEMPTS, SharedRetryBudget
from tests.catalogues import make_catalogue

REQUEST = "r1"
PAUSE_MS = 100


class Vm:
    """A dispatcher with one request, whose attempts fail one after the other."""

    def __init__(self, slack: float) -> None:
        options = Options(make_budget=lambda: SharedRetryBudget(0.0, slack))
        self._dispatcher = Dispatcher("vm-1", 7, options)
        self._dispatcher.apply_catalogue(make_catalogue())
        self._now_ms = 1_000
        arrival = ev.Arrival(REQUEST, "norte", "hint", "model/rounds")
        self._decisions = self._dispatcher.decide(arrival, self._now_ms)

    def get_attempt(self) -> int:
        """Return the number of the attempt that was just started; 0 if none was."""
        for decision in self._decisions:
            if isinstance(decision, ev.Dispatch):
                return decision.attempt
        return 0

    def get_error(self) -> RequestError | None:
        """Return the error that has just ended the request, if any."""
        for decision in self._decisions:
            if isinstance(decision, ev.Refuse):
                return decision.error
        return None

    def fail_attempt(self, proved_not_run: bool, reached: bool) -> None:
        """Fail the running attempt, and let the pause of its upstream pass."""
        event = ev.AttemptFailed(
            REQUEST, self.get_attempt(), False, proved_not_run, PAUSE_MS, reached
        )
        self._decisions = self._dispatcher.decide(event, self._now_ms)
        self._now_ms += 2 * PAUSE_MS
        if not self.get_attempt() and self.get_error() is None:
            self._decisions = self._dispatcher.decide(ev.Tick(), self._now_ms)


# Guards against a 502 for a request that ran nowhere, which tells no return (TIER).
def test_a_request_that_reached_no_upstream_is_refused_as_not_run():
    vm = Vm(slack=50.0)
    for _ in range(MAX_ATTEMPTS):
        vm.fail_attempt(proved_not_run=True, reached=False)
    error = vm.get_error()
    assert error is not None
    assert (error.outcome, error.status) == (Outcome.NOT_RUN, 503)
    assert error.retry_after_ms


# Guards against connections that don't open and use up the retries of a VM (TIER).
def test_attempts_that_reach_no_upstream_spend_no_retries():
    vm = Vm(slack=1.0)
    for attempt in range(2, MAX_ATTEMPTS + 1):
        vm.fail_attempt(proved_not_run=True, reached=False)
        assert vm.get_attempt() == attempt


def test_a_request_rejected_by_upstreams_without_retries_left_is_refused_as_not_run():
    vm = Vm(slack=1.0)
    vm.fail_attempt(proved_not_run=True, reached=True)
    vm.fail_attempt(proved_not_run=True, reached=True)
    error = vm.get_error()
    assert error is not None
    assert (error.outcome, error.status) == (Outcome.NOT_RUN, 503)
    assert error.retry_after_ms


def test_a_request_that_may_have_run_is_not_refused_as_not_run():
    vm = Vm(slack=1.0)
    vm.fail_attempt(proved_not_run=False, reached=True)
    vm.fail_attempt(proved_not_run=True, reached=False)
    vm.fail_attempt(proved_not_run=False, reached=True)
    error = vm.get_error()
    assert error is not None
    assert (error.outcome, error.status) == (Outcome.UNKNOWN, 502)
