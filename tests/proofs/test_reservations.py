"""Fleet-wide containment: an upstream is reserved for one crash suspect at a time."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from plantainwood.core.reservations import (
    LIFETIME_MS,
    release_upstream,
    reserve_upstream,
)
from tests.fakes import FAULTS, FakeStore, ProcedureRun
from tests.seeds import pin_seed


@pin_seed("ReservationMachine")
class ReservationMachine(RuleBasedStateMachine):
    """Suspects on several VMs reserve one upstream; store calls are lost or late."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        self.now = 1_000
        self.pending_runs: dict[str, ProcedureRun] = {}
        self.requested_ms: dict[str, int] = {}
        self.held_until_ms: dict[str, int] = {}
        self.count = 0

    @rule()
    def ask(self) -> None:
        """A suspect requests the reservation."""
        self.count += 1
        name = f"r{self.count}"
        self.pending_runs[name] = ProcedureRun(reserve_upstream("e1", name, self.now))
        self.requested_ms[name] = self.now

    @rule(
        which=st.integers(0, 9),
        count=st.integers(1, 3),
        fault=st.sampled_from(FAULTS),
    )
    def step(self, which: int, count: int, fault: str) -> None:
        """Perform some effects of a pending reservation, the last one with a fault."""
        if not self.pending_runs:
            return
        name = sorted(self.pending_runs)[which % len(self.pending_runs)]
        run = self.pending_runs[name]
        run.step_many(self.store, count, fault)
        if not run.done:
            return
        del self.pending_runs[name]
        if run.result:
            # The lifetime counts from the request; calls time out well before its end.
            self.held_until_ms[name] = self.requested_ms[name] + LIFETIME_MS
            holders = [n for n, until in self.held_until_ms.items() if until > self.now]
            assert set(holders) <= {name}, "two suspects on one upstream"

    @rule(which=st.integers(0, 9))
    def give_back(self, which: int) -> None:
        """A suspect ends and releases its reservation."""
        if self.held_until_ms:
            name = sorted(self.held_until_ms)[which % len(self.held_until_ms)]
            del self.held_until_ms[name]
            ProcedureRun(release_upstream("e1", name)).finish(self.store)

    @rule(index=st.integers(0, 5))
    def land(self, index: int) -> None:
        """A write takes effect after its caller saw it fail."""
        self.store.apply_late_write(index)

    @rule(by=st.sampled_from([100, 10_000, LIFETIME_MS]))
    def advance(self, by: int) -> None:
        """Time passes; suspects give up reservations whose lifetime is over."""
        self.now += by
        for name, until in list(self.held_until_ms.items()):
            if until <= self.now:
                del self.held_until_ms[name]


TestReservations = ReservationMachine.TestCase
