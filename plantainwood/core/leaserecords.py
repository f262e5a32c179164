"""Stored records of leases, and the durations that all processes keep to."""

import msgspec

LEASE_PREFIX = "leases/"
MAX_CLOCK_DRIFT_PERCENT = 10


class LeaseRecord(msgspec.Struct, frozen=True):
    """The stored record of a lease; every write carries a fresh nonce."""

    holder: str
    incarnation: int
    fence: int
    nonce: int
    released: bool = False


class LeaseTimes(msgspec.Struct, frozen=True):
    """The durations of a lease in milliseconds."""

    term_ms: int = 9_000
    margin_ms: int = 1_000
    flight_ms: int = 2_000

    @property
    def takeover_ms(self) -> int:
        """Return how long a candidate must see a record unchanged before it takes over.

        It covers the holder's term on a clock that runs slow, the margin, and the
        flight of an order sent at the last allowed moment.
        """
        covered = self.term_ms + self.margin_ms + self.flight_ms
        return covered * (100 + MAX_CLOCK_DRIFT_PERCENT) // 100
