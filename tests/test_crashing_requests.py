"""Requests without a body that crash upstreams, and sound ones beside them.

Three VMs and four servers in virtual time, without network; marks reach the other VMs
in the next step.
"""

from bridge.requests import make_call
from plantainwood.calls import make_arrival
from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Catalogue,
    Change,
    apply_changes,
)
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import ErrorCode
from plantainwood.core.quarantine import Mark, Quarantine
from plantainwood.core.routes import ConfiguredCustomer
from tests.samples import ROUTE

MAX_CRASHES = 3
SERVERS = 4
VMS = 3
STEP_MS = 200
RESTART_MS = 4_000
CUSTOMER = ConfiguredCustomer("norte")
CRASHING_PATH = "/s/2f"
SOUND_PATH = "/s/30"


def make_catalogue() -> Catalogue:
    """Return a catalogue with one plain service on a server in each failure domain."""
    changes = [
        Change("classes", "r1", {"owner": "paseos", "tier": 0}),
        Change("customers", "norte", {"owner": "paseos", "classes": ["r1"]}),
        Change("services", "pool", {"owner": "paseos"}),
    ]
    for number in range(SERVERS):
        body = {
            "owner": "paseos",
            "kind": "plain",
            "address": f"http://s{number}",
            "domain": f"d{number}",
            "service": "pool",
            "slots": 6,
        }
        changes.append(Change("upstreams", f"s{number}", body))
    return apply_changes(Catalogue(), changes, "first")


class Fleet:
    """VMs that tell each other of marks, and servers that one request crashes."""

    def __init__(self) -> None:
        self.now_ms = 1_000
        self.crashes = 0
        self.refused: list[str] = []
        self.codes: list[ErrorCode] = []
        self._requests = 0
        self._marks: list[ev.CrashMarkReceived] = []
        self._dispatchers: list[Dispatcher] = []
        for number in range(VMS):
            options = Options(
                isolate_suspects=False,
                probe_suspects=True,
                preempt=False,
                max_crashes=MAX_CRASHES,
            )
            dispatcher = Dispatcher(f"vm-{number}", number, options)
            dispatcher.apply_catalogue(make_catalogue())
            self._dispatchers.append(dispatcher)

    def introduce(self) -> None:
        """Tell the VMs of each other."""
        names = {f"vm-{number}" for number in range(VMS)}
        for number, dispatcher in enumerate(self._dispatchers):
            dispatcher.set_nodes(names - {f"vm-{number}"}, self.now_ms)

    def advance(self, step_ms: int = STEP_MS) -> None:
        """Let time pass, and deliver the marks to all VMs."""
        self.now_ms += step_ms
        marks, self._marks = self._marks, []
        for dispatcher in self._dispatchers:
            for mark in marks:
                self._collect(dispatcher.decide(mark, self.now_ms))

    def send(self, vm: int, path: str) -> ev.Dispatch | None:
        """Send a GET at a VM; return its first attempt, or None if it is refused."""
        self._requests += 1
        name = f"{self._requests:016x}"
        headers = [(b"Request-Id", name.encode())]
        call = make_call(ROUTE, CUSTOMER, "GET", path, headers, b"", self.now_ms, name)
        decisions = self._dispatchers[vm].decide(make_arrival(call), self.now_ms)
        return self._collect(decisions)

    def crash(self, vm: int, attempt: ev.Dispatch) -> ev.Dispatch | None:
        """Crash the server of an attempt; return the next attempt, if there is one."""
        self.crashes += 1
        event = ev.AttemptFailed(attempt.request_id, attempt.attempt, True, False)
        return self._collect(self._dispatchers[vm].decide(event, self.now_ms))

    def finish(self, vm: int, attempt: ev.Dispatch) -> None:
        """Complete an attempt."""
        event = ev.AttemptDone(attempt.request_id, attempt.attempt)
        self._collect(self._dispatchers[vm].decide(event, self.now_ms))

    def leave(self, vm: int, attempt: ev.Dispatch) -> None:
        """Let the caller of an attempt leave."""
        event = ev.CallerLeft(attempt.request_id)
        self._collect(self._dispatchers[vm].decide(event, self.now_ms))

    def _collect(self, decisions: list[ev.Decision]) -> ev.Dispatch | None:
        found = None
        for decision in decisions:
            if isinstance(decision, ev.Dispatch):
                found = decision
            elif isinstance(decision, ev.Refuse):
                self.refused.append(decision.request_id)
                self.codes.append(decision.error.code)
            elif isinstance(decision, ev.BroadcastCrashMark):
                self._marks.append(
                    ev.CrashMarkReceived(
                        decision.fingerprint, decision.upstream, decision.lifted
                    )
                )
        return found


def send_crashing_requests(fleet: Fleet, count: int) -> None:
    """Send the request that crashes servers again and again, at all VMs in turn."""
    for number in range(count):
        vm = number % VMS
        attempt = fleet.send(vm, CRASHING_PATH)
        while attempt is not None:
            fleet.advance()
            attempt = fleet.crash(vm, attempt)
        fleet.advance(RESTART_MS)


# Guards against requests without a body that crash servers without end (BUDGET).
def test_a_crashing_request_without_a_body_is_refused_after_three_crashes():
    fleet = Fleet()
    send_crashing_requests(fleet, 12)
    assert fleet.crashes <= MAX_CRASHES + 1


# Guards against a request that is tried without end to find out whether it crashes
# servers (BUDGET: three more are allowed).
def test_a_request_that_crashes_the_servers_which_find_out_is_blocked():
    fleet = Fleet()
    send_crashing_requests(fleet, 40)
    assert fleet.crashes <= MAX_CRASHES + 3
    assert fleet.codes[-1] is ErrorCode.CRASH_SUSPECT


# Guards against requests that reach servers without end to find out, when callers
# leave before one crashes (BUDGET).
def test_what_neither_crashes_nor_answers_is_not_tried_again_at_once():
    fleet = Fleet()
    send_crashing_requests(fleet, 2)
    fleet.advance(RESTART_MS)
    sent = 0
    for _ in range(50):
        attempt = fleet.send(0, CRASHING_PATH)
        if attempt is not None:
            sent += 1
            fleet.leave(0, attempt)
        fleet.advance(1_000)
    assert sent == 1


# Guards against VMs that all find out at once what one of them can (BUDGET), and
# against a request that stays refused though it was answered (DENIED).
def test_one_vm_finds_out_and_its_answer_clears_the_request_everywhere():
    fleet = Fleet()
    fleet.introduce()
    send_crashing_requests(fleet, 2)
    assert fleet.crashes == MAX_CRASHES
    fleet.advance(RESTART_MS)
    probes = [(vm, fleet.send(vm, CRASHING_PATH)) for vm in range(VMS)]
    sent = [(vm, probe) for vm, probe in probes if probe is not None]
    assert len(sent) == 1
    fleet.finish(*sent[0])
    fleet.advance()
    for vm in range(VMS):
        assert fleet.send(vm, CRASHING_PATH) is not None


# Guards against a message to all VMs for each copy of a popular request that one crash
# hit, and against counting that crash as many.
def test_copies_of_a_request_that_one_crash_hit_are_marked_once():
    quarantine = Quarantine(MAX_CRASHES)
    marks = quarantine.record_crash("s1", "d1", ["popular"] * 4, 1_000)
    assert marks == [Mark("popular", "s1", lifted=False)]
    assert not quarantine.is_blocked("popular", 1_000)


def test_requests_without_a_body_for_other_things_are_served():
    fleet = Fleet()
    send_crashing_requests(fleet, 4)
    assert fleet.send(0, SOUND_PATH) is not None


# Guards against refusing a popular request after an outage that had another cause.
def test_a_popular_request_is_served_after_all_servers_crashed_at_once():
    fleet = Fleet()
    for vm in range(VMS):
        attempt = fleet.send(vm, SOUND_PATH)
        fleet.advance()
        assert attempt is not None
        fleet.finish(vm, attempt)
    running = [(vm, fleet.send(vm, SOUND_PATH)) for vm in range(VMS) for _ in range(4)]
    fleet.advance()
    crashed: set[str] = set()
    for vm, attempt in running:
        assert attempt is not None
        crashed.add(attempt.upstream)
        fleet.crash(vm, attempt)
    assert len(crashed) >= MAX_CRASHES
    fleet.advance(RESTART_MS)
    for vm in range(VMS):
        assert fleet.send(vm, SOUND_PATH) is not None
