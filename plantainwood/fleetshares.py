"""A VM's shares of what the fleet uses together, by the VMs that are live."""

from plantainwood.core.vms import compute_share
from plantainwood.edge import Edge
from plantainwood.logs import log_event


class FleetShares:
    """Update the shares of retries, upstreams' rates, slots and connections."""

    __slots__ = ("_edge", "_unheard_count")

    def __init__(self, edge: Edge) -> None:
        self._edge = edge
        self._unheard_count = 0

    def begin_serving(self) -> None:
        """Take the shares before the first request, once there is a configuration."""
        edge = self._edge
        if edge.view.routes is None:
            return
        edge.returning.begin(edge.clock.now_ms())
        self.update()

    def update(self) -> None:
        """Update the shares; log a line when the first registered VMs count unheard."""
        edge = self._edge
        now_ms = edge.clock.now_ms()
        awake_ms = edge.awake_clock.now_ms()
        live = edge.vms.list_live(awake_ms)
        names = {heartbeat.sender for heartbeat in live}
        known = edge.vms.list_current_names(awake_ms)
        unheard = edge.returning.find_unheard(names, known, now_ms)
        edge.retry_budget.set_nodes(len(names) + len(unheard) + 1)
        dispatcher = edge.broker.dispatcher
        dispatcher.set_nodes(names, now_ms, frozenset(known), unheard)
        dispatcher.set_connection_share(compute_share(edge.weight, live, len(unheard)))
        self._report(len(unheard), len(names), len(known))

    def _report(self, unheard: int, live: int, registered: int) -> None:
        self._edge.metrics.unheard_vms.set({}, unheard)
        if bool(unheard) != bool(self._unheard_count):
            log_event("vms_unheard", unheard=unheard, live=live, registered=registered)
        self._unheard_count = unheard
