"""Fleet-wide reservations: one crash suspect at a time runs on an upstream."""

import msgspec

from plantainwood.core.decoding import decode_record
from plantainwood.core.effects import CompareAndSwap, Procedure, Read, StoredValue
from plantainwood.core.errors import StoreError

RESERVATION_PREFIX = "reservations/"
LIFETIME_MS = 300_000


class Reservation(msgspec.Struct, frozen=True):
    """The stored record; an empty holder means that it was released."""

    holder: str
    until_wall_ms: int


def reserve_upstream(upstream: str, holder: str, wall_ms: int) -> Procedure:
    """Reserve an upstream; return True only when it is certainly reserved.

    `holder` is unique to the request. If the reply to the write is lost, the record is
    read back. A holder that died loses the reservation after LIFETIME_MS.
    """
    key = RESERVATION_PREFIX + upstream
    wanted = Reservation(holder, wall_ms + LIFETIME_MS)
    try:
        found = yield Read(key)
        expected = 0
        if isinstance(found, StoredValue):
            current = decode_record(found.value, Reservation)
            if current.holder and current.until_wall_ms > wall_ms:
                return False
            expected = found.revision
        try:
            return bool(
                (yield CompareAndSwap(key, msgspec.json.encode(wanted), expected))
            )
        except StoreError:
            pass
        found = yield Read(key)
    except StoreError:
        return False
    if not isinstance(found, StoredValue):
        return False
    return decode_record(found.value, Reservation) == wanted


def release_upstream(upstream: str, holder: str) -> Procedure:
    """Release a reservation; return True once the store has none of this holder."""
    key = RESERVATION_PREFIX + upstream
    try:
        found = yield Read(key)
        if not isinstance(found, StoredValue):
            return True
        current = decode_record(found.value, Reservation)
        if current.holder != holder:
            return True
        released = msgspec.json.encode(Reservation("", 0))
        return bool((yield CompareAndSwap(key, released, found.revision)))
    except StoreError:
        return False
