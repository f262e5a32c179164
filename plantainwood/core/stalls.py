"""Time limits on a silent attempt, after which a new attempt is more promising."""

from plantainwood.core.routes import RetrySafety, Route

STALL_FACTOR = 3
MIN_STALL_MS = 1_500
MIN_PLAIN_STALL_MS = 400
NO_STALL_LIMIT_MS = 0


def may_retry(route: Route, attempts: int) -> bool:
    """Tell whether another attempt is allowed after `attempts` that may have run."""
    return route.repeatable and attempts < route.attempts


def compute_first_byte_stall_ms(route: Route, attempts: int) -> int:
    """Return how long the start of a response may take before the attempt is silent.

    Returns NO_STALL_LIMIT_MS if the request may not be sent again, because then
    giving the attempt up gains nothing.
    """
    if not may_retry(route, attempts):
        return NO_STALL_LIMIT_MS
    floor_ms = MIN_STALL_MS
    if route.retry_safety is RetrySafety.SAFE:
        floor_ms = MIN_PLAIN_STALL_MS
    return max(floor_ms, STALL_FACTOR * route.first_byte_target_ms)


def compute_gap_stall_ms(route: Route, attempts: int) -> int:
    """Return the gap between events after which an attempt is silent.

    Returns NO_STALL_LIMIT_MS if the stream can't be resumed by another attempt.
    """
    if not route.resumable or attempts >= route.attempts:
        return NO_STALL_LIMIT_MS
    return max(MIN_STALL_MS, STALL_FACTOR * route.gap_target_ms)
