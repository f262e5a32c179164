"""Table of soft state that spreads by gossip; the newest version of a record wins."""

from plantainwood.core.hashing import hash_poller
from plantainwood.core.messages import AnyGossipRecord

MAX_GOSSIP_RECORDS = 40_000


class GossipTable:
    """Hold the newest record of each key, and the keys that each partner is missing.

    Merging is idempotent and commutative, so records may be lost, repeated,
    reordered or received over two paths.
    """

    __slots__ = ("_records", "_missing", "_same_domain_partners")

    def __init__(self) -> None:
        self._records: dict[tuple[str, ...], AnyGossipRecord] = {}
        self._missing: dict[str, dict[tuple[str, ...], None]] = {}
        self._same_domain_partners: set[str] = set()

    def set_partners(self, partners: list[str], same_domain: set[str]) -> None:
        """Replace the partners; a new one is sent all records.

        Load reports are sent only to `same_domain`, the partners in this node's
        failure domain.
        """
        self._same_domain_partners = same_domain
        for partner in list(self._missing):
            if partner not in partners:
                del self._missing[partner]
        for partner in partners:
            if partner not in self._missing:
                self.resend(partner)

    def resend(self, partner: str) -> None:
        """Mark all records as not yet sent to a partner."""
        self._missing[partner] = {}
        for key in self._records:
            if self._is_for(partner, key):
                self._missing[partner][key] = None

    def _is_for(self, partner: str, key: tuple[str, ...]) -> bool:
        return key[0] != "load" or partner in self._same_domain_partners

    def merge(self, record: AnyGossipRecord, source: str) -> bool:
        """Add a record received from `source`; return whether it was new.

        A record with a new key is ignored while the table holds MAX_GOSSIP_RECORDS.
        """
        current = self._records.get(record.key)
        missing = self._missing.get(source)
        if current is not None and current.version >= record.version:
            if missing is not None and current.version == record.version:
                missing.pop(record.key, None)
            return False
        if current is None and len(self._records) >= MAX_GOSSIP_RECORDS:
            return False
        self._records[record.key] = record
        for partner, keys in self._missing.items():
            if partner != source and self._is_for(partner, record.key):
                keys[record.key] = None
        if missing is not None:
            missing.pop(record.key, None)
        return True

    def take_missing(self, partner: str) -> list[AnyGossipRecord]:
        """Return the records not yet sent to a partner, and mark them as sent."""
        keys = self._missing.get(partner)
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
        """Delete the heartbeat, the profile and the load reports of a departed node."""
        for key in list(self._records):
            if key[0] in ("beat", "profile") and key[1] == origin:
                del self._records[key]
            elif key[0] == "load" and key[2] == str(hash_poller(origin)):
                del self._records[key]

    def find(self, *key: str) -> AnyGossipRecord | None:
        """Return the newest record of a key, or None."""
        return self._records.get(key)

    def list_records(self) -> list[AnyGossipRecord]:
        """Return the newest record of every key."""
        return list(self._records.values())

    def __len__(self) -> int:
        return len(self._records)
