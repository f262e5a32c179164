"""The request core: events in, decisions out; composes the request policies."""

from typing import Callable

from plantainwood.core import events as ev
from plantainwood.core.admission import expire_waiting, take_arrival
from plantainwood.core.catalogue import Catalogue
from plantainwood.core.dispatcherstate import DispatcherState, Options
from plantainwood.core.outcomes import (
    hold_marked,
    take_authority_lost,
    take_done,
    take_failed,
    take_left,
    take_started,
    take_tokens,
)
from plantainwood.core.scheduling import drain, move_unstarted, take_reservation
from plantainwood.core.stragglers import mark_stragglers

__all__ = ["Dispatcher", "Options"]


class Dispatcher:
    """Decide on every request of one node.

    Invariants: a request is refused for want of room only where no less urgent
    displaceable work waits or runs here; a call that may not be repeated has a
    second attempt only if the first was proved not run; a leaving upstream gets no
    attempt.
    """

    __slots__ = ("state",)

    def __init__(self, node: str, seed: int, options: Options | None = None) -> None:
        self.state = DispatcherState(node, seed, options or Options())

    def decide(self, event: ev.Event, now_ms: int) -> list[ev.Decision]:
        """Take one event in and return what must be done about it."""
        decisions: list[ev.Decision] = []
        HANDLERS[type(event)](self.state, event, now_ms, decisions)
        return decisions

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Use a newer catalogue from now on."""
        self.state.apply_catalogue(catalogue)

    def set_domains(self, own: str, domains: list[str]) -> None:
        """Use this node's failure domain and the live ones from now on."""
        self.state.set_domains(own, domains)

    def set_connection_share(self, share: float) -> None:
        """Use this share of the connections that each upstream takes."""
        self.state.set_connection_share(share)

    def charge_remote(self, customer: str, tokens: int) -> None:
        """Charge tokens that other nodes served to a customer."""
        self.state.counters.charge(customer, tokens)


def take_load(
    state: DispatcherState, event: ev.LoadReported, now_ms: int, out: list
) -> None:
    """Take an upstream's late report."""
    load = state.loads.get(event.upstream)
    if load is not None:
        load.note_report(event.by_tier, event.lag_ms, now_ms)


def take_leaving(
    state: DispatcherState, event: ev.UpstreamLeaving, now_ms: int, out: list
) -> None:
    """Send no more work to an upstream, whatever older news may say."""
    load = state.loads.get(event.upstream)
    if load is not None:
        load.leaving = True
        state.leaving.add((event.upstream, load.entry.address))


def take_crash_mark(
    state: DispatcherState, event: ev.CrashHeard, now_ms: int, out: list
) -> None:
    """Take a mark, or the lifting of one, from another node."""
    if event.lifted:
        state.quarantine.lift_mark(event.fingerprint, event.upstream)
    else:
        state.quarantine.note_mark(event.fingerprint, event.upstream, now_ms)
        hold_marked(state, event.fingerprint, now_ms, out)


def take_tick(state: DispatcherState, event: ev.Tick, now_ms: int, out: list) -> None:
    """Do what is due by time."""
    expire_waiting(state, now_ms, out)
    for pool in state.pools.values():
        if state.options.eject_stragglers:
            mark_stragglers(pool.group)
        if state.options.move_unstarted:
            move_unstarted(state, pool, now_ms, out)
        if pool.waiting():
            drain(state, pool, now_ms, out)


HANDLERS: dict[type, Callable] = {
    ev.Arrival: take_arrival,
    ev.AttemptStarted: take_started,
    ev.TokensRelayed: take_tokens,
    ev.AttemptDone: take_done,
    ev.AttemptFailed: take_failed,
    ev.CallerLeft: take_left,
    ev.AuthorityLost: take_authority_lost,
    ev.LoadReported: take_load,
    ev.UpstreamLeaving: take_leaving,
    ev.CrashHeard: take_crash_mark,
    ev.ReservationAnswered: take_reservation,
    ev.Tick: take_tick,
}
