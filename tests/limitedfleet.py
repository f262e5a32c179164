"""A fleet of dispatchers over engines of which some name a limit in their answers."""

import random

import msgspec

from plantainwood.core import events as ev
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.errors import RequestError
from plantainwood.core.promptrouter import make_prompt_router
from tests.catalogues import make_catalogue

STEP_MS = 20
HEARTBEAT_MS = 100
ANSWER_MS = 60


class SentAttempt(msgspec.Struct):
    """An attempt at an engine."""

    vm: int
    request_id: str
    attempt: int
    engine: str
    sent_ms: int


class LimitedFleet:
    """VMs and engines in virtual time; `limits` are what engines name now."""

    def __init__(self, vm_count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 1_000
        self.limits: dict[str, float] = {}
        self.names = [f"vm-{number}" for number in range(vm_count)]
        self.dispatchers: list[Dispatcher] = []
        for name in self.names:
            self.dispatchers.append(self._make_dispatcher(name))
        self.attempts: dict[tuple[int, str], SentAttempt] = {}
        self.sent_times_ms: dict[str, list[int]] = {}
        self.refused: list[RequestError] = []
        self._request_count = 0

    def _make_dispatcher(self, name: str) -> Dispatcher:
        options = Options(
            make_router=make_prompt_router, isolate_suspects=False, preempt=False
        )
        dispatcher = Dispatcher(name, self.random.randrange(1_000), options)
        dispatcher.apply_catalogue(make_catalogue(64))
        dispatcher.set_nodes(set(self.names), self.now_ms)
        return dispatcher

    def replace_vm(self, vm: int) -> None:
        """Replace a VM by an empty one; its attempts end with it."""
        self.dispatchers[vm] = self._make_dispatcher(self.names[vm])
        for key in [key for key in self.attempts if key[0] == vm]:
            del self.attempts[key]

    def run(self, duration_ms: int, per_step: int = 1) -> None:
        """Send requests to random VMs in each step, and answer what engines got."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            for _ in range(per_step):
                self._arrive()
            self._advance()

    def _arrive(self) -> None:
        self._request_count += 1
        vm = self.random.randrange(len(self.dispatchers))
        name = f"r-{self._request_count}"
        self._handle_event(vm, ev.Arrival(name, "norte", "hint", "model/rounds"))

    def _handle_event(self, vm: int, event: ev.Event) -> None:
        for decision in self.dispatchers[vm].decide(event, self.now_ms):
            if isinstance(decision, ev.Refuse):
                self.refused.append(decision.error)
            if not isinstance(decision, ev.Dispatch):
                continue
            times_ms = self.sent_times_ms.setdefault(decision.upstream, [])
            times_ms.append(self.now_ms)
            self.attempts[(vm, decision.request_id)] = SentAttempt(
                vm,
                decision.request_id,
                decision.attempt,
                decision.upstream,
                self.now_ms,
            )

    def _advance(self) -> None:
        """Advance the time by one step; an answer names its engine's limit."""
        self.now_ms += STEP_MS
        for key, attempt in list(self.attempts.items()):
            if self.now_ms - attempt.sent_ms < ANSWER_MS:
                continue
            del self.attempts[key]
            per_s = self.limits.get(attempt.engine)
            self._handle_event(attempt.vm, ev.LimitNamed(attempt.engine, per_s))
            for event in (
                ev.AttemptStarted(attempt.request_id, attempt.attempt),
                ev.AttemptDone(attempt.request_id, attempt.attempt),
            ):
                self._handle_event(attempt.vm, event)
        if self.now_ms % HEARTBEAT_MS == 0:
            self._exchange_limits()
        for vm in range(len(self.dispatchers)):
            self._handle_event(vm, ev.Tick())

    def _exchange_limits(self) -> None:
        """Report to each VM what the others know of limits."""
        for sender, dispatcher in enumerate(self.dispatchers):
            for report in dispatcher.state.upstream_limits.list_reports(self.now_ms):
                for vm in range(len(self.dispatchers)):
                    if vm != sender:
                        self._handle_event(vm, ev.LimitReported(report))

    def count_sent(self, engine: str, from_ms: int, to_ms: int) -> int:
        """Return how many requests an engine got in a span."""
        times_ms = self.sent_times_ms.get(engine, [])
        return sum(from_ms <= time_ms < to_ms for time_ms in times_ms)

    def find_most_sent(self, engine: str, from_ms: int, window_ms: int) -> int:
        """Return the most requests that an engine got in any window after `from_ms`."""
        most = 0
        for start_ms in self.sent_times_ms.get(engine, []):
            if start_ms >= from_ms:
                sent = self.count_sent(engine, start_ms, start_ms + window_ms)
                most = max(most, sent)
        return most
