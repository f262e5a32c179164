"""When a silent attempt is given up for another one."""

import msgspec
import pytest

from plantainwood.core.routes import Repetition
from plantainwood.core.stalls import (
    MIN_PLAIN_STALL_MS,
    MIN_STALL_MS,
    NEVER_MS,
    find_first_stall_ms,
    find_gap_stall_ms,
)
from tests.samples import ROUTE


def make_route(**changes):
    """Return a stream's route with changes."""
    return msgspec.structs.replace(ROUTE, **changes)


@pytest.mark.parametrize(
    ("changes", "attempts", "stall_ms"),
    [
        ({"first_byte_ms": 400}, 1, MIN_STALL_MS),
        ({"first_byte_ms": 1_000}, 1, 3_000),
        ({"first_byte_ms": 400}, 2, NEVER_MS),
        ({"resumable": False}, 1, NEVER_MS),
        ({"repetition": Repetition.UNSAFE}, 1, NEVER_MS),
        ({"repetition": Repetition.SAFE, "first_byte_ms": 100}, 1, MIN_PLAIN_STALL_MS),
    ],
)
def test_an_attempt_is_given_up_only_where_another_may_run(changes, attempts, stall_ms):
    assert find_first_stall_ms(make_route(**changes), attempts) == stall_ms


def test_a_pause_ends_a_stream_only_where_it_may_be_resumed():
    assert find_gap_stall_ms(make_route(gap_ms=600), 1) == 1_800
    assert find_gap_stall_ms(make_route(gap_ms=150), 1) == MIN_STALL_MS
    assert find_gap_stall_ms(make_route(resumable=False), 1) == NEVER_MS
    assert find_gap_stall_ms(make_route(gap_ms=600), 2) == NEVER_MS
