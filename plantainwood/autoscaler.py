"""Orders for engines, sent by the holder of the duty."""

import asyncio
import logging

from mode import Service

from plantainwood.core.errors import StoreError
from plantainwood.core.sizing import (
    CountOrder,
    EngineCounts,
    EngineScaler,
    EngineTarget,
    compute_engine_target,
    make_baseline_key,
    store_baseline,
)
from plantainwood.core.steps import Procedure, SendDesiredCount
from plantainwood.edge import Edge
from plantainwood.edgesettings import Duty
from plantainwood.logs import log_event

ORDER_PAUSE_MS = 250
BASE_AFTER_MS = 3_000
"""When all upstreams that were there at the start have registered."""


class Orderer(Service):
    """Order how many engines run, while the lease is held."""

    def __init__(self, edge: Edge, **kwargs) -> None:
        self.edge = edge
        self._taken: dict[tuple[str, str, bool], int] = {}
        """Number in force by service, failure domain and sort."""
        self._sizers: dict[str, EngineScaler] = {}
        super().__init__(**kwargs)

    @Service.task
    async def _run(self) -> None:
        edge = self.edge
        if Duty.SCALING not in edge.settings.duties.enabled:
            return
        while not self.should_stop:
            await asyncio.sleep(ORDER_PAUSE_MS / 1_000)
            if not edge.lease.holds():
                self._taken.clear()
                continue
            for service in list(edge.view.scaling):
                await self._order(service)

    async def _order(self, service: str) -> None:
        """Send what changes of one service's orders."""
        edge = self.edge
        now_ms = edge.clock.now_ms()
        scaling = edge.view.scaling[service]
        census = edge.view.census.get(service, {})
        sizer = self._sizers.setdefault(service, EngineScaler(service))
        wanted = await self._find_wanted(service, census, now_ms)
        domains = edge.settings.domains
        for order in sizer.plan(scaling, domains, census, wanted, now_ms):
            if not order.spot and not wanted.baseline_known:
                continue
            key = (order.service, order.domain, order.spot)
            counted = census.get(order.domain, EngineCounts())
            same = self._taken.get(key) == order.desired
            if same and not sizer.must_resend(order, scaling, counted, now_ms):
                continue
            taken = await edge.driver.run(issue_count(edge, order))
            sizer.note_answer(order, taken, edge.clock.now_ms())
            if taken:
                self._taken[key] = order.desired
            log_event(
                "order",
                service=order.service,
                domain=order.domain,
                desired=order.desired,
                spot=order.spot,
                taken=taken,
                wanted=wanted.spot,
                needed=wanted.needed,
                demand=round(edge.get_demand_peak(service).per_second(now_ms)),
                fence=edge.lease.fence,
            )

    async def _find_wanted(
        self, service: str, census: dict[str, EngineCounts], now_ms: int
    ) -> EngineTarget:
        """Return the wanted numbers from the demand and the size at the start.

        Not settled while the size at the start is not known, since not all have
        registered.
        """
        edge = self.edge
        kept = edge.mirror.items.get(make_baseline_key(service))
        rate = edge.get_demand_peak(service).per_second(now_ms)
        domains = len(edge.settings.domains)
        if kept is None or kept.value is None or not kept.value.isdigit():
            running = sum(item.regular + item.spot for item in census.values())
            if now_ms - edge.lease.taken_at_ms >= BASE_AFTER_MS:
                await edge.driver.run(store_baseline(service, running))
            return compute_engine_target(rate, domains, running, baseline_known=False)
        return compute_engine_target(rate, domains, int(kept.value))


def issue_count(edge: Edge, order: CountOrder) -> Procedure:
    """Send one order under the lease; return whether it was taken."""
    if not edge.lease.holds():
        return False
    call = SendDesiredCount(
        order.service,
        order.domain,
        order.desired,
        order.spot,
        edge.lease.fence,
        edge.lease.deadline_ms(),
    )
    try:
        return (yield call)
    except StoreError as error:
        log_event("order_unanswered", logging.WARNING, reason=str(error))
        return False
