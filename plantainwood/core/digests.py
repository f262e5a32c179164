"""Digests: soft state that spreads by rumour; the newest version wins."""

from plantainwood.core.hashing import hash_poller
from plantainwood.core.messages import AnyGossipRecord

MAX_DIGESTS = 40_000


class DigestTable:
    """Hold the newest digest of each key and what each partner still lacks.

    Merging is idempotent and commutative, so loss, repetition, reordering and
    two paths at once do no harm.
    """

    __slots__ = ("_digests", "_missing", "_same_domain_partners")

    def __init__(self) -> None:
        self._digests: dict[tuple[str, ...], AnyGossipRecord] = {}
        self._missing: dict[str, dict[tuple[str, ...], None]] = {}
        self._same_domain_partners: set[str] = set()

    def set_partners(self, partners: list[str], same_domain: set[str]) -> None:
        """Use these partners; a new one lacks everything.

        Load reports go only to those `beside` this node, in its failure domain.
        """
        self._same_domain_partners = same_domain
        for partner in list(self._missing):
            if partner not in partners:
                del self._missing[partner]
        for partner in partners:
            if partner not in self._missing:
                self.resend(partner)

    def resend(self, partner: str) -> None:
        """Treat a partner as knowing nothing."""
        self._missing[partner] = {}
        for key in self._digests:
            if self._is_for(partner, key):
                self._missing[partner][key] = None

    def _is_for(self, partner: str, key: tuple[str, ...]) -> bool:
        return key[0] != "load" or partner in self._same_domain_partners

    def merge(self, digest: AnyGossipRecord, source: str) -> bool:
        """Take a digest in; return whether it is news."""
        current = self._digests.get(digest.key)
        missing = self._missing.get(source)
        if current is not None and current.version >= digest.version:
            if missing is not None and current.version == digest.version:
                missing.pop(digest.key, None)
            return False
        if current is None and len(self._digests) >= MAX_DIGESTS:
            return False
        self._digests[digest.key] = digest
        for partner, keys in self._missing.items():
            if partner != source and self._is_for(partner, digest.key):
                keys[digest.key] = None
        if missing is not None:
            missing.pop(digest.key, None)
        return True

    def take_missing(self, partner: str) -> list[AnyGossipRecord]:
        """Return what a partner lacks and regard it as sent."""
        keys = self._missing.get(partner)
        if not keys:
            return []
        digests: list[AnyGossipRecord] = []
        for key in keys:
            digest = self._digests.get(key)
            if digest is not None:
                digests.append(digest)
        keys.clear()
        return digests

    def drop_origin(self, origin: str) -> None:
        """Forget what a node that is long gone said about itself and its polls."""
        for key in list(self._digests):
            if key[0] in ("beat", "profile") and key[1] == origin:
                del self._digests[key]
            elif key[0] == "load" and key[2] == str(hash_poller(origin)):
                del self._digests[key]

    def find(self, *key: str) -> AnyGossipRecord | None:
        """Return the digest of a key."""
        return self._digests.get(key)

    def all(self) -> list[AnyGossipRecord]:
        """Return the newest digest of every key."""
        return list(self._digests.values())

    def __len__(self) -> int:
        return len(self._digests)
