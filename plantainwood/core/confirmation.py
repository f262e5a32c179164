"""Confirmation: how sure a node is that its catalogue is the current one."""

MAX_CONFIRM_AGE_MS = 4_000
QUORUM_PERCENT = 50


class Confirmation:
    """Decide whether a node may still serve on its catalogue.

    A node may serve while its revision was confirmed, by the key-value service or
    through partners, within MAX_CONFIRM_AGE_MS. Beyond that it serves only while it
    hears more than QUORUM_PERCENT of the other nodes it knows: then the service
    is down for all of them and no change can have been accepted. A node that
    hears fewer may be cut off, and refuses new work.
    """

    __slots__ = ("revision", "_confirmed_ms")

    def __init__(self) -> None:
        self.revision = 0
        self._confirmed_ms: int | None = None

    def record_store_read(self, revision: int, asked_ms: int) -> None:
        """Note that the service, asked at a time, held this revision as current."""
        if revision < self.revision:
            return
        self.revision = revision
        self._record_confirmation(asked_ms)

    def record_newer_revision(self, revision: int) -> None:
        """Note that a newer revision is in force here, not yet confirmed."""
        self.revision = max(self.revision, revision)

    def record_peer_confirmation(self, revision: int, age_ms: int, now_ms: int) -> None:
        """Take a partner's confirmation; it counts only for our revision or older."""
        if age_ms < 0 or revision != self.revision:
            return
        self._record_confirmation(now_ms - age_ms)

    def _record_confirmation(self, at_ms: int) -> None:
        if self._confirmed_ms is None or at_ms > self._confirmed_ms:
            self._confirmed_ms = at_ms

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the newest confirmation, or -1 if there is none."""
        if self._confirmed_ms is None:
            return -1
        return max(0, now_ms - self._confirmed_ms)

    def may_serve(self, heard: int, known: int, now_ms: int) -> bool:
        """Tell whether requests may run, hearing some of the known other nodes."""
        if self.revision == 0:
            return False
        age_ms = self.age_ms(now_ms)
        if 0 <= age_ms <= MAX_CONFIRM_AGE_MS:
            return True
        if known == 0:
            return True
        return heard * 100 > known * QUORUM_PERCENT
