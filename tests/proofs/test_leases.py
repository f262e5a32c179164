"""Point 6 of PROOFS.md: never orders from two processes that both act as holder."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core.clock import VirtualClock
from plantainwood.core.effects import SendOrder
from plantainwood.core.errors import StoreError
from plantainwood.core.leaserecords import LeaseTimes
from plantainwood.core.leases import Lease
from plantainwood.core.orders import UNFENCED_WAIT_MS, Action, Order, issue_order
from tests.fakes import FAULTS, FakeStore, ProcedureRun
from tests.seeds import pin_seed

TIMES = LeaseTimes(term_ms=9_000, margin_ms=1_000, flight_ms=2_000)
CLOCK_RATES_PERCENT = [96, 100, 104]
NODES = ["a", "b", "c"]
ORDER_EFFECTS = 3
"""Effects of an order's procedure up to the order itself."""


class FakeNode:
    """A node whose clock has a rate of its own, and which may freeze."""

    def __init__(self, name: str, rate_percent: int, has_eras: bool = True) -> None:
        self.name = name
        self.has_eras = has_eras
        self.rate_percent = rate_percent
        self.clock = VirtualClock(now_ms=rate_percent * 1_000)
        self.lease = self.make_lease(1)
        self.lease_run: ProcedureRun | None = None
        self.order_run: ProcedureRun | None = None
        self.frozen_ms = 0
        self.sent_until_ms = 0

    def make_lease(self, incarnation: int) -> Lease:
        """Return the lease of a process that has just started."""
        return Lease(
            "orders",
            self.name,
            incarnation,
            self.clock,
            TIMES,
            has_eras=self.has_eras,
        )


@pin_seed("LeaseMachine")
class LeaseMachine(RuleBasedStateMachine):
    """Nodes contend for the lease and send orders; they freeze, and calls get lost."""

    has_eras = True

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        self.nodes = {
            n: FakeNode(n, r, self.has_eras)
            for n, r in zip(NODES, CLOCK_RATES_PERCENT, strict=True)
        }
        self.departed: set[str] = set()
        self.in_flight_orders: list[tuple[str, SendOrder]] = []
        self.max_fences: dict[bool, int] = {True: 0, False: 0}

    @rule(by=st.sampled_from([50, 400, 1_000, 3_000, 9_000, 15_000]))
    def advance(self, by: int) -> None:
        """Time passes, at a different rate on each clock."""
        for node in self.nodes.values():
            node.clock.advance(by * node.rate_percent // 100)
            node.frozen_ms = max(0, node.frozen_ms - by)

    @rule(name=st.sampled_from(NODES), for_ms=st.sampled_from([5_000, 20_000, 90_000]))
    def freeze(self, name: str, for_ms: int) -> None:
        """A process freezes; its clock goes on."""
        self.nodes[name].frozen_ms = for_ms

    @rule(name=st.sampled_from(NODES))
    def replace(self, name: str) -> None:
        """A VM is replaced; its orders that have not arrived are lost."""
        old = self.nodes[name]
        node = FakeNode(name, old.rate_percent, self.has_eras)
        node.clock = VirtualClock(now_ms=old.clock.now_ms())
        node.lease = node.make_lease(old.lease.incarnation + 1)
        self.nodes[name] = node
        self.in_flight_orders = [
            item for item in self.in_flight_orders if item[0] != name
        ]

    @rule(name=st.sampled_from(NODES))
    def depart(self, name: str) -> None:
        """A VM is gone for good: frozen, and no longer in the platform's list."""
        self.replace(name)
        self.nodes[name].frozen_ms = 10**9
        self.departed.add(name)

    @rule(name=st.sampled_from(NODES), fault=st.sampled_from(FAULTS))
    def step_lease(self, name: str, fault: str) -> None:
        """Perform the next effect of a node's lease renewal."""
        node = self.nodes[name]
        if node.frozen_ms:
            return
        if node.lease_run is None or node.lease_run.done:
            node.lease_run = ProcedureRun(node.lease.renew_or_acquire())
        else:
            node.lease_run.step(self.store, fault)

    @rule(name=st.sampled_from(NODES), rounds=st.integers(1, 6))
    def keep_lease(self, name: str, rounds: int) -> None:
        """A node renews its lease for some rounds without faults."""
        node = self.nodes[name]
        for _ in range(rounds):
            if not node.frozen_ms:
                if node.lease_run is not None and not node.lease_run.done:
                    node.lease_run.finish(self.store)
                ProcedureRun(node.lease.renew_or_acquire()).finish(self.store)
            self.advance(3_000)

    @rule(name=st.sampled_from(NODES), rounds=st.integers(1, 12))
    def renew_slowly(self, name: str, rounds: int) -> None:
        """A renewal takes effect at once, but its reply is delayed.

        Meanwhile the other nodes try to acquire the lease.
        """
        node = self.nodes[name]
        if not self._try_to_renew(node):
            return
        run = ProcedureRun(node.lease.renew_or_acquire())
        run.step(self.store, "slow")
        self._let_others_contend(node, rounds)
        run.finish(self.store)

    def _try_to_renew(self, node: FakeNode) -> bool:
        """Renew or acquire the lease at once; return whether the node could try."""
        if node.frozen_ms or (node.lease_run and not node.lease_run.done):
            return False
        ProcedureRun(node.lease.renew_or_acquire()).finish(self.store)
        return True

    def _let_others_contend(self, node: FakeNode, rounds: int) -> None:
        for _ in range(rounds):
            self.advance(3_000)
            for other in self.nodes.values():
                if other is not node and not other.frozen_ms:
                    if other.lease_run is None or other.lease_run.done:
                        ProcedureRun(other.lease.renew_or_acquire()).finish(self.store)

    @rule(name=st.sampled_from(NODES), rounds=st.integers(1, 12))
    def freeze_with_an_order_under_way(self, name: str, rounds: int) -> None:
        """A holder freezes with an order under way; the next one's arrives before it.

        Meanwhile the other nodes try to acquire the lease.
        """
        node = self.nodes[name]
        if not self._try_to_renew(node):
            return
        self._send_order(name)
        self.freeze(name, 90_000)
        self._let_others_contend(node, rounds)
        for other in NODES:
            self._send_order(other)
        while self.in_flight_orders:
            self.land(len(self.in_flight_orders) - 1)

    def _send_order(self, name: str) -> None:
        self.order(name, fenced=True)
        for _ in range(ORDER_EFFECTS):
            self.step_order(name, "ok")

    @rule(name=st.sampled_from(NODES))
    def release(self, name: str) -> None:
        """A node releases the lease if none of its calls are in flight."""
        node = self.nodes[name]
        has_order_in_flight = any(sender == name for sender, _ in self.in_flight_orders)
        if (
            node.frozen_ms
            or has_order_in_flight
            or node.lease_run
            and not node.lease_run.done
        ):
            return
        if node.order_run and not node.order_run.done:
            return
        ProcedureRun(node.lease.release()).finish(self.store)

    @rule(
        name=st.sampled_from(NODES),
        fault=st.sampled_from(FAULTS),
        rounds=st.integers(0, 3),
    )
    def pass_on(self, name: str, fault: str, rounds: int) -> None:
        """A slow node hands over, with no call in flight, and competes again.

        An order that was not sent yet may go on afterwards; meanwhile the other nodes
        try to acquire the lease.
        """
        node = self.nodes[name]
        if node.frozen_ms or node.lease_run and not node.lease_run.done:
            return
        if any(sender == name for sender, _ in self.in_flight_orders):
            return
        if node.order_run and isinstance(node.order_run.effect, SendOrder):
            return
        node.lease.retire()
        run = ProcedureRun(node.lease.release())
        run.step_many(self.store, 2, fault)
        self._let_others_contend(node, rounds)
        run.finish(self.store)
        node.lease.compete_again()

    @rule(name=st.sampled_from(NODES), fenced=st.booleans())
    def order(self, name: str, fenced: bool) -> None:
        """A node starts to order an upstream, whether it holds the lease or not."""
        node = self.nodes[name]
        if node.frozen_ms or (node.order_run and not node.order_run.done):
            return
        order = Order(Action.START, f"engine-{fenced}", "ba-norte", fenced)
        procedure = issue_order(order, node.lease, node.clock, self.departed)
        node.order_run = ProcedureRun(procedure)

    @rule(name=st.sampled_from(NODES), fault=st.sampled_from(FAULTS))
    def step_order(self, name: str, fault: str) -> None:
        """Perform the next effect of a node's order."""
        node = self.nodes[name]
        run = node.order_run
        if node.frozen_ms or run is None or run.done:
            return
        if not isinstance(run.effect, SendOrder):
            run.step(self.store, fault)
            return
        if node.clock.now_ms() >= run.effect.deadline_ms:
            run.fail(StoreError("the deadline has passed"))
            return
        holders = [n.name for n in self.nodes.values() if n.lease.is_held()]
        assert holders == [name], f"{name} sends while {holders} hold the lease"
        self.in_flight_orders.append((name, run.effect))
        run.reply(True)

    @rule(which=st.integers(0, 5))
    def land(self, which: int) -> None:
        """An order arrives at the platform; its sender's freeze doesn't hold it back.

        Until its limit none may arrive after one of a later holder. After it only a
        process that froze before the write can send it; then fences or waits help.
        """
        if not self.in_flight_orders:
            return
        item = self.in_flight_orders[which % len(self.in_flight_orders)]
        self.in_flight_orders.remove(item)
        sender, order = item
        in_time = self.nodes[sender].clock.now_ms() < order.arrive_by_ms
        if in_time:
            assert order.fence >= max(self.max_fences.values()), "a call too late"
        fenced = order.upstream.endswith("True")
        if fenced and order.fence < self.max_fences[True]:
            return
        assert order.fence >= self.max_fences[fenced], "an order of an earlier holder"
        self.max_fences[fenced] = order.fence

    @rule(index=st.integers(0, 10))
    def land_write(self, index: int) -> None:
        """A write takes effect after its caller saw it fail."""
        self.store.apply_late_write(index)

    @invariant()
    def one_holder(self) -> None:
        """At most one node considers itself the holder at any time."""
        holders = [n.name for n in self.nodes.values() if n.lease.is_held()]
        assert len(holders) <= 1, holders


TestLeases = LeaseMachine.TestCase


@pin_seed("LeaseMachine")
class EralessLeaseMachine(LeaseMachine):
    """The same with a store that doesn't tell that it lost writes."""

    has_eras = False


TestLeasesWithoutEras = EralessLeaseMachine.TestCase


def test_an_unfenced_order_waits_until_the_frozen_holder_is_gone():
    """The holder freezes between its last check of the lease and the write.

    Without fencing, its write could follow an order of the successor, so the successor
    must not send one until the holder's VM is gone.
    """
    store = FakeStore()
    first, second = FakeNode("a", 100), FakeNode("b", 100)
    ProcedureRun(first.lease.renew_or_acquire()).finish(store)
    order = Order(Action.STOP, "engine", "ba-norte", checks_fencing=False)
    frozen_run = ProcedureRun(issue_order(order, first.lease, first.clock, set()))
    while not isinstance(frozen_run.effect, SendOrder):
        frozen_run.step(store)
    for _ in range(6):
        ProcedureRun(second.lease.renew_or_acquire()).finish(store)
        second.clock.advance(4_000)
    assert second.lease.is_held()
    later_run = ProcedureRun(issue_order(order, second.lease, second.clock, set()))
    assert later_run.done and later_run.result is False, "the successor must wait"
    unblocked = ProcedureRun(issue_order(order, second.lease, second.clock, {"a"}))
    assert not unblocked.done, "the old holder's VM is gone: no order can follow"


def test_the_successor_orders_after_the_wait():
    store = FakeStore()
    first, second = FakeNode("a", 100), FakeNode("b", 100)
    ProcedureRun(first.lease.renew_or_acquire()).finish(store)
    waited_ms = 0
    while waited_ms <= UNFENCED_WAIT_MS + 2 * TIMES.takeover_ms:
        ProcedureRun(second.lease.renew_or_acquire()).finish(store)
        second.clock.advance(3_000)
        waited_ms += 3_000
    order = Order(Action.STOP, "engine", "ba-norte", checks_fencing=False)
    run = ProcedureRun(issue_order(order, second.lease, second.clock, set()))
    while not isinstance(run.effect, SendOrder):
        run.step(store)
    assert run.effect.fence == 2
