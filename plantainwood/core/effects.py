"""Effects that the core's procedures request, as values.

A procedure that needs the key-value service or the platform is a generator: it
yields one of these effects and is sent the reply, or has StoreError thrown into
it. The driver outside the core performs effects with real clients; tests interleave
procedures, lose replies and abandon procedures midway.
"""

from typing import Generator

import msgspec


class StoredValue(msgspec.Struct, frozen=True):
    """A stored value, with the revision at which it was last written."""

    value: bytes
    revision: int


class Read(msgspec.Struct, frozen=True):
    """Read one key; the reply is a StoredValue, or None if the key is absent."""

    key: str


class Scan(msgspec.Struct, frozen=True):
    """Read all keys under a prefix; the reply is a dict of key to StoredValue."""

    prefix: str


class ScanKeys(msgspec.Struct, frozen=True):
    """Read the names of all keys under a prefix; the reply is a set."""

    prefix: str


class CompareAndSwap(msgspec.Struct, frozen=True):
    """Write a key if its revision is the expected one (0: absent).

    The reply is the key's new revision, or 0 if the revision was another one. The
    service deletes a key with a lifetime some time after it has passed, never before.
    """

    key: str
    value: bytes
    expected: int
    lifetime_ms: int = 0


class SendOrder(msgspec.Struct, frozen=True):
    """Send one start or stop order; the reply is True if it was accepted.

    The sender must not write a byte at or after `deadline_ms` of its own clock, and
    what it wrote must not arrive at or after `arrive_by_ms`.
    """

    action: str
    upstream: str
    domain: str
    fence: int
    deadline_ms: int
    arrive_by_ms: int


class SendReport(msgspec.Struct, frozen=True):
    """Send the frozen totals of a billing window; the reply is True if accepted.

    The limits in time are those of SendOrder.
    """

    firm: str
    window: int
    body: bytes
    fence: int
    deadline_ms: int
    arrive_by_ms: int


class SendDesiredCount(msgspec.Struct, frozen=True):
    """Order how many upstreams of a service are to run in a failure domain.

    The reply is True if it was accepted, False if none are available there. The limits
    in time are those of SendOrder.
    """

    service: str
    domain: str
    desired: int
    spot: bool
    fence: int
    deadline_ms: int
    arrive_by_ms: int


Effect = (
    Read | Scan | ScanKeys | CompareAndSwap | SendOrder | SendReport | SendDesiredCount
)
Procedure = Generator[Effect, object, object]
