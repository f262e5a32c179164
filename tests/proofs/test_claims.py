"""Points 9 and 10 of PROOFS.md: a call that may not be repeated runs at most once.

A call that was reported as not run did not run.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from plantainwood.core.claims import (
    ClaimRequest,
    claim_call,
    complete_claim,
    release_claim,
)
from plantainwood.core.errors import Outcome, RequestError
from tests.fakes import FAULTS, FakeStore, ProcedureRun
from tests.seeds import pin_seed

KEYS = ["round-1", "round-2"]


class ClaimAttempt:
    """One attempt at a call through a VM: claim, run, then complete or release."""

    def __init__(self, request: ClaimRequest) -> None:
        self.request = request
        self.stage = "claim"
        self.run = ProcedureRun(claim_call(request))
        self.outcome = None


@pin_seed("ClaimMachine")
class ClaimMachine(RuleBasedStateMachine):
    """Callers resend to several VMs; store calls are lost or late, and VMs die."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        self.attempts: list[ClaimAttempt] = []
        self.runs = dict.fromkeys(KEYS, 0)
        self.executed_nonces: set[str] = set()
        self.now = 1
        self.count = 0

    @rule(key=st.sampled_from(KEYS), body=st.sampled_from(["a", "b"]))
    def send(self, key: str, body: str) -> None:
        """A caller sends or resends a call to some VM."""
        self.count += 1
        request = ClaimRequest("walkers", key, body, f"n{self.count}", self.now, 50)
        self.attempts.append(ClaimAttempt(request))

    @rule(by=st.integers(1, 100))
    def wait(self, by: int) -> None:
        """Time passes."""
        self.now += by

    @rule(
        which=st.integers(0, 30),
        count=st.integers(1, 4),
        fault=st.sampled_from(FAULTS),
    )
    def step(self, which: int, count: int, fault: str) -> None:
        """Perform some effects of one attempt, the last one with a fault."""
        active = [
            attempt
            for attempt in self.attempts
            if attempt.run is not None and not attempt.run.done
        ]
        if not active:
            return
        attempt = active[which % len(active)]
        attempt.run.step_many(self.store, count, fault)
        if attempt.run.done:
            self._handle_finished(attempt)

    def _handle_finished(self, attempt: ClaimAttempt) -> None:
        if attempt.stage != "claim":
            return
        error = attempt.run.error
        if error is not None:
            assert isinstance(error, RequestError), error
            attempt.outcome = error.outcome
            if error.outcome is Outcome.NOT_RUN:
                assert attempt.request.nonce not in self.executed_nonces
                attempt.stage = "release"
                attempt.run = ProcedureRun(release_claim(attempt.request))
            return
        if attempt.run.result is not None:
            assert self.runs[attempt.request.idempotency_key] == 1
            assert attempt.run.result.result == b"done"
            return
        attempt.stage = "owned"
        attempt.run = None

    @precondition(
        lambda self: any(attempt.stage == "owned" for attempt in self.attempts)
    )
    @rule(
        which=st.integers(0, 30),
        ending=st.sampled_from(["ran", "refused", "reply lost", "killed"]),
    )
    def call_service(self, which: int, ending: str) -> None:
        """The owner of a claim calls the service.

        The call runs, is proved not to have run, runs without a reply, or the VM dies.
        """
        owners = [attempt for attempt in self.attempts if attempt.stage == "owned"]
        attempt = owners[which % len(owners)]
        attempt.stage = "called"
        if ending == "killed":
            return
        if ending == "refused":
            attempt.stage = "release"
            attempt.run = ProcedureRun(release_claim(attempt.request))
            return
        self.runs[attempt.request.idempotency_key] += 1
        self.executed_nonces.add(attempt.request.nonce)
        if ending == "ran":
            attempt.stage = "complete"
            attempt.run = ProcedureRun(
                complete_claim(attempt.request, 200, "", b"done")
            )

    @rule(which=st.integers(0, 30))
    def kill(self, which: int) -> None:
        """A VM dies in the middle of a procedure."""
        if self.attempts:
            attempt = self.attempts[which % len(self.attempts)]
            attempt.run, attempt.stage = None, "dead"

    @rule(index=st.integers(0, 10))
    def land(self, index: int) -> None:
        """A write takes effect after its caller saw it fail."""
        self.store.apply_late_write(index)

    @invariant()
    def at_most_once(self) -> None:
        """No call ever runs twice."""
        assert all(count <= 1 for count in self.runs.values()), self.runs


TestClaims = ClaimMachine.TestCase


def test_a_released_claim_can_be_run_by_the_next_try():
    store = FakeStore()
    first = ClaimRequest("walkers", "k", "a", "n1", 1, 50)
    assert ProcedureRun(claim_call(first)).finish(store) is None
    assert ProcedureRun(release_claim(first)).finish(store)
    second = ClaimRequest("walkers", "k", "a", "n2", 2, 50)
    assert ProcedureRun(claim_call(second)).finish(store) is None
