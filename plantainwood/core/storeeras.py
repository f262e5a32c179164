"""Revisions of a key-value store that may come back from an older copy of itself.

The store counts its eras. Within one, its revisions only rise; in the next one they
start from those of the copy and are given out again. A revision here holds the era in
its high bits, so that it never goes back, and says in which era the store gave it out.
"""

ERA_SHIFT_BITS = 40
MAX_REVISION = (1 << ERA_SHIFT_BITS) - 1


def make_revision(era: int, revision: int) -> int:
    """Return a revision of the store with the era in which it was given out."""
    return era << ERA_SHIFT_BITS | revision


def get_era(revision: int) -> int:
    """Return the era in which a revision was given out."""
    return revision >> ERA_SHIFT_BITS


def get_store_revision(revision: int) -> int:
    """Return a revision as the store counts it."""
    return revision & MAX_REVISION
