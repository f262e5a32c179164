"""The time after which a silent attempt is abandoned for another one."""

import msgspec
import pytest

from plantainwood.core.routes import RetrySafety
from plantainwood.core.stalls import (
    MIN_PLAIN_STALL_MS,
    MIN_STALL_MS,
    NO_STALL_LIMIT_MS,
    compute_first_byte_stall_ms,
    compute_gap_stall_ms,
)
from tests.samples import ROUTE


def make_route(**changes):
    """Return the route of a stream, with changes."""
    return msgspec.structs.replace(ROUTE, **changes)


@pytest.mark.parametrize(
    ("changes", "attempts", "stall_ms"),
    [
        ({"first_byte_target_ms": 400}, 1, MIN_STALL_MS),
        ({"first_byte_target_ms": 1_000}, 1, 3_000),
        ({"first_byte_target_ms": 400}, 2, NO_STALL_LIMIT_MS),
        ({"resumable": False}, 1, NO_STALL_LIMIT_MS),
        ({"retry_safety": RetrySafety.UNSAFE}, 1, NO_STALL_LIMIT_MS),
        (
            {"retry_safety": RetrySafety.SAFE, "first_byte_target_ms": 100},
            1,
            MIN_PLAIN_STALL_MS,
        ),
    ],
)
def test_a_silent_attempt_times_out_only_if_another_may_run(
    changes, attempts, stall_ms
):
    assert compute_first_byte_stall_ms(make_route(**changes), attempts) == stall_ms


def test_a_gap_ends_a_stream_only_if_it_is_resumable():
    assert compute_gap_stall_ms(make_route(gap_target_ms=600), 1) == 1_800
    assert compute_gap_stall_ms(make_route(gap_target_ms=150), 1) == MIN_STALL_MS
    assert compute_gap_stall_ms(make_route(resumable=False), 1) == NO_STALL_LIMIT_MS
    assert compute_gap_stall_ms(make_route(gap_target_ms=600), 2) == NO_STALL_LIMIT_MS
