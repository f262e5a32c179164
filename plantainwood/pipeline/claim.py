"""Claim: a call that may not be repeated is claimed before any byte is sent."""

import asyncio
import hashlib
import secrets

from plantainwood.core import claims
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.engines import PlainAnswer
from plantainwood.pipeline.exchange import ApiKind, Exchange, Filter, Proceed

KEY_HEADER = "Idempotency-Key"
NONCE_BYTES = 12
RUN_TIMEOUT_MS = 60_000
RELEASE_ATTEMPTS = 20
RELEASE_PAUSE_S = 1.0


class Claim(Filter):
    """Run a call at most once per (customer, idempotency key)."""

    name = "claim"

    async def apply(self, exchange: Exchange, proceed: Proceed) -> None:
        """Proceed if the call may be repeated or is claimed; replay a stored result."""
        if exchange.repeatable or exchange.kind is not ApiKind.PLAIN:
            await proceed()
            return
        request = _make_claim_request(exchange)
        driver = exchange.node.clients.driver
        try:
            earlier = await driver.run(claims.claim_call(request))
        except RequestError as error:
            if error.code is ErrorCode.CLAIM_UNAVAILABLE:
                exchange.node.run_in_background(_release(exchange, request))
            raise
        if earlier is not None:
            exchange.replayed = True
            exchange.plain_answer = PlainAnswer(
                earlier.status, earlier.content_type, earlier.result
            )
            return
        try:
            await proceed()
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN:
                exchange.node.run_in_background(_release(exchange, request))
            raise
        await _complete(exchange, request)


def _make_claim_request(exchange: Exchange) -> claims.ClaimRequest:
    key = exchange.request.headers.get(KEY_HEADER)
    if not key:
        message = f"this call needs the header {KEY_HEADER}"
        raise RequestError(ErrorCode.KEY_REQUIRED, message)
    method_and_path = f"{exchange.request.method} {exchange.request.raw_path}\0"
    digest = hashlib.sha256(method_and_path.encode() + exchange.body)
    return claims.ClaimRequest(
        customer=exchange.identity.customer,
        idempotency_key=key,
        body_hash=digest.hexdigest(),
        nonce=secrets.token_hex(NONCE_BYTES),
        wall_ms=exchange.node.clock.wall_ms(),
        timeout_ms=RUN_TIMEOUT_MS,
    )


async def _complete(exchange: Exchange, request: claims.ClaimRequest) -> None:
    """Store the result for replay; a resend that comes earlier is refused, not run."""
    answer = exchange.plain_answer
    assert answer is not None
    await exchange.node.clients.driver.run(
        claims.complete_claim(request, answer.status, answer.content_type, answer.body)
    )


async def _release(exchange: Exchange, request: claims.ClaimRequest) -> None:
    """Release the claim, so that the caller's next attempt can run."""
    for _ in range(RELEASE_ATTEMPTS):
        if await exchange.node.clients.driver.run(claims.release_claim(request)):
            return
        await asyncio.sleep(RELEASE_PAUSE_S)
