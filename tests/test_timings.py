"""The times of upstreams hold no standstill of this process."""

import pytest

from plantainwood.broker import RequestBroker
from plantainwood.core import events as ev
from plantainwood.core.awake import MAX_STEP_MS, make_awake_clock
from plantainwood.core.clock import VirtualClock
from plantainwood.core.dispatcher import Dispatcher, Options
from tests.catalogues import make_catalogue

POOL = "model/rounds"
FIRST_TOKEN_MS = 50
STANDSTILL_MS = 2_000


class Vm:
    """A VM whose process runs, or stands still, as a test says."""

    def __init__(self, **options) -> None:
        self.clock = VirtualClock(10_000)
        self.awake_clock = make_awake_clock(self.clock)
        self.dispatcher = Dispatcher("vm-1", 7, Options(preempt=False, **options))
        self.dispatcher.apply_catalogue(make_catalogue(slots=8))
        self.broker = RequestBroker(
            self.dispatcher, self.clock, self.awake_clock, lambda decision: None
        )
        self._count = 0

    @property
    def loads(self):
        """Return the upstreams, by name."""
        return self.dispatcher.state.loads

    def run(self, by_ms: int) -> None:
        """Let time pass in which the process runs."""
        for _ in range(by_ms // 10):
            self.clock.advance(10)
            self.awake_clock.record_beat()

    def send(self, **changes) -> str:
        """Let a request arrive; return its id."""
        self._count += 1
        name = f"r-{self._count}"
        self.broker.feed(ev.Arrival(name, "norte", "hint", POOL, **changes))
        assert self.dispatcher.state.requests[name].is_running
        return name

    def start(self, name: str) -> None:
        """Let the first token of a request arrive."""
        self.broker.feed(ev.AttemptStarted(name, 1))

    def finish(self, name: str, tokens: int) -> None:
        """Let all tokens of a request arrive, and its end."""
        self.broker.feed(ev.TokensRelayed(name, 1, tokens))
        self.broker.feed(ev.AttemptDone(name, 1))

    def serve_usual(self, count: int) -> None:
        """Serve requests of the usual times."""
        for _ in range(count):
            name = self.send()
            self.run(FIRST_TOKEN_MS)
            self.start(name)
            self.run(FIRST_TOKEN_MS)
            self.finish(name, 10)

    def list_ejected(self) -> list[str]:
        """Return the upstreams that are ejected as stragglers, after a tick."""
        self.run(200)
        self.broker.feed(ev.Tick())
        return [name for name, load in self.loads.items() if load.ejected]


# Guards against a sound upstream that is ejected since the VM stood still as it began
# to answer.
@pytest.mark.parametrize("has_beaten", [False, True])
def test_a_standstill_before_a_first_token_ejects_no_upstream(has_beaten):
    vm = Vm()
    vm.serve_usual(60)
    assert not vm.list_ejected()
    name = vm.send()
    load = vm.loads[vm.dispatcher.state.requests[name].upstream]
    before_ms = load.first_token_ms
    vm.clock.advance(STANDSTILL_MS)
    if has_beaten:
        vm.awake_clock.record_beat()
    vm.start(name)
    assert load.first_token_ms == before_ms
    assert not vm.list_ejected()


def test_a_standstill_within_a_stream_is_no_time_between_tokens():
    vm = Vm()
    name = vm.send()
    load = vm.loads[vm.dispatcher.state.requests[name].upstream]
    vm.run(FIRST_TOKEN_MS)
    vm.start(name)
    vm.run(100)
    vm.clock.advance(STANDSTILL_MS)
    vm.finish(name, 10)
    assert load.between_tokens_ms == (100 + MAX_STEP_MS) / 10


def test_an_upstream_that_is_slow_while_the_process_runs_is_timed():
    vm = Vm()
    name = vm.send()
    load = vm.loads[vm.dispatcher.state.requests[name].upstream]
    vm.run(STANDSTILL_MS)
    vm.start(name)
    assert load.first_token_ms == STANDSTILL_MS


# Guards against requests that are moved at once after a standstill, all together.
def test_a_standstill_moves_no_unstarted_request():
    vm = Vm(move_unstarted=True)
    name = vm.send()
    vm.run(FIRST_TOKEN_MS)
    vm.clock.advance(STANDSTILL_MS)
    vm.broker.feed(ev.Tick())
    assert vm.dispatcher.state.requests[name].attempt == 1
    vm.run(2 * STANDSTILL_MS)
    vm.broker.feed(ev.Tick())
    assert vm.dispatcher.state.requests[name].attempt == 2
