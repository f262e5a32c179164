"""Counts by window, the agreed time, and reports of one window that never differ."""

from hypothesis import given
from hypothesis import strategies as st

from plantainwood.core.clock import VirtualClock
from plantainwood.core.effects import CompareAndSwap, SendReport
from plantainwood.core.leaserecords import LeaseTimes
from plantainwood.core.leases import Lease
from plantainwood.core.reports import make_report_key, report_window
from plantainwood.core.vms import AgreedTime
from plantainwood.core.windows import NodeCounts, StartCounter, WindowTotals
from tests.fakes import FakeStore
from tests.seeds import pin_seed

WINDOW_MS = 5_000


def make_totals(counts: dict[str, int], sequence: int = 1) -> WindowTotals:
    """Return totals with one record, of window 7."""
    totals = WindowTotals()
    totals.put(NodeCounts("vm-1", 1, 7, sequence, counts))
    return totals


def make_lease(name: str, clock: VirtualClock, store: FakeStore) -> Lease:
    """Return a lease that the node holds."""
    lease = Lease("fleet", name, 1, clock, LeaseTimes(3_000, 500, 500))
    run_procedure(lease.renew_or_acquire(), store, [])
    return lease


def run_procedure(
    procedure, store: FakeStore, sent: list[SendReport], write_fault: str = ""
) -> object:
    """Run a procedure; `write_fault` names how its first write fails.

    'after': it takes effect, but its reply is lost; 'late': it takes effect later.
    """
    reply = None
    error = None
    while True:
        try:
            effect = procedure.throw(error) if error else procedure.send(reply)
        except StopIteration as stop:
            return stop.value
        error = None
        if isinstance(effect, SendReport):
            sent.append(effect)
            reply = True
            continue
        if isinstance(effect, CompareAndSwap) and write_fault:
            from plantainwood.core.errors import StoreError

            if write_fault == "after":
                store.perform(effect)
            elif write_fault == "late":
                store.late_writes.append(effect)
            write_fault = ""
            error = StoreError("no answer")
            continue
        reply = store.perform(effect)


def test_counts_are_summed_over_nodes_and_runs_without_duplicates():
    totals = make_totals({"a": 3})
    totals.put(NodeCounts("vm-1", 2, 7, 1, {"a": 2, "b": 1}))
    totals.put(NodeCounts("vm-1", 1, 7, 1, {"a": 3}))
    assert totals.sum(7) == {"a": 5, "b": 1}


@pin_seed("test_the_newest_record_of_a_run_counts_in_any_order")
@given(st.permutations([1, 2, 3, 4]))
def test_the_newest_record_of_a_run_counts_in_any_order(order):
    totals = WindowTotals()
    for sequence in order:
        totals.put(NodeCounts("vm-1", 1, 7, sequence, {"a": sequence}))
    assert totals.sum(7) == {"a": 4}


def test_a_counter_gives_records_whose_sequence_grows():
    counter = StartCounter("vm-1", 1, WINDOW_MS)
    counter.count("a", 35_001)
    counter.count("a", 39_999)
    counter.count("b", 40_000)
    assert [(r.window, r.sequence, r.counts) for r in counter.list_records()] == [
        (7, 2, {"a": 2}),
        (8, 1, {"b": 1}),
    ]


def test_a_second_lease_holder_sends_the_counts_frozen_first():
    clock, store, sent = VirtualClock(), FakeStore(), []
    first = make_lease("vm-1", clock, store)
    assert run_procedure(report_window(7, make_totals({"a": 3}), first), store, sent)
    clock.advance(60_000)
    second = Lease("fleet", "vm-2", 1, clock, LeaseTimes(3_000, 500, 500))
    run_procedure(second.renew_or_acquire(), store, [])
    clock.advance(60_000)
    run_procedure(second.renew_or_acquire(), store, [])
    assert run_procedure(report_window(7, make_totals({"a": 4}), second), store, sent)
    assert sent[0].body == sent[1].body
    assert sent[0].fence < sent[1].fence


def test_counts_whose_write_had_no_reply_are_sent_as_stored():
    clock, store, sent = VirtualClock(), FakeStore(), []
    lease = make_lease("vm-1", clock, store)
    totals = make_totals({"a": 3})
    assert run_procedure(
        report_window(7, totals, lease), store, sent, write_fault="after"
    )
    assert sent[0].body == store.items[make_report_key(7)].value


def test_no_counts_are_sent_while_their_write_may_still_take_effect():
    clock, store, sent = VirtualClock(), FakeStore(), []
    lease = make_lease("vm-1", clock, store)
    assert not run_procedure(
        report_window(7, make_totals({"a": 3}), lease), store, sent, write_fault="late"
    )
    assert sent == []
    later_totals = make_totals({"a": 4}, sequence=2)
    assert run_procedure(report_window(7, later_totals, lease), store, sent)
    store.apply_late_write(0)
    assert store.items[make_report_key(7)].value == sent[0].body


def test_a_holder_whose_lease_expired_sends_nothing():
    clock, store, sent = VirtualClock(), FakeStore(), []
    lease = make_lease("vm-1", clock, store)
    clock.advance(10_000)
    assert not run_procedure(
        report_window(7, make_totals({"a": 3}), lease), store, sent
    )
    assert sent == []


def test_the_agreed_time_ignores_a_clock_that_is_off():
    agreed = AgreedTime(wall_ms=1_002_400, now_ms=0)
    agreed.record("vm-2", 1_000_010, 10, 10)
    agreed.record("vm-3", 1_000_020, 10, 10)
    agreed.correct_offset({"vm-2", "vm-3"})
    assert abs(agreed.now(10) - 1_000_010) < 50


def test_the_agreed_time_ignores_small_differences():
    agreed = AgreedTime(wall_ms=1_000_000, now_ms=0)
    agreed.record("vm-2", 1_000_110, 10, 10)
    agreed.record("vm-3", 1_000_120, 10, 10)
    agreed.correct_offset({"vm-2", "vm-3"})
    assert agreed.now(10) == 1_000_010
