"""Digests: soft state that spreads by rumour; the newest version wins."""

from plantainwood.core.hashing import hash_poller
from plantainwood.core.messages import AnyGossipRecord

MAX_GOSSIP_RECORDS = 40_000


class GossipTable:
    """Hold the newest digest of each key and what each partner still lacks.

    Merging is idempotent and commutative, so loss, repetition, reordering and
    two paths at once do no harm.
    """

    __slots__ = ("_records", "_unsent", "_same_domain_partners")

    def __init__(self) -> None:
        self._records: dict[tuple[str, ...], AnyGossipRecord] = {}
        self._unsent: dict[str, dict[tuple[str, ...], None]] = {}
        self._same_domain_partners: set[str] = set()

    def set_partners(self, partners: list[str], same_domain: set[str]) -> None:
        """Use these partners; a new one lacks everything.

        Load reports go only to those `beside` this node, in its failure domain.
        """
        self._same_domain_partners = same_domain
        for partner in list(self._unsent):
            if partner not in partners:
                del self._unsent[partner]
        for partner in partners:
            if partner not in self._unsent:
                self.resend(partner)

    def resend(self, partner: str) -> None:
        """Treat a partner as knowing nothing."""
        self._unsent[partner] = {}
        for key in self._records:
            if self._is_relevant_to(partner, key):
                self._unsent[partner][key] = None

    def _is_relevant_to(self, partner: str, key: tuple[str, ...]) -> bool:
        return key[0] != "load" or partner in self._same_domain_partners

    def merge(self, record: AnyGossipRecord, source: str) -> bool:
        """Take a digest in; return whether it is news."""
        current = self._records.get(record.key)
        unsent = self._unsent.get(source)
        if current is not None and current.version >= record.version:
            if unsent is not None and current.version == record.version:
                unsent.pop(record.key, None)
            return False
        if current is None and len(self._records) >= MAX_GOSSIP_RECORDS:
            return False
        self._records[record.key] = record
        for partner, keys in self._unsent.items():
            if partner != source and self._is_relevant_to(partner, record.key):
                keys[record.key] = None
        if unsent is not None:
            unsent.pop(record.key, None)
        return True

    def take_unsent(self, partner: str) -> list[AnyGossipRecord]:
        """Return what a partner lacks and regard it as sent."""
        keys = self._unsent.get(partner)
        if not keys:
            return []
        records: list[AnyGossipRecord] = []
        for key in keys:
            record = self._records.get(key)
            if record is not None:
                records.append(record)
        keys.clear()
        return records

    def drop_origin(self, origin: str) -> None:
        """Forget what a node that is long gone said about itself and its polls."""
        for key in list(self._records):
            if key[0] in ("beat", "profile") and key[1] == origin:
                del self._records[key]
            elif key[0] == "load" and key[2] == str(hash_poller(origin)):
                del self._records[key]

    def find(self, *key: str) -> AnyGossipRecord | None:
        """Return the digest of a key."""
        return self._records.get(key)

    def all(self) -> list[AnyGossipRecord]:
        """Return the newest digest of every key."""
        return list(self._records.values())

    def __len__(self) -> int:
        return len(self._records)
