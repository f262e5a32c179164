"""Leases around hand-overs: late writes, a store that went back, holders in turn."""

import copy

import pytest

from plantainwood.core.clock import VirtualClock
from plantainwood.core.leaserecords import LeaseTimes
from plantainwood.core.leases import Lease
from tests.fakes import FakeStore, ProcedureRun

TIMES = LeaseTimes(3_000, 500, 500)


class LeaseSite:
    """A store, a clock, and processes that contend for one duty."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.store = FakeStore()
        self.era = 0

    def make_lease(self, name: str, has_eras: bool = True) -> Lease:
        """Return a candidate's lease, which is not held."""
        return Lease(
            "orders",
            name,
            1,
            self.clock,
            TIMES,
            lambda: self.era,
            has_eras=has_eras,
        )

    def try_lease(self, lease: Lease) -> bool:
        """Renew or acquire a lease; return whether it is held."""
        return bool(ProcedureRun(lease.renew_or_acquire()).finish(self.store))

    def try_until_held(self, lease: Lease) -> None:
        """Let a candidate try until it holds the lease."""
        for _ in range(100):
            if self.try_lease(lease):
                return
            self.clock.advance(100)
        raise AssertionError("the lease is not acquired")


# Guards against two processes that act as holder: an order to an upstream that ignores
# fences was sent at once, though the holder before was only silent, as the write that
# took the lease from it landed late.
def test_a_late_write_leaves_it_known_from_whom_the_lease_was_taken():
    site = LeaseSite()
    first, second = site.make_lease("vm-1"), site.make_lease("vm-2")
    assert site.try_lease(first)
    assert not site.try_lease(second)
    site.clock.advance(TIMES.takeover_ms)
    run = ProcedureRun(second.renew_or_acquire())
    run.step(site.store)
    run.step(site.store, "late")
    run.finish(site.store)
    assert not second.is_held()
    site.store.apply_late_write(0)
    assert site.try_lease(second)
    assert second.previous_holder == "vm-1"


# Guards against ONE: a store back from an older copy gave the number of a paused
# holder's revision out again, to its successor; the holder renewed that record.
def test_a_paused_holder_renews_no_record_of_a_later_era():
    site = LeaseSite()
    before = copy.copy(site.store.items), site.store.revision
    paused, other = site.make_lease("vm-1"), site.make_lease("vm-2")
    site.try_lease(paused)
    assert not site.try_lease(other)
    site.store.items, site.store.revision = copy.copy(before[0]), before[1]
    site.era += 1
    site.try_until_held(other)
    run = ProcedureRun(paused.renew_or_acquire())
    run.finish(site.store)
    assert not paused.is_held()


# Guards against ONE: a process that was no candidate when the store came back took the
# lease at once, by a record that it had released before the copy was made.
def test_a_process_that_becomes_a_candidate_later_waits_too():
    site = LeaseSite()
    leaving, holder = site.make_lease("vm-1"), site.make_lease("vm-2")
    later = site.make_lease("vm-3")
    later.note_era()
    assert site.try_lease(leaving)
    ProcedureRun(leaving.release()).finish(site.store)
    before = copy.copy(site.store.items)
    assert site.try_lease(holder)
    site.store.items = before
    site.era += 1
    later.note_era()
    while holder.is_held():
        assert not site.try_lease(later)
        site.clock.advance(100)
    site.try_until_held(later)
    assert later.fence > holder.fence


# Guards against ONE where the store tells no era: it lost the holder's record, and the
# fence was given out again, within the holder's term.
def test_a_store_that_went_back_gives_no_fence_twice():
    site = LeaseSite()
    before = copy.copy(site.store.items)
    holder, other = site.make_lease("vm-1"), site.make_lease("vm-2")
    assert site.try_lease(holder)
    assert not site.try_lease(other)
    site.store.items = before
    while holder.is_held():
        assert not site.try_lease(other)
        site.clock.advance(100)
    site.try_until_held(other)
    assert other.fence > holder.fence


# Guards against ONE where the store tells no era: a process that had read nothing yet
# took a duty at once, while a holder whose record the store had lost was in its term.
def test_a_process_waits_for_all_terms_before_its_first_read():
    site = LeaseSite()
    holder = site.make_lease("vm-1", has_eras=False)
    site.try_until_held(holder)
    site.store.items.clear()
    fresh = site.make_lease("vm-2", has_eras=False)
    while holder.is_held():
        assert not site.try_lease(fresh)
        site.clock.advance(100)
    site.try_until_held(fresh)


# Guards against ONE where the store tells no era: the record of a new holder was lost
# before the other candidates had read it, so the next one took the duty at once.
@pytest.mark.parametrize("revision", [0, 10])
def test_a_holder_whose_record_nobody_has_read_does_not_act(revision):
    site = LeaseSite()
    leases = [site.make_lease(name, has_eras=False) for name in ("vm-1", "vm-2")]
    for lease in leases:
        assert not site.try_lease(lease)
    site.clock.advance(TIMES.takeover_ms)
    assert not site.try_lease(leases[0])
    site.store.items.clear()
    site.store.revision = revision
    for _ in range(100):
        site.clock.advance(100)
        for lease in reversed(leases):
            site.try_lease(lease)
            assert sum(item.is_held() for item in leases) <= 1
    assert any(lease.is_held() for lease in leases)


# Guards against ONE where the store tells no era: a holder that was cut off renewed, or
# released, its successor's record, whose revision was that of its own.
@pytest.mark.parametrize("is_release", [False, True])
def test_a_holder_whose_term_is_over_writes_by_no_revision(is_release):
    site = LeaseSite()
    holder = site.make_lease("vm-1", has_eras=False)
    other = site.make_lease("vm-2", has_eras=False)
    site.try_until_held(holder)
    site.store.items.clear()
    site.store.revision = 0
    site.try_until_held(other)
    kept = site.store.items[other.key]
    assert not holder.is_held()
    procedure = holder.release() if is_release else holder.renew_or_acquire()
    ProcedureRun(procedure).finish(site.store)
    assert not holder.is_held()
    assert site.store.items[other.key] == kept


# Guards against ONE (holders A, B, A within the length of a lease): a holder that lost
# the lease acted again as soon as its successor had released it.
def test_a_holder_that_was_replaced_rests_for_a_term():
    site = LeaseSite()
    first, second = site.make_lease("vm-1"), site.make_lease("vm-2")
    assert site.try_lease(first)
    site.try_until_held(second)
    acted_ms = first.get_deadline_ms()
    assert not site.try_lease(first)
    ProcedureRun(second.release()).finish(site.store)
    while site.clock.now_ms() < acted_ms + TIMES.term_ms:
        assert not site.try_lease(first)
        site.clock.advance(50)
    site.try_until_held(first)


def test_a_holder_that_lost_its_lease_to_nobody_takes_it_again_at_once():
    site = LeaseSite()
    lease = site.make_lease("vm-1")
    assert site.try_lease(lease)
    site.clock.advance(10 * TIMES.term_ms)
    assert not lease.is_held()
    assert site.try_lease(lease)


# Guards against ONE: a renewal that ended during a planned stop made the leaving
# process a holder again.
def test_a_retired_holder_acts_no_more_and_can_still_release():
    site = LeaseSite()
    lease = site.make_lease("vm-1")
    assert site.try_lease(lease)
    renewal = ProcedureRun(lease.renew_or_acquire())
    lease.retire()
    assert not lease.is_held()
    renewal.finish(site.store)
    assert not lease.is_held()
    assert ProcedureRun(lease.release()).finish(site.store)
    assert site.try_lease(site.make_lease("vm-2"))
