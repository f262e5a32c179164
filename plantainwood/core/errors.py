"""Error codes, their HTTP status, and what an error says about execution."""

from enum import Enum

from plantainwood.core.endcauses import EndCause


class Outcome(Enum):
    """What is known about whether a request was executed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """Stable error codes shown to callers, in logs and in metrics."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    FORBIDDEN_CLASS = "forbidden_class"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    NO_UPSTREAM = "no_upstream"
    DRAINING = "draining"
    ISOLATED = "isolated"
    CATALOGUE_MISSING = "catalogue_missing"
    CRASH_SUSPECT = "crash_suspect"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    EARLIER_UNKNOWN = "earlier_outcome_unknown"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_UNAVAILABLE = "upstream_unavailable"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    BODY_TIMEOUT = "body_timeout"
    HEADERS_TOO_LARGE = "headers_too_large"
    HEADERS_TIMEOUT = "headers_timeout"
    UPSTREAM_GARBAGE = "upstream_garbage"
    CALLER_LEFT = "caller_left"
    CONFLICT = "conflict"
    INVALID_CATALOGUE = "invalid_catalogue"
    STORE_UNAVAILABLE = "store_unavailable"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"


HTTP_STATUS = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.NO_KEY: 401,
    ErrorCode.UNKNOWN_KEY: 401,
    ErrorCode.KEY_WITHDRAWN: 401,
    ErrorCode.FORBIDDEN_CLASS: 403,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.QUEUE_TIMEOUT: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.DRAINING: 503,
    ErrorCode.ISOLATED: 503,
    ErrorCode.CATALOGUE_MISSING: 503,
    ErrorCode.CRASH_SUSPECT: 422,
    ErrorCode.KEY_REQUIRED: 400,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.IN_PROGRESS: 409,
    ErrorCode.CLAIM_UNAVAILABLE: 503,
    ErrorCode.EARLIER_UNKNOWN: 409,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.UPSTREAM_UNAVAILABLE: 503,
    ErrorCode.UPSTREAM_TIMEOUT: 504,
    ErrorCode.BODY_TIMEOUT: 408,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.HEADERS_TIMEOUT: 408,
    ErrorCode.UPSTREAM_GARBAGE: 502,
    ErrorCode.CALLER_LEFT: 499,
    ErrorCode.CONFLICT: 409,
    ErrorCode.INVALID_CATALOGUE: 422,
    ErrorCode.STORE_UNAVAILABLE: 503,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.INTERNAL: 500,
}


class RequestError(Exception):
    """End a request with a code, an outcome and optionally a delay before a retry."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int | None = None,
        end_cause: EndCause | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        self.end_cause = end_cause
        """Why it ends an answer that has begun, if the code doesn't tell."""

    @property
    def status(self) -> int:
        """Return the HTTP status for this code."""
        return HTTP_STATUS[self.code]


class StoreError(Exception):
    """A store or platform call whose effect is unknown: it may have been applied."""


class NotAppliedError(StoreError):
    """A store or platform call that certainly had no effect."""
