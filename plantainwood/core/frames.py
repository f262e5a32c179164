"""Frames between daemons: a version byte, an authentication code and a message.

Messages from MIN_COMPRESSED_BYTES on are compressed: batches of heartbeats and items of
the store repeat names and addresses, and links may be slow.
"""

import hashlib
import hmac
import zlib

import msgspec

from plantainwood.core.decoding import MalformedError, decode
from plantainwood.core.fleetmessages import Message
from plantainwood.core.messages import WIRE_VERSION

MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES
COMPRESSED_VERSION = WIRE_VERSION | 0x80
"""The version byte of a frame whose message is compressed."""
MIN_COMPRESSED_BYTES = 512
COMPRESSION_LEVEL = 1
MAX_MESSAGE_BYTES = 67_108_864
"""The size of a decompressed message."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class FrameError(Exception):
    """A frame to drop: malformed, not authentic or of another version."""


def _compute_mac(secret: bytes, payload: bytes) -> bytes:
    return hmac.digest(secret, payload, hashlib.sha256)[:MAC_BYTES]


def encode_frame(message: Message, secret: bytes) -> bytes:
    """Return the frame of a message, authenticated with the fleet's shared secret."""
    return seal(_encoder.encode(message), secret)


def seal(payload: bytes, secret: bytes) -> bytes:
    """Return the frame of a payload, compressed if that may be worth it."""
    version = WIRE_VERSION
    if len(payload) >= MIN_COMPRESSED_BYTES:
        payload = zlib.compress(payload, COMPRESSION_LEVEL)
        version = COMPRESSED_VERSION
    return bytes([version]) + _compute_mac(secret, payload) + payload


def decode_frame(frame: bytes, secret: bytes) -> Message:
    """Return the message in a frame; raise FrameError if it must be dropped."""
    try:
        return decode(_decoder, unseal(frame, secret))
    except MalformedError as error:
        raise FrameError(str(error)) from error


def unseal(frame: bytes, secret: bytes) -> bytes:
    """Return the payload of a frame; raise FrameError if it is not authentic."""
    versions = (WIRE_VERSION, COMPRESSED_VERSION)
    if len(frame) <= HEADER_BYTES or frame[0] not in versions:
        raise FrameError("frame too short or of an unknown version")
    if not is_authentic(frame, secret):
        raise FrameError("wrong authentication code")
    payload = frame[HEADER_BYTES:]
    if frame[0] == COMPRESSED_VERSION:
        payload = _decompress(payload)
    return payload


def is_authentic(frame: bytes, secret: bytes) -> bool:
    """Return whether the fleet's secret signed a frame, of whatever version."""
    code = _compute_mac(secret, frame[HEADER_BYTES:])
    return hmac.compare_digest(frame[1:HEADER_BYTES], code)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise FrameError(str(error)) from error
    if not decompressor.eof:
        raise FrameError("the compressed message is too long or cut off")
    return payload
