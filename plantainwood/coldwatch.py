"""Cold upstreams as the fleet and the operator learn of them: reports, logs, metric."""

from plantainwood.core import events as ev
from plantainwood.core.coldupstreams import ColdSource
from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.edge import Edge
from plantainwood.logs import log_event


class ColdWatch:
    """Follow which upstreams are cold: entries confirmed, metrics, a line on change."""

    __slots__ = ("_edge", "_logged", "_counted")

    def __init__(self, edge: Edge) -> None:
        self._edge = edge
        self._logged: set[str] = set()
        self._counted = 0

    def check(self) -> None:
        """Look at the cold upstreams once."""
        edge = self._edge
        state = edge.broker.dispatcher.state
        if edge.mirror.confirmed_ms is not None:
            state.cold_upstreams.confirm_entries(edge.mirror.confirmed_ms)
        state.update_cold(edge.clock.now_ms())
        cold = state.cold_sources
        for name in sorted(cold.keys() - self._logged):
            log_event(
                "upstream_cold",
                upstream=name,
                source=cold[name].value,
                own_per_s=round(state.cold_upstreams.compute_share(name), 3),
            )
        for name in sorted(self._logged - cold.keys()):
            log_event("upstream_warm", upstream=name)
        self._logged = set(cold)
        edge.metrics.cold_upstreams.set({}, len(cold))
        sent = state.cold_upstreams.sent_count
        edge.metrics.cold_requests.add({}, sent - self._counted)
        self._counted = sent


def apply_cold_reports(edge: Edge, heartbeat: VmHeartbeat, age_ms: int) -> None:
    """Record which upstreams another VM found out to be cold."""
    for name, remaining_ms in heartbeat.cold_ms.items():
        event = ev.ColdNamed(name, ColdSource.REPORT, remaining_ms - age_ms)
        edge.broker.feed(event)
