"""Whether a request may get a further attempt, and which upstreams that one avoids."""

from plantainwood.core.dispatcherstate import (
    DispatcherState,
    find_outcome,
    make_failed_error,
)
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.probation import Verdict
from plantainwood.core.quarantine import make_blocked_error
from plantainwood.core.requests import Request
from plantainwood.core.retries import MAX_ATTEMPTS, RetryObstacle
from plantainwood.core.router import can_serve
from plantainwood.core.suspects import judge_request


def find_retry_obstacle(
    state: DispatcherState,
    request: Request,
    failed: UpstreamLoad,
    now_ms: int,
    proved_not_run: bool = False,
) -> RetryObstacle | None:
    """Return what keeps a request from a further attempt, the budget left out.

    Its last attempt, on the upstream `failed`, has failed or fallen silent. None if it
    may be sent again; then the version that began its stream is set if it was unknown.
    """
    if not request.repeatable and not proved_not_run:
        return RetryObstacle.NOT_REPEATABLE
    verdict = judge_request(
        state, request.fingerprint, request.shared_parts, now_ms, request.id
    )
    if verdict is Verdict.BLOCK:
        return RetryObstacle.BLOCKED
    if verdict is Verdict.HOLD:
        return RetryObstacle.SUSPECT
    pool = state.pools[request.pool]
    if request.from_vm and state.lacks_path(
        pool, request.version, now_ms, request.domains
    ):
        return RetryObstacle.NO_PATH
    exhausted = request.attempts_made >= request.max_attempts
    if request.attempt >= MAX_ATTEMPTS or exhausted:
        return RetryObstacle.NO_ATTEMPTS_LEFT
    if request.version_unknown and not _learn_version(state, request, now_ms):
        return RetryObstacle.VERSION_UNKNOWN
    if request.version and not _has_other_upstream(state, request, failed):
        return RetryObstacle.NO_OTHER_OF_VERSION
    return None


def make_retry_error(request: Request, obstacle: RetryObstacle) -> RequestError:
    """Return the error that ends a failed request."""
    if obstacle is RetryObstacle.NOT_REPEATABLE:
        message = "the upstream failed; the call may have run"
        return RequestError(ErrorCode.UPSTREAM_FAILED, message, Outcome.UNKNOWN)
    outcome = find_outcome(request)
    if obstacle is RetryObstacle.BLOCKED:
        return make_blocked_error(outcome)
    return make_failed_error(outcome)


def _learn_version(state: DispatcherState, request: Request, now_ms: int) -> bool:
    """Set the version of a stream that another VM began; return whether it is known."""
    versions = state.stream_versions
    if versions.is_guess(request.stream, request.pool, now_ms):
        return False
    version = versions.find(request.stream, request.pool, now_ms)
    if version is None:
        return False
    request.version = version
    request.version_unknown = False
    return True


def _has_other_upstream(
    state: DispatcherState, request: Request, failed: UpstreamLoad
) -> bool:
    """Tell whether an upstream other than the failed one can continue a stream."""
    for load in state.pools[request.pool].group:
        if load.leaving or load is failed:
            continue
        if can_serve(request, load):
            return True
    return False


def avoid_upstream(
    state: DispatcherState, request: Request, load: UpstreamLoad
) -> None:
    """Keep the next attempt off an upstream and, if possible, its domain."""
    request.avoid_upstream = load.name
    request.avoid_domain = ""
    for other in state.pools[request.pool].group:
        if other.leaving or not can_serve(request, other):
            continue
        if other.entry.domain != load.entry.domain:
            request.avoid_domain = load.entry.domain
            return
