"""Orders of the autoscaler, with the calls to the platform recorded."""

import asyncio

from plantainwood.autoscaler import Autoscaler
from plantainwood.core.effects import SendDesiredCount
from plantainwood.core.mirror import Item
from plantainwood.core.sizing import EngineCounts, Scaling, make_baseline_key
from plantainwood.edge import Edge, make_edge
from tests.samples import SETTINGS

SERVICE = "pool"


class HeldLease:
    """A lease that is held and never expires."""

    fence = 1
    acquired_at_ms = 0

    def is_held(self) -> bool:
        """Return True; this lease is always held."""
        return True

    def get_deadline_ms(self) -> int:
        """Return a deadline in the far future."""
        return 2**60

    def get_arrival_limit_ms(self) -> int:
        """Return a time in the far future."""
        return 2**60


class RecordingDriver:
    """Run procedures as if every effect succeeded, and record the orders."""

    def __init__(self) -> None:
        self.orders: list[SendDesiredCount] = []

    async def run(self, procedure):
        """Answer each effect with True; return the procedure's result."""
        try:
            effect = next(procedure)
            while True:
                if isinstance(effect, SendDesiredCount):
                    self.orders.append(effect)
                effect = procedure.send(True)
        except StopIteration as stop:
            return stop.value


def make_scaling_edge() -> tuple[Edge, RecordingDriver]:
    """Return an edge that holds the lease and knows three regular engines."""
    edge = make_edge(SETTINGS)
    driver = RecordingDriver()
    edge.driver = driver
    edge.lease = HeldLease()
    edge.lease.acquired_at_ms = edge.clock.now_ms()
    edge.view.scaling = {SERVICE: Scaling(1, 6, 4_000, 0.2, {})}
    edge.view.engine_counts = {
        SERVICE: {"a": EngineCounts(2, 0), "b": EngineCounts(1, 0)}
    }
    return edge, driver


def test_spot_engines_are_ordered_before_all_have_registered():
    edge, driver = make_scaling_edge()
    asyncio.run(Autoscaler(edge)._scale_service(SERVICE))
    assert driver.orders
    assert all(order.spot for order in driver.orders)


def test_regular_engines_are_released_once_the_baseline_is_known():
    edge, driver = make_scaling_edge()
    edge.mirror.items[make_baseline_key(SERVICE)] = Item(
        make_baseline_key(SERVICE), 1, b"5"
    )
    edge.view.engine_counts[SERVICE] = {
        "a": EngineCounts(2, 3),
        "b": EngineCounts(1, 3),
    }
    asyncio.run(Autoscaler(edge)._scale_service(SERVICE))
    regular = [order.desired for order in driver.orders if not order.spot]
    assert regular == [0, 0]
