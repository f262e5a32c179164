"""Routing of prompts to engines that start, drain, fail and stop, in any order."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Customer,
    DiscoveredUpstream,
    Service,
    ServiceClass,
    UpstreamKind,
    assemble_catalogue,
)
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.core.prompts import Part, Prompt
from plantainwood.core.upstreamset import USABLE_CONNECTION_SHARE
from tests.seeds import pin_seed

POOL = "service/pool"
ENGINES = ["e1", "e2", "e3", "e4"]
MAX_CONNECTIONS = 6
CLASSES = {
    "paced": ServiceClass(owner="", tier=0, between_tokens_ms=150, repeatable=True),
    "plain": ServiceClass(owner="", tier=1, between_tokens_ms=300),
    "long": ServiceClass(owner="", tier=2, between_tokens_ms=600, repeatable=True),
}
TIERS = {"paced": 0, "plain": 1, "long": 2}


def make_engine(name: str, leaving: bool) -> DiscoveredUpstream:
    """Return the catalogue entry of an engine."""
    return DiscoveredUpstream(
        owner="",
        kind=UpstreamKind.ENGINE,
        address=f"10.0.0.{name[1:]}:80",
        domain="a",
        service="pool",
        slots=64,
        memory_tokens=100_000,
        max_connections=MAX_CONNECTIONS,
        leaving=leaving,
    )


class TrackedRequest:
    """The state of one request as derived from events and decisions."""

    __slots__ = (
        "name",
        "class_name",
        "upstream",
        "attempt",
        "outcome_unknown",
        "started",
    )

    def __init__(self, name: str, class_name: str) -> None:
        self.name = name
        self.class_name = class_name
        self.upstream = ""
        self.attempt = 0
        self.outcome_unknown = False
        """Whether an attempt ended without proof that it did not run."""
        self.started = False


@pin_seed("PromptMachine")
class PromptMachine(RuleBasedStateMachine):
    """Drive the dispatcher of one node with the prompt router."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000
        self.count = 0
        self.requests: dict[str, TrackedRequest] = {}
        self.engine_states = dict.fromkeys(ENGINES, "ready")
        options = Options(
            make_router=make_prompt_router,
            isolate_suspects=False,
            preempt=False,
            move_unstarted=False,
        )
        self.dispatcher = Dispatcher("vm-1", 7, options)
        self.dispatcher.set_connection_share(0.5)
        self.router = self.dispatcher.state.router
        self.router.set_gap_targets(POOL, {150, 300, 600})
        self.router.set_first_token_target(POOL, 250)
        self.apply_states()

    def apply_states(self) -> None:
        """Apply a catalogue with the engines in their current states."""
        upstreams = {}
        for name, state in self.engine_states.items():
            if state != "gone":
                upstreams[name] = make_engine(name, state == "draining")
        customer = Customer(
            owner="",
            classes=list(CLASSES),
            requests_per_s=1e9,
            tokens_per_s=1e9,
            concurrent=10**6,
        )
        self.dispatcher.apply_catalogue(
            assemble_catalogue(
                1, CLASSES, {"c": customer}, {"pool": Service(owner="")}, upstreams
            )
        )

    def handle_event(self, event: ev.Event) -> None:
        """Pass an event to the dispatcher, and check each decision."""
        for decision in self.dispatcher.decide(event, self.now):
            tracked = self.requests.get(decision.request_id)
            if isinstance(decision, ev.Refuse):
                del self.requests[decision.request_id]
            elif isinstance(decision, ev.Cancel) and tracked is not None:
                tracked.upstream = ""
                tracked.outcome_unknown = True
            elif isinstance(decision, ev.Dispatch):
                assert tracked is not None
                self.check_dispatch(tracked, decision)

    def check_dispatch(self, tracked: TrackedRequest, decision: ev.Dispatch) -> None:
        """Check that the request may run, the engine is ready and the source exists."""
        assert not tracked.upstream
        assert self.engine_states[decision.upstream] == "ready"
        assert CLASSES[tracked.class_name].repeatable or not tracked.outcome_unknown
        assert decision.source != decision.upstream
        assert self.engine_states.get(decision.source, "ready") != "gone"
        tracked.upstream = decision.upstream
        tracked.attempt = decision.attempt
        tracked.started = False

    def pick_running(self, which: int) -> TrackedRequest | None:
        """Return one of the running requests, None if there is none."""
        running = [tracked for tracked in self.requests.values() if tracked.upstream]
        return running[which % len(running)] if running else None

    @rule(
        class_name=st.sampled_from(list(CLASSES)),
        session=st.sampled_from(["s1", "s2", "s3"]),
        tokens=st.sampled_from([50, 2_000, 9_000]),
        count=st.integers(1, 4),
    )
    def arrive(self, class_name: str, session: str, tokens: int, count: int) -> None:
        """Requests of a session arrive."""
        for _ in range(count):
            self.count += 1
            name = f"r{self.count}"
            parts = (Part("head", 2_000), Part(session, 3_000), Part(name, tokens))
            self.requests[name] = TrackedRequest(name, class_name)
            self.handle_event(
                ev.Arrival(
                    name,
                    "c",
                    class_name,
                    POOL,
                    repeatable=CLASSES[class_name].repeatable,
                    prompt=Prompt(parts, 5_000 + tokens, 40),
                    tier=TIERS[class_name],
                    max_attempts=3,
                )
            )

    @rule(which=st.integers(0, 30))
    def start(self, which: int) -> None:
        """An attempt relays its first token."""
        tracked = self.pick_running(which)
        if tracked is not None and not tracked.started:
            tracked.started = True
            self.handle_event(ev.AttemptStarted(tracked.name, tracked.attempt))

    @rule(which=st.integers(0, 30))
    def finish(self, which: int) -> None:
        """An attempt completes."""
        tracked = self.pick_running(which)
        if tracked is not None:
            del self.requests[tracked.name]
            self.handle_event(ev.AttemptDone(tracked.name, tracked.attempt))

    @rule(which=st.integers(0, 30), not_run=st.booleans())
    def fail(self, which: int, not_run: bool) -> None:
        """An attempt fails, with or without proof that it did not run."""
        tracked = self.pick_running(which)
        if tracked is None:
            return
        tracked.upstream = ""
        tracked.outcome_unknown = tracked.outcome_unknown or not not_run
        self.handle_event(
            ev.AttemptFailed(tracked.name, tracked.attempt, False, not_run, 0)
        )

    @rule(which=st.integers(0, 30))
    def leave(self, which: int) -> None:
        """A caller leaves."""
        names = list(self.requests)
        if names:
            name = names[which % len(names)]
            del self.requests[name]
            self.handle_event(ev.CallerLeft(name))

    @rule(
        name=st.sampled_from(ENGINES),
        state=st.sampled_from(["ready", "draining", "gone"]),
    )
    def change(self, name: str, state: str) -> None:
        """An engine becomes ready, drains or stops."""
        self.engine_states[name] = state
        self.apply_states()
        self.handle_event(ev.Tick())

    @rule(by=st.sampled_from([25, 400, 3_000]))
    def advance(self, by: int) -> None:
        """Time passes; the backlog that other nodes reported expires."""
        self.now += by
        self.handle_event(ev.Tick())

    @rule(name=st.sampled_from(ENGINES), tokens=st.sampled_from([500, 20_000]))
    def hear(self, name: str, tokens: int) -> None:
        """Another node reports the tokens and the parts that it sent to an engine."""
        parts = [Part("head", 2_000), Part("s2", 3_000)]
        self.router.engine_states.record_remote(
            "vm-2", {name: tokens}, {name: parts}, self.now
        )

    @invariant()
    def stays_below_the_share(self) -> None:
        """No engine runs more of this node's attempts than its share of connections."""
        counts = dict.fromkeys(ENGINES, 0)
        for tracked in self.requests.values():
            if tracked.upstream:
                counts[tracked.upstream] += 1
        assert max(counts.values()) <= int(
            USABLE_CONNECTION_SHARE * 0.5 * MAX_CONNECTIONS
        )

    @invariant()
    def counts_unread_prompts_of_running_attempts_only(self) -> None:
        """Attempts that ended or relayed a token are no longer in the backlog."""
        awaiting_prefill = set()
        for tracked in self.requests.values():
            if tracked.upstream and not tracked.started:
                awaiting_prefill.add(tracked.upstream)
        assert set(self.router.engine_states.count_own_backlogs()) <= awaiting_prefill


TestPrompts = PromptMachine.TestCase
