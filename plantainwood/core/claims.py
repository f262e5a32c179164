"""Claims: a call that may not be repeated is claimed before any byte is sent."""

import hashlib
from enum import Enum

import msgspec

from plantainwood.core.decoding import decode_record
from plantainwood.core.effects import CompareAndSwap, Procedure, Read, StoredValue
from plantainwood.core.errors import (
    ErrorCode,
    Outcome,
    RequestError,
    StoreError,
)

CLAIM_PREFIX = "claims/"
MAX_CLAIM_TRIES = 3
RETRY_UNAVAILABLE_MS = 2_000
RETRY_IN_PROGRESS_MS = 1_000
MAX_RESULT_BYTES = 65_536
LIFETIME_MS = 48 * 3_600_000
"""How long an idempotency key is remembered and can't be used for another call."""


class ClaimState(Enum):
    """The progress of a claimed call; a released one may be claimed again."""

    CLAIMED = "claimed"
    RAN = "ran"
    RELEASED = "released"


class Claim(msgspec.Struct, frozen=True):
    """The stored record of one call, keyed by (customer, idempotency key)."""

    nonce: str
    body_hash: str
    state: ClaimState
    expires_wall_ms: int
    status: int = 0
    content_type: str = ""
    result: bytes = b""


class ClaimRequest(msgspec.Struct, frozen=True):
    """The call to claim; the nonce is unique to this attempt."""

    customer: str
    idempotency_key: str
    body_hash: str
    nonce: str
    wall_ms: int
    timeout_ms: int

    @property
    def key(self) -> str:
        """Return the store key; the caller's text is hashed to bound its length."""
        text = f"{self.customer}\0{self.idempotency_key}"
        return CLAIM_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def claim_call(request: ClaimRequest) -> Procedure:
    """Claim a call; return None when owned, or the Claim whose result to replay.

    Never returns None twice for one (customer, idempotency key) unless the
    earlier owner released the claim as not run. Raises RequestError if the call
    can't be claimed.
    """
    for _ in range(MAX_CLAIM_TRIES):
        try:
            found = yield Read(request.key)
        except StoreError as error:
            raise _make_unavailable_error() from error
        expected = 0
        if isinstance(found, StoredValue):
            claim = decode_record(found.value, Claim)
            if claim.nonce == request.nonce and claim.state is ClaimState.CLAIMED:
                return None
            if claim.state is not ClaimState.RELEASED:
                return _resolve_existing(claim, request)
            expected = found.revision
        try:
            if (
                yield CompareAndSwap(
                    request.key, _encode_claim(request), expected, LIFETIME_MS
                )
            ):
                return None
        except StoreError:
            continue
    raise _make_unavailable_error()


def _encode_claim(request: ClaimRequest) -> bytes:
    claim = Claim(
        nonce=request.nonce,
        body_hash=request.body_hash,
        state=ClaimState.CLAIMED,
        expires_wall_ms=request.wall_ms + request.timeout_ms,
    )
    return msgspec.json.encode(claim)


def _make_unavailable_error() -> RequestError:
    return RequestError(
        ErrorCode.CLAIM_UNAVAILABLE,
        "the call can't be claimed now",
        Outcome.NOT_RUN,
        RETRY_UNAVAILABLE_MS,
    )


def _resolve_existing(claim: Claim, request: ClaimRequest) -> Claim:
    """Return the claim to replay, or raise; the call itself is never run again."""
    if claim.body_hash != request.body_hash:
        message = "this Idempotency-Key was used with another body"
        raise RequestError(ErrorCode.KEY_REUSED, message)
    if claim.state is ClaimState.RAN:
        return claim
    if request.wall_ms < claim.expires_wall_ms:
        raise RequestError(
            ErrorCode.IN_PROGRESS,
            "an earlier call with this key is still running",
            Outcome.UNKNOWN,
            RETRY_IN_PROGRESS_MS,
        )
    raise RequestError(
        ErrorCode.EARLIER_UNKNOWN,
        "an earlier call with this key ended without a known outcome",
        Outcome.UNKNOWN,
    )


def complete_claim(
    request: ClaimRequest, status: int, content_type: str, result: bytes
) -> Procedure:
    """Store the result of a call that ran; return True once it is stored."""
    claim = Claim(
        nonce=request.nonce,
        body_hash=request.body_hash,
        state=ClaimState.RAN,
        expires_wall_ms=request.wall_ms + request.timeout_ms,
        status=status,
        content_type=content_type,
        result=result[:MAX_RESULT_BYTES],
    )
    return (yield from _update_claim(request, claim))


def release_claim(request: ClaimRequest) -> Procedure:
    """Release the claim of a call that was not run; return True once that is stored.

    The record is written even if none is found, so that a delayed creation with
    the same nonce can't take effect afterwards.
    """
    claim = Claim(
        nonce=request.nonce,
        body_hash=request.body_hash,
        state=ClaimState.RELEASED,
        expires_wall_ms=request.wall_ms + request.timeout_ms,
    )
    return (yield from _update_claim(request, claim))


def _update_claim(request: ClaimRequest, claim: Claim) -> Procedure:
    for _ in range(MAX_CLAIM_TRIES):
        try:
            found = yield Read(request.key)
            expected = 0
            if isinstance(found, StoredValue):
                current = decode_record(found.value, Claim)
                if current.nonce != request.nonce or current.state is claim.state:
                    return True
                expected = found.revision
            elif claim.state is ClaimState.RAN:
                return False
            data = msgspec.json.encode(claim)
            if (yield CompareAndSwap(request.key, data, expected, LIFETIME_MS)):
                return True
        except StoreError:
            continue
    return False
