"""Frames between daemons: a version byte, an authentication code and a message."""

import hashlib
import hmac

import msgspec

from plantainwood.core.fleetmessages import Message
from plantainwood.core.messages import WIRE_VERSION

MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class FrameError(Exception):
    """A frame to drop: malformed, not authentic or of another version."""


def _compute_mac(secret: bytes, payload: bytes) -> bytes:
    return hmac.digest(secret, payload, hashlib.sha256)[:MAC_BYTES]


def encode_frame(message: Message, secret: bytes) -> bytes:
    """Return the frame of a message, authenticated with the fleet's shared secret."""
    payload = _encoder.encode(message)
    return bytes([WIRE_VERSION]) + _compute_mac(secret, payload) + payload


def decode_frame(frame: bytes, secret: bytes) -> Message:
    """Return the message in a frame; raise FrameError if it must be dropped."""
    if len(frame) <= HEADER_BYTES or frame[0] != WIRE_VERSION:
        raise FrameError("frame too short or of an unknown version")
    payload = frame[HEADER_BYTES:]
    if not hmac.compare_digest(frame[1:HEADER_BYTES], _compute_mac(secret, payload)):
        raise FrameError("wrong authentication code")
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise FrameError(str(error)) from error
