"""The dispatcher: turns events into decisions by applying the request policies."""

from typing import Callable, Iterable

from plantainwood.core import events as ev
from plantainwood.core.admission import (
    expire_waiting,
    handle_arrival,
    handle_path_probed,
    refuse_unservable,
)
from plantainwood.core.catalogue import Catalogue, ServingVm
from plantainwood.core.coldupstreams import ColdLimit, ColdSource
from plantainwood.core.crashes import enforce_mark, enforce_part_marks
from plantainwood.core.dispatcheroptions import Options
from plantainwood.core.dispatcherstate import DispatcherState
from plantainwood.core.evacuations import EvacuationChange
from plantainwood.core.explanations import Explanation, explain_arrival
from plantainwood.core.outcomes import (
    handle_authorization_lost,
    handle_caller_left,
    handle_done,
    handle_failed,
    handle_started,
    handle_tokens,
    handle_upstream_probed,
)
from plantainwood.core.regions import DomainRegions
from plantainwood.core.routes import make_service_pool
from plantainwood.core.scheduling import (
    dispatch_waiting,
    handle_reservation_answer,
    move_unstarted,
)
from plantainwood.core.shutdown import (
    handle_drained,
    handle_stop_planned,
    handle_stopping,
)
from plantainwood.core.silentattempts import handle_silent
from plantainwood.core.stragglers import update_ejections

__all__ = ["Dispatcher", "Options"]


class Dispatcher:
    """Decide on every request of one node.

    Invariants: a request is refused for lack of capacity only if no less urgent
    request that could be displaced waits or runs on this node; a call that may not be
    repeated gets a second attempt only if the first was proved not to have run; a
    leaving upstream gets no new attempts.
    """

    __slots__ = ("state",)

    def __init__(self, node: str, seed: int, options: Options | None = None) -> None:
        self.state = DispatcherState(node, seed, options or Options())

    def decide(self, event: ev.Event, now_ms: int) -> list[ev.Decision]:
        """Apply one event and return the decisions to carry out, in order."""
        decisions: list[ev.Decision] = []
        HANDLERS[type(event)](self.state, event, now_ms, decisions)
        return decisions

    def explain(self, event: ev.Arrival, now_ms: int) -> Explanation:
        """Return what would become of an arriving request; change nothing."""
        return explain_arrival(self.state, event, now_ms)

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Replace the catalogue; loads, queues and limits are kept by name."""
        self.state.apply_catalogue(catalogue)

    def set_domains(self, own: str, domains: list[str]) -> None:
        """Set this node's failure domain and the live ones."""
        self.state.set_domains(own, domains)

    def set_nodes(
        self,
        nodes: set[str],
        now_ms: int,
        known: frozenset[str] = frozenset(),
        unheard: set[str] | None = None,
    ) -> None:
        """Set the live nodes, which divide upstreams' request rates and slots.

        `known` are those that are known or registered, live or not; those of `unheard`
        divide as if they were live.
        """
        dividing = nodes | (unheard or set())
        self.state.upstream_limits.set_nodes(dividing, now_ms)
        self.state.cold_upstreams.set_members(nodes, known, now_ms)
        self.state.nodes = sorted(dividing | {self.state.node})

    def set_cold_limits(
        self, limits: dict[str, ColdLimit], new_are_cold: bool, now_ms: int
    ) -> None:
        """Set the limits of the catalogue's upstreams that are cold after their start.

        `new_are_cold` is whether an upstream not known before has just started.
        """
        state = self.state
        names = set(state.catalogue.upstreams)
        state.cold_upstreams.set_limits(names, limits, new_are_cold, now_ms)
        state.update_cold(now_ms)

    def set_serving_vms(self, vms: dict[str, ServingVm]) -> None:
        """Set the VMs that may serve for this node, by the names of their loads."""
        self.state.set_serving_vms(vms)

    def set_evacuated(self, domains: Iterable[str], now_ms: int) -> EvacuationChange:
        """Set the failure domains that are sent nothing; return what changed.

        Attempts that run there go on.
        """
        return self.state.set_evacuated(domains, now_ms)

    def set_regions(self, own_domain: str, regions: dict[str, str]) -> None:
        """Set this node's failure domain and the regions of the domains."""
        self.state.regions = DomainRegions(own_domain, regions)

    def set_versions(self, versions: dict[str, set[str]], now_ms: int) -> None:
        """Set the software versions of each pool's upstreams."""
        self.state.stream_versions.set_versions(versions, now_ms)

    def set_connection_share(self, share: float) -> None:
        """Set the share of each upstream's connections that this node may use."""
        self.state.set_connection_share(share)

    def charge_remote(self, customer: str, tokens: int) -> None:
        """Charge a customer for tokens that other nodes served to it."""
        self.state.counters.charge(customer, tokens)


def handle_load_report(
    state: DispatcherState, event: ev.LoadReported, now_ms: int, decisions: list
) -> None:
    """Update an upstream's load estimate from its delayed report."""
    load = state.loads.get(event.upstream)
    if load is not None:
        load.record_report(event.by_tier, event.lag_ms, now_ms)
        if event.pace:
            load.reported_pace.record(event.pace, now_ms)


def handle_limit(
    state: DispatcherState, event: ev.LimitNamed, now_ms: int, decisions: list
) -> None:
    """Record the request rate that an upstream names in its answers."""
    if event.upstream in state.loads:
        state.upstream_limits.record_answer(event.upstream, event.per_s, now_ms)
        state.update_rate(event.upstream)


def handle_limit_report(
    state: DispatcherState, event: ev.LimitReported, now_ms: int, decisions: list
) -> None:
    """Record the request rate that an upstream named in an answer to another node."""
    upstream = event.report.upstream
    if upstream in state.loads:
        state.upstream_limits.record_report(event.report, now_ms)
        state.update_rate(upstream)


def handle_brittleness(
    state: DispatcherState, event: ev.BrittlenessNamed, now_ms: int, decisions: list
) -> None:
    """Record whether an answer says that its upstream is brittle."""
    load = state.loads.get(event.upstream)
    if load is None or not load.entry.service:
        return
    pool = make_service_pool(load.entry.service)
    was_brittle = state.brittle_pools.is_brittle(pool, now_ms)
    state.brittle_pools.record_answer(pool, event.is_brittle, now_ms)
    if state.brittle_pools.is_brittle(pool, now_ms) != was_brittle:
        state.update_rooms(now_ms)


def handle_brittleness_report(
    state: DispatcherState, event: ev.BrittlenessReported, now_ms: int, decisions: list
) -> None:
    """Record that an answer to another node named a pool brittle."""
    state.brittle_pools.record_report(event.pool, event.age_ms, now_ms)


def handle_cold(
    state: DispatcherState, event: ev.ColdNamed, now_ms: int, decisions: list
) -> None:
    """Record how much longer an upstream is cold, or that it is warm."""
    cold = state.cold_upstreams
    if event.source is ColdSource.RESPONSE:
        cold.record_response(event.upstream, event.remaining_ms, now_ms)
    elif event.source is ColdSource.ENTRY:
        cold.record_entry(event.upstream, event.remaining_ms or 0, now_ms)
    else:
        cold.record_report(event.upstream, event.remaining_ms or 0, now_ms)
        if event.upstream in state.cold_sources:
            return
    state.update_cold(now_ms)


def handle_pause(
    state: DispatcherState, event: ev.PauseNamed, now_ms: int, decisions: list
) -> None:
    """Send an upstream nothing for as long as it asks for."""
    state.pause_upstream(event.upstream, now_ms + event.pause_ms, now_ms)


def handle_upstream_leaving(
    state: DispatcherState, event: ev.UpstreamLeaving, now_ms: int, decisions: list
) -> None:
    """Mark an upstream as leaving, until a catalogue gives it another address."""
    state.record_leaving(event.upstream)


def handle_crash_mark(
    state: DispatcherState, event: ev.CrashMarkReceived, now_ms: int, decisions: list
) -> None:
    """Set or lift a crash mark that another node broadcast."""
    if event.lifted:
        state.quarantine.lift_mark(event.fingerprint, event.upstream)
    else:
        crashed_ms = now_ms - event.age_ms
        state.quarantine.add_mark(event.fingerprint, event.upstream, crashed_ms)
        enforce_mark(state, event.fingerprint, now_ms, decisions)


def handle_part_crash(
    state: DispatcherState, event: ev.PartCrashReceived, now_ms: int, decisions: list
) -> None:
    """Mark the parts of attempts lost on another node; stop what they block."""
    state.part_quarantine.record_crash(event.crash, now_ms)
    enforce_part_marks(state, event.crash, now_ms, decisions)


def handle_parts_cleared(
    state: DispatcherState, event: ev.PartsClearedReceived, now_ms: int, decisions: list
) -> None:
    """Clear parts with which an answer has begun on another node."""
    state.part_quarantine.record_start(event.parts, now_ms)


def handle_tick(
    state: DispatcherState, event: ev.Tick, now_ms: int, decisions: list
) -> None:
    """Expire waiting requests, eject stragglers, move attempts and dispatch."""
    refuse_unservable(state, now_ms, decisions)
    expire_waiting(state, now_ms, decisions)
    state.update_rooms(now_ms)
    state.update_cold(now_ms)
    for upstream in state.upstream_limits.expire(now_ms):
        state.update_rate(upstream)
    judges_stragglers = state.options.eject_stragglers and state.is_judging_due(now_ms)
    for pool in state.pools.values():
        if judges_stragglers:
            update_ejections(pool.group)
        if state.options.move_unstarted:
            move_unstarted(state, pool, now_ms, decisions)
        if pool.count_waiting():
            dispatch_waiting(state, pool, now_ms, decisions)


HANDLERS: dict[type, Callable] = {
    ev.Arrival: handle_arrival,
    ev.AttemptStarted: handle_started,
    ev.TokensRelayed: handle_tokens,
    ev.AttemptSilent: handle_silent,
    ev.AttemptDone: handle_done,
    ev.AttemptFailed: handle_failed,
    ev.CallerLeft: handle_caller_left,
    ev.AuthorizationLost: handle_authorization_lost,
    ev.LoadReported: handle_load_report,
    ev.LimitNamed: handle_limit,
    ev.LimitReported: handle_limit_report,
    ev.BrittlenessNamed: handle_brittleness,
    ev.BrittlenessReported: handle_brittleness_report,
    ev.ColdNamed: handle_cold,
    ev.PauseNamed: handle_pause,
    ev.UpstreamLeaving: handle_upstream_leaving,
    ev.CrashMarkReceived: handle_crash_mark,
    ev.PartCrashReceived: handle_part_crash,
    ev.PartsClearedReceived: handle_parts_cleared,
    ev.ReservationAnswered: handle_reservation_answer,
    ev.PathProbed: handle_path_probed,
    ev.StopPlanned: handle_stop_planned,
    ev.Drained: handle_drained,
    ev.Stopping: handle_stopping,
    ev.UpstreamProbed: handle_upstream_probed,
    ev.Tick: handle_tick,
}
