"""Leases and usage reports when the store comes back from an older copy of itself."""

import copy

from plantainwood.core.clock import VirtualClock
from plantainwood.core.effects import SendReport
from plantainwood.core.leaserecords import LeaseTimes
from plantainwood.core.leases import Lease
from plantainwood.core.reports import FrozenReports, make_report_key, report_window
from tests.fakes import FakeStore
from tests.test_windows import make_totals, run_procedure

TIMES = LeaseTimes(3_000, 500, 500)


class EraSite:
    """A store with eras, a clock, and candidates for one duty."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.store = FakeStore()
        self.era = 1
        self.sent: list[SendReport] = []

    def make_lease(self, name: str, may_be_held: bool = False) -> Lease:
        """Return a candidate's lease, which is not held."""
        return Lease("fleet", name, 1, self.clock, TIMES, lambda: self.era, may_be_held)

    def try_lease(self, lease: Lease) -> bool:
        """Renew or acquire a lease; return whether it is held."""
        return bool(run_procedure(lease.renew_or_acquire(), self.store, self.sent))

    def come_back(self, items: dict) -> None:
        """Lose everything written since a copy of the items was made."""
        self.store.items = copy.copy(items)
        self.era += 1


# Guards against ONE: the copy had no record of the holder, or an older one, so that a
# second process took the duty within the holder's term, with a fence seen before.
def test_nobody_acquires_a_duty_whose_record_was_lost_within_the_holders_term():
    site = EraSite()
    before = copy.copy(site.store.items)
    holder = site.make_lease("vm-1")
    other = site.make_lease("vm-2")
    assert site.try_lease(holder)
    assert not site.try_lease(other)
    site.come_back(before)
    while holder.is_held():
        assert not site.try_lease(other)
        site.clock.advance(100)
    site.clock.advance(2 * TIMES.takeover_ms)
    assert site.try_lease(other)
    assert other.fence > holder.fence


def test_a_holder_whose_record_was_lost_stops_and_waits_as_all_do():
    site = EraSite()
    before = copy.copy(site.store.items)
    holder = site.make_lease("vm-1")
    assert site.try_lease(holder)
    first_fence = holder.fence
    site.come_back(before)
    site.clock.advance(500)
    assert not site.try_lease(holder)
    assert not site.try_lease(holder)
    site.clock.advance(TIMES.takeover_ms + 1)
    assert site.try_lease(holder)
    assert holder.fence > first_fence


def test_a_process_that_starts_later_waits_for_a_holder_that_the_store_forgot():
    site = EraSite()
    before = copy.copy(site.store.items)
    holder = site.make_lease("vm-1")
    assert site.try_lease(holder)
    site.come_back(before)
    fresh = site.make_lease("vm-3", may_be_held=True)
    assert holder.is_held() and not site.try_lease(fresh)
    site.clock.advance(TIMES.takeover_ms + 1)
    assert site.try_lease(fresh)


# Guards against ONE: a reported window was frozen again, with other counts.
def test_counts_that_the_store_lost_are_frozen_again_as_they_were():
    site = EraSite()
    before = copy.copy(site.store.items)
    first = site.make_lease("vm-1")
    second = site.make_lease("vm-2")
    assert site.try_lease(first)
    site.try_lease(second)
    known = FrozenReports()
    told: dict[str, bytes] = {}
    report = report_window(7, make_totals({"a": 3}), first, known, told.__setitem__)
    assert run_procedure(report, site.store, site.sent)
    assert list(told) == [make_report_key(7)]
    site.come_back(before)
    site.clock.advance(2 * TIMES.takeover_ms)
    site.try_lease(second)
    site.clock.advance(2 * TIMES.takeover_ms)
    assert site.try_lease(second)
    others_knowledge = FrozenReports()
    for key, counts in told.items():
        others_knowledge.record(key, counts)
    later = make_totals({"a": 4})
    report = report_window(7, later, second, others_knowledge)
    assert run_procedure(report, site.store, site.sent)
    assert [item.body for item in site.sent] == [site.sent[0].body] * 2
