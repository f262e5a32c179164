"""Point 7 of PROOFS.md: reports of a window never differ; tokens are billed once."""

import json

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core.billing import close_window
from plantainwood.core.clock import VirtualClock
from plantainwood.core.effects import SendReport
from plantainwood.core.errors import StoreError
from plantainwood.core.leaserecords import LeaseTimes
from plantainwood.core.leases import Lease
from plantainwood.core.usage import UsageCopies, UsageLedger, UsageLine, flush_record
from tests.fakes import FAULTS, FakeStore, ProcedureRun
from tests.seeds import pin_seed

WINDOW_MS = 100_000
FIRMS = ["paseos", "enigma"]
NODES = ["a", "b", "c"]
TIMES = LeaseTimes(term_ms=9_000, margin_ms=1_000, flight_ms=2_000)


class FakeNode:
    """A serving node that may also hold the lease of the billing duty."""

    def __init__(self, name: str, incarnation: int, now_ms: int) -> None:
        self.incarnation = incarnation
        self.clock = VirtualClock(now_ms)
        self.lease = Lease("billing", name, incarnation, self.clock, TIMES)
        self.ledger = UsageLedger(name, incarnation, WINDOW_MS)
        self.usage_copies = UsageCopies()
        self.flushes: list[tuple[object, ProcedureRun]] = []
        self.closing_run: ProcedureRun | None = None


@pin_seed("BillingMachine")
class BillingMachine(RuleBasedStateMachine):
    """Count, copy, lose, flush, freeze and report usage, with faults in between."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore()
        self.now = WINDOW_MS
        self.nodes = {name: FakeNode(name, 1, self.now) for name in NODES}
        self.used_tokens: dict[str, int] = {}
        self.reports: dict[str, str] = {}

    @rule(
        name=st.sampled_from(NODES),
        firm=st.sampled_from(FIRMS),
        tokens=st.integers(1, 50),
    )
    def serve(self, name: str, firm: str, tokens: int) -> None:
        """A node relays tokens and at once copies the usage record to its peers."""
        node = self.nodes[name]
        key = f"{firm}/walkers/hint"
        node.ledger.count(key, self.now, UsageLine(tokens=tokens))
        self.used_tokens[key] = self.used_tokens.get(key, 0) + tokens
        for record in node.ledger.collect_pending(self.now):
            for peer in NODES:
                if peer != name:
                    self.nodes[peer].usage_copies.put(record)

    @rule(name=st.sampled_from(NODES), copy=st.booleans())
    def start_flush(self, name: str, copy: bool) -> None:
        """A node starts to flush its own records, or the copies that it holds."""
        node = self.nodes[name]
        records = (
            node.usage_copies.find_orphans(set())
            if copy
            else node.ledger.collect_pending(self.now)
        )
        for record in records:
            node.flushes.append((record, ProcedureRun(flush_record(record))))

    @rule(name=st.sampled_from(NODES), fault=st.sampled_from(FAULTS))
    def step_flush(self, name: str, fault: str) -> None:
        """Perform the next effect of a flush."""
        node = self.nodes[name]
        if not node.flushes:
            return
        record, run = node.flushes[0]
        if not run.done:
            run.step(self.store, fault)
        if run.done:
            node.flushes.pop(0)
            if run.result and record.node == name:
                node.ledger.acknowledge(record)
            elif run.result:
                node.usage_copies.drop(record.key, record.sequence)

    @rule(name=st.sampled_from(NODES))
    def replace(self, name: str) -> None:
        """A node dies; only its flushed records and its peers' copies remain."""
        now_ms = self.nodes[name].clock.now_ms()
        incarnation = self.nodes[name].incarnation + 1
        for record in self.nodes[name].usage_copies.find_orphans(set()):
            for peer in NODES:
                if peer not in (name, record.node):
                    self.nodes[peer].usage_copies.put(record)
        self.nodes[name] = FakeNode(name, incarnation, now_ms)

    @rule(by=st.sampled_from([1_000, 9_000, 40_000, 100_000]))
    def advance(self, by: int) -> None:
        """Time passes."""
        self.now += by
        for node in self.nodes.values():
            node.clock.advance(by)

    @rule(name=st.sampled_from(NODES))
    def keep_lease(self, name: str) -> None:
        """A node renews the lease of the duty or tries to acquire it."""
        ProcedureRun(self.nodes[name].lease.renew_or_acquire()).finish(self.store)

    @rule(name=st.sampled_from(NODES), firm=st.sampled_from(FIRMS))
    def start_closing(self, name: str, firm: str) -> None:
        """A node, holder or not, starts to close the last window that ended."""
        node = self.nodes[name]
        if node.closing_run is None or node.closing_run.done:
            window = self.now - self.now % WINDOW_MS - WINDOW_MS
            procedure = close_window(firm, window, WINDOW_MS, node.lease)
            node.closing_run = ProcedureRun(procedure)

    @rule(
        name=st.sampled_from(NODES),
        fault=st.sampled_from(FAULTS),
        count=st.integers(1, 8),
    )
    def step_closing(self, name: str, fault: str, count: int) -> None:
        """Perform some effects of closing a window, the last one with a fault."""
        node = self.nodes[name]
        for index in range(count):
            run = node.closing_run
            if run is None or run.done:
                return
            step_fault = fault if index == count - 1 else "ok"
            if isinstance(run.effect, SendReport):
                self._receive_report(name, run, step_fault)
            else:
                run.step(self.store, step_fault)

    def _receive_report(self, name: str, run: ProcedureRun, fault: str) -> None:
        report = run.effect
        if self.nodes[name].clock.now_ms() >= report.deadline_ms:
            run.fail(StoreError("the deadline has passed"))
            return
        holders = [n for n, node in self.nodes.items() if node.lease.is_held()]
        assert holders == [name], f"{name} reports while {holders} hold the lease"
        if fault in ("ok", "lost_after"):
            key = f"{report.firm}/{report.window}"
            body = report.body.decode()
            assert self.reports.setdefault(key, body) == body, "reports differ"
        if fault == "ok":
            run.reply(True)
        else:
            run.fail(StoreError(fault))

    @rule(index=st.integers(0, 10))
    def land(self, index: int) -> None:
        """A write takes effect after its caller saw it fail."""
        self.store.apply_late_write(index)

    @invariant()
    def never_billed_more_than_used(self) -> None:
        """The reports together never bill more tokens than were used."""
        for key, tokens in self._sum_reports().items():
            assert tokens <= self.used_tokens.get(key, 0), key

    def _sum_reports(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for body in self.reports.values():
            for key, line in json.loads(body)["lines"].items():
                total[key] = total.get(key, 0) + line[2]
        return total

    def teardown(self) -> None:
        """Flush and close everything; then each token is billed exactly once."""
        while self.store.late_writes:
            self.store.apply_late_write(0)
        for node in self.nodes.values():
            records = node.ledger.collect_pending(
                self.now
            ) + node.usage_copies.find_orphans(set())
            for record in records:
                assert ProcedureRun(flush_record(record)).finish(self.store)
        holder = self._establish_holder()
        for _ in range(2):
            self._close_all(holder)
            assert self._sum_reports() == self.used_tokens

    def _close_all(self, holder: FakeNode) -> None:
        """Close the window that ended last, for every firm."""
        self.advance(WINDOW_MS)
        self._establish_holder()
        window = self.now - self.now % WINDOW_MS - WINDOW_MS
        for firm in FIRMS:
            run = ProcedureRun(close_window(firm, window, WINDOW_MS, holder.lease))
            while not run.done:
                if isinstance(run.effect, SendReport):
                    self._receive_report("a", run, "ok")
                else:
                    run.step(self.store)
            assert run.result, run.error

    def _establish_holder(self) -> FakeNode:
        for name in ("b", "c"):
            self.nodes[name].lease = Lease("billing", name, 99, VirtualClock(), TIMES)
        holder = self.nodes["a"]
        for _ in range(8):
            ProcedureRun(holder.lease.renew_or_acquire()).finish(self.store)
            if not holder.lease.is_held():
                self.advance(8_000)
        return holder


TestBilling = BillingMachine.TestCase
