"""Point 5: a withdrawn key stops within seconds, also on a VM that is cut off."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from plantainwood.core.confirmation import MAX_CONFIRM_AGE_MS, Confirmation
from plantainwood.core.membership import DEAD_MS
from tests.seeds import pin_seed

NODES = ["a", "b", "c", "d", "e"]
ROUND_MS = 1_000
BOUND_MS = DEAD_MS + MAX_CONFIRM_AGE_MS + 2 * ROUND_MS


class FakeNode:
    """What a node knows: a revision, its confirmation, whom it heard and when."""

    def __init__(self) -> None:
        self.confirmation = Confirmation()
        self.heard: dict[str, int] = {}


@pin_seed("WithdrawalMachine")
class WithdrawalMachine(RuleBasedStateMachine):
    """The key-value service and the links between nodes fail in any pattern."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100_000
        self.revision = 1
        self.changed_ms = {1: 0}
        self.nodes = {name: FakeNode() for name in NODES}
        self.service_cut: set[str] = set()
        self.parted: set[str] = set()
        for _ in range(3):
            self.run_round()

    @rule(name=st.sampled_from(NODES), revisions=st.integers(1, 2))
    def change(self, name: str, revisions: int) -> None:
        """An operator withdraws keys through a VM that reaches the service."""
        if name in self.service_cut:
            return
        for _ in range(revisions):
            self.revision += 1
            self.changed_ms[self.revision] = self.now
        accepting = self.nodes[name].confirmation
        accepting.record_store_read(self.revision, self.now)
        for other, node in self.nodes.items():
            if (other in self.parted) == (name in self.parted):
                self._exchange(node.confirmation, accepting)

    @rule(names=st.sets(st.sampled_from(NODES)))
    def cut_service(self, names: set[str]) -> None:
        """Some nodes lose the service, the others have it back."""
        self.service_cut = names

    @rule(names=st.sets(st.sampled_from(NODES), max_size=len(NODES) // 2))
    def part(self, names: set[str]) -> None:
        """A minority is parted from the rest, and has no service."""
        self.parted = names
        if names:
            self.service_cut = self.service_cut | names

    @rule(rounds=st.integers(1, 25))
    def run_rounds(self, rounds: int) -> None:
        """Time passes with its rounds of digests and polls."""
        for _ in range(rounds):
            self.run_round()

    def run_round(self) -> None:
        """Let every node poll the service and hear the nodes on its side."""
        self.now += ROUND_MS
        for name, node in self.nodes.items():
            if name not in self.service_cut:
                node.confirmation.record_store_read(self.revision, self.now)
        for name, node in self.nodes.items():
            for other, partner in self.nodes.items():
                if other == name or (other in self.parted) != (name in self.parted):
                    continue
                node.heard[other] = self.now
                self._exchange(node.confirmation, partner.confirmation)
        for name in NODES:
            self._check(name)

    def _exchange(self, mine: Confirmation, theirs: Confirmation) -> None:
        if theirs.revision > mine.revision:
            mine.record_newer_revision(theirs.revision)
        mine.record_peer_confirmation(
            theirs.revision, theirs.age_ms(self.now), self.now
        )

    def _check(self, name: str) -> None:
        """A node that may serve lacks no change older than the bound."""
        node = self.nodes[name]
        heard = 0
        for heard_ms in node.heard.values():
            if self.now - heard_ms <= DEAD_MS:
                heard += 1
        known = len(NODES) - 1
        if not node.confirmation.may_serve(heard, known, self.now):
            return
        missing = node.confirmation.revision + 1
        if missing in self.changed_ms:
            age_ms = self.now - self.changed_ms[missing]
            assert age_ms <= BOUND_MS, f"{name} serves without a change {age_ms} ms old"


TestWithdrawal = WithdrawalMachine.TestCase


def test_all_serve_on_when_the_service_is_down_for_everyone():
    machine = WithdrawalMachine()
    machine.cut_service(set(NODES))
    for _ in range(3_600):
        machine.run_round()
    for node in machine.nodes.values():
        assert node.confirmation.may_serve(len(NODES) - 1, len(NODES) - 1, machine.now)


def test_a_node_that_hears_nobody_refuses():
    machine = WithdrawalMachine()
    machine.part({"a"})
    for _ in range(BOUND_MS // ROUND_MS):
        machine.run_round()
    node = machine.nodes["a"]
    assert not node.confirmation.may_serve(0, len(NODES) - 1, machine.now)
