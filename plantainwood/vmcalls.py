"""Calls that one VM sends to another, which serves them in its place.

A call goes as one sealed frame in the body of an HTTP request. The other VM sends back
the upstream's answer, with a header that names the upstream, or its own refusal.
"""

import msgspec

from plantainwood.answerparser import ResponseHead
from plantainwood.attempterrors import AttemptError, make_unreached_error
from plantainwood.calls import Call
from plantainwood.connections import Connection
from plantainwood.core.decoding import MalformedError, decode
from plantainwood.core.endcauses import EndCause
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.frames import FrameError, seal, unseal

CALLS_PATH = "/calls"
SERVED_UPSTREAM = b"served-upstream"
"""The header that names the upstream; a refusal has none."""
MAX_REFUSAL_BYTES = 16_384
HOP_MARGIN_MS = 20
"""How long before the sender's deadline the other VM's answer is due."""
TRY_ANOTHER_VM = (
    ErrorCode.UPSTREAM_UNAVAILABLE,
    ErrorCode.DRAINING,
    ErrorCode.CATALOGUE_MISSING,
    ErrorCode.NO_UPSTREAM,
    ErrorCode.FORBIDDEN_CLASS,
)
"""The refusals, if not run, after which another VM may serve the call.

A VM that doesn't know the call's class or customer has an older configuration.
"""


class SentCall(msgspec.Struct, frozen=True):
    """A call as one VM sends it to another."""

    sender: str
    remaining_ms: int
    """How long the sender waits for the answer."""
    call: Call


class Refusal(msgspec.Struct, frozen=True):
    """Why a VM did not serve another's call."""

    code: ErrorCode
    message: str
    outcome: Outcome
    retry_after_ms: int | None


_encoder = msgspec.msgpack.Encoder()
_refusal_decoder = msgspec.json.Decoder(Refusal)
_call_decoder = msgspec.msgpack.Decoder(SentCall)


def encode_call(
    call: Call, sender: str, attempt: int, attempts_left: int, now_ms: int, secret: str
) -> bytes:
    """Return the HTTP request that asks another VM to serve a call.

    The other VM may send it to `attempts_left` upstreams at most.
    """
    route = msgspec.structs.replace(call.route, attempts=max(1, attempts_left))
    outgoing = msgspec.structs.replace(
        call, route=route, local_id=f"{sender}/{call.local_id}.{attempt}"
    )
    remaining_ms = call.deadline_ms - now_ms - HOP_MARGIN_MS
    sent_call = SentCall(sender, max(1, remaining_ms), outgoing)
    frame = seal(_encoder.encode(sent_call), secret.encode())
    head = (
        f"POST {CALLS_PATH} HTTP/1.1\r\nHost: vm\r\n"
        f"Content-Type: application/octet-stream\r\nContent-Length: {len(frame)}\r\n"
        "\r\n"
    )
    return head.encode("latin-1") + frame


def decode_call(frame: bytes, now_ms: int, secret: str) -> Call:
    """Return the call in a frame, with times by this node's clock.

    Raise FrameError if the frame is malformed or not from this fleet.
    """
    try:
        sent_call = decode(_call_decoder, unseal(frame, secret.encode()))
    except MalformedError as error:
        raise FrameError(str(error)) from error
    call = sent_call.call
    call.arrived_ms = now_ms
    call.deadline_ms = now_ms + sent_call.remaining_ms
    call.from_vm = sent_call.sender
    return call


def resume_call(call: Call, last_event_id: str) -> Call:
    """Return the call that continues a stream after an event; itself before the first.

    The other VM then sends it only to the software version that began the stream.
    """
    if not last_event_id:
        return call
    return msgspec.structs.replace(
        call, last_event_id=last_event_id, resumes=call.resumes or call.request_id
    )


def encode_refusal(error: RequestError) -> bytes:
    """Return the body of a refusal."""
    return msgspec.json.encode(
        Refusal(error.code, error.message, error.outcome, error.retry_after_ms)
    )


async def read_refusal(connection: Connection) -> AttemptError | RequestError:
    """Return the error that a refusal tells of.

    It is an AttemptError if another VM may serve the call. Raise AttemptError if the
    connection is lost.
    """
    body = bytearray()
    while len(body) <= MAX_REFUSAL_BYTES:
        chunk = await connection.read_chunk()
        if not chunk:
            break
        body += chunk
    try:
        refusal = decode(_refusal_decoder, bytes(body))
    except MalformedError as error:
        return AttemptError(f"unreadable refusal: {error}", False, False)
    if refusal.outcome is Outcome.NOT_RUN and refusal.code in TRY_ANOTHER_VM:
        return make_unreached_error(f"the other VM refused: {refusal.code.value}")
    return RequestError(
        refusal.code,
        refusal.message,
        refusal.outcome,
        refusal.retry_after_ms,
        EndCause.REFUSED_BY_VM,
    )


def take_served_upstream(response: ResponseHead) -> str:
    """Remove the header that names the upstream; return it, "" from a refusal."""
    name = response.get_header(SERVED_UPSTREAM)
    response.headers = [
        (key, value)
        for key, value in response.headers
        if key.lower() != SERVED_UPSTREAM
    ]
    return name.decode("latin-1") if name is not None else ""
