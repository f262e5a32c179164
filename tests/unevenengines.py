"""A fleet of VMs in front of engines of unequal speed, in virtual time.

An engine works in steps. A step generates one token for each stream that it runs and
prefills up to CHUNK_TOKENS of the waiting prompts, the most urgent first; it takes
longer the more streams run. VMs send heartbeats every 100 ms, which arrive with the
next ones. A caller leaves at its deadline.
"""

import random

import msgspec

from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Catalogue,
    Customer,
    DiscoveredUpstream,
    ServiceClass,
    UpstreamKind,
    assemble_catalogue,
)
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.hashing import rank_members
from plantainwood.core.loads import TIERS
from plantainwood.core.promptrouter import (
    EJECTION_PENALTY_TOKENS,
    PREFERRED_ENGINE_BONUS_TOKENS,
    PREFILL_TOKENS_PER_MS,
    RUNNING_REQUEST_TOKENS,
    PromptRouter,
    make_prompt_router,
)
from plantainwood.core.prompts import Part, Prompt
from plantainwood.core.router import FewChoicesRouter, is_allowed

POOL = "service/pool"
STEP_MS = 5
HEARTBEAT_STEPS = 20
TICK_STEPS = 5
CHUNK_TOKENS = 2_048
ENGINE_STEP_MS = 12.0
RUNNING_STREAM_MS = 0.25
PACE_MS = 300
"""How long a momentary pace of a shared machine holds."""


class TokenRouter(PromptRouter):
    """The choice by tokens, as before engines had a pace; the baseline."""

    __slots__ = ()

    def choose(self, request, group, now_ms):
        """Return the engine with the fewest tokens ahead, of those below the limit."""
        if not request.prompt.tokens:
            return self._plain_router.choose(request, group, now_ms)
        allowed = [load for load in group if is_allowed(request, load, now_ms)]
        if not allowed:
            return None
        partition = self._partitions.select(request, group, allowed)
        target_ms = self._first_token_targets_ms.get(request.pool, 0)
        limit = max(4_000.0, target_ms * PREFILL_TOKENS_PER_MS)
        if not target_ms:
            limit = float("inf")
        names = sorted(load.name for load in partition)
        preferred = rank_members(request.prompt.session, names)[0]
        holders = self._find_prefix_holders(request, now_ms)
        best = None
        best_score = 0.0
        for load in partition:
            backlog = self.engine_states.count_backlog_tokens(load.name, now_ms)
            if backlog >= limit:
                continue
            estimate = self._estimate_prefill(request, load, preferred, holders)
            delay = RUNNING_REQUEST_TOKENS * load.estimate_in_flight(9, now_ms)
            if load.ejected:
                delay += EJECTION_PENALTY_TOKENS
            score = estimate.cost + backlog + delay
            if load.name == preferred:
                score -= PREFERRED_ENGINE_BONUS_TOKENS
            if best is None or score < best_score:
                best = load
                best_score = score
                self._estimates[request.id] = estimate
        return best


def make_token_router(generator, hints) -> TokenRouter:
    """Return the baseline's router."""
    return TokenRouter(FewChoicesRouter(generator, hints), generator)


class Caller(msgspec.Struct):
    """A request and what became of it."""

    id: str
    vm: int
    class_name: str
    customer: str
    tier: int
    prompt: Prompt
    arrives_ms: int
    deadline_ms: int
    output_tokens: int
    """The tokens of the whole answer, which only the engine knows."""
    first_ms: int = 0
    done_ms: int = 0
    dispatched_ms: int = 0
    refused: ev.RequestError | None = None
    refused_ms: int = 0
    left: bool = False
    """Whether the deadline passed before the answer was complete."""


class Job:
    """An attempt at an engine."""

    __slots__ = ("caller", "attempt", "priority", "unread_tokens", "generated_tokens")

    def __init__(self, caller: Caller, attempt: int, priority: int, work: int) -> None:
        self.caller = caller
        self.attempt = attempt
        self.priority = priority
        self.unread_tokens = work
        self.generated_tokens = 0


class Engine:
    """An engine, its speed, and the jobs that it holds."""

    def __init__(self, name: str, speed: float, slots: int) -> None:
        self.name = name
        self.speed = speed
        self.slots = slots
        self.pace = 100
        self.jobs: dict[str, Job] = {}
        """By request id, in order of arrival."""
        self.parts: set[str] = set()
        self.busy_ms = 0.0
        self.wasted_tokens = 0
        """Tokens prefilled or generated for callers that left."""
        self._step_ends_ms = 0.0
        self._chunk: list[tuple[Job, int]] = []
        self._generating: list[Job] = []

    def take(self, job: Job) -> None:
        """Take a job, which waits until slots are free."""
        self.jobs[job.caller.id] = job

    def drop(self, request_id: str) -> None:
        """Stop a job."""
        job = self.jobs.pop(request_id, None)
        if job is not None:
            done = job.caller.prompt.tokens - job.unread_tokens
            self.wasted_tokens += done + job.generated_tokens

    def count_running(self) -> int:
        """Return the number of streams that generate."""
        return sum(1 for job in self.jobs.values() if job.generated_tokens)

    def advance(self, now_ms: int) -> list[Job]:
        """Return the jobs with a new token, if a step has ended; start the next."""
        if now_ms < self._step_ends_ms:
            return []
        advanced = self._end_step()
        self._start_step(now_ms)
        return advanced

    def _end_step(self) -> list[Job]:
        advanced: list[Job] = []
        for job, tokens in self._chunk:
            if self.jobs.get(job.caller.id) is not job:
                continue
            job.unread_tokens -= tokens
            if job.unread_tokens <= 0:
                self.parts.update(part.id for part in job.caller.prompt.parts)
                self._generating.append(job)
        for job in self._generating:
            if self.jobs.get(job.caller.id) is not job:
                continue
            job.generated_tokens += 1
            advanced.append(job)
            if job.generated_tokens >= job.caller.output_tokens:
                del self.jobs[job.caller.id]
        self._chunk = []
        self._generating = []
        return advanced

    def _start_step(self, now_ms: int) -> None:
        if not self.jobs:
            return
        jobs = list(self.jobs.values())
        self._generating = [job for job in jobs if job.generated_tokens]
        waiting = [job for job in jobs if not job.generated_tokens]
        waiting.sort(key=lambda job: job.priority)
        left = CHUNK_TOKENS
        for job in waiting[: max(0, self.slots - len(self._generating))]:
            tokens = min(left, job.unread_tokens)
            left -= tokens
            self._chunk.append((job, tokens))
            if not left:
                break
        took_ms = ENGINE_STEP_MS + RUNNING_STREAM_MS * len(self._generating)
        took_ms += (CHUNK_TOKENS - left) / PREFILL_TOKENS_PER_MS
        took_ms *= self.pace / 100 / self.speed
        self._step_ends_ms = now_ms + took_ms
        self.busy_ms += took_ms


class Fleet:
    """VMs, engines and callers."""

    def __init__(
        self,
        vms: int,
        speeds: list[float],
        classes: dict[str, ServiceClass],
        options: Options,
        seed: int,
        slots: int = 64,
    ) -> None:
        self.random = random.Random(seed)
        self.now_ms = 10_000
        self.began_ms = self.now_ms
        self.engines: dict[str, Engine] = {}
        for number, speed in enumerate(speeds):
            self.engines[f"e{number}"] = Engine(f"e{number}", speed, slots)
        self.shared_engines: list[Engine] = []
        """Those on shared machines, whose pace changes all the time."""
        self.callers: dict[str, Caller] = {}
        self.dispatchers: list[Dispatcher] = []
        catalogue = self._make_catalogue(classes)
        for number in range(vms):
            dispatcher = Dispatcher(f"vm-{number}", seed + number, options)
            dispatcher.apply_catalogue(catalogue)
            router = dispatcher.state.router
            targets = [item.first_token_ms for item in classes.values()]
            router.set_first_token_target(POOL, min(targets))
            self.dispatchers.append(dispatcher)
        self._heartbeats: list[tuple] = []
        self._deadlines: dict[int, list[Caller]] = {}
        self._open: list[int] = [0] * vms
        self._steps = 0

    def _make_catalogue(self, classes: dict[str, ServiceClass]) -> Catalogue:
        upstreams = {}
        for number, engine in enumerate(self.engines.values()):
            upstreams[engine.name] = DiscoveredUpstream(
                owner="",
                kind=UpstreamKind.ENGINE,
                address=f"10.0.0.{number}:80",
                domain=f"d{number % 3}",
                service="pool",
                slots=engine.slots,
                memory_tokens=2_000_000,
            )
        customers = {}
        for number in range(8):
            customers[f"c{number}"] = Customer(
                owner="",
                classes=[],
                requests_per_s=1e9,
                tokens_per_s=1e9,
                concurrent=1_000_000,
            )
        return assemble_catalogue(1, classes, customers, {}, upstreams)

    def arrive(
        self,
        class_name: str,
        customer: str,
        tokens: int,
        output_tokens: int,
        expected_tokens: int = 0,
        session: str = "",
        shared_tokens: int = 0,
    ) -> Caller:
        """Send a request to a random VM."""
        number = len(self.callers)
        vm = self.choose_vm(customer)
        service_class = self.dispatchers[vm].state.catalogue.classes[class_name]
        parts = (Part(f"own{number}", tokens - shared_tokens),)
        if session:
            parts = (Part(session, shared_tokens), *parts)
        caller = Caller(
            id=f"r{number}",
            vm=vm,
            class_name=class_name,
            customer=customer,
            tier=service_class.tier,
            prompt=Prompt(parts, tokens, expected_tokens or output_tokens),
            arrives_ms=self.now_ms,
            deadline_ms=self.now_ms + service_class.completion_ms,
            output_tokens=output_tokens,
        )
        self.callers[caller.id] = caller
        step = -(-caller.deadline_ms // STEP_MS)
        self._deadlines.setdefault(step, []).append(caller)
        self._open[vm] += 1
        arrival = ev.Arrival(
            caller.id,
            customer,
            class_name,
            POOL,
            prompt=caller.prompt,
            queue_deadline_ms=caller.deadline_ms,
            max_attempts=3,
        )
        self._feed(vm, arrival)
        return caller

    def choose_vm(self, customer: str) -> int:
        """Return the VM that takes a request of a customer."""
        return self.random.randrange(len(self.dispatchers))

    def advance(self) -> None:
        """Advance the time by one step."""
        self.now_ms += STEP_MS
        self._steps += 1
        if self.now_ms % PACE_MS == 0:
            for engine in self.shared_engines:
                engine.pace = self.random.choice((100, 100, 150, 250))
        for caller in self._deadlines.pop(self.now_ms // STEP_MS, ()):
            self._leave(caller)
        for engine in self.engines.values():
            for job in engine.advance(self.now_ms):
                self._report_token(engine, job)
        if self._steps % TICK_STEPS == 0:
            for vm in range(len(self.dispatchers)):
                if self._open[vm]:
                    self._feed(vm, ev.Tick())
        if self._steps % HEARTBEAT_STEPS == 0:
            self._exchange_heartbeats()

    def _leave(self, caller: Caller) -> None:
        if caller.done_ms or caller.refused is not None:
            return
        caller.left = True
        self._open[caller.vm] -= 1
        self._feed(caller.vm, ev.CallerLeft(caller.id))

    def _report_token(self, engine: Engine, job: Job) -> None:
        caller = job.caller
        if job.generated_tokens == 1:
            caller.first_ms = self.now_ms
            by_tier = (0,) * (TIERS - 1) + (len(engine.jobs),)
            pace = engine.pace if self.shared_engines else 0
            report = ev.LoadReported(engine.name, by_tier, 0, pace)
            self._feed(caller.vm, report)
            self._feed(caller.vm, ev.AttemptStarted(caller.id, job.attempt))
        self._feed(caller.vm, ev.TokensRelayed(caller.id, job.attempt, 1))
        if job.generated_tokens >= caller.output_tokens:
            caller.done_ms = self.now_ms
            self._open[caller.vm] -= 1
            self._feed(caller.vm, ev.AttemptDone(caller.id, job.attempt))

    def _exchange_heartbeats(self) -> None:
        arriving, self._heartbeats = self._heartbeats, []
        for number, dispatcher in enumerate(self.dispatchers):
            router = dispatcher.state.router
            for sender, pending, parts, timings in arriving:
                if sender == number:
                    continue
                router.engine_states.record_remote(
                    f"vm-{sender}", pending, parts, self.now_ms
                )
                router.paces.record_remote(timings, self.now_ms)
        for number, dispatcher in enumerate(self.dispatchers):
            router = dispatcher.state.router
            states = router.engine_states
            self._heartbeats.append(
                (
                    number,
                    states.count_own_backlogs(),
                    states.take_sent_parts(),
                    router.paces.take_own(),
                )
            )

    def _feed(self, vm: int, event: ev.Event) -> None:
        for decision in self.dispatchers[vm].decide(event, self.now_ms):
            match decision:
                case ev.Dispatch():
                    self._dispatch(decision)
                case ev.Cancel():
                    self.engines[decision.upstream].drop(decision.request_id)
                case ev.Refuse():
                    caller = self.callers[decision.request_id]
                    caller.refused = decision.error
                    caller.refused_ms = self.now_ms
                    self._open[vm] -= 1

    def _dispatch(self, decision: ev.Dispatch) -> None:
        caller = self.callers[decision.request_id]
        engine = self.engines[decision.upstream]
        caller.dispatched_ms = self.now_ms
        work = 0
        for part in caller.prompt.parts:
            if part.id not in engine.parts:
                work += part.tokens
        job = Job(caller, decision.attempt, decision.priority, work)
        engine.take(job)


def make_options(make_router=make_prompt_router) -> Options:
    """Return the policies of an edge node."""
    return Options(
        make_router=make_router,
        isolate_suspects=False,
        probe_suspects=True,
        preempt=False,
        move_unstarted=False,
        max_waiting=400,
        subset_size=64,
    )
