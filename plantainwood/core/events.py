"""Events that the dispatcher handles, and the decisions that it returns."""

import msgspec

from plantainwood.core.coldupstreams import ColdSource
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.partquarantine import PartCrash
from plantainwood.core.prompts import Prompt
from plantainwood.core.regions import Regions
from plantainwood.core.retries import MAX_ATTEMPTS, RetryObstacle
from plantainwood.core.upstreamlimits import LimitReport

FAILED_PAUSE_MS = 2_000


class Arrival(msgspec.Struct, frozen=True):
    """A request passed authentication, classification and its claim."""

    request_id: str
    customer: str
    class_name: str
    pool: str
    """'model/<name>' for engines, 'service/<name>' for plain services."""
    fingerprint: str = ""
    prefix: str = ""
    repeatable: bool = True
    prompt: Prompt = Prompt()
    tier: int | None = None
    """Overrides the tier of the class, if set."""
    queue_deadline_ms: int = 0
    """When a waiting request is refused at the latest, on the node's clock; 0: only
    the class's queue timeout applies."""
    max_attempts: int = MAX_ATTEMPTS
    stream: str = ""
    """The name by which a caller takes up the stream; empty if the answer is none."""
    resumed: bool = False
    """Whether the stream began in an earlier request."""
    from_vm: bool = False
    """Whether another VM sent the request, so that it goes to no further VM."""
    allowed_regions: Regions | None = None
    """Where it may be served; None: everywhere."""


class AttemptStarted(msgspec.Struct, frozen=True):
    """An upstream sent the first token or byte of an attempt."""

    request_id: str
    attempt: int
    served_by: str = ""
    """The upstream to which another VM sent the attempt, if one serves it."""


class TokensRelayed(msgspec.Struct, frozen=True):
    """Tokens of the current attempt were sent to the caller."""

    request_id: str
    attempt: int
    count: int


class AttemptSilent(msgspec.Struct, frozen=True):
    """Nothing has come of an attempt for too long; it goes on, unless it is replaced.

    The event comes again from time to time while the silence lasts.
    """

    request_id: str
    attempt: int
    silent_ms: int


class AttemptDone(msgspec.Struct, frozen=True):
    """An attempt completed the answer."""

    request_id: str
    attempt: int


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt ended before the answer was complete."""

    request_id: str
    attempt: int
    crashed: bool
    """The connection broke, as it does when the upstream process dies."""
    proved_not_run: bool
    """No byte was written, or the upstream proved that it did not run the request."""
    pause_ms: int = FAILED_PAUSE_MS
    """How long the upstream gets no new attempts, if `proved_not_run`."""
    reached: bool = True
    """Whether any byte of the attempt may have arrived at the upstream."""
    broken: bool = False
    """Whether the upstream broke the connection or refused it."""
    holds_earlier: bool = False
    """Whether the silent attempt that this one was to replace is still held."""


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller closed its connection."""

    request_id: str


class AuthorizationLost(msgspec.Struct, frozen=True):
    """A request lost its authorization: its key is withdrawn or can't be confirmed."""

    request_id: str
    code: ErrorCode = ErrorCode.KEY_WITHDRAWN


class LoadReported(msgspec.Struct, frozen=True):
    """An upstream's own, delayed count of its running and queued requests by tier."""

    upstream: str
    by_tier: tuple[int, ...]
    lag_ms: int
    pace: int = 0
    """How long its work takes at the moment, in percent of usual; 0: not reported."""


class LimitNamed(msgspec.Struct, frozen=True):
    """An answer of an upstream named its request rate, or no longer does (None)."""

    upstream: str
    per_s: float | None


class LimitReported(msgspec.Struct, frozen=True):
    """Another node got an answer that names an upstream's request rate, or none."""

    report: LimitReport


class BrittlenessNamed(msgspec.Struct, frozen=True):
    """An answer said whether its upstream crashes when it turns many requests away."""

    upstream: str
    is_brittle: bool


class BrittlenessReported(msgspec.Struct, frozen=True):
    """Another node got an answer that named its pool brittle, some time ago."""

    pool: str
    age_ms: int


class ColdNamed(msgspec.Struct, frozen=True):
    """A source said how much longer an upstream is cold."""

    upstream: str
    source: ColdSource
    remaining_ms: int | None
    """0 if it is warm; None for a response that doesn't say."""


class PauseNamed(msgspec.Struct, frozen=True):
    """An upstream wants no requests from this node for some time."""

    upstream: str
    pause_ms: int


class UpstreamLeaving(msgspec.Struct, frozen=True):
    """An upstream is leaving; this never reverts for the same address."""

    upstream: str


class CrashMarkReceived(msgspec.Struct, frozen=True):
    """Another node set or lifted a fingerprint's crash mark."""

    fingerprint: str
    upstream: str
    lifted: bool = False
    age_ms: int = 0
    """How long ago the crash was."""


class PartCrashReceived(msgspec.Struct, frozen=True):
    """Another node lost unbegun attempts when an upstream crashed."""

    crash: PartCrash


class PartsClearedReceived(msgspec.Struct, frozen=True):
    """On another node, the answer to a request with these parts has begun."""

    parts: list[str]


class ReservationAnswered(msgspec.Struct, frozen=True):
    """The answer to a Reserve decision."""

    request_id: str
    upstream: str
    granted: bool


class PathProbed(msgspec.Struct, frozen=True):
    """This node found out whether it reaches upstreams at all."""

    lost: bool


class UpstreamProbed(msgspec.Struct, frozen=True):
    """This node found out, without a request, whether it reaches an upstream."""

    upstream: str
    reached: bool


class StopPlanned(msgspec.Struct, frozen=True):
    """This node will stop at a time: it takes only what ends before that."""

    stops_at_ms: int


class Drained(msgspec.Struct, frozen=True):
    """This node is about to stop: it takes no request, and none may wait any more."""


class Stopping(msgspec.Struct, frozen=True):
    """This node stops now: whatever still waits or runs ends with an error."""


class Tick(msgspec.Struct, frozen=True):
    """Time passed; queue timeouts and other timed work may be due."""


Event = (
    Arrival
    | AttemptStarted
    | TokensRelayed
    | AttemptSilent
    | AttemptDone
    | AttemptFailed
    | CallerLeft
    | AuthorizationLost
    | LoadReported
    | LimitNamed
    | LimitReported
    | BrittlenessNamed
    | BrittlenessReported
    | ColdNamed
    | PauseNamed
    | UpstreamLeaving
    | CrashMarkReceived
    | PartCrashReceived
    | PartsClearedReceived
    | ReservationAnswered
    | PathProbed
    | StopPlanned
    | Drained
    | Stopping
    | UpstreamProbed
    | Tick
)


class Dispatch(msgspec.Struct, frozen=True):
    """Start an attempt on an upstream, resuming after the tokens relayed so far."""

    request_id: str
    attempt: int
    upstream: str
    priority: int
    source: str = ""
    """The upstream to fetch the prompt's KV cache from, if any holds more of it."""
    holds_earlier: bool = False
    """Whether the running attempt, which is silent, is held until this one begins."""


class Cancel(msgspec.Struct, frozen=True):
    """Cancel an attempt; its request is queued again, moved or ended."""

    request_id: str
    attempt: int
    upstream: str
    beneficiary: str = ""
    """The more urgent request that it is cancelled for, if any."""


class SilenceJudged(msgspec.Struct, frozen=True):
    """What is done about a silent attempt, for the logs.

    If nothing keeps its request from a further one, a Dispatch follows.
    """

    request_id: str
    attempt: int
    upstream: str
    silent_ms: int
    begun: bool
    """Whether the upstream had begun to answer."""
    obstacle: RetryObstacle | None


class ReturnToHeld(msgspec.Struct, frozen=True):
    """Go on with the held attempt: the one that was to replace it has failed."""

    request_id: str
    attempt: int
    upstream: str


class Refuse(msgspec.Struct, frozen=True):
    """End a request with an error."""

    request_id: str
    error: RequestError


class Reserve(msgspec.Struct, frozen=True):
    """Request a fleet-wide reservation, as the only suspect on an upstream."""

    request_id: str
    upstream: str


class Release(msgspec.Struct, frozen=True):
    """Release a granted reservation."""

    request_id: str
    upstream: str


class BroadcastCrashMark(msgspec.Struct, frozen=True):
    """Tell every node that a fingerprint was running when an upstream crashed.

    A lifted mark means that the crash proved to be an eviction, or that a request with
    the fingerprint completed.
    """

    fingerprint: str
    upstream: str
    lifted: bool = False


class BroadcastPartCrash(msgspec.Struct, frozen=True):
    """Tell every node which unbegun attempts were lost when an upstream crashed."""

    crash: PartCrash


class BroadcastPartsCleared(msgspec.Struct, frozen=True):
    """Tell every node that marked parts are sound: an answer with them has begun."""

    parts: list[str]


FleetDecision = (
    Reserve | Release | BroadcastCrashMark | BroadcastPartCrash | BroadcastPartsCleared
)
"""A decision that concerns other nodes; it does not go to the request's handler."""

Decision = Dispatch | Cancel | SilenceJudged | ReturnToHeld | Refuse | FleetDecision
