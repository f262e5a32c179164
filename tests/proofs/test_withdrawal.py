"""Point 5 of PROOFS.md: withdrawn keys stop in seconds, also on a partitioned VM."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from plantainwood.core.confirmation import MAX_CONFIRM_AGE_MS, Confirmation
from plantainwood.core.membership import LIVENESS_TIMEOUT_MS
from tests.seeds import pin_seed

NODES = ["a", "b", "c", "d", "e"]
ROUND_MS = 1_000
BOUND_MS = LIVENESS_TIMEOUT_MS + MAX_CONFIRM_AGE_MS + 2 * ROUND_MS


class FakeNode:
    """A node's confirmed revision, and when it last heard each other node."""

    def __init__(self) -> None:
        self.confirmation = Confirmation()
        self.last_heard_ms: dict[str, int] = {}


@pin_seed("WithdrawalMachine")
class WithdrawalMachine(RuleBasedStateMachine):
    """The store and the links between nodes fail in any pattern."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100_000
        self.revision = 1
        self.changed_ms = {1: 0}
        self.nodes = {name: FakeNode() for name in NODES}
        self.without_store: set[str] = set()
        self.partitioned: set[str] = set()
        for _ in range(3):
            self.run_round()

    @rule(name=st.sampled_from(NODES), revisions=st.integers(1, 2))
    def change(self, name: str, revisions: int) -> None:
        """An operator withdraws keys through a VM that reaches the store."""
        if name in self.without_store:
            return
        for _ in range(revisions):
            self.revision += 1
            self.changed_ms[self.revision] = self.now
        accepting = self.nodes[name].confirmation
        accepting.record_store_read(self.revision, self.now)
        for other, node in self.nodes.items():
            if (other in self.partitioned) == (name in self.partitioned):
                self._exchange_confirmations(node.confirmation, accepting)

    @rule(names=st.sets(st.sampled_from(NODES)))
    def cut_service(self, names: set[str]) -> None:
        """Some nodes lose the store; the others reach it again."""
        self.without_store = names

    @rule(names=st.sets(st.sampled_from(NODES), max_size=len(NODES) // 2))
    def part(self, names: set[str]) -> None:
        """A minority is partitioned from the others, and loses the store."""
        self.partitioned = names
        if names:
            self.without_store = self.without_store | names

    @rule(rounds=st.integers(1, 25))
    def run_rounds(self, rounds: int) -> None:
        """Time passes with rounds of gossip and store reads."""
        for _ in range(rounds):
            self.run_round()

    def run_round(self) -> None:
        """Let every node read the store and hear the nodes on its side."""
        self.now += ROUND_MS
        for name, node in self.nodes.items():
            if name not in self.without_store:
                node.confirmation.record_store_read(self.revision, self.now)
        for name, node in self.nodes.items():
            for other, peer in self.nodes.items():
                if other == name or (other in self.partitioned) != (
                    name in self.partitioned
                ):
                    continue
                node.last_heard_ms[other] = self.now
                self._exchange_confirmations(node.confirmation, peer.confirmation)
        for name in NODES:
            self._check_staleness(name)

    def _exchange_confirmations(self, mine: Confirmation, theirs: Confirmation) -> None:
        if theirs.revision > mine.revision:
            mine.record_newer_revision(theirs.revision)
        mine.record_peer_confirmation(
            theirs.revision, theirs.compute_age_ms(self.now), self.now
        )

    def _check_staleness(self, name: str) -> None:
        """Check that a node that may serve lacks no change older than BOUND_MS."""
        node = self.nodes[name]
        heard_count = 0
        for heard_ms in node.last_heard_ms.values():
            if self.now - heard_ms <= LIVENESS_TIMEOUT_MS:
                heard_count += 1
        known_count = len(NODES) - 1
        if not node.confirmation.may_serve(heard_count, known_count, self.now):
            return
        missing = node.confirmation.revision + 1
        if missing in self.changed_ms:
            age_ms = self.now - self.changed_ms[missing]
            assert age_ms <= BOUND_MS, f"{name} serves without a change {age_ms} ms old"


TestWithdrawal = WithdrawalMachine.TestCase


def test_all_nodes_keep_serving_while_the_store_is_down_for_all():
    machine = WithdrawalMachine()
    machine.cut_service(set(NODES))
    for _ in range(3_600):
        machine.run_round()
    for node in machine.nodes.values():
        assert node.confirmation.may_serve(len(NODES) - 1, len(NODES) - 1, machine.now)


def test_a_node_that_hears_no_other_stops_serving():
    machine = WithdrawalMachine()
    machine.part({"a"})
    for _ in range(BOUND_MS // ROUND_MS):
        machine.run_round()
    node = machine.nodes["a"]
    assert not node.confirmation.may_serve(0, len(NODES) - 1, machine.now)
