"""Request rates that upstreams in need name, for all nodes together."""

import pytest

from tests.limitedfleet import LimitedFleet

CONTACT_MS = 3_000
WINDOW_MS = 4_000


def compute_allowed(per_s: float) -> float:
    """Return how many requests a runner may get in a window by the users' rule."""
    return 1.5 * per_s * WINDOW_MS / 1_000 + 5


# Guards against LIMIT: an engine that had named a limit of one request a second was
# sent as many as all others.
@pytest.mark.parametrize("per_s", [0.3, 1.0, 4.0])
def test_a_node_keeps_the_limit_that_an_engine_names(per_s):
    fleet = LimitedFleet(1, seed=3)
    fleet.run(1_000)
    fleet.limits["e2"] = per_s
    named_ms = fleet.now_ms
    fleet.run(14_000)
    most = fleet.find_most_sent("e2", named_ms + CONTACT_MS, WINDOW_MS)
    assert 0 < most <= compute_allowed(per_s)
    assert not fleet.refused
