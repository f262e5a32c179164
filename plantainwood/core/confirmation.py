"""Confirmation: whether a node's catalogue is known to be current."""

MAX_CONFIRM_AGE_MS = 4_000
QUORUM_PERCENT = 50


def hears_quorum(heard: int, known: int) -> bool:
    """Return whether a node hears most of the other nodes that it knows."""
    return known == 0 or heard * 100 > known * QUORUM_PERCENT


class Confirmation:
    """Decide whether a node may still serve requests with its catalogue.

    A node may serve while its revision was confirmed within MAX_CONFIRM_AGE_MS, by
    the key-value service or by a peer. After that it may serve only while it hears
    more than QUORUM_PERCENT of the other nodes it knows: then the service is down
    for all of them and no change can have been accepted. A node that hears fewer
    may be partitioned from the rest, and refuses new requests.
    """

    __slots__ = ("revision", "_confirmed_ms")

    def __init__(self) -> None:
        self.revision = 0
        self._confirmed_ms: int | None = None

    def record_store_read(self, revision: int, asked_ms: int) -> None:
        """Record that the key-value service, asked at `asked_ms`, had this revision."""
        if revision < self.revision:
            return
        self.revision = revision
        self._record_confirmation(asked_ms)

    def record_newer_revision(self, revision: int) -> None:
        """Record a newer revision that is in force here but not confirmed yet."""
        self.revision = max(self.revision, revision)

    def record_peer_confirmation(self, revision: int, age_ms: int, now_ms: int) -> None:
        """Record a peer's confirmation; one of another revision is ignored."""
        if age_ms < 0 or revision != self.revision:
            return
        self._record_confirmation(now_ms - age_ms)

    def _record_confirmation(self, at_ms: int) -> None:
        if self._confirmed_ms is None or at_ms > self._confirmed_ms:
            self._confirmed_ms = at_ms

    def compute_age_ms(self, now_ms: int) -> int:
        """Return the age of the newest confirmation in ms, or -1 if there is none."""
        if self._confirmed_ms is None:
            return -1
        return max(0, now_ms - self._confirmed_ms)

    def may_serve(self, heard: int, known: int, now_ms: int) -> bool:
        """Return whether requests may run, hearing `heard` of `known` other nodes."""
        if self.revision == 0:
            return False
        age_ms = self.compute_age_ms(now_ms)
        if 0 <= age_ms <= MAX_CONFIRM_AGE_MS:
            return True
        return hears_quorum(heard, known)
