"""The store's record of the versions whose streams may still be taken up, by pool.

A VM that starts after all others were lost knows only the versions that are registered
at that moment. The record names those that left shortly before, too. It is written when
a version comes and once it has been gone for VERSION_LIFETIME_MS, not per stream.
"""

import msgspec

from plantainwood.core.decoding import decode_json
from plantainwood.core.effects import CompareAndSwap, Procedure
from plantainwood.core.errors import StoreError

VERSIONS_PREFIX = "stream-versions/"


def make_versions_key(pool: str) -> str:
    """Return the store key of a pool's versions."""
    return VERSIONS_PREFIX + pool


def decode_versions(value: bytes) -> set[str]:
    """Return the recorded versions; raise MalformedError if they are malformed."""
    return set(decode_json(value, list[str]))


def store_versions(pool: str, versions: set[str], revision: int) -> Procedure:
    """Replace a pool's record if it is still at a revision (0: there is none).

    Returns whether it was replaced; False if the store call failed.
    """
    value = msgspec.json.encode(sorted(versions))
    try:
        return bool((yield CompareAndSwap(make_versions_key(pool), value, revision)))
    except StoreError:
        return False
