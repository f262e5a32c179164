"""Messages between daemons; arrays on the wire, unknown trailing fields ignored."""

from enum import IntEnum

import msgspec

from plantainwood.core.usage import UsageRecord

WIRE_VERSION = 1


class NodeState(IntEnum):
    """The state that a node announces about itself; LIVE: it is not leaving.

    The administration API returns these names in lower case.
    """

    LIVE = 0
    LEAVING = 1


CRASH_MARK = "crash"
"""The first part of a crash mark's key."""


class GossipRecord(msgspec.Struct, array_like=True, frozen=True):
    """A fact that is gossiped from node to node; a newer version replaces it."""

    @property
    def key(self) -> tuple[str, ...]:
        """Return what the record is about; only the newest record of a key is kept."""
        raise TypeError("a plain GossipRecord is never sent")

    @property
    def version(self) -> tuple[int, int]:
        """Return the version, such as (incarnation, sequence), within the key."""
        raise TypeError("a plain GossipRecord is never sent")


class Heartbeat(GossipRecord, tag=1, array_like=True, frozen=True):
    """A node's heartbeat, with the catalogue revision that it has in force."""

    origin: str
    incarnation: int
    sequence: int
    state: NodeState
    revision: int
    busy_percent: int

    @property
    def key(self) -> tuple[str, ...]:
        """Return the key: one heartbeat per node."""
        return ("beat", self.origin)

    @property
    def version(self) -> tuple[int, int]:
        """Return the incarnation and the sequence within it."""
        return (self.incarnation, self.sequence)


class NodeProfile(GossipRecord, tag=2, array_like=True, frozen=True):
    """A node's failure domain and addresses; sent once per incarnation."""

    origin: str
    incarnation: int
    domain: str
    caller_address: str
    link_address: str

    @property
    def key(self) -> tuple[str, ...]:
        """Return the key: one profile per node."""
        return ("profile", self.origin)

    @property
    def version(self) -> tuple[int, int]:
        """Return the incarnation; a profile doesn't change within it."""
        return (self.incarnation, 0)


class LoadNotice(GossipRecord, tag=3, array_like=True, frozen=True):
    """An upstream's load as its poller read it.

    Kept small because there are many: the poller is a 16-bit hash of its name, the
    version is its wall clock, and trailing tiers without work are omitted.
    """

    upstream: str
    poller: int
    wall_s: int
    by_tier: tuple[int, ...]

    @property
    def key(self) -> tuple[str, ...]:
        """Return the key: one report per upstream and poller."""
        return ("load", self.upstream, str(self.poller))

    @property
    def version(self) -> tuple[int, int]:
        """Return the poller's wall clock, which orders the reports of that poller."""
        return (0, self.wall_s)


class LeavingNotice(GossipRecord, tag=4, array_like=True, frozen=True):
    """An upstream at an address is leaving; this is never retracted."""

    upstream: str
    address: str

    @property
    def key(self) -> tuple[str, ...]:
        """Return the key: one fact per upstream and address."""
        return ("leaving", self.upstream, self.address)

    @property
    def version(self) -> tuple[int, int]:
        """Return a constant: the fact has no versions."""
        return (0, 0)


class CrashMark(GossipRecord, tag=5, array_like=True, frozen=True):
    """A fingerprint was running when an upstream crashed; a lifted mark is final."""

    fingerprint: str
    upstream: str
    lifted: bool = False

    @property
    def key(self) -> tuple[str, ...]:
        """Return the key: one mark per fingerprint and upstream."""
        return (CRASH_MARK, self.fingerprint, self.upstream)

    @property
    def version(self) -> tuple[int, int]:
        """Return the version: lifting replaces marking."""
        return (0, int(self.lifted))


AnyGossipRecord = Heartbeat | NodeProfile | LoadNotice | LeavingNotice | CrashMark


class GossipBatch(msgspec.Struct, tag=20, array_like=True, frozen=True):
    """Records that the receiver may lack, with the sender's catalogue revision."""

    sender: str
    incarnation: int
    revision: int
    confirm_age_ms: int
    """Milliseconds since the revision was last known to be current; -1 if never."""
    records: list[AnyGossipRecord]
    full: bool = False
    """Whether the receiver should send all that it knows, as after a restart."""


class CatalogueUpdate(msgspec.Struct, tag=21, array_like=True, frozen=True):
    """A catalogue document, whole or as a delta."""

    sender: str
    document: bytes


class CatalogueRequest(msgspec.Struct, tag=22, array_like=True, frozen=True):
    """Ask for the catalogue entries that are newer than a revision."""

    sender: str
    revision: int


class UsageCopy(msgspec.Struct, tag=23, array_like=True, frozen=True):
    """A copy of a usage record, kept until the key-value service has stored it."""

    sender: str
    record: UsageRecord


class UsageStored(msgspec.Struct, tag=24, array_like=True, frozen=True):
    """The key-value service has stored a record up to a sequence."""

    sender: str
    key: str
    sequence: int


class ShareRequest(msgspec.Struct, tag=25, array_like=True, frozen=True):
    """A node's demand and usage of customers whose limits the receiver allocates."""

    sender: str
    demand: dict[str, float]
    """Requests per customer since the last message, plus those that are running."""
    served: dict[str, int]
    """Tokens served per customer since the last message."""


class ShareGrant(msgspec.Struct, tag=26, array_like=True, frozen=True):
    """A node's shares of customers' limits, and what other nodes served meanwhile."""

    sender: str
    shares: dict[str, float]
    served_elsewhere: dict[str, int]


class NodeDemand(msgspec.Struct, tag=27, array_like=True, frozen=True):
    """A node's demand, sent to the candidates for the duty of ordering upstreams."""

    sender: str
    by_pool: dict[str, tuple[int, ...]]
    """Waiting and running requests per pool, by tier."""
    reachable: dict[str, bool]
    """The upstreams that the node polls, and whether they answered."""


NodeMessage = (
    GossipBatch
    | CatalogueUpdate
    | CatalogueRequest
    | UsageCopy
    | UsageStored
    | ShareRequest
    | ShareGrant
    | NodeDemand
)
