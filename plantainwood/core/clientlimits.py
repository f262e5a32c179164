"""What all clients of a process may hold together, derived from the machine."""

import msgspec

MEBIBYTE = 1_048_576
PROCESS_MB = 64
"""Memory that the process needs without clients."""
MIN_SPARE_MB = 32
BODY_SHARE = 3 / 16
"""Of the memory that is left: bodies with a reservation. Each byte of a body is held
twice while it is sent to an upstream."""
ANSWER_SHARE = 1 / 8
SMALL_SHARE = 1 / 8
CONNECTION_BYTES = 32_768
"""Memory of a connection whose client sends a head and no body."""
DESCRIPTOR_SHARE = 0.6
"""Of the descriptors: the rest is for upstreams, other VMs, the store and files."""
MIN_CONNECTIONS = 16
DEFAULT_BYTES = 16 * MEBIBYTE
MAX_CONNECTIONS = 8_192
STRANGER_SHARE = 1 / 16
"""Of the descriptors: connections between VMs that have sent no authentic frame yet."""
MIN_STRANGERS = 16
MAX_STRANGERS = 512
"""All VMs of the largest fleet may connect at the same moment."""
STRANGER_BYTES = 9 * MEBIBYTE
"""What these connections hold together; a frame of the largest size fits."""


class ClientLimits(msgspec.Struct, frozen=True):
    """Bounds on bytes and connections of all clients of a process."""

    body_bytes: int = DEFAULT_BYTES
    """Bodies with a reservation."""
    answer_bytes: int = DEFAULT_BYTES
    """Answers that are collected before they are sent."""
    small_bytes: int = DEFAULT_BYTES
    """Bodies, and the beginnings of bodies, that have no reservation."""
    unread_bytes: int = DEFAULT_BYTES
    """Responses in the buffers of connections whose clients do not read."""
    connections: int = MAX_CONNECTIONS


def compute_client_limits(memory_mb: float | None, descriptors: float) -> ClientLimits:
    """Return the bounds for a machine; None stands for memory that is not known."""
    connections = round(descriptors * DESCRIPTOR_SHARE)
    if memory_mb is None:
        bound = min(connections, MAX_CONNECTIONS)
        return ClientLimits(connections=max(MIN_CONNECTIONS, bound))
    spare = round(max(MIN_SPARE_MB, memory_mb - PROCESS_MB) * MEBIBYTE)
    connections = min(connections, spare // (2 * CONNECTION_BYTES), MAX_CONNECTIONS)
    return ClientLimits(
        body_bytes=round(spare * BODY_SHARE),
        answer_bytes=round(spare * ANSWER_SHARE),
        small_bytes=round(spare * SMALL_SHARE),
        unread_bytes=round(spare * SMALL_SHARE),
        connections=max(MIN_CONNECTIONS, connections),
    )


def compute_max_strangers(descriptors: float) -> int:
    """Return how many connections between VMs may wait for their first frame."""
    wanted = round(descriptors * STRANGER_SHARE)
    return max(MIN_STRANGERS, min(wanted, MAX_STRANGERS))
