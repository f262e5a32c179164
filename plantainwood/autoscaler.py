"""Autoscaling: orders for the number of engines, sent by the lease holder."""

import asyncio
import logging

from mode import Service

from plantainwood.core.effects import Procedure, SendDesiredCount
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
from plantainwood.edge import Edge
from plantainwood.edgesettings import Duty
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event

SCALING_PAUSE_MS = 250
BASELINE_DELAY_MS = 3_000
"""When all upstreams that were there at the start have registered, counted from the
acquisition of the lease; the holder stores the baseline then."""


class Autoscaler(Service):
    """Order the number of engines of each service, while the lease is held."""

    def __init__(self, edge: Edge, **kwargs) -> None:
        self.edge = edge
        self._accepted_counts: dict[tuple[str, str, bool], int] = {}
        """The number last accepted, by service, failure domain and whether spot."""
        self._scalers: dict[str, EngineScaler] = {}
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        edge = self.edge
        if Duty.SCALING not in edge.settings.duties.enabled:
            return
        while not self.should_stop:
            await asyncio.sleep(SCALING_PAUSE_MS / 1_000)
            if not edge.lease.is_held():
                self._accepted_counts.clear()
                continue
            for service in list(edge.view.scaling):
                await self._scale_service(service)

    async def _scale_service(self, service: str) -> None:
        """Send the orders of one service that changed or must be sent again."""
        edge = self.edge
        now_ms = edge.clock.now_ms()
        scaling = edge.view.scaling[service]
        engine_counts = edge.view.engine_counts.get(service, {})
        scaler = self._scalers.setdefault(service, EngineScaler(service))
        target = await self._compute_target(service, engine_counts, now_ms)
        evacuations = edge.broker.dispatcher.state.evacuations
        domains = evacuations.list_in_service(edge.settings.domains, now_ms)
        counts = {
            name: engine_counts[name] for name in domains if name in engine_counts
        }
        for order in scaler.plan(scaling, domains, counts, target, now_ms):
            if not order.spot and not target.baseline_known:
                continue
            key = (order.service, order.domain, order.spot)
            domain_counts = engine_counts.get(order.domain, EngineCounts())
            unchanged = self._accepted_counts.get(key) == order.desired
            if unchanged and not scaler.must_resend(
                order, scaling, domain_counts, now_ms
            ):
                continue
            accepted = await edge.driver.run(send_count_order(edge, order))
            scaler.record_answer(order, accepted, edge.clock.now_ms())
            if accepted:
                self._accepted_counts[key] = order.desired
            log_event(
                "order",
                service=order.service,
                domain=order.domain,
                desired=order.desired,
                spot=order.spot,
                taken=accepted,
                wanted=target.spot,
                needed=target.needed,
                demand=round(edge.get_demand_peak(service).compute_rate_per_s(now_ms)),
                fence=edge.lease.fence,
            )

    async def _compute_target(
        self, service: str, engine_counts: dict[str, EngineCounts], now_ms: int
    ) -> EngineTarget:
        """Return the target numbers computed from the demand and the baseline.

        Until the baseline is stored it counts as unknown, since not all engines
        have registered.
        """
        edge = self.edge
        baseline_item = edge.mirror.items.get(make_baseline_key(service))
        demand_rate = edge.get_demand_peak(service).compute_rate_per_s(now_ms)
        domains = len(edge.settings.domains)
        if (
            baseline_item is None
            or baseline_item.value is None
            or not baseline_item.value.isdigit()
        ):
            running = sum(item.regular + item.spot for item in engine_counts.values())
            if now_ms - edge.lease.acquired_at_ms >= BASELINE_DELAY_MS:
                await edge.driver.run(store_baseline(service, running))
            return compute_engine_target(
                demand_rate, domains, running, baseline_known=False
            )
        return compute_engine_target(demand_rate, domains, int(baseline_item.value))


def send_count_order(edge: Edge, order: CountOrder) -> Procedure:
    """Send one order if the lease is held; return whether it was accepted."""
    if not edge.lease.is_held():
        return False
    call = SendDesiredCount(
        order.service,
        order.domain,
        order.desired,
        order.spot,
        edge.lease.fence,
        edge.lease.get_deadline_ms(),
        edge.lease.get_arrival_limit_ms(),
    )
    try:
        return (yield call)
    except StoreError as error:
        log_event("order_unanswered", logging.WARNING, reason=str(error))
        return False
