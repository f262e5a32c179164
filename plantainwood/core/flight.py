"""How long bytes that were written to a TCP connection may still arrive."""

USER_TIMEOUT_MS = 300
"""The kernel gives up a connection on which nothing was acknowledged for so long."""
MIN_VARIANCE_MS = 200
"""What Linux adds at least to the round trip in its retransmission timeout."""
FIRST_SAMPLE_FACTOR = 3
"""The retransmission timeout after one sample, in round trips (RFC 6298)."""
UNCOUNTED_TIMEOUTS = 2
"""Retransmission timeouts that may pass before the kernel counts USER_TIMEOUT_MS."""


def compute_flight_ms(round_trip_ms: int) -> int:
    """Return how long after its writing one segment may still arrive.

    `round_trip_ms` is that of a handshake that has just been completed. The limit holds
    for a connection with USER_TIMEOUT_MS, also while the sending process stands still.
    """
    retransmission_ms = max(
        round_trip_ms + MIN_VARIANCE_MS, FIRST_SAMPLE_FACTOR * round_trip_ms
    )
    return UNCOUNTED_TIMEOUTS * retransmission_ms + USER_TIMEOUT_MS + round_trip_ms
