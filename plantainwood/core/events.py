"""Events that the request core decides on, and the decisions it returns."""

import msgspec

from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.prompts import Prompt
from plantainwood.core.retries import MAX_ATTEMPTS

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
    """The tier where it is not that of the class."""
    queue_deadline_ms: int = 0
    """When a waiting request is refused at the latest, on the node's clock; 0: by
    the class's queue timeout."""
    max_attempts: int = MAX_ATTEMPTS


class AttemptStarted(msgspec.Struct, frozen=True):
    """An upstream sent the first token or byte of an attempt."""

    request_id: str
    attempt: int


class TokensRelayed(msgspec.Struct, frozen=True):
    """Tokens of the current attempt went to the caller."""

    request_id: str
    attempt: int
    count: int


class AttemptDone(msgspec.Struct, frozen=True):
    """An attempt gave the whole answer."""

    request_id: str
    attempt: int


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt ended without the whole answer."""

    request_id: str
    attempt: int
    crashed: bool
    """The connection broke, as it does when the upstream process dies."""
    proved_not_run: bool
    """No byte was written, or the upstream proved that it did not run it."""
    pause_ms: int = FAILED_PAUSE_MS
    """How long the upstream gets no new attempt, where it proved not to have run."""


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller closed its connection."""

    request_id: str


class AuthorizationLost(msgspec.Struct, frozen=True):
    """The right to run a request ended: its key is withdrawn, or may well be."""

    request_id: str
    code: ErrorCode = ErrorCode.KEY_WITHDRAWN


class LoadReported(msgspec.Struct, frozen=True):
    """An upstream's own, late, count of running and queued work by tier."""

    upstream: str
    by_tier: tuple[int, ...]
    lag_ms: int


class UpstreamLeaving(msgspec.Struct, frozen=True):
    """An upstream is leaving; the fact never reverts for its address."""

    upstream: str


class CrashMarkReceived(msgspec.Struct, frozen=True):
    """Another node tells of a fingerprint's crash mark, or lifts it."""

    fingerprint: str
    upstream: str
    lifted: bool = False


class ReservationAnswered(msgspec.Struct, frozen=True):
    """The answer to a Reserve decision."""

    request_id: str
    upstream: str
    granted: bool


class Tick(msgspec.Struct, frozen=True):
    """Time passed; waiting requests may have run out of time."""


Event = (
    Arrival
    | AttemptStarted
    | TokensRelayed
    | AttemptDone
    | AttemptFailed
    | CallerLeft
    | AuthorizationLost
    | LoadReported
    | UpstreamLeaving
    | CrashMarkReceived
    | ReservationAnswered
    | Tick
)


class Dispatch(msgspec.Struct, frozen=True):
    """Start an attempt on an upstream, resuming after the tokens so far."""

    request_id: str
    attempt: int
    upstream: str
    priority: int
    source: str = ""
    """The upstream whose memory holds more of the prompt, if any."""


class Cancel(msgspec.Struct, frozen=True):
    """Stop an attempt; the request itself goes on waiting or has ended."""

    request_id: str
    attempt: int
    upstream: str
    beneficiary: str = ""
    """The more urgent request that it makes room for, if any."""


class Refuse(msgspec.Struct, frozen=True):
    """End a request with an error."""

    request_id: str
    error: RequestError


class Reserve(msgspec.Struct, frozen=True):
    """Ask, over the whole fleet, to be the only suspect on an upstream."""

    request_id: str
    upstream: str


class Release(msgspec.Struct, frozen=True):
    """Give a granted reservation back."""

    request_id: str
    upstream: str


class BroadcastCrashMark(msgspec.Struct, frozen=True):
    """Tell every node that a fingerprint was running when an upstream crashed.

    A lifted mark says that the crash turned out to be an eviction.
    """

    fingerprint: str
    upstream: str
    lifted: bool = False


Decision = Dispatch | Cancel | Refuse | Reserve | Release | BroadcastCrashMark
