"""Effects that a decision asks for, as values.

A procedure that needs the key-value service or the platform is a generator: it
yields one of these calls and is sent the reply, or has StoreError thrown into
it. The shell's driver awaits real clients; tests interleave, lose and kill.
"""

from typing import Generator

import msgspec


class StoredValue(msgspec.Struct, frozen=True):
    """A value read back, with the revision under which it was last written."""

    value: bytes
    revision: int


class Read(msgspec.Struct, frozen=True):
    """Read one key; the reply is StoredValue or None."""

    key: str


class Scan(msgspec.Struct, frozen=True):
    """Read all keys under a prefix; the reply is a dict of key to StoredValue."""

    prefix: str


class ScanKeys(msgspec.Struct, frozen=True):
    """Read the names of all keys under a prefix; the reply is a set."""

    prefix: str


class CompareAndSwap(msgspec.Struct, frozen=True):
    """Write a key if its revision is the expected one (0: absent).

    The reply is the key's new revision, or 0 when the condition did not hold. A key
    with a lifetime is dropped by the service some time after it, never before.
    """

    key: str
    value: bytes
    expected: int
    lifetime_ms: int = 0


class SendOrder(msgspec.Struct, frozen=True):
    """Send one start or stop order; the reply is True when it was taken.

    The sender must not write a byte at or after `deadline_ms` of its own clock.
    """

    action: str
    upstream: str
    domain: str
    fence: int
    deadline_ms: int


class SendReport(msgspec.Struct, frozen=True):
    """Send the frozen figures of a billing window; the reply is True when taken."""

    firm: str
    window: int
    body: bytes
    fence: int
    deadline_ms: int


class SendDesiredCount(msgspec.Struct, frozen=True):
    """Order how many upstreams of a service run in a failure domain.

    The reply is True when it was taken, False when none are available there.
    """

    service: str
    domain: str
    desired: int
    spot: bool
    fence: int
    deadline_ms: int


Effect = (
    Read | Scan | ScanKeys | CompareAndSwap | SendOrder | SendReport | SendDesiredCount
)
Procedure = Generator[Effect, object, object]
