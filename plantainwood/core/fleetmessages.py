"""Messages between the VMs of the platform's fleet.

They are sent as arrays: the order of the fields and the tags are part of the format.
"""

import msgspec

from plantainwood.core.messages import CrashMark, NodeMessage, NodeState
from plantainwood.core.mirror import Item
from plantainwood.core.partquarantine import PartCrash
from plantainwood.core.prompts import Part
from plantainwood.core.upstreamlimits import LimitReport
from plantainwood.core.windows import NodeCounts


class VmHeartbeat(msgspec.Struct, tag=30, array_like=True, frozen=True):
    """A VM's heartbeat, sent directly to every VM or to the relays of its domain."""

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
    """The sender's wall-clock time; receivers take the agreed time from `agreed_ms`."""
    agreed_ms: int
    """The agreed time of the fleet as the sender knows it; 0 while it has none."""
    weight: int
    """The sender's capacity in hundredths of a core."""
    pending_tokens: dict[str, int]
    """Tokens that the sender has sent to each engine and that await prefill there."""
    demand: dict[str, int]
    """Tokens to prefill, sent to each service since the last heartbeat."""
    sent_parts: dict[str, list[Part]] = {}
    """Prompt parts sent to each engine since the last heartbeat."""
    limits: list[LimitReport] = []
    """Request rates of upstreams of which the sender got the newest answer."""
    begun_streams: dict[str, list[str]] = {}
    """Streams begun since the last heartbeat, by the version that began them."""
    calls_port: int = 0
    """The port on the host of the link address where the sender takes calls that other
    VMs can't serve; 0 if it takes none."""
    path_lost: bool = False
    """Whether the sender reaches no upstreams."""
    brittle_pools: dict[str, int] = {}
    """Pools whose upstreams crash when they reject many requests, with the age in ms of
    the newest answer that said so."""
    unreached_pools: tuple[str, ...] = ()
    """Pools of which the sender reaches no upstream."""
    cold_ms: dict[str, int] = {}
    """How much longer upstreams are cold, in ms, as the sender found out itself."""
    engine_timings: dict[str, tuple[int, int, int]] = {}
    """Prefills that the sender saw end since the last heartbeat, by engine: tokens,
    milliseconds and count."""
    customer_work: dict[str, int] = {}
    """Work for the customers with most of it, sent since the last heartbeat, in tokens
    to prefill (core/customershares.py)."""


class StoreUpdate(msgspec.Struct, tag=31, array_like=True, frozen=True):
    """Changes in the store after revision `base` up to `revision`, as just read.

    `age_ms` is how long ago they were read.
    """

    sender: str
    base: int
    revision: int
    age_ms: int
    items: list[Item]
    sent_ms: int = 0
    """The agreed time at which it was sent; 0 from VMs of earlier builds."""


class MirrorRequest(msgspec.Struct, tag=32, array_like=True, frozen=True):
    """A request for a whole mirror, sent when changes after `revision` were missed."""

    sender: str
    link_address: str
    revision: int


class MirrorSnapshot(msgspec.Struct, tag=33, array_like=True, frozen=True):
    """A whole mirror, known to be current `age_ms` ago."""

    sender: str
    revision: int
    age_ms: int
    items: list[Item]


class CrashNotice(msgspec.Struct, tag=34, array_like=True, frozen=True):
    """A crash mark that was set or lifted, broadcast or handed to a new VM."""

    sender: str
    mark: CrashMark
    age_ms: int = 0
    """How long ago the crash was."""


class PartCrashNotice(msgspec.Struct, tag=37, array_like=True, frozen=True):
    """Crashes of upstreams, with the prompt parts of the attempts lost unbegun."""

    sender: str
    crashes: list[PartCrash]


class PartsClearedNotice(msgspec.Struct, tag=38, array_like=True, frozen=True):
    """Prompt parts with marks with which the sender saw an answer begin."""

    sender: str
    parts: list[str]


class FrozenReportNotice(msgspec.Struct, tag=39, array_like=True, frozen=True):
    """Counts of a window that the sender froze and is about to report."""

    sender: str
    key: str
    counts: bytes


class BegunStreamsNotice(msgspec.Struct, tag=40, array_like=True, frozen=True):
    """All streams that the sender knows of, by the version that began them."""

    sender: str
    streams: dict[str, list[str]]


class CountsReport(msgspec.Struct, tag=35, array_like=True, frozen=True):
    """A VM's counts of started requests, sent to the holder of the duty."""

    sender: str
    records: list[NodeCounts]


class RelayedHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat that a relay forwards."""

    heartbeat: VmHeartbeat
    age_ms: int
    """Its age as known to the relays; the time on the network is not included."""


class HeartbeatBatch(msgspec.Struct, tag=36, array_like=True, frozen=True):
    """The heartbeats that a relay has received since its last batch."""

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
    | PartCrashNotice
    | PartsClearedNotice
    | FrozenReportNotice
    | BegunStreamsNotice
)
