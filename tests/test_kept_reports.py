"""What upstreams say of themselves, kept while their registrations lapse and return."""

from plantainwood.core import events as ev
from plantainwood.core.dispatcher import Dispatcher
from tests.catalogues import make_catalogue

UPSTREAM = "e1"
PAUSE_MS = 3_000


def find_users(dispatcher: Dispatcher, now_ms: int) -> set[str]:
    """Let requests arrive and end one by one; return the upstreams that got them."""
    used: set[str] = set()
    for number in range(40):
        name = f"r-{now_ms}-{number}"
        arrival = ev.Arrival(name, "norte", "hint", "model/rounds")
        for decision in dispatcher.decide(arrival, now_ms):
            if isinstance(decision, ev.Dispatch):
                used.add(decision.upstream)
                dispatcher.decide(ev.AttemptDone(name, decision.attempt), now_ms)
    return used


def lapse_and_return(dispatcher: Dispatcher) -> None:
    """Let the registration lapse, as in an outage of the store, and return."""
    catalogue = make_catalogue()
    entry = catalogue.upstreams.pop(UPSTREAM)
    dispatcher.apply_catalogue(catalogue)
    catalogue.upstreams[UPSTREAM] = entry
    dispatcher.apply_catalogue(catalogue)


def make_dispatcher() -> Dispatcher:
    """Return a dispatcher that knows the small catalogue."""
    dispatcher = Dispatcher("vm-1", 7)
    dispatcher.apply_catalogue(make_catalogue())
    return dispatcher


# Guards against requests to a runner that has asked for none for a time (BUDGET).
def test_a_pause_outlasts_a_lapse_of_the_upstream_that_named_it():
    dispatcher = make_dispatcher()
    assert UPSTREAM in find_users(dispatcher, 1_000)
    dispatcher.decide(ev.PauseNamed(UPSTREAM, PAUSE_MS), 2_000)
    lapse_and_return(dispatcher)
    assert UPSTREAM not in find_users(dispatcher, 2_000 + PAUSE_MS - 1)
    assert UPSTREAM in find_users(dispatcher, 2_000 + PAUSE_MS)


def test_a_rate_outlasts_a_lapse_of_the_upstream_that_named_it():
    dispatcher = make_dispatcher()
    dispatcher.decide(ev.LimitNamed(UPSTREAM, 0.5), 2_000)
    lapse_and_return(dispatcher)
    assert UPSTREAM not in find_users(dispatcher, 2_010)
