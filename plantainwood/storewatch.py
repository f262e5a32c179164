"""Watch of how far this VM follows the store: metrics, and a line when it does not."""

import asyncio
import logging

from mode import Service

from plantainwood.edge import Edge
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event

CHECK_PAUSE_MS = 1_000
UNCONFIRMED_AFTER_MS = 3_000
"""The age of the last confirmation from which on a VM counts as left behind."""
NEVER_CONFIRMED_S = -1.0


class StoreWatch(Service):
    """Tell whether the store's items are confirmed and in force on this VM."""

    def __init__(self, edge: Edge, **kwargs) -> None:
        self.edge = edge
        self._began_ms = edge.clock.now_ms()
        self._is_behind = False
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            self.check()
            await asyncio.sleep(CHECK_PAUSE_MS / 1_000)

    def check(self) -> None:
        """Set the metrics; log when the confirmation becomes too old, and its end."""
        edge = self.edge
        now_ms = edge.clock.now_ms()
        age_ms = edge.mirror.compute_age_ms(now_ms)
        metrics = edge.metrics
        metrics.mirror_revision.set({}, edge.mirror.revision)
        metrics.catalogue_revision.set({}, edge.view.catalogue.revision)
        metrics.confirm_age.set(
            {}, age_ms / 1_000 if age_ms is not None else NEVER_CONFIRMED_S
        )
        waited_ms = age_ms if age_ms is not None else now_ms - self._began_ms
        is_behind = waited_ms > UNCONFIRMED_AFTER_MS
        if is_behind == self._is_behind:
            return
        self._is_behind = is_behind
        log_event(
            "store_unconfirmed" if is_behind else "store_confirmed",
            logging.WARNING if is_behind else logging.INFO,
            age_ms=age_ms,
            mirror=edge.mirror.revision,
            registry=edge.view.catalogue.revision,
        )
