"""Messages between the VMs of the platform's fleet, and all that may come."""

import msgspec

from plantainwood.core.messages import CrashMark, NodeMessage, NodeState
from plantainwood.core.mirror import Item
from plantainwood.core.prompts import Part
from plantainwood.core.windows import NodeCounts


class VmHeartbeat(msgspec.Struct, tag=30, array_like=True, frozen=True):
    """A VM's heartbeat where every VM hears every other directly."""

    sender: str
    incarnation: int
    sequence: int
    state: NodeState
    domain: str
    caller_address: str
    link_address: str
    revision: int
    """The revision of the sender's mirror of the store."""
    wall_ms: int
    """The sender's wall clock, for the agreed time."""
    agreed_ms: int
    """The sender's idea of the agreed time; 0 while it has none."""
    weight: int
    """The sender's strength in hundredths of a core."""
    pending_tokens: dict[str, int]
    """Prompt tokens sent to each engine and not read there yet."""
    demand: dict[str, int]
    """Unread prompt tokens sent to each service in the last period."""
    sent_parts: dict[str, list[Part]] = {}
    """Parts of prompts sent to each engine in the last period."""


class StoreUpdate(msgspec.Struct, tag=31, array_like=True, frozen=True):
    """Changes of the store after `base`, up to `revision`, as just read there."""

    sender: str
    base: int
    revision: int
    age_ms: int
    items: list[Item]


class MirrorRequest(msgspec.Struct, tag=32, array_like=True, frozen=True):
    """Ask for the whole mirror, since news after `revision` were missed."""

    sender: str
    link_address: str
    revision: int


class MirrorSnapshot(msgspec.Struct, tag=33, array_like=True, frozen=True):
    """A whole mirror."""

    sender: str
    revision: int
    age_ms: int
    items: list[Item]


class CrashNotice(msgspec.Struct, tag=34, array_like=True, frozen=True):
    """A crash mark, or its lifting, for every VM."""

    sender: str
    mark: CrashMark


class CountsReport(msgspec.Struct, tag=35, array_like=True, frozen=True):
    """A VM's counts of started requests, for the holder of the duty."""

    sender: str
    records: list[NodeCounts]


class RelayedHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat that is passed on."""

    heartbeat: VmHeartbeat
    age_ms: int
    """How long ago it was made, as far as those that passed it on know."""


class HeartbeatBatch(msgspec.Struct, tag=36, array_like=True, frozen=True):
    """Heartbeats that a relay has heard since its last digest."""

    sender: str
    heartbeats: list[RelayedHeartbeat]


Message = (
    NodeMessage
    | VmHeartbeat
    | StoreUpdate
    | MirrorRequest
    | MirrorSnapshot
    | CrashNotice
    | CountsReport
    | HeartbeatBatch
)
