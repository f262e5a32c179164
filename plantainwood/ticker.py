"""Timer ticks for the dispatcher, and other work at regular intervals."""

import asyncio

from mode import Service

from plantainwood.core import events as ev
from plantainwood.customerreports import ShareReporter
from plantainwood.edge import Edge
from plantainwood.guardedtask import guarded_task
from plantainwood.pacereports import report_paces

TICK_MS = 25
IDLE_TICK_MS = 100
"""While the node has no requests, so that idle VMs wake up less often."""
CHORE_INTERVAL_MS = 500


class Ticker(Service):
    """Send ticks to the dispatcher, beat the awake clock, do chores.

    The lateness of the ticks shows whether this VM is slow.
    """

    def __init__(self, edge: Edge, **kwargs) -> None:
        self.edge = edge
        self._share_reporter = ShareReporter(edge)
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        broker = self.edge.broker
        clock = self.edge.clock
        waited_ms = 0
        while not self.should_stop:
            tick_ms = TICK_MS if broker.dispatcher.state.requests else IDLE_TICK_MS
            began_ms = clock.now_ms()
            await asyncio.sleep(tick_ms / 1_000)
            self.edge.standstills.beat()
            now_ms = clock.now_ms()
            self.edge.weights.record_tick(
                tick_ms, now_ms - began_ms, broker.event_count, now_ms
            )
            broker.feed(ev.Tick())
            waited_ms += tick_ms
            if waited_ms >= CHORE_INTERVAL_MS:
                waited_ms = 0
                self._do_chores()

    def _do_chores(self) -> None:
        edge = self.edge
        edge.connection_pool.close_idle()
        report_paces(edge.router.paces, edge.metrics, edge.clock.now_ms())
        edge.report_overflow()
        self._share_reporter.report(edge.clock.now_ms())
