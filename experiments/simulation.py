"""The request core under a virtual clock, against small fake engines.

The engines batch up to their slots, honour priorities, slow down with their load,
and report it late. Several cores share them, as several VMs would.
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
TICK_MS = 250
REPORT_MS = 1_000
RESTART_MS = 15_000
RETRY_LIMIT = 3


class Attempt:
    """One attempt on a fake engine."""

    __slots__ = ("job", "vm", "number", "priority", "left", "engine", "live", "warm")

    def __init__(self, job: Job, vm: int, number: int, priority: int, left: int):
        self.job = job
        self.vm = vm
        self.number = number
        self.priority = priority
        self.left = left
        self.engine = ""
        self.live = True
        self.warm = False


class FakeEngine:
    """A batching engine: its running and waiting attempts, and its faults."""

    __slots__ = ("name", "running", "waiting", "slow", "up")

    def __init__(self, name: str) -> None:
        self.name = name
        self.running: list[Attempt] = []
        self.waiting: list[Attempt] = []
        self.slow = 1.0
        self.up = True

    def by_tier(self) -> tuple[int, ...]:
        """Return its work by priority."""
        counts = [0] * 10
        for attempt in self.running + self.waiting:
            counts[attempt.priority] += 1
        return tuple(counts)


class Outcome(msgspec.Struct):
    """What became of a job."""

    first_ms: int = -1
    done_ms: int = -1
    tokens: int = 0
    refused: str = ""
    retries: int = 0
    cheap: bool = False


class Fault(msgspec.Struct, frozen=True):
    """Something that happens to the engines at a time, as a share of the run."""

    at: float
    act: Callable[["Simulation"], None]


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
        self.entries = catalogue.upstreams
        self.cores = [Dispatcher(f"vm-{n}", 100 + n, options) for n in range(vms)]
        for core in self.cores:
            core.apply_catalogue(catalogue)
        self.engines = {name: FakeEngine(name) for name in catalogue.upstreams}
        self.jobs = {job.name: job for job in jobs}
        self.outcomes = {job.name: Outcome() for job in jobs}
        self.attempts: dict[str, Attempt] = {}
        self.vm_of: dict[str, int] = {}
        self.lag_ms = lag_ms
        self.now = 0.0
        self.made_tokens = 0
        self.wasted_tokens = 0
        self.crashes: list[str] = []
        self.reserved: dict[str, str] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self.length_ms = max(job.at_ms for job in jobs)
        for number, job in enumerate(jobs):
            self.later(job.at_ms, lambda j=job, n=number: self._arrive(j, n % vms))
        for fault in faults:
            self.later(fault.at * self.length_ms, lambda f=fault: f.act(self))
        self.later(TICK_MS, self._tick)
        self.later(REPORT_MS, self._report)

    def later(self, at_ms: float, action: Callable[[], None]) -> None:
        """Let something happen at a time."""
        self._order += 1
        heapq.heappush(self._queue, (at_ms, self._order, action))

    def run(self, drain_ms: int) -> None:
        """Run to the end of the arrivals and some time beyond."""
        end_ms = self.length_ms + drain_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now, _, action = heapq.heappop(self._queue)
            action()

    def feed(self, vm: int, event: ev.Event) -> None:
        """Let one core decide and carry its decisions out."""
        for decision in self.cores[vm].decide(event, int(self.now)):
            match decision:
                case ev.Dispatch():
                    self._start(vm, decision)
                case ev.Cancel():
                    self._cancel(decision.request_id)
                case ev.Refuse():
                    self._refuse(vm, decision)
                case ev.BroadcastCrashMark():
                    news = ev.CrashMarkReceived(*msgspec.structs.astuple(decision))
                    for other in range(len(self.cores)):
                        if other != vm:
                            self.feed(other, news)
                case ev.Reserve(name, upstream):
                    granted = upstream not in self.reserved
                    if granted:
                        self.reserved[upstream] = name
                    answer = ev.ReservationAnswered(name, upstream, granted)
                    # A few milliseconds, as the key-value service takes.
                    self.later(self.now + 5, lambda a=answer: self.feed(vm, a))
                case ev.Release():
                    self.reserved.pop(decision.upstream, None)

    def _arrive(self, job: Job, vm: int) -> None:
        self.vm_of[job.name] = vm
        fingerprint = "killer" if job.killer else job.name
        arrival = ev.Arrival(job.name, job.customer, job.kind.name, POOL, fingerprint)
        self.feed(vm, arrival)

    def _refuse(self, vm: int, decision: ev.Refuse) -> None:
        """Note a refusal; its caller comes back when told, a few times."""
        outcome = self.outcomes[decision.request_id]
        self.wasted_tokens += outcome.tokens
        outcome.refused = decision.error.code.value
        retry_ms = decision.error.retry_after_ms
        if retry_ms is None or outcome.retries >= RETRY_LIMIT:
            return
        outcome.retries += 1
        outcome.tokens = 0
        job = self.jobs[decision.request_id]
        other = (vm + 1) % len(self.cores)
        self.later(self.now + retry_ms, lambda: self._arrive(job, other))

    def _start(self, vm: int, decision: ev.Dispatch) -> None:
        job = self.jobs[decision.request_id]
        outcome = self.outcomes[job.name]
        left = job.tokens - outcome.tokens
        attempt = Attempt(job, vm, decision.attempt, decision.priority, left)
        self.attempts[job.name] = attempt
        engine = self.engines[decision.upstream]
        attempt.engine = engine.name
        if not engine.up:
            event = ev.AttemptFailed(job.name, decision.attempt, False, True)
            attempt.live = False
            self.later(self.now + 1, lambda: self.feed(vm, event))
            return
        engine.waiting.append(attempt)
        self._fill(engine)

    def _fill(self, engine: FakeEngine) -> None:
        """Run the waiting work by priority; displace what has a lower one."""
        engine.waiting.sort(key=lambda attempt: attempt.priority)
        while engine.waiting:
            attempt = engine.waiting[0]
            if len(engine.running) >= SLOTS:
                victim = max(engine.running, key=lambda other: other.priority)
                if victim.priority <= attempt.priority:
                    return
                engine.running.remove(victim)
                victim.warm = False
                engine.waiting.append(victim)
            engine.waiting.remove(attempt)
            engine.running.append(attempt)
            done = self.outcomes[attempt.job.name].tokens
            prefill_ms = (PREFILL_MS + RESUME_MS_PER_TOKEN * done) * engine.slow
            attempt.warm = True
            if attempt.job.killer:
                self.later(self.now + 200, lambda a=attempt: self._kill(a))
            self._schedule(engine, attempt, prefill_ms + self._token_ms(engine), 1)

    def _kill(self, attempt: Attempt) -> None:
        """Crash the engine that runs the crashing request."""
        if attempt.live and attempt in self.engines[attempt.engine].running:
            self.crash(attempt.engine)

    def _token_ms(self, engine: FakeEngine) -> float:
        peers = max(0, len(engine.running) - 1)
        return TOKEN_MS * engine.slow * (1 + SLOWDOWN_PER_PEER * peers)

    def _schedule(
        self, engine: FakeEngine, attempt: Attempt, in_ms: float, count: int
    ) -> None:
        self.later(self.now + in_ms, lambda: self._give(engine, attempt, count))

    def _give(self, engine: FakeEngine, attempt: Attempt, count: int) -> None:
        """Let a running attempt give some tokens, and go on or end."""
        if not attempt.live or not attempt.warm or attempt not in engine.running:
            return
        name, number = attempt.job.name, attempt.number
        outcome = self.outcomes[name]
        count = min(count, attempt.left)
        attempt.left -= count
        outcome.tokens += count
        outcome.cheap = outcome.cheap or self.entries[engine.name].cheap
        self.made_tokens += count
        if outcome.first_ms < 0:
            outcome.first_ms = int(self.now)
        self.feed(attempt.vm, ev.AttemptStarted(name, number))
        self.feed(attempt.vm, ev.TokensRelayed(name, number, count))
        if attempt.live and attempt.left > 0:
            step = min(CHUNK_TOKENS, attempt.left)
            self._schedule(engine, attempt, step * self._token_ms(engine), step)
            return
        if attempt.live:
            outcome.done_ms = int(self.now)
            outcome.refused = ""
            self._remove(attempt)
            self.feed(attempt.vm, ev.AttemptDone(name, number))

    def _remove(self, attempt: Attempt) -> None:
        attempt.live = False
        engine = self.engines[attempt.engine]
        if attempt in engine.running:
            engine.running.remove(attempt)
        if attempt in engine.waiting:
            engine.waiting.remove(attempt)
        self._fill(engine)

    def _cancel(self, name: str) -> None:
        attempt = self.attempts[name]
        if attempt.live:
            self._remove(attempt)

    def crash(self, name: str) -> None:
        """End an engine's process; all that it ran fails, and it restarts later."""
        engine = self.engines[name]
        if not engine.up:
            return
        engine.up = False
        self.crashes.append(name)
        lost = engine.running + engine.waiting
        engine.running, engine.waiting = [], []
        for attempt in lost:
            if attempt.live:
                attempt.live = False
                event = ev.AttemptFailed(attempt.job.name, attempt.number, True, False)
                self.feed(attempt.vm, event)

        def restart() -> None:
            engine.up = True

        self.later(self.now + RESTART_MS, restart)

    def _tick(self) -> None:
        for vm in range(len(self.cores)):
            self.feed(vm, ev.Tick())
        self.later(self.now + TICK_MS, self._tick)

    def _report(self) -> None:
        """Take a report of each engine's load; it arrives late."""
        for engine in self.engines.values():
            if not engine.up:
                continue
            report = ev.LoadReported(engine.name, engine.by_tier(), self.lag_ms)
            for vm in range(len(self.cores)):
                self.later(
                    self.now + self.lag_ms, lambda v=vm, r=report: self.feed(v, r)
                )
        self.later(self.now + REPORT_MS, self._report)
