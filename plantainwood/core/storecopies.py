"""What to make of a store that came back from an older copy of itself.

Operators and upstreams write what they had written again, within a moment. Until then
the copy says of their keys what was true before, so what is known here counts.
"""

from typing import Callable

from plantainwood.core.mirror import KEPT_REVISION, Item, Mirror
from plantainwood.core.storeeras import get_era, make_revision

REWRITE_GRACE_MS = 2_500
"""How long the writers of a lost key have to write it again."""


def came_back(mirror: Mirror, revision: int) -> bool:
    """Tell whether a read is the first one of the store's new era."""
    return mirror.revision > 0 and get_era(revision) > get_era(mirror.revision)


def keep_known_items(
    mirror: Mirror, copied: list[Item], era: int, is_foreign: Callable[[str], bool]
) -> list[Item]:
    """Return the items of a copy, with the mirror's values of foreign keys.

    Foreign keys are those that others than the fleet write. The values kept have the
    lowest revision of the era, so that any later write of the key replaces them, and so
    does a whole read after REWRITE_GRACE_MS.
    """
    found = {item.key: item for item in copied}
    kept: list[Item] = [item for item in copied if not is_foreign(item.key)]
    for key, known in mirror.items.items():
        if not is_foreign(key):
            continue
        item = found.get(key)
        if item is not None and item.value == known.value:
            kept.append(item)
            continue
        kept.append(Item(key, make_revision(era, KEPT_REVISION), known.value))
    return kept
