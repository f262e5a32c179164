"""What to make of a store that came back from an older copy of itself.

Operators and upstreams write what they had written again, within a moment. Until then
the copy says of their keys what was true before, so what is known here counts.
"""

from typing import Callable

from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.mirror import KEPT_REVISION, Item, Mirror
from plantainwood.core.storeeras import get_era, get_store_revision, make_revision

REWRITE_GRACE_MS = 2_500
"""How long the writers of a lost key have to write it again."""
SNAPSHOT_LEEWAY_MS = 500
"""How much of that time may pass until another VM's first snapshot arrives."""
SECOND_READ_DELAY_MS = 1_000
SECOND_READ_STEP_MS = 200


def compute_second_read_delay_ms(rank: int) -> int:
    """Return how long the VM at this rank waits for others to read the store again.

    One after the other, since each sends what it has read to all.
    """
    return SECOND_READ_DELAY_MS + SECOND_READ_STEP_MS * rank


class SecondRead:
    """When a VM reads the whole store once more, after the store came back.

    The VM that has read the copy does so once the lost keys had time to be written
    again, and sends all others what it has read. Any of them reads later in its place,
    for it may have ended before that. The time counts from when the first VM is known
    to have read the copy: a VM that was frozen meanwhile is told of it late.
    """

    __slots__ = (
        "_era",
        "_heard_era",
        "_heard_ms",
        "_first_heard",
        "_heard_delay_ms",
        "_ends_ms",
        "_due_ms",
    )

    def __init__(self) -> None:
        self._era: int | None = None
        self._heard_era = 0
        self._heard_ms: int | None = None
        """By when some other VM had read the store in that era."""
        self._first_heard: dict[tuple[str, int], VmHeartbeat] = {}
        """The first heartbeat from that era of each VM, by name and incarnation."""
        self._heard_delay_ms = SECOND_READ_DELAY_MS
        """How long this VM waits for those whose reads it has heard of."""
        self._ends_ms = 0
        """From when on a whole mirror holds what was written again."""
        self._due_ms: int | None = None

    def note_heartbeat(self, heartbeat: VmHeartbeat, now_ms: int) -> None:
        """Record that a VM had read the store's era when it sent a heartbeat.

        Its first heartbeat from the era is older than one that has come now by the
        difference of the sender's own times, however late both have come and however
        wrong its clock is.
        """
        era = get_era(heartbeat.revision)
        if era > self._heard_era:
            self._heard_era = era
            self._heard_ms = None
            self._first_heard.clear()
        if era < self._heard_era or self._is_over(era):
            return
        key = (heartbeat.sender, heartbeat.incarnation)
        first = self._first_heard.setdefault(key, heartbeat)
        # A clock that is set changes one of the two only.
        passed_ms = min(
            heartbeat.agreed_ms - first.agreed_ms, heartbeat.wall_ms - first.wall_ms
        )
        heard_ms = now_ms - max(0, passed_ms)
        if self._heard_ms is None or heard_ms < self._heard_ms:
            self._heard_ms = heard_ms
            self._count_from_heard()

    def _is_over(self, era: int) -> bool:
        """Tell whether nothing of an era is to be read again."""
        return self._era is not None and era <= self._era and self._due_ms is None

    def note_whole(self, era: int, at_ms: int, delay_ms: int) -> None:
        """Record that the whole mirror was read at a time, here or by another VM.

        `delay_ms` is how long this VM waits for others to read the store again. A VM
        whose first mirror this is has kept nothing from before, and plans nothing.
        """
        if self._era is None:
            self._era = era
        elif era > self._era:
            self._era = era
            self._due_ms = at_ms + REWRITE_GRACE_MS + delay_ms
            self._ends_ms = at_ms + REWRITE_GRACE_MS
            if delay_ms:
                self._ends_ms -= SNAPSHOT_LEEWAY_MS
            self._heard_delay_ms = max(delay_ms, SECOND_READ_DELAY_MS)
            self._count_from_heard()
        elif at_ms >= self._ends_ms:
            self._due_ms = None
        if self._is_over(self._heard_era):
            self._first_heard.clear()

    def _count_from_heard(self) -> None:
        """Count from the first read known of, while the copy is not read again."""
        if self._era != self._heard_era or self._heard_ms is None:
            return
        if self._due_ms is None:
            return
        grace_ends_ms = self._heard_ms + REWRITE_GRACE_MS
        self._due_ms = min(self._due_ms, grace_ends_ms + self._heard_delay_ms)
        self._ends_ms = min(self._ends_ms, grace_ends_ms - SNAPSHOT_LEEWAY_MS)

    def is_awaited(self, now_ms: int) -> bool:
        """Tell whether lost keys may still be written again."""
        return self._due_ms is not None and now_ms < self._ends_ms

    def is_due(self, now_ms: int) -> bool:
        """Tell whether to read the whole store now."""
        return self._due_ms is not None and now_ms >= self._due_ms


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


def keep_kept_items(mirror: Mirror, found: list[Item]) -> list[Item]:
    """Return the items of a further read of a copy that the mirror follows already.

    It takes what was written since, and leaves the rest as it is known.
    """
    items: list[Item] = []
    for item in found:
        known = mirror.items.get(item.key)
        if item.revision > mirror.revision:
            items.append(item)
        elif known is not None:
            items.append(known)
    names = {item.key for item in items}
    for key, known in mirror.items.items():
        if key not in names and get_store_revision(known.revision) == KEPT_REVISION:
            items.append(known)
    return items
