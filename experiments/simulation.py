"""Simulation of dispatchers and fake engines on a virtual clock.

The engines batch up to their slots, honour priorities, slow down with their load
and report it late. Several dispatchers share them, as several VMs would.
"""

import heapq
from typing import Callable

import msgspec

from experiments.workloads import POOL, SLOTS, TOKEN_MS, Job, make_catalogue
from plantainwood.core import events as ev
from plantainwood.core.dispatcher import Dispatcher, Options

CHUNK_TOKENS = 8
PREFILL_MS = 80.0
RESUME_MS_PER_TOKEN = 0.1
SLOWDOWN_PER_PEER = 0.02
TICK_INTERVAL_MS = 250
REPORT_INTERVAL_MS = 1_000
RESTART_MS = 15_000
RETRY_LIMIT = 3


class Attempt:
    """One attempt on a fake engine; `is_resident` from its start to a displacement."""

    __slots__ = (
        "job",
        "vm",
        "number",
        "priority",
        "remaining_tokens",
        "engine",
        "is_active",
        "is_resident",
    )

    def __init__(
        self, job: Job, vm: int, number: int, priority: int, remaining_tokens: int
    ):
        self.job = job
        self.vm = vm
        self.number = number
        self.priority = priority
        self.remaining_tokens = remaining_tokens
        self.engine = ""
        self.is_active = True
        self.is_resident = False


class FakeEngine:
    """A batching engine: its running and waiting attempts, and its faults."""

    __slots__ = ("name", "running", "waiting", "slowdown", "is_up")

    def __init__(self, name: str) -> None:
        self.name = name
        self.running: list[Attempt] = []
        self.waiting: list[Attempt] = []
        self.slowdown = 1.0
        self.is_up = True

    def count_by_tier(self) -> tuple[int, ...]:
        """Return the number of running and waiting attempts of each priority."""
        counts = [0] * 10
        for attempt in self.running + self.waiting:
            counts[attempt.priority] += 1
        return tuple(counts)


class Outcome(msgspec.Struct):
    """Result of one job so far; a time is -1 until it is known."""

    first_ms: int = -1
    done_ms: int = -1
    tokens: int = 0
    refusal_code: str = ""
    retries: int = 0
    cheap: bool = False


class Fault(msgspec.Struct, frozen=True):
    """A change to the engines at a time, given as a share of the run."""

    at_share: float
    apply: Callable[["Simulation"], None]


class Simulation:
    """One run of one workload under one set of options."""

    def __init__(
        self,
        workload: str,
        jobs: list[Job],
        options: Options,
        faults: list[Fault],
        vms: int = 3,
        lag_ms: int = 500,
    ) -> None:
        catalogue = make_catalogue(workload)
        self.upstreams = catalogue.upstreams
        self.dispatchers = [Dispatcher(f"vm-{n}", 100 + n, options) for n in range(vms)]
        for dispatcher in self.dispatchers:
            dispatcher.apply_catalogue(catalogue)
        self.engines = {name: FakeEngine(name) for name in catalogue.upstreams}
        self.jobs = {job.name: job for job in jobs}
        self.outcomes = {job.name: Outcome() for job in jobs}
        self.attempts: dict[str, Attempt] = {}
        self.vm_by_job: dict[str, int] = {}
        self.lag_ms = lag_ms
        self.now_ms = 0.0
        self.generated_tokens = 0
        self.wasted_tokens = 0
        self.crashed_engines: list[str] = []
        self.reserved_by: dict[str, str] = {}
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.length_ms = max(job.at_ms for job in jobs)
        for number, job in enumerate(jobs):
            self.schedule(job.at_ms, lambda j=job, n=number: self._arrive(j, n % vms))
        for fault in faults:
            self.schedule(
                fault.at_share * self.length_ms, lambda f=fault: f.apply(self)
            )
        self.schedule(TICK_INTERVAL_MS, self._tick)
        self.schedule(REPORT_INTERVAL_MS, self._report_loads)

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        self._sequence += 1
        heapq.heappush(self._actions, (at_ms, self._sequence, action))

    def run(self, drain_ms: int) -> None:
        """Run until `drain_ms` after the last arrival."""
        end_ms = self.length_ms + drain_ms
        while self._actions and self._actions[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._actions)
            action()

    def handle_event(self, vm: int, event: ev.Event) -> None:
        """Pass an event to one VM's dispatcher and carry out its decisions."""
        for decision in self.dispatchers[vm].decide(event, int(self.now_ms)):
            match decision:
                case ev.Dispatch():
                    self._start(vm, decision)
                case ev.Cancel():
                    self._cancel(decision.request_id)
                case ev.Refuse():
                    self._refuse(vm, decision)
                case ev.BroadcastCrashMark():
                    mark = ev.CrashMarkReceived(*msgspec.structs.astuple(decision))
                    for other in range(len(self.dispatchers)):
                        if other != vm:
                            self.handle_event(other, mark)
                case ev.Reserve(name, upstream):
                    granted = upstream not in self.reserved_by
                    if granted:
                        self.reserved_by[upstream] = name
                    answer = ev.ReservationAnswered(name, upstream, granted)
                    # 5 ms, about as long as the key-value service takes.
                    self.schedule(
                        self.now_ms + 5, lambda a=answer: self.handle_event(vm, a)
                    )
                case ev.Release():
                    self.reserved_by.pop(decision.upstream, None)

    def _arrive(self, job: Job, vm: int) -> None:
        self.vm_by_job[job.name] = vm
        fingerprint = "killer" if job.crashes_engine else job.name
        arrival = ev.Arrival(
            job.name, job.customer, job.request_class.name, POOL, fingerprint
        )
        self.handle_event(vm, arrival)

    def _refuse(self, vm: int, decision: ev.Refuse) -> None:
        """Record a refusal; the caller retries on the next VM when it is told to.

        It waits for the delay in the refusal and retries at most RETRY_LIMIT times.
        """
        outcome = self.outcomes[decision.request_id]
        self.wasted_tokens += outcome.tokens
        outcome.refusal_code = decision.error.code.value
        retry_ms = decision.error.retry_after_ms
        if retry_ms is None or outcome.retries >= RETRY_LIMIT:
            return
        outcome.retries += 1
        outcome.tokens = 0
        job = self.jobs[decision.request_id]
        other = (vm + 1) % len(self.dispatchers)
        self.schedule(self.now_ms + retry_ms, lambda: self._arrive(job, other))

    def _start(self, vm: int, decision: ev.Dispatch) -> None:
        job = self.jobs[decision.request_id]
        outcome = self.outcomes[job.name]
        remaining_tokens = job.tokens - outcome.tokens
        attempt = Attempt(
            job, vm, decision.attempt, decision.priority, remaining_tokens
        )
        self.attempts[job.name] = attempt
        engine = self.engines[decision.upstream]
        attempt.engine = engine.name
        if not engine.is_up:
            event = ev.AttemptFailed(job.name, decision.attempt, False, True)
            attempt.is_active = False
            self.schedule(self.now_ms + 1, lambda: self.handle_event(vm, event))
            return
        engine.waiting.append(attempt)
        self._start_waiting(engine)

    def _start_waiting(self, engine: FakeEngine) -> None:
        """Start waiting attempts by priority; displace those of lower priority."""
        engine.waiting.sort(key=lambda attempt: attempt.priority)
        while engine.waiting:
            attempt = engine.waiting[0]
            if len(engine.running) >= SLOTS:
                victim = max(engine.running, key=lambda other: other.priority)
                if victim.priority <= attempt.priority:
                    return
                engine.running.remove(victim)
                victim.is_resident = False
                engine.waiting.append(victim)
            engine.waiting.remove(attempt)
            engine.running.append(attempt)
            done_tokens = self.outcomes[attempt.job.name].tokens
            prefill_ms = (
                PREFILL_MS + RESUME_MS_PER_TOKEN * done_tokens
            ) * engine.slowdown
            attempt.is_resident = True
            if attempt.job.crashes_engine:
                self.schedule(
                    self.now_ms + 200, lambda a=attempt: self._crash_if_running(a)
                )
            self._schedule_tokens(
                engine, attempt, prefill_ms + self._compute_token_ms(engine), 1
            )

    def _crash_if_running(self, attempt: Attempt) -> None:
        """Crash the engine of an attempt if it still runs there."""
        if attempt.is_active and attempt in self.engines[attempt.engine].running:
            self.crash(attempt.engine)

    def _compute_token_ms(self, engine: FakeEngine) -> float:
        peers = max(0, len(engine.running) - 1)
        return TOKEN_MS * engine.slowdown * (1 + SLOWDOWN_PER_PEER * peers)

    def _schedule_tokens(
        self, engine: FakeEngine, attempt: Attempt, delay_ms: float, count: int
    ) -> None:
        self.schedule(
            self.now_ms + delay_ms,
            lambda: self._generate_tokens(engine, attempt, count),
        )

    def _generate_tokens(
        self, engine: FakeEngine, attempt: Attempt, count: int
    ) -> None:
        """Generate tokens of a running attempt, then schedule more or finish it."""
        if (
            not attempt.is_active
            or not attempt.is_resident
            or attempt not in engine.running
        ):
            return
        name, number = attempt.job.name, attempt.number
        outcome = self.outcomes[name]
        count = min(count, attempt.remaining_tokens)
        attempt.remaining_tokens -= count
        outcome.tokens += count
        outcome.cheap = outcome.cheap or self.upstreams[engine.name].cheap
        self.generated_tokens += count
        if outcome.first_ms < 0:
            outcome.first_ms = int(self.now_ms)
        self.handle_event(attempt.vm, ev.AttemptStarted(name, number))
        self.handle_event(attempt.vm, ev.TokensRelayed(name, number, count))
        if attempt.is_active and attempt.remaining_tokens > 0:
            step = min(CHUNK_TOKENS, attempt.remaining_tokens)
            self._schedule_tokens(
                engine, attempt, step * self._compute_token_ms(engine), step
            )
            return
        if attempt.is_active:
            outcome.done_ms = int(self.now_ms)
            outcome.refusal_code = ""
            self._remove(attempt)
            self.handle_event(attempt.vm, ev.AttemptDone(name, number))

    def _remove(self, attempt: Attempt) -> None:
        attempt.is_active = False
        engine = self.engines[attempt.engine]
        if attempt in engine.running:
            engine.running.remove(attempt)
        if attempt in engine.waiting:
            engine.waiting.remove(attempt)
        self._start_waiting(engine)

    def _cancel(self, name: str) -> None:
        attempt = self.attempts[name]
        if attempt.is_active:
            self._remove(attempt)

    def crash(self, name: str) -> None:
        """Crash an engine: its attempts fail, and it restarts after RESTART_MS."""
        engine = self.engines[name]
        if not engine.is_up:
            return
        engine.is_up = False
        self.crashed_engines.append(name)
        lost = engine.running + engine.waiting
        engine.running, engine.waiting = [], []
        for attempt in lost:
            if attempt.is_active:
                attempt.is_active = False
                event = ev.AttemptFailed(attempt.job.name, attempt.number, True, False)
                self.handle_event(attempt.vm, event)

        def restart() -> None:
            engine.is_up = True

        self.schedule(self.now_ms + RESTART_MS, restart)

    def _tick(self) -> None:
        for vm in range(len(self.dispatchers)):
            self.handle_event(vm, ev.Tick())
        self.schedule(self.now_ms + TICK_INTERVAL_MS, self._tick)

    def _report_loads(self) -> None:
        """Sample each engine's load; the report arrives `lag_ms` later."""
        for engine in self.engines.values():
            if not engine.is_up:
                continue
            report = ev.LoadReported(engine.name, engine.count_by_tier(), self.lag_ms)
            for vm in range(len(self.dispatchers)):
                self.schedule(
                    self.now_ms + self.lag_ms,
                    lambda v=vm, r=report: self.handle_event(v, r),
                )
        self.schedule(self.now_ms + REPORT_INTERVAL_MS, self._report_loads)
