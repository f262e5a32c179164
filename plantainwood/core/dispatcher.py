"""The request core: events in, decisions out; composes the request policies."""

from typing import Callable

from plantainwood.core import events as ev
from plantainwood.core.admission import expire_waiting, take_arrival
from plantainwood.core.book import TOP_TIER, Book, Options
from plantainwood.core.catalogue import Catalogue
from plantainwood.core.dispatching import drain, move_unstarted, take_reservation
from plantainwood.core.outcomes import (
    hold_marked,
    take_authority_lost,
    take_done,
    take_failed,
    take_left,
    take_started,
    take_tokens,
)
from plantainwood.core.pools import Pool
from plantainwood.core.stragglers import mark_stragglers

__all__ = ["Dispatcher", "Options"]


class Dispatcher:
    """Decide on every request of one node.

    Invariants: a request is refused for want of room only where no less urgent
    displaceable work waits or runs here; a call that may not be repeated has a
    second attempt only if the first was proved not run; a leaving upstream gets no
    attempt.
    """

    __slots__ = ("book",)

    def __init__(self, node: str, seed: int, options: Options | None = None) -> None:
        self.book = Book(node, seed, options or Options())

    def decide(self, event: ev.Event, now_ms: int) -> list[ev.Decision]:
        """Take one event in and return what must be done about it."""
        decisions: list[ev.Decision] = []
        HANDLERS[type(event)](self.book, event, now_ms, decisions)
        return decisions

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Use a newer catalogue from now on."""
        self.book.apply_catalogue(catalogue)

    def set_domains(self, own: str, domains: list[str]) -> None:
        """Use this node's failure domain and the live ones from now on."""
        self.book.set_domains(own, domains)

    def charge_remote(self, customer: str, tokens: int) -> None:
        """Charge tokens that other nodes served to a customer."""
        self.book.counters.charge(customer, tokens)


def take_load(book: Book, event: ev.LoadReported, now_ms: int, out: list) -> None:
    """Take an upstream's late report."""
    load = book.loads.get(event.upstream)
    if load is not None:
        load.note_report(event.by_tier, event.lag_ms, now_ms)


def take_leaving(book: Book, event: ev.UpstreamLeaving, now_ms: int, out: list) -> None:
    """Send no more work to an upstream, whatever older news may say."""
    load = book.loads.get(event.upstream)
    if load is not None:
        load.leaving = True
        book.leaving.add((event.upstream, load.entry.address))


def take_crash_mark(book: Book, event: ev.CrashHeard, now_ms: int, out: list) -> None:
    """Take a mark, or the lifting of one, from another node."""
    if event.lifted:
        book.quarantine.lift_mark(event.fingerprint, event.upstream)
    else:
        book.quarantine.note_mark(event.fingerprint, event.upstream, now_ms)
        hold_marked(book, event.fingerprint, now_ms, out)


def take_tick(book: Book, event: ev.Tick, now_ms: int, out: list) -> None:
    """Do what is due by time."""
    expire_waiting(book, now_ms, out)
    for pool in book.pools.values():
        if book.options.eject_stragglers:
            mark_stragglers(pool.group)
        if book.options.bound_cheap_risk:
            pool.closed_domains = find_closed_domains(pool, now_ms)
        if book.options.move_unstarted:
            move_unstarted(book, pool, now_ms, out)
        if pool.waiting():
            drain(book, pool, now_ms, out)


def find_closed_domains(pool: Pool, now_ms: int) -> set[str]:
    """Return the cheap failure domains that should take no more urgent work.

    The urgent work in one of them must fit into the urgent room of the others, so
    that all of it can move at once when the domain vanishes.
    """
    closed: set[str] = set()
    cheap = {load.entry.domain for load in pool.group if load.entry.cheap}
    for domain in cheap:
        at_risk = 0
        room = 0
        for load in pool.group:
            if load.entry.domain == domain:
                at_risk += load.estimate(TOP_TIER, now_ms)
            elif not load.leaving:
                room += max(0, load.free(TOP_TIER, now_ms))
        if at_risk >= room:
            closed.add(domain)
    return closed


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
