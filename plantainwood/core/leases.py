"""Leases: at most one process at a time believes that it holds a duty."""

from typing import Callable

import msgspec

from plantainwood.core.clock import Clock
from plantainwood.core.decoding import decode_record
from plantainwood.core.effects import CompareAndSwap, Procedure, Read, StoredValue
from plantainwood.core.errors import StoreError
from plantainwood.core.leaserecords import LEASE_PREFIX, LeaseRecord, LeaseTimes

FENCES_PER_ERA = 1_000_000
"""Fences of a later era of the store are higher than all earlier ones."""


class Lease:
    """Hold one duty or compete for it, as holder or as candidate.

    The holder counts its term from the time before its request was sent. A candidate
    measures on its own clock how long the record has stayed unchanged. No clock is
    ever compared with another, and the key-value service's clock is not used.
    """

    __slots__ = (
        "duty",
        "node",
        "incarnation",
        "fence",
        "previous_holder",
        "acquired_at_ms",
        "_times",
        "_clock",
        "_revision",
        "_held_until_ms",
        "_seen_revision",
        "_seen_at_ms",
        "_nonce",
        "_find_era",
        "_era",
        "_earliest_acquire_ms",
        "_seen_fence",
        "_highest_fence",
        "_sought_previous",
        "_acted_until_ms",
        "_retired",
        "_has_eras",
        "_has_read",
        "_is_confirmed",
    )

    def __init__(
        self,
        duty: str,
        node: str,
        incarnation: int,
        clock: Clock,
        times: LeaseTimes,
        find_era: Callable[[], int] = lambda: 0,
        may_be_held: bool = False,
        has_eras: bool = True,
    ) -> None:
        """Make a lease that is not held.

        `find_era` returns the newest era of the store that is known. `may_be_held`
        tells that some process may hold the duty though the store lost its record.
        `has_eras` is False if the store doesn't tell that it lost writes. Then nothing
        is done for the duty before the first renewal: until then others may not have
        read the record, and would not miss it.
        """
        self.duty = duty
        self.node = node
        self.incarnation = incarnation
        self.fence = 0
        self.previous_holder: str | None = None
        """The holder from whom the duty was taken over without a release, if any."""
        self.acquired_at_ms = 0
        self._times = times
        self._clock = clock
        self._revision = 0
        self._held_until_ms = 0
        self._seen_revision = -1
        self._seen_at_ms = 0
        self._nonce = 0
        self._find_era = find_era
        self._era: int | None = None
        self._earliest_acquire_ms = 0
        self._seen_fence = 0
        self._highest_fence = 0
        """Of all records seen here; the store may come back from an older copy."""
        self._sought_previous: str | None = None
        """The previous holder at the last try to acquire."""
        self._acted_until_ms: int | None = None
        """When this process last could act as a holder that lost the lease."""
        self._retired = False
        self._has_eras = has_eras
        self._has_read = False
        self._is_confirmed = False
        """Whether the lease was renewed since it was acquired."""
        if may_be_held:
            self._earliest_acquire_ms = clock.now_ms() + times.takeover_ms

    @property
    def key(self) -> str:
        """Return the store key of the lease record."""
        return LEASE_PREFIX + self.duty

    def is_held(self) -> bool:
        """Return whether this process may act for the duty at this moment."""
        return self._clock.now_ms() < self.get_deadline_ms()

    def get_deadline_ms(self) -> int:
        """Return the monotonic ms from which on nothing may be sent for the duty."""
        if self._retired or not (self._has_eras or self._is_confirmed):
            return 0
        return self._held_until_ms - self._times.margin_ms

    def get_arrival_limit_ms(self) -> int:
        """Return the monotonic ms from which on another process may act."""
        return self._held_until_ms + self._times.margin_ms + self._times.flight_ms

    def retire(self) -> None:
        """Stop acting for the duty; the record stays until the release."""
        self._retired = True

    def compete_again(self) -> None:
        """Compete for the duty again, after its release."""
        self._retired = False

    def renew_or_acquire(self) -> Procedure:
        """Renew a held lease, else try to acquire it; return whether it is held."""
        if self._retired:
            return False
        self._drop_overdue()
        try:
            if self._revision:
                yield from self._renew()
            else:
                yield from self._try_acquire()
        except StoreError:
            pass
        return self.is_held()

    def _make_record(self, fence: int, released: bool = False) -> LeaseRecord:
        self._nonce += 1
        return LeaseRecord(self.node, self.incarnation, fence, self._nonce, released)

    def _renew(self) -> Procedure:
        asked_ms = self._clock.now_ms()
        record = self._make_record(self.fence)
        revision = yield from self._write(record, self._revision)
        if revision and not self.note_era():
            self._revision = revision
            self._held_until_ms = asked_ms + self._times.term_ms
            self._is_confirmed = True
        else:
            self._mark_lost()

    def _write(self, record: LeaseRecord, expected: int) -> Procedure:
        """Write the record; after a lost reply, read back and compare the nonce."""
        try:
            return (
                yield CompareAndSwap(self.key, msgspec.json.encode(record), expected)
            )
        except StoreError:
            pass
        found = yield Read(self.key)
        if not isinstance(found, StoredValue):
            return 0
        if decode_record(found.value, LeaseRecord) == record:
            return found.revision
        if found.revision == expected:
            raise StoreError("the write was lost or is still in flight")
        return 0

    def _drop_overdue(self) -> None:
        """Give up a lease whose term is over if the store has no eras.

        A store that lost writes may have given the revision out again.
        """
        if not self._revision or self._has_eras:
            return
        if self._clock.now_ms() >= self._held_until_ms:
            self._mark_lost()

    def _mark_lost(self) -> None:
        now_ms = self._clock.now_ms()
        deadline_ms = self._held_until_ms - self._times.margin_ms
        self._acted_until_ms = min(now_ms, deadline_ms)
        self._revision = 0
        self._held_until_ms = 0
        self._is_confirmed = False
        self._seen_revision = -1

    def note_era(self) -> bool:
        """Note the store's era, and return whether it is a new one.

        The store may have lost the record of a holder that is still within its term, so
        none acquires the lease until all earlier terms are over.
        """
        era = self._find_era()
        if era == self._era:
            return False
        is_first = self._era is None
        self._era = era
        if is_first:
            return False
        self._wait_for_earlier_terms()
        return True

    def _wait_for_earlier_terms(self) -> None:
        self._earliest_acquire_ms = self._clock.now_ms() + self._times.takeover_ms

    def _note_record(self, found: object) -> LeaseRecord | None:
        """Note what was read; return the record, None if there is none.

        A lower fence than before means that the store lost writes. One without eras
        doesn't tell, so the first record that is read may be one of long ago.
        """
        record: LeaseRecord | None = None
        if isinstance(found, StoredValue):
            record = decode_record(found.value, LeaseRecord)
            if found.revision != self._seen_revision:
                self._seen_revision = found.revision
                self._seen_at_ms = self._clock.now_ms()
        fence = record.fence if record is not None else 0
        is_first = not self._has_eras and not self._has_read
        if fence < self._seen_fence or is_first:
            self._wait_for_earlier_terms()
        self._has_read = True
        self._seen_fence = fence
        self._highest_fence = max(fence, self._highest_fence)
        return record

    def _must_rest(self, record: LeaseRecord) -> bool:
        """Return whether another process held the lease since this one did, just now.

        Holders that take turns within a term would look like two at a time.
        """
        if self._acted_until_ms is None or record.fence == self.fence:
            return False
        rested_ms = self._clock.now_ms() - self._acted_until_ms
        return rested_ms < self._times.term_ms + self._times.flight_ms

    def _try_acquire(self) -> Procedure:
        found = yield Read(self.key)
        self.note_era()
        record = self._note_record(found)
        now_ms = self._clock.now_ms()
        if now_ms < self._earliest_acquire_ms:
            return
        if record is None:
            yield from self._acquire(0, self._highest_fence + 1, None)
            return
        revision = self._seen_revision
        next_fence = self._highest_fence + 1
        if record.holder == self.node and record.incarnation == self.incarnation:
            # A delayed write of this process landed; no other process can act on it.
            is_highest = record.fence == self._highest_fence
            fence = record.fence if is_highest else next_fence
            yield from self._acquire(revision, fence, self._find_previous(record))
            return
        if self._must_rest(record):
            return
        if record.released:
            yield from self._acquire(revision, next_fence, None)
            return
        if now_ms - self._seen_at_ms < self._times.takeover_ms:
            return
        yield from self._acquire(revision, next_fence, record.holder)

    def _find_previous(self, own: LeaseRecord) -> str | None:
        """Return the holder before this process's own record."""
        if own.fence == self.fence:
            return self.previous_holder
        return self._sought_previous

    def _acquire(self, expected: int, fence: int, previous: str | None) -> Procedure:
        asked_ms = self._clock.now_ms()
        fence = max(fence, (self._era or 0) * FENCES_PER_ERA + 1)
        self._sought_previous = previous
        revision = yield from self._write(self._make_record(fence), expected)
        if not revision or self.note_era():
            return
        self.fence = self._seen_fence = self._highest_fence = fence
        self.previous_holder = previous
        self.acquired_at_ms = self._clock.now_ms()
        self._revision = revision
        self._held_until_ms = asked_ms + self._times.term_ms

    def release(self) -> Procedure:
        """Release the duty; call it only while no order or report is in flight."""
        self._drop_overdue()
        if not self._revision:
            return True
        record = self._make_record(self.fence, released=True)
        expected = self._revision
        self._mark_lost()
        try:
            return bool((yield from self._write(record, expected)))
        except StoreError:
            return False
