"""Table of soft state that spreads by gossip; the newest version of a record wins."""

from plantainwood.core.hashing import hash_poller
from plantainwood.core.messages import CRASH_MARK, AnyGossipRecord

MAX_GOSSIP_RECORDS = 40_000
RESENDS = 10
"""How often a crash mark is sent again to a partner that does not send it back."""


class GossipTable:
    """Hold the newest record of each key, and the keys that each partner is missing.

    Merging is idempotent and commutative, so records may be lost, repeated,
    reordered or received over two paths. A crash mark is sent back to whom it came from
    once, and sent again to a partner until it came back, RESENDS times at most.
    """

    __slots__ = ("_records", "_missing", "_same_domain_partners", "_unconfirmed")

    def __init__(self) -> None:
        self._records: dict[tuple[str, ...], AnyGossipRecord] = {}
        self._missing: dict[str, dict[tuple[str, ...], None]] = {}
        self._same_domain_partners: set[str] = set()
        self._unconfirmed: dict[tuple[str, ...], dict[str, int]] = {}
        """How often each crash mark is still sent to partners yet to send it back."""

    def set_partners(self, partners: list[str], same_domain: set[str]) -> None:
        """Replace the partners; a new one is sent all records.

        Load reports are sent only to `same_domain`, the partners in this node's
        failure domain.
        """
        self._same_domain_partners = same_domain
        for partner in list(self._missing):
            if partner not in partners:
                del self._missing[partner]
                self._confirm_all(partner)
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
        if current is None or record.version >= current.version:
            self._confirm(record.key, source)
        if current is not None and current.version >= record.version:
            if missing is not None and current.version == record.version:
                missing.pop(record.key, None)
            return False
        if current is None and len(self._records) >= MAX_GOSSIP_RECORDS:
            return False
        self._records[record.key] = record
        is_mark = record.key[0] == CRASH_MARK
        if is_mark:
            others = [partner for partner in self._missing if partner != source]
            self._unconfirmed[record.key] = dict.fromkeys(others, RESENDS)
        for partner, keys in self._missing.items():
            if partner != source and self._is_for(partner, record.key):
                keys[record.key] = None
        if missing is not None:
            missing.pop(record.key, None)
            if is_mark:
                missing[record.key] = None
        return True

    def _confirm(self, key: tuple[str, ...], partner: str) -> None:
        """Record that a partner has a record's newest version."""
        awaited = self._unconfirmed.get(key)
        if awaited is None:
            return
        awaited.pop(partner, None)
        if not awaited:
            del self._unconfirmed[key]

    def _confirm_all(self, partner: str) -> None:
        for key in list(self._unconfirmed):
            self._confirm(key, partner)

    def send_marks_again(self) -> None:
        """Mark the crash marks that did not come back as not yet sent."""
        for key, awaited in list(self._unconfirmed.items()):
            for partner, left in list(awaited.items()):
                if not left:
                    self._confirm(key, partner)
                    continue
                awaited[partner] = left - 1
                self._missing[partner][key] = None

    def is_mark_known(self, fingerprint: str) -> bool:
        """Tell whether all partners have the crash marks of a fingerprint."""
        for key in self._unconfirmed:
            if key[1] == fingerprint:
                return False
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
